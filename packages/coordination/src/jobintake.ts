/**
 * Accepts submitted jobs at this entry: a job that is already held gets a further request, an unknown one is accepted
 * as new. Either is parked until the other processes have reported what they hold of it.
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
import { ownerUnreachable } from './uncertainanswers.ts'

/** A job that waits until the memory of its job ids is complete. */
interface ParkedJob {
  job: Job
  from: Attachment
  deadline: number
}

export interface JobIntakeDependencies {
  context: EntryContext
  jobs: Jobs
  receipts: Receipts
  takeover: Takeover
  holders: Holders
  /** Start of the period for which the memory is complete, in milliseconds since 1970; 0 when it always was. */
  horizon: () => number
  /** Whether this entry is, or was, a member with a complete memory. Until then requests are parked. */
  ready: () => boolean
  /** Whether this entry has just joined, so that its agents and its configuration may not have arrived yet. */
  settling: (now: number) => boolean
  reply: Reply
  /** Whether callers of this entry waited for the job and all of them disconnected; drops the job in that case. */
  dropAbandoned: (job: JobKey) => boolean
  /** Forwards a job that callers of this entry wait for to another entry. */
  forward: (job: JobKey, holder: Instance, now: number) => void
}

export class JobIntake {
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
  readonly #forward: (job: JobKey, holder: Instance, now: number) => void
  #parked: ParkedJob[] = []

  constructor (dependencies: JobIntakeDependencies) {
    this.#context = dependencies.context
    this.#jobs = dependencies.jobs
    this.#receipts = dependencies.receipts
    this.#takeover = dependencies.takeover
    this.#holders = dependencies.holders
    this.#horizon = dependencies.horizon
    this.#ready = dependencies.ready
    this.#settling = dependencies.settling
    this.#reply = dependencies.reply
    this.#dropAbandoned = dependencies.dropAbandoned
    this.#forward = dependencies.forward
  }

  /** Handles a job submitted by a caller of this entry, or forwarded by another entry. */
  submit (job: Job, from: Attachment, now: number): void {
    const refusal = this.#jobs.previousRefusal(from)
    if (refusal !== undefined) {
      this.#reply(from, job.key, refusal, now)
      return
    }
    if (!this.#ready()) {
      this.#park(job, from, now)
      return
    }
    const holder = this.#holders.otherHolder(job.key)
    if (holder !== undefined) {
      this.#forwardToHolder(job, from, holder, now)
      return
    }
    const held = this.#context.guards.claim ? this.#jobs.get(job.key) : undefined
    if (held !== undefined) {
      this.#attach(held, job, from, now)
      return
    }
    this.#acceptOwned(job, from, now)
  }

  /** Submits the parked jobs again; answers those whose deadline has passed. */
  retryParked (now: number): void {
    const parked = this.#parked
    this.#parked = []
    for (const { job, from, deadline } of parked) {
      if (from.entry === this.#context.instance && this.#dropAbandoned(job.key)) continue
      const remainingMilliseconds = deadline - now
      if (remainingMilliseconds > 0) this.submit({ ...job, remainingMilliseconds }, from, now)
      else this.#reply(from, job.key, ownerUnreachable(), now)
    }
  }

  /** Discards the parked jobs. */
  stopped (): void {
    this.#parked = []
  }

  #acceptOwned (job: Job, from: Attachment, now: number): void {
    const receipt = this.#context.guards.claim ? this.#receipts.get(job.key) : undefined
    if (receipt !== undefined) {
      this.#receipts.delete(receipt.job)
      this.#attach(this.#jobs.adopt(receipt.job, receipt.digest, receipt.executor, now), job, from, now)
      return
    }
    if (this.#context.guards.takeover && !this.#takeover.unknownJobsAreNew) {
      this.#park(job, from, now)
      return
    }
    const beforeHorizon = this.#beforeHorizon(job)
    if (beforeHorizon && !job.repeatable) {
      const detail = 'the job was lodged before the memory of the system begins: it may have run'
      this.#reply(from, job.key, answerWithoutResults(AnswerKind.MayHaveRun, Cause.BeforeHorizon, detail), now)
      return
    }
    if (this.#settling(now) && !this.#jobs.wouldAdmit(job, now)) {
      this.#park(job, from, now)
      return
    }
    this.#jobs.accept(job, from, beforeHorizon, now)
  }

  /**
   * Attaches a request to a held job. A job of a lost entry is resumed only once every agent has sent its ledger
   * records or timed out.
   */
  #attach (held: Execution, job: Job, from: Attachment, now: number): void {
    const recallFinished = this.#takeover.transfersComplete && this.#takeover.recallEnded
    if (held.resumable && this.#context.guards.takeover && !recallFinished) this.#park(job, from, now)
    else this.#jobs.attach(held, job, from, this.#takeover.ledgersComplete && !this.#isOlderThanRetention(job), now)
  }

  #park (job: Job, from: Attachment, now: number): void {
    const known = this.#parked.some(parked => parked.from.entry === from.entry && parked.from.submission === from.submission)
    if (!known) this.#parked.push({ job, from, deadline: now + job.remainingMilliseconds })
  }

  #forwardToHolder (job: Job, from: Attachment, holder: Instance, now: number): void {
    if (from.entry === this.#context.instance) this.#forward(job.key, holder, now)
    else this.#holders.redirect(from, job.key, holder)
  }

  /**
   * Whether an unknown job may have run before the period that the memory covers. A job with a submission time is compared
   * with the horizon. One without is assumed to predate the horizon for as long as a job from before it would have been
   * retained.
   */
  #beforeHorizon (job: Job): boolean {
    if (!this.#context.guards.horizon) return false
    const { retention, clockMargin } = this.#context.timings
    const horizon = this.#horizon()
    if (job.lodgedAt === 0) return horizon > 0 && this.#context.wallClock() < horizon + retention
    if (this.#isOlderThanRetention(job)) return true
    return horizon > 0 && job.lodgedAt < horizon + clockMargin
  }

  /** Whether the job is older than the retention time, so that ledgers may no longer contain it. */
  #isOlderThanRetention (job: Job): boolean {
    return job.lodgedAt !== 0 && job.lodgedAt < this.#context.wallClock() - this.#context.timings.retention
  }
}
