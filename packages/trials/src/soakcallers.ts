/** Callers of a soak test. They submit jobs, resubmit them as the platform's callers do, and record the results. */
import type { FleetMember, SoakFleet } from './soakfleet.ts'
import type { SeededRandom } from '@amaranthmast/standins/random'
import { clientJob } from '@amaranthmast/standins/fleetdocuments'
import { setTimeout as pause } from 'node:timers/promises'

/** Timeout of a submission that its caller cuts off early, in milliseconds. */
const MIN_EARLY_TIMEOUT = 100
const MAX_EARLY_TIMEOUT = 1000

/** Fraction of the submissions that are cut off early. */
const EARLY_TIMEOUT_FRACTION = 0.5

/** Deadline of a job, and time until an unanswered job is resubmitted, in milliseconds. */
const DEADLINE = 3000
const RESUBMISSION_DELAY = 1300

/** Run time that callers state for every task, in milliseconds. The actual run times are 20 to 919. */
const ESTIMATED_RUN_TIME = 200

/** Maximum number of submissions of one job. */
const MAX_SUBMISSIONS = 6

const MILLISECONDS_PER_SECOND = 1000

const STATUS_OK = 200
const REFUSAL_STATUSES = new Set([429, 503])

/** Outcome of a job as its caller sees it. */
export enum Outcome {
  Completed = 'completed',
  Failed = 'failed',
  /** Every submission was refused, so no task of the job may ever start. */
  Refused = 'refused',
  /** No submission was answered, or one was not and a later one was refused. Tasks may have run. */
  Unanswered = 'unanswered'
}

/** Result of one job after its last submission. */
export interface JobResult {
  id: string
  tasks: number
  outcome: Outcome
  submissions: number
}

/** Response to one submission. */
interface SubmissionResponse {
  /** HTTP status; 0 without an answer. */
  status: number
  /** State of the job in the answer; `undefined` unless the status is 200. */
  state: string | undefined
  /** Delay before the next submission that the answer requests, in milliseconds; 0 if it requests none. */
  retryAfter: number
}

/** Options of {@link SoakCallers}. */
export interface SoakCallersOptions {
  /** Refused jobs are resubmitted after the time in `Retry-After`. @default false */
  resubmitsRefused?: boolean
  /** Half of the submissions are cut off early by their caller, and every resubmission goes through another entry. @default false */
  leaves?: boolean
}

/** Submits jobs to a fleet at random intervals and collects their results. */
export class SoakCallers {
  /** Results of all jobs that have ended. */
  readonly told: JobResult[] = []
  readonly #fleet: SoakFleet
  readonly #random: SeededRandom
  readonly #options: SoakCallersOptions
  readonly #open = new Set<Promise<void>>()
  #lastJobNumber: number

  /** @param baseJobNumber job numbers follow this one; several instances on one fleet need separate ranges, so that ids are unique */
  constructor (fleet: SoakFleet, random: SeededRandom, baseJobNumber: number, options: SoakCallersOptions = {}) {
    this.#fleet = fleet
    this.#random = random
    this.#lastJobNumber = baseJobNumber
    this.#options = options
  }

  /** Submits jobs at the given mean interval until the time is over. Resolves without waiting for the last answers. */
  async run (milliseconds: number, interval: number): Promise<void> {
    const end = performance.now() + milliseconds
    while (performance.now() < end) {
      const job = this.#submitUntilAnswered()
      this.#open.add(job)
      job.finally(() => this.#open.delete(job))
      await pause(this.#random.next() * 2 * interval)
    }
  }

  /** Waits until every job is answered or abandoned. */
  async settled (): Promise<void> {
    await Promise.all(this.#open)
  }

  async #submitUntilAnswered (): Promise<void> {
    this.#lastJobNumber += 1
    const id = this.#lastJobNumber.toString(16).padStart(16, '0')
    const tasks = this.#random.integer(1, 4)
    let mayHaveRun = false
    let entry: FleetMember | undefined
    for (let submission = 1; submission <= MAX_SUBMISSIONS; submission += 1) {
      entry = this.#chooseEntry(entry)
      const { status, state, retryAfter } = await this.#submit(entry, id, tasks)
      if (state !== undefined) {
        this.told.push({ id, tasks, outcome: state as Outcome, submissions: submission })
        return
      }
      if (REFUSAL_STATUSES.has(status)) {
        if (this.#options.resubmitsRefused === true && retryAfter > 0 && submission < MAX_SUBMISSIONS) {
          await pause(retryAfter)
          continue
        }
        this.told.push({ id, tasks, outcome: mayHaveRun ? Outcome.Unanswered : Outcome.Refused, submissions: submission })
        return
      }
      mayHaveRun = true
      await pause(RESUBMISSION_DELAY)
    }
    this.told.push({ id, tasks, outcome: Outcome.Unanswered, submissions: MAX_SUBMISSIONS })
  }

  #chooseEntry (previous: FleetMember | undefined): FleetMember {
    const { entries } = this.#fleet
    return this.#random.pick(this.#options.leaves === true && entries.length > 1 ? entries.filter(entry => entry !== previous) : entries)
  }

  /** Chooses how long a caller waits for the answer to one submission, in milliseconds. */
  #requestTimeout (): number {
    return this.#options.leaves === true && this.#random.next() < EARLY_TIMEOUT_FRACTION ? this.#random.integer(MIN_EARLY_TIMEOUT, MAX_EARLY_TIMEOUT) : DEADLINE
  }

  async #submit (entry: FleetMember, id: string, tasks: number): Promise<SubmissionResponse> {
    const body = clientJob(tasks, ESTIMATED_RUN_TIME)
    try {
      const response = await fetch(this.#fleet.urlOf(entry, id), { method: 'POST', body, headers: { 'x-deadline-ms': String(DEADLINE) }, signal: AbortSignal.timeout(this.#requestTimeout()) })
      const answer = await response.json() as { state?: string }
      const retryAfter = Number(response.headers.get('retry-after') ?? 0) * MILLISECONDS_PER_SECOND
      return { status: response.status, state: response.status === STATUS_OK ? answer.state : undefined, retryAfter }
    } catch {
      // A lost answer, a broken connection and a timeout are handled alike: the caller resubmits.
      return { status: 0, state: undefined, retryAfter: 0 }
    }
  }
}
