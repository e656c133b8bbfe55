/** Callers of a soak: they submit jobs, come back as the platform's page says, and remember what they were told. */
import type { Member, SoakFleet } from './soakfleet.ts'
import type { SeededRandom } from '@amaranthmast/standins/random'
import { clientJob } from '@amaranthmast/standins/fleetdocuments'
import { setTimeout as pause } from 'node:timers/promises'

/** How long a caller that leaves early waits, in milliseconds. */
const SHORTEST_STAY = 100
const LONGEST_STAY = 1000

/** Part of the submissions whose caller leaves early. */
const LEAVING_PART = 0.5

/** How long a caller waits, and how long until it comes back, in milliseconds. */
const DEADLINE = 3000
const RESUBMISSION = 1300

/** Run time that callers estimate, in milliseconds; the true ones are 20 to 920. */
const ESTIMATED = 200

/** Submissions of one job after which its caller gives up. */
const SUBMISSIONS = 6

const MILLISECONDS_PER_SECOND = 1000

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

/** How one submission was answered. */
interface Submitted {
  /** 0 when there was no answer. */
  status: number
  /** State of the job that the answer tells. */
  state: string | undefined
  /** When to come back, in milliseconds; 0 when that is not said. */
  retryAfter: number
}

export interface SoakCallersOptions {
  /** Refused callers come back when they are told to. @default false */
  persistent?: boolean
  /** Every second time a caller breaks its connection before the answer is due, and comes back at another entry. @default false */
  leaves?: boolean
}

export class SoakCallers {
  readonly told: Told[] = []
  readonly #fleet: SoakFleet
  readonly #random: SeededRandom
  readonly #options: SoakCallersOptions
  readonly #open = new Set<Promise<void>>()
  #jobs: number

  /** @param first number of the first job: no two callers of one fleet use the same ids */
  constructor (fleet: SoakFleet, random: SeededRandom, first: number, options: SoakCallersOptions = {}) {
    this.#fleet = fleet
    this.#random = random
    this.#jobs = first
    this.#options = options
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
    let entry: Member | undefined
    for (let submission = 1; submission <= SUBMISSIONS; submission += 1) {
      entry = this.#choose(entry)
      const { status, state, retryAfter } = await this.#submit(entry, id, tasks)
      if (state !== undefined) {
        this.told.push({ id, tasks, fate: state as Fate, submissions: submission })
        return
      }
      if (STATUS_REFUSED.has(status)) {
        if (this.#options.persistent === true && retryAfter > 0 && submission < SUBMISSIONS) {
          await pause(retryAfter)
          continue
        }
        this.told.push({ id, tasks, fate: ran ? Fate.Unanswered : Fate.Refused, submissions: submission })
        return
      }
      ran = true
      await pause(RESUBMISSION)
    }
    this.told.push({ id, tasks, fate: Fate.Unanswered, submissions: SUBMISSIONS })
  }

  #choose (before: Member | undefined): Member {
    const { entries } = this.#fleet
    return this.#random.pick(this.#options.leaves === true && entries.length > 1 ? entries.filter(entry => entry !== before) : entries)
  }

  /** How long the caller waits for its answer, in milliseconds. */
  #stay (): number {
    return this.#options.leaves === true && this.#random.next() < LEAVING_PART ? this.#random.integer(SHORTEST_STAY, LONGEST_STAY) : DEADLINE
  }

  async #submit (entry: Member, id: string, tasks: number): Promise<Submitted> {
    const body = clientJob(tasks, ESTIMATED)
    try {
      const response = await fetch(this.#fleet.urlOf(entry, id), { method: 'POST', body, headers: { 'x-deadline-ms': String(DEADLINE) }, signal: AbortSignal.timeout(this.#stay()) })
      const answer = await response.json() as { state?: string }
      const retryAfter = Number(response.headers.get('retry-after') ?? 0) * MILLISECONDS_PER_SECOND
      return { status: response.status, state: response.status === STATUS_OK ? answer.state : undefined, retryAfter }
    } catch {
      // No answer, a broken connection or the deadline: the caller cannot tell which, and comes back.
      return { status: 0, state: undefined, retryAfter: 0 }
    }
  }
}
