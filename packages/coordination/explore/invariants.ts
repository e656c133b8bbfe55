/**
 * Checks the answers given to callers against the starts recorded by the targets.
 *
 * - `startedTwice`: each task starts at most once. A task of a repeatable job may start again only after an
 *   entry has raised its horizon, that is, after the system has declared older records lost.
 * - `falseNotRun`: an answer "refused, not run" to a submission is false if a task of the job had started
 *   before the answer was decided, whichever submission it started for. A start is false if every
 *   submission made so far has been answered "refused, not run". A later submission of the same id counts
 *   separately: it may be accepted, and a start counts for it. The refusal of an id that is in use with
 *   other content refers to that content only and is not counted. A refusal by an entry that was removed
 *   from the view but may not have learned it yet is not counted for `REMOVAL_NOTICE_MILLISECONDS`: it
 *   refers only to what that entry itself received.
 * - `partial`: a complete answer contains the expected result of each task of the same job.
 * - `contradiction`: a job is not answered both as complete and as failed, unless it ran again as described
 *   above.
 * - `answeredTwice`, `unanswered`: each request to a process that does not end gets exactly one answer.
 * - `stuck`: after all faults have ended, a new job completes through every entry.
 */
import type { Answer, Instance, Job } from '../src/messages.ts'
import type { Start } from './faketarget.ts'
import { AnswerKind, Cause } from '../src/messages.ts'
import { resultOf } from './faketarget.ts'

export enum Invariant {
  StartedTwice = 'startedTwice',
  FalseNotRun = 'falseNotRun',
  Partial = 'partial',
  Contradiction = 'contradiction',
  AnsweredTwice = 'answeredTwice',
  Unanswered = 'unanswered',
  Stuck = 'stuck'
}

/** A violated invariant, with the virtual time in milliseconds. */
export interface Violation {
  invariant: Invariant
  at: number
  detail: string
}

/** One request of a caller. */
export interface CallerRequest {
  name: string
  entry: Instance
  job: Job
  submittedAt: number
  isSubmission: boolean
  answer: Answer | undefined
  /** Whether the entry has processed the arrival of the request. */
  received: boolean
  /** Whether the entry's process ended or the caller disconnected, so that no answer is expected. */
  abandoned: boolean
}

/** Maximum time in which an entry may not have learned that it was removed from the view. */
const REMOVAL_NOTICE_MILLISECONDS = 1500

/**
 * Fraction of the retention time after which records may be missing: the clocks of processes may run
 * slightly fast.
 */
const RETENTION_FRACTION = 0.9

const decoder = new TextDecoder()

/** Records requests, answers and starts, and keeps the first violation. */
export class InvariantChecker {
  readonly #now: () => number
  readonly #retention: number
  readonly #removedAt: (entry: Instance) => number | undefined
  readonly #requests = new Map<string, CallerRequest>()
  readonly #submissions = new Map<string, CallerRequest[]>()
  readonly #complete = new Set<string>()
  readonly #failed = new Set<string>()
  /** Repeatable jobs that ran again after a horizon was raised. */
  readonly #restartedJobs = new Set<string>()
  readonly #starts = new Map<string, number[]>()
  /** Instant at which each refusal was decided. */
  readonly #decidedAt = new WeakMap<Answer, number>()
  #violation: Violation | undefined
  /** Number of answers by kind and cause, for the summary of a run. */
  readonly answers = new Map<string, number>()

  constructor (now: () => number, retention: number, removedAt: (entry: Instance) => number | undefined) {
    this.#now = now
    this.#retention = retention
    this.#removedAt = removedAt
  }

  get violation (): Violation | undefined {
    return this.#violation
  }

