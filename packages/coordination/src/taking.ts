/**
 * Taking jobs up at this entry: one that is held gets a further request, an unknown one is taken as
 * new, and either waits, parked, until what others know of it has come in.
 */
import type { EntryContext } from './entrycontext.ts'
import type { Attachment, Execution } from './execution.ts'
import type { Holders } from './holders.ts'
import type { Jobs, Reply } from './jobs.ts'
import type { Instance, Job, JobKey } from './messages.ts'
import type { Receipts } from './receipts.ts'
import type { Takeover } from './takeover.ts'
import { answerWithoutResults } from './execution.ts'
import { AnswerKind, Cause } from './messages.ts'
import { unreached } from './unproved.ts'

/** A job id that is taken up when the memory of its range is complete. */
interface Parked {
  job: Job
  from: Attachment
  deadline: number
}

export interface TakingParts {
  context: EntryContext
  jobs: Jobs
  receipts: Receipts
  takeover: Takeover
  holders: Holders
  /** Since when the memory is complete, in milliseconds since 1970; 0 for ever. */
  horizon: () => number
  /** Whether this entry is, or was, a member with a complete memory: until then it holds requests back. */
  ready: () => boolean
  /** Whether this entry has just joined, and its agents and its configuration may still be on their way. */
  settling: (now: number) => boolean
  reply: Reply
  /** Whether callers of this entry waited for the job, and all have gone: it is given up then. */
  dropAbandoned: (job: JobKey) => boolean
  /** Hands a job that callers of this entry wait for to another entry. */
  passOn: (job: JobKey, holder: Instance, now: number) => void
}

export class Taking {
  readonly #context: EntryContext
  readonly #jobs: Jobs
  readonly #receipts: Receipts
  readonly #takeover: Takeover
  readonly #holders: Holders
  readonly #horizon: () => number
  readonly #ready: () => boolean
  readonly #settling: (now: number) => boolean
  readonly #reply: Reply
  readonly #dropAbandoned: (job: JobKey) => boolean
  readonly #passOn: (job: JobKey, holder: Instance, now: number) => void
  #parked: Parked[] = []

  constructor (parts: TakingParts) {
    this.#context = parts.context
    this.#jobs = parts.jobs
    this.#receipts = parts.receipts
    this.#takeover = parts.takeover
    this.#holders = parts.holders
    this.#horizon = parts.horizon
    this.#ready = parts.ready
    this.#settling = parts.settling
    this.#reply = parts.reply
    this.#dropAbandoned = parts.dropAbandoned
    this.#passOn = parts.passOn
  }

  /** A job that a caller of this entry, or another entry for one of its own, submits. */
  take (job: Job, from: Attachment, now: number): void {
    const refusal = this.#jobs.previousRefusal(from)
    if (refusal !== undefined) {
      this.#reply(from, job.key, refusal, now)
      return
    }
    if (!this.#ready()) {
      this.#park(job, from, now)
      return
    }
    const holder = this.#holders.elsewhere(job.key)
    if (holder !== undefined) {
      this.#elsewhere(job, from, holder, now)
      return
    }
    const held = this.#context.guards.claim ? this.#jobs.get(job.key) : undefined
    if (held !== undefined) {
      this.#attach(held, job, from, now)
      return
    }
    this.#takeOwn(job, from, now)
  }

  /** Looks at the parked jobs again. */
  unpark (now: number): void {
    const parked = this.#parked
    this.#parked = []
    for (const { job, from, deadline } of parked) {
      if (from.entry === this.#context.instance && this.#dropAbandoned(job.key)) continue
      const remainingMilliseconds = deadline - now
      if (remainingMilliseconds > 0) this.take({ ...job, remainingMilliseconds }, from, now)
      else this.#reply(from, job.key, unreached(), now)
    }
  }

  /** Parked jobs are given up. */
  stopped (): void {
    this.#parked = []
  }

  #takeOwn (job: Job, from: Attachment, now: number): void {
    const receipt = this.#context.guards.claim ? this.#receipts.get(job.key) : undefined
    if (receipt !== undefined) {
      this.#receipts.delete(receipt.job)
      this.#attach(this.#jobs.adopt(receipt.job, receipt.digest, receipt.executor, now), job, from, now)
      return
    }
    if (this.#context.guards.takeover && !this.#takeover.unknownIsNew) {
      this.#park(job, from, now)
      return
    }
    const forgotten = this.#beforeHorizon(job)
    if (forgotten && !job.repeatable) {
      const detail = 'the job was lodged before the memory of the system begins: it may have run'
      this.#reply(from, job.key, answerWithoutResults(AnswerKind.MayHaveRun, Cause.BeforeHorizon, detail), now)
      return
    }
    if (this.#settling(now) && !this.#jobs.wouldAdmit(job, now)) {
      this.#park(job, from, now)
      return
    }
    this.#jobs.accept(job, from, forgotten, now)
  }

  /** What a lost entry had is taken up only when every agent has told what it started, or is given up. */
  #attach (held: Execution, job: Job, from: Attachment, now: number): void {
    const told = this.#takeover.transfersComplete && this.#takeover.recallEnded
    if (held.resumable && this.#context.guards.takeover && !told) this.#park(job, from, now)
    else this.#jobs.attach(held, job, from, this.#takeover.ledgersComplete && !this.#outlived(job), now)
  }

  #park (job: Job, from: Attachment, now: number): void {
    const known = this.#parked.some(parked => parked.from.entry === from.entry && parked.from.submission === from.submission)
    if (!known) this.#parked.push({ job, from, deadline: now + job.remainingMilliseconds })
  }

  #elsewhere (job: Job, from: Attachment, holder: Instance, now: number): void {
    if (from.entry === this.#context.instance) this.#passOn(job.key, holder, now)
    else this.#holders.redirect(from, job.key, holder)
  }

  /**
   * Whether an unknown job may have run before the memory begins. A job that says when it was
   * lodged is judged by that; one that says nothing is taken as lodged before the horizon for as
   * long as a job from before it would have been remembered.
   */
  #beforeHorizon (job: Job): boolean {
    if (!this.#context.guards.horizon) return false
    const { retention, clockMargin } = this.#context.timings
    const horizon = this.#horizon()
    if (job.lodgedAt === 0) return horizon > 0 && this.#context.wallClock() < horizon + retention
    if (this.#outlived(job)) return true
    return horizon > 0 && job.lodgedAt < horizon + clockMargin
  }

  /** Whether the job is older than what anybody remembers: then no ledger need name it. */
  #outlived (job: Job): boolean {
    return job.lodgedAt !== 0 && job.lodgedAt < this.#context.wallClock() - this.#context.timings.retention
  }
}
