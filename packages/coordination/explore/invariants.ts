/**
 * The judge: what callers were told against what the targets' own records say.
 *
 * - `startedTwice`: a task key starts once in all. A repeatable job may start again only after
 *   some entry has raised its horizon, that is, after the system said that it has forgotten.
 * - `falseNotRun`: an answer "refused, not run" to a submission of a job is false when any task of
 *   the job had started before the answer was decided, whichever submission it started for; and a
 *   start is false when every submission made until then has been answered "refused, not run". A
 *   later submission of the same id is a submission of its own: it may be accepted, and a start
 *   counts for it. The refusal of an id that is in use with other content speaks of that content
 *   alone and is not counted. An entry that was removed from the view, and could not know it yet,
 *   is not counted for `BLIND_MILLISECONDS`: its refusal speaks of what it was given itself.
 * - `partial`: a complete answer has the one right result of each task, of that very job.
 * - `contradiction`: a job answered complete is never answered "a task failed", nor the reverse,
 *   unless it ran again as above.
 * - `answeredTwice`, `unanswered`: each request of a process that stays gets one answer.
 * - `stuck`: after all faults have ended, a fresh job runs to completion through every entry.
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
  /** The entry has taken the request in. */
  received: boolean
  /** The entry's process ended, or the caller went away: no answer is expected. */
  abandoned: boolean
}

/** How long an entry may not know that it has been removed. */
const BLIND_MILLISECONDS = 1500

/** Clocks of processes run a little fast. */
const RETENTION_PART = 0.9

const decoder = new TextDecoder()

export class Judge {
  readonly #now: () => number
  readonly #retention: number
  readonly #removedAt: (entry: Instance) => number | undefined
  readonly #requests = new Map<string, CallerRequest>()
  readonly #submissions = new Map<string, CallerRequest[]>()
  readonly #complete = new Set<string>()
  readonly #failed = new Set<string>()
  /** Repeatable jobs that ran again after they were forgotten. */
  readonly #ranAgain = new Set<string>()
  readonly #starts = new Map<string, number[]>()
  /** When each refusal was decided. */
  readonly #decidedAt = new WeakMap<Answer, number>()
  #violation: Violation | undefined
  /** Answers by kind, for the figures of a run. */
  readonly answers = new Map<string, number>()

  constructor (now: () => number, retention: number, removedAt: (entry: Instance) => number | undefined) {
    this.#now = now
    this.#retention = retention
    this.#removedAt = removedAt
  }

  get violation (): Violation | undefined {
    return this.#violation
  }

  /** Requests whose callers still wait. */
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

  /** An entry's process has ended: its callers see their connections break. */
  processEnded (entry: Instance): void {
    for (const request of this.#requests.values()) {
      if (request.entry === entry && request.answer === undefined) request.abandoned = true
    }
  }

  taskStarted (job: string, index: number, agent: Instance, earlier: readonly Start[], forgotten: boolean): void {
    const starts = this.#starts.get(job) ?? []
    starts.push(this.#now())
    this.#starts.set(job, starts)
    const submissions = this.#submissions.get(job) ?? []
    const first = earlier[0]
    const permitted = forgotten && submissions[0]?.job.repeatable === true
    if (first !== undefined && permitted) this.#ranAgain.add(job)
    if (first !== undefined && !permitted) {
      this.report(Invariant.StartedTwice, `task ${job}/${index} started at ${agent}, and before at ${first.agent} at ${first.at.toFixed(1)}`)
    }
    const wanted = submissions.some(({ answer }) => answer?.kind !== AnswerKind.Refused)
    if (!wanted) this.report(Invariant.FalseNotRun, `task ${job}/${index} started at ${agent}, but every submission was answered "not run"`)
  }

  /** An entry has just decided this answer, or passes it on. */
  decided (answer: Answer): void {
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

  /** The entry ended with requests that it had not answered. */
  stoppedWithout (entry: Instance): void {
    for (const request of this.#requests.values()) {
      if (request.entry !== entry || request.answer !== undefined || request.abandoned || !request.received) continue
      this.report(Invariant.Unanswered, `${entry} stopped without an answer to ${request.name} for ${request.job.key}`)
    }
  }

  #check (request: CallerRequest, answer: Answer): void {
    const { job } = request
    if (answer.kind === AnswerKind.Refused) {
      if (answer.cause !== Cause.IdReused && this.#isFalse(request, answer) && !this.#blind(request.entry)) {
        this.report(Invariant.FalseNotRun, `request ${request.name} at ${request.entry} for ${job.key} was answered "not run" (${Cause[answer.cause]}), but a task had started`)
      }
      return
    }
    if (answer.kind === AnswerKind.Complete) this.#checkComplete(request, answer)
    if (answer.kind === AnswerKind.Failed && answer.cause === Cause.TaskFailed) this.#failed.add(job.key)
    if (!this.#ranAgain.has(job.key) && this.#complete.has(job.key) && this.#failed.has(job.key)) {
      this.report(Invariant.Contradiction, `job ${job.key} was answered complete and failed`)
    }
  }

  #blind (entry: Instance): boolean {
    const removedAt = this.#removedAt(entry)
    return removedAt !== undefined && this.#now() - removedAt <= BLIND_MILLISECONDS
  }

  #isFalse (request: CallerRequest, answer: Answer): boolean {
    const decidedAt = this.#decidedAt.get(answer) ?? this.#now()
    const starts = this.#starts.get(request.job.key) ?? []
    if (!request.isSubmission && this.#outlived(request)) return false
    return starts.some(at => at <= decidedAt || !this.#wantedBeside(request, at))
  }

  /** A cancel does not say when the job was lodged: it speaks of the retention time alone. */
  #outlived ({ job }: CallerRequest): boolean {
    const first = this.#submissions.get(job.key)?.[0]
    return first !== undefined && this.#now() - first.submittedAt > this.#retention * RETENTION_PART
  }

  /** Whether another submission than this one accounts for a start at this instant. */
  #wantedBeside (request: CallerRequest, at: number): boolean {
    const submissions = this.#submissions.get(request.job.key) ?? []
    return submissions.some(other => other !== request && other.submittedAt <= at && other.answer?.kind !== AnswerKind.Refused)
  }

  #checkComplete ({ name, job, isSubmission }: CallerRequest, answer: Answer): void {
    this.#complete.add(job.key)
    const wanted = (isSubmission ? job : this.#submissions.get(job.key)?.[0]?.job ?? job).tasks.map((task, index) => resultOf(job.key, index))
    const given = answer.results.map(result => decoder.decode(result))
    if (JSON.stringify(given) !== JSON.stringify(wanted)) {
      this.report(Invariant.Partial, `request ${name} for ${job.key} got ${JSON.stringify(given)}`)
    }
  }
}
