/** Callers of a soak: they submit jobs, come back as the platform's page says, and remember what they were told. */
import type { SoakFleet } from './soakfleet.ts'
import type { SeededRandom } from '@amaranthmast/standins/random'
import { clientJob } from '@amaranthmast/standins/fleetdocuments'
import { setTimeout as pause } from 'node:timers/promises'

/** How long a caller waits, and how long until it comes back, in milliseconds. */
const DEADLINE = 3000
const RESUBMISSION = 1300

/** Run time that callers estimate, in milliseconds; the true ones are 20 to 920. */
const ESTIMATED = 200

/** Submissions of one job after which its caller gives up. */
const SUBMISSIONS = 6

const STATUS_OK = 200
const STATUS_REFUSED = new Set([429, 503])

/** What became of a job. */
export enum Fate {
  Completed = 'completed',
  Failed = 'failed',
  /** Every submission was refused: no task of it may ever start. */
  Refused = 'refused',
  /** No answer in all its submissions. */
  Unanswered = 'unanswered'
}

export interface Told {
  id: string
  tasks: number
  fate: Fate
  submissions: number
}

export class SoakCallers {
  readonly told: Told[] = []
  readonly #fleet: SoakFleet
  readonly #random: SeededRandom
  readonly #open = new Set<Promise<void>>()
  #jobs: number

  /** @param first number of the first job: no two callers of one fleet use the same ids */
  constructor (fleet: SoakFleet, random: SeededRandom, first: number) {
    this.#fleet = fleet
    this.#random = random
    this.#jobs = first
  }

  /** Submits jobs at this mean interval until the time is over. */
  async run (milliseconds: number, interval: number): Promise<void> {
    const end = performance.now() + milliseconds
    while (performance.now() < end) {
      const job = this.#submitUntilAnswered()
      this.#open.add(job)
      job.finally(() => this.#open.delete(job))
      await pause(this.#random.next() * 2 * interval)
    }
  }

  /** Waits until every caller has its answer or has given up. */
  async settled (): Promise<void> {
    await Promise.all(this.#open)
  }

  async #submitUntilAnswered (): Promise<void> {
    this.#jobs += 1
    const id = this.#jobs.toString(16).padStart(16, '0')
    const tasks = this.#random.integer(1, 4)
    let ran = false
    for (let submission = 1; submission <= SUBMISSIONS; submission += 1) {
      const status = await this.#submit(id, tasks)
      if (typeof status === 'string') {
        this.told.push({ id, tasks, fate: status as Fate, submissions: submission })
        return
      }
      if (STATUS_REFUSED.has(status)) {
        this.told.push({ id, tasks, fate: ran ? Fate.Unanswered : Fate.Refused, submissions: submission })
        return
      }
      ran = true
      await pause(RESUBMISSION)
    }
    this.told.push({ id, tasks, fate: Fate.Unanswered, submissions: SUBMISSIONS })
  }

  /** The state that an answer tells, or the status of one without; 0 when there was none. */
  async #submit (id: string, tasks: number): Promise<string | number> {
    const entry = this.#random.pick(this.#fleet.entries)
    const body = clientJob(tasks, ESTIMATED)
    try {
      const response = await fetch(this.#fleet.urlOf(entry, id), { method: 'POST', body, headers: { 'x-deadline-ms': String(DEADLINE) }, signal: AbortSignal.timeout(DEADLINE) })
      const answer = await response.json() as { state?: string }
      return response.status === STATUS_OK && answer.state !== undefined ? answer.state : response.status
    } catch {
      // No answer, a broken connection or the deadline: the caller cannot tell which, and comes back.
      return 0
    }
  }
}