  /** Requests that still wait for an answer. */
  open (): CallerRequest[] {
    return [...this.#requests.values()].filter(request => request.answer === undefined && !request.abandoned)
  }

  report (invariant: Invariant, detail: string): void {
    this.#violation ??= { invariant, at: this.#now(), detail }
  }

  asked (request: CallerRequest): void {
    this.#requests.set(request.name, request)
    if (!request.isSubmission) return
    const submissions = this.#submissions.get(request.job.key) ?? []
    submissions.push(request)
    this.#submissions.set(request.job.key, submissions)
  }

  request (name: string): CallerRequest | undefined {
    return this.#requests.get(name)
  }

  /** Marks the open requests of an ended entry as abandoned: their connections are closed. */
  recordProcessEnd (entry: Instance): void {
    for (const request of this.#requests.values()) {
      if (request.entry === entry && request.answer === undefined) request.abandoned = true
    }
  }

  recordStart (job: string, index: number, agent: Instance, earlier: readonly Start[], forgotten: boolean): void {
    const starts = this.#starts.get(job) ?? []
    starts.push(this.#now())
    this.#starts.set(job, starts)
    const submissions = this.#submissions.get(job) ?? []
    const first = earlier[0]
    const permitted = forgotten && submissions[0]?.job.repeatable === true
    if (first !== undefined && permitted) this.#restartedJobs.add(job)
    if (first !== undefined && !permitted) {
      this.report(Invariant.StartedTwice, `task ${job}/${index} started at ${agent}, and before at ${first.agent} at ${first.at.toFixed(1)}`)
    }
    const accepted = submissions.some(({ answer }) => answer?.kind !== AnswerKind.Refused)
    if (!accepted) this.report(Invariant.FalseNotRun, `task ${job}/${index} started at ${agent}, but every submission was answered "not run"`)
  }

  /** Records when a refusal was decided, the first time an entry gives or forwards it. */
  recordDecision (answer: Answer): void {
    if (answer.kind === AnswerKind.Refused && !this.#decidedAt.has(answer)) this.#decidedAt.set(answer, this.#now())
  }

  answered (name: string, answer: Answer): void {
    const request = this.#requests.get(name)
    if (request === undefined) return
    if (request.answer !== undefined) {
      this.report(Invariant.AnsweredTwice, `request ${name} for ${request.job.key} was answered twice`)
      return
    }
    request.answer = answer
    const label = `${AnswerKind[answer.kind]}/${Cause[answer.cause]}`
    this.answers.set(label, (this.answers.get(label) ?? 0) + 1)
    this.#check(request, answer)
  }

  /** Reports requests that an entry received but did not answer before it stopped. */
  checkStopped (entry: Instance): void {
    for (const request of this.#requests.values()) {
      if (request.entry !== entry || request.answer !== undefined || request.abandoned || !request.received) continue
      this.report(Invariant.Unanswered, `${entry} stopped without an answer to ${request.name} for ${request.job.key}`)
    }
  }

  #check (request: CallerRequest, answer: Answer): void {
    const { job } = request
    if (answer.kind === AnswerKind.Refused) {
      if (answer.cause !== Cause.IdReused && this.#contradictsStarts(request, answer) && !this.#mayBeUnawareOfRemoval(request.entry)) {
        this.report(Invariant.FalseNotRun, `request ${request.name} at ${request.entry} for ${job.key} was answered "not run" (${Cause[answer.cause]}), but a task had started`)
      }
      return
    }
    if (answer.kind === AnswerKind.Complete) this.#checkComplete(request, answer)
    if (answer.kind === AnswerKind.Failed && answer.cause === Cause.TaskFailed) this.#failed.add(job.key)
    if (!this.#restartedJobs.has(job.key) && this.#complete.has(job.key) && this.#failed.has(job.key)) {
      this.report(Invariant.Contradiction, `job ${job.key} was answered complete and failed`)
    }
  }

  #mayBeUnawareOfRemoval (entry: Instance): boolean {
    const removedAt = this.#removedAt(entry)
    return removedAt !== undefined && this.#now() - removedAt <= REMOVAL_NOTICE_MILLISECONDS
  }

  #contradictsStarts (request: CallerRequest, answer: Answer): boolean {
    const decidedAt = this.#decidedAt.get(answer) ?? this.#now()
    const starts = this.#starts.get(request.job.key) ?? []
    if (!request.isSubmission && this.#exceedsRetention(request)) return false
    return starts.some(at => at <= decidedAt || !this.#accountedForElsewhere(request, at))
  }

  /**
   * Whether the job's first submission is older than the retention time. A cancellation does not state the
   * time of submission, so its refusal covers the retention time only.
   */
  #exceedsRetention ({ job }: CallerRequest): boolean {
    const first = this.#submissions.get(job.key)?.[0]
    return first !== undefined && this.#now() - first.submittedAt > this.#retention * RETENTION_FRACTION
  }

  /** Whether another submission than this one accounts for a start at this instant. */
  #accountedForElsewhere (request: CallerRequest, at: number): boolean {
    const submissions = this.#submissions.get(request.job.key) ?? []
    return submissions.some(other => other !== request && other.submittedAt <= at && other.answer?.kind !== AnswerKind.Refused)
  }

  #checkComplete ({ name, job, isSubmission }: CallerRequest, answer: Answer): void {
    this.#complete.add(job.key)
    const expected = (isSubmission ? job : this.#submissions.get(job.key)?.[0]?.job ?? job).tasks.map((task, index) => resultOf(job.key, index))
    const actual = answer.results.map(result => decoder.decode(result))
    if (JSON.stringify(actual) !== JSON.stringify(expected)) {
      this.report(Invariant.Partial, `request ${name} for ${job.key} got ${JSON.stringify(actual)}`)
    }
  }
}
