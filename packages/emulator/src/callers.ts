/** The callers of an emulated day. Each submits one job, resubmits it when its connection breaks, and leaves at its deadline. */
import type { Answer } from '@amaranthmast/dispatch/entrytypes'
import type { SeededRandom } from '@amaranthmast/standins/random'
import type { DayPlan, JobPlan } from './dayplan.ts'
import type { EmulatedFleet } from './fleet.ts'
import type { Timeline } from './timeline.ts'
import { AnswerKind } from '@amaranthmast/dispatch/entrytypes'
import { BOUNDS } from './fleet.ts'

/** What became of a caller's job. The credit of a day counts every outcome except `Left`. */
export enum Outcome {
  InTime = 'inTime',
  Late = 'late',
  /** Answered too late for any credit, or the deadline passed. */
  TooLate = 'tooLate',
  Refused = 'refused',
  Failed = 'failed',
  /** The caller left before the deadline, or no target can run the job. */
  Left = 'left'
}

/** Result of one job, as its caller sees it. */
export interface JobResult {
  job: JobPlan
  outcome: Outcome
  /** From the first submission to the answer, in milliseconds. */
  elapsed: number
  /** Credit the caller received, from 0 to the job's worth. */
  credit: number
  /** From the last submission to the answer, in milliseconds. */
  responseTime: number
  /** Whether it was answered as failed though no task had as many listed failures as its queue allows. */
  failedUnlisted: boolean
}

/** A late answer, up to three times the objective, earns a fifth of the credit (the users' rule). */
const LATE_CREDIT = 0.2
const MAX_LATE_FACTOR = 3

const MILLISECONDS_PER_SECOND = 1000

interface Caller {
  job: JobPlan
  entry: number
  request: number
  submittedAt: number
}

/** Submits the jobs of a day to the entries and records a result for each. */
export class Callers {
  readonly results: JobResult[] = []
  readonly #plan: DayPlan
  readonly #timeline: Timeline
  readonly #random: SeededRandom
  readonly #fleet: () => EmulatedFleet
  readonly #waiting = new Map<number, Caller>()
  readonly #settled = new Set<string>()
  /** Jobs answered as failed without enough listed failures. */
  readonly #failedUnlisted = new Set<string>()
  #requests = 0

  constructor (plan: DayPlan, timeline: Timeline, random: SeededRandom, fleet: () => EmulatedFleet) {
    this.#plan = plan
    this.#timeline = timeline
    this.#random = random
    this.#fleet = fleet
  }

  /** Submits every job of the day at its time. */
  start (): void {
    const { now } = this.#timeline
    for (const job of this.#plan.jobs) {
      this.#timeline.after(job.at, () => this.#submit(job))
      this.#timeline.after(job.at + Math.min(job.deadline, job.leavesAfter), () => this.#leave(job, job.leavesAfter < job.deadline))
      job.at += now
    }
  }

  answered (request: number, { kind, retryAfter }: Answer): void {
    const caller = this.#waiting.get(request)
    if (caller === undefined) return
    this.#waiting.delete(request)
    const { id, queue } = caller.job
    if (kind === AnswerKind.Failed && this.#fleet().failureCheck.violationOfFailed(id, queue.attempts) !== undefined) this.#failedUnlisted.add(id)
    this.#timeline.after(this.#plan.delays.callers, () => {
      if (kind === AnswerKind.TimedOut) return this.#resubmit(caller.job)
      if (kind === AnswerKind.Refused && caller.job.returns) return this.#resubmit(caller.job, roundUpToSeconds(retryAfter))
      this.#settle(caller, kind)
    })
  }

  /** @param powerLost whether callers are not notified, because the machine lost power */
  entryEnded (entry: number, powerLost: boolean): void {
    for (const [request, caller] of this.#waiting) {
      if (caller.entry !== entry) continue
      this.#waiting.delete(request)
      if (!powerLost) this.#resubmit(caller.job)
    }
  }

  #submit (job: JobPlan): void {
    if (this.#settled.has(job.id)) return
    const entry = this.#chooseEntry(job.dataCentre)
    if (entry === undefined) return this.#resubmit(job)
    this.#requests += 1
    const request = this.#requests
    this.#waiting.set(request, { job, entry, request, submittedAt: this.#timeline.now })
    const step = { count: job.tasks.length, needs: { cpu: job.cpu, memory: 64, accelerators: 0 }, estimated: job.declared, after: [], label: '', rack: '', perTarget: 0 }
    const remaining = job.at + job.deadline - this.#timeline.now
    this.#timeline.after(this.#plan.delays.callers, () => {
      this.#fleet().entries[entry]?.post({ type: 'submitted', request, job: { id: job.id, queue: job.queue, payload: '', steps: [step], remaining } })
    })
  }

  #chooseEntry (dataCentre: string): number | undefined {
    const serving = [...this.#plan.entries.keys()].filter(index => this.#fleet().isServing(index))
    const local = serving.filter(index => this.#plan.entries[index]?.dataCentre === dataCentre)
    if (serving.length === 0) return undefined
    return this.#random.pick(local.length > 0 ? local : serving)
  }

  #resubmit (job: JobPlan, delay = BOUNDS.resubmission): void {
    this.#timeline.after(delay, () => this.#submit(job))
  }

  #leave (job: JobPlan, leftEarly: boolean): void {
    if (this.#settled.has(job.id)) return
    for (const [request, caller] of this.#waiting) {
      if (caller.job !== job) continue
      this.#waiting.delete(request)
      this.#fleet().entries[caller.entry]?.post({ type: 'requestGone', request })
    }
    this.#record(job, leftEarly ? Outcome.Left : Outcome.TooLate)
  }

  #settle ({ job, submittedAt }: Caller, kind: AnswerKind): void {
    if (this.#settled.has(job.id)) return
    if (kind === AnswerKind.Refused) return this.#record(job, Outcome.Refused, submittedAt)
    if (kind !== AnswerKind.Completed) return this.#record(job, job.poisoned && kind === AnswerKind.Failed ? this.#outcomeByTime(job) : Outcome.Failed, submittedAt)
    this.#record(job, this.#outcomeByTime(job), submittedAt)
  }

  #outcomeByTime (job: JobPlan): Outcome {
    const elapsed = this.#timeline.now - job.at
    const runs = job.poisoned ? job.queue.attempts : 1
    const objective = job.queue.slackFactor * runs * Math.max(...job.tasks) + job.queue.latency
    if (elapsed <= objective) return Outcome.InTime
    return elapsed <= MAX_LATE_FACTOR * objective ? Outcome.Late : Outcome.TooLate
  }

  #record (job: JobPlan, earned: Outcome, submittedAt = job.at): void {
    this.#settled.add(job.id)
    // A job that crashes every target cannot be completed, so it does not count.
    const outcome = job.crashing === undefined ? earned : Outcome.Left
    const creditFraction = outcome === Outcome.InTime ? 1 : outcome === Outcome.Late ? LATE_CREDIT : 0
    this.results.push({ job, outcome, elapsed: this.#timeline.now - job.at, credit: creditFraction * job.worth, responseTime: this.#timeline.now - submittedAt, failedUnlisted: this.#failedUnlisted.has(job.id) })
  }
}

/** Rounds up to whole seconds, as the Retry-After header states them. */
function roundUpToSeconds (milliseconds: number): number {
  return Math.ceil(milliseconds / MILLISECONDS_PER_SECOND) * MILLISECONDS_PER_SECOND
}
