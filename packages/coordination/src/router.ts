/**
 * The requests of this entry's callers: each goes to the entry that holds or owns its job, follows
 * the job when entries come and go, and gets one final answer.
 */
import type { EntryContext } from './entrycontext.ts'
import type { Attachment } from './execution.ts'
import type { Jobs } from './jobs.ts'
import type { Answer, Instance, Job, JobKey, JobState } from './messages.ts'
import type { Receipts } from './receipts.ts'
import type { Takeover } from './takeover.ts'
import type { WaitingJob } from './waitingjob.ts'
import { NOT_READY_RETRY_MILLISECONDS } from './defaults.ts'
import { answerWithout, isForgotten } from './execution.ts'
import { Holders } from './holders.ts'
import { AnswerKind, Cause } from './messages.ts'
import { JobQueries } from './jobqueries.ts'
import { JobIntake } from './jobintake.ts'
import { saysNotRun, asMayHaveRun, ownerUnreachable } from './uncertainanswers.ts'
import { isMember } from './view.ts'
import { isAbandoned, newWaitingJob } from './waitingjob.ts'

/** Pause before a request that found no holder is routed again, in milliseconds. */
const REROUTE_MILLISECONDS = 100

export interface RouterParts {
  context: EntryContext
  jobs: Jobs
  receipts: Receipts
  takeover: Takeover
  /** Since when the memory is complete, in milliseconds since 1970; 0 for ever. */
  horizon: () => number
  /** Whether this entry is, or was, a member with a complete memory: until then it holds requests back. */
  ready: () => boolean
  /** Whether this entry has just joined, and its agents and its configuration may still be on their way. */
  settling: (now: number) => boolean
  /** Whether no other entry can have taken this one's job ids over: "not run" is said only then. */
  inForce: (now: number) => boolean
}

export class Router {
  readonly #context: EntryContext
  readonly #receipts: Receipts
  readonly #takeover: Takeover
  readonly #horizon: () => number
  readonly #ready: () => boolean
  readonly #inForce: (now: number) => boolean
  readonly #holders: Holders
  readonly #taking: JobIntake
  readonly #questions: JobQueries
  readonly #waiting = new Map<JobKey, WaitingJob>()
  #nextSubmission = 1

  constructor (parts: RouterParts) {
    this.#context = parts.context
    this.#receipts = parts.receipts
    this.#takeover = parts.takeover
    this.#horizon = parts.horizon
    this.#ready = parts.ready
    this.#inForce = parts.inForce
    this.#holders = new Holders(parts.context, parts.jobs, parts.receipts)
    this.#taking = this.#newTaking(parts)
    this.#questions = this.#newQuestions(parts)
  }

  get waiting (): number {
    return this.#waiting.size + this.#questions.size
  }

  submit (request: string, job: Job, now: number): void {
    const known = this.#waiting.get(job.key)
    if (known === undefined) {
      const waiting = newWaitingJob(this.#newSubmission(), request, job, now)
      this.#waiting.set(job.key, waiting)
      this.#route(waiting, now)
      return
    }
    if (known.job.digest === job.digest) {
      known.requests.add(request)
      return
    }
    const answer = answerWithout(AnswerKind.Refused, Cause.IdReused, 'this job id is in use with other content: use a new id')
    this.#context.emit({ type: 'answer', request, answer })
  }

  /**
   * A job that is held goes on: the caller may come back for the answer. One that only waits here for
   * an entry that cannot be reached is passed on no more: its caller may have sent it again elsewhere,
   * been told "not run", and given it up; run after that, it would make the answer false.
   */
  callerGone (request: string): void {
    for (const waiting of this.#waiting.values()) waiting.requests.delete(request)
  }

  /** A job that another entry forwards to this one. */
  forwarded (job: Job, from: Attachment, now: number): void {
    this.#taking.submit(job, from, now)
  }

  /** The answer of another entry, or of this one, to a request of this one. */
  answered (peer: Instance, job: JobKey, submission: string, answer: Answer): void {
    if (this.#questions.answered(submission, answer)) return
    const waiting = this.#waiting.get(job)
    if (waiting?.submission !== submission) return
    waiting.unresolved.delete(peer)
    this.#deliver(waiting, peer, answer)
  }

  /** Another entry says who holds the job. */
  redirected (peer: Instance, job: JobKey, submission: string, holder: Instance, now: number): void {
    if (this.#questions.redirected(submission, holder)) return
    const waiting = this.#waiting.get(job)
    if (waiting?.submission !== submission || waiting.sentTo !== peer) return
    waiting.unresolved.delete(peer)
    this.#receipts.drop(job, peer)
    if (holder === this.#context.instance || !isMember(this.#context.view(), holder)) {
      this.#routeLater(waiting, now)
      return
    }
    waiting.redirects += 1
    if (waiting.redirects === 1) {
      this.#sendTo(waiting, holder, now)
      return
    }
    this.#keepReceipt(waiting.job, holder, now)
    this.#routeLater(waiting, now)
  }

  /** Gives an answer to a request of this entry or of another. */
  reply (to: Attachment, job: JobKey, found: Answer, now: number): void {
    const doubtful = saysNotRun(found) && !this.#inForce(now)
    const answer = doubtful ? asMayHaveRun(found, 'another entry may have taken the job over') : found
    if (to.entry !== this.#context.instance) {
      this.#context.sendPeer(to.entry, { case: 'answer', value: { job, submission: to.submission, answer } })
      return
    }
    this.answered(this.#context.instance, job, to.submission, answer)
  }

  /** A link is up: what was handed to that peer goes again, under the same submission. */
  peerConnected (peer: Instance, now: number): void {
    for (const waiting of this.#waiting.values()) {
      if (waiting.sentTo === peer) this.#sendTo(waiting, peer, now)
    }
  }

  /** The members have changed: what was with an entry that is gone is routed anew. */
  membersChanged (now: number): void {
    const view = this.#context.view()
    for (const waiting of this.#waiting.values()) {
      if (waiting.sentTo !== undefined && !isMember(view, waiting.sentTo)) this.#route(waiting, now)
    }
    this.unpark(now)
  }

  /** Looks at the parked jobs again. */
  unpark (now: number): void {
    this.#taking.retryParked(now)
  }

  tick (now: number): void {
    this.unpark(now)
    for (const waiting of this.#waiting.values()) {
      if (now >= waiting.deadline + this.#context.timings.answerGrace) this.#giveUp(waiting)
      else if (waiting.sentTo === undefined && now >= waiting.rerouteAt) this.#route(waiting, now)
    }
    this.#questions.tick(now)
  }

  /** This entry ends, replaced or stopped: callers that still wait are told to ask the others. */
  stopped (): void {
    const detail = 'the entry ended while it had the job: submit the same job id again'
    const answer = answerWithout(AnswerKind.MayHaveRun, Cause.EntryLost, detail, NOT_READY_RETRY_MILLISECONDS)
    for (const waiting of this.#waiting.values()) this.#answerAll(waiting, answer)
    this.#waiting.clear()
    this.#questions.stopped(answer)
    this.#taking.stopped()
  }

  cancel (request: string, job: JobKey, now: number): void {
    this.#questions.cancel(request, job, now)
  }

  lookUp (request: string, job: JobKey, now: number): void {
    this.#questions.lookUp(request, job, now)
  }

  /** A cancel that came from another entry. */
  cancelFor (from: Attachment, job: JobKey, now: number): void {
    this.#questions.cancelFor(from, job, now)
  }

  /** A look-up that came from another entry. */
  lookUpFor (from: Attachment, job: JobKey): void {
    this.#questions.lookUpFor(from, job)
  }

  /** What another entry found for a look-up of this one. */
  lookedUp (submission: string, job: JobKey, state: JobState, answer: Answer | undefined): void {
    this.#questions.lookedUp({ entry: this.#context.instance, submission }, job, state, answer)
  }

  #newTaking (parts: RouterParts): JobIntake {
    const { context, jobs, receipts, takeover, horizon, ready, settling } = parts
    return new JobIntake({
      context,
      jobs,
      receipts,
      takeover,
      holders: this.#holders,
      horizon,
      ready,
      settling,
      reply: (to, job, answer, now) => this.reply(to, job, answer, now),
      dropAbandoned: job => this.#dropAbandoned(this.#waiting.get(job)),
      forward: (job, holder, now) => this.#passOn(job, holder, now)
    })
  }

  #newQuestions ({ context, jobs, ready }: RouterParts): JobQueries {
    return new JobQueries({
      context,
      jobs,
      holders: this.#holders,
      ready,
      unknownNeverRan: job => this.#unknownNeverRan(job),
      newSubmission: () => this.#newSubmission(),
      reply: (to, job, answer, now) => this.reply(to, job, answer, now)
    })
  }

  #newSubmission (): string {
    const submission = String(this.#nextSubmission)
    this.#nextSubmission += 1
    return submission
  }

  #route (waiting: WaitingJob, now: number): void {
    if (this.#dropAbandoned(waiting)) return
    if (!this.#ready()) {
      waiting.rerouteAt = now + REROUTE_MILLISECONDS
      return
    }
    const holder = this.#holders.otherHolder(waiting.job.key)
    if (holder !== undefined) {
      this.#sendTo(waiting, holder, now)
      return
    }
    waiting.sentTo = this.#context.instance
    const job = { ...waiting.job, remainingMilliseconds: waiting.deadline - now }
    this.#taking.submit(job, { entry: this.#context.instance, submission: waiting.submission }, now)
  }

  /** Entries that name each other for a moment, while a view spreads, are not asked ever faster. */
  #routeLater (waiting: WaitingJob, now: number): void {
    waiting.sentTo = undefined
    waiting.rerouteAt = now + REROUTE_MILLISECONDS
  }

  /** Hands a job to another entry. This entry's receipt is the second memory of the job. */
  #sendTo (waiting: WaitingJob, holder: Instance, now: number): void {
    if (this.#dropAbandoned(waiting)) return
    waiting.sentTo = holder
    const job = { ...waiting.job, remainingMilliseconds: Math.max(0, waiting.deadline - now) }
    const sent = this.#context.sendPeer(holder, { case: 'submit', value: { job, submission: waiting.submission } })
    if (!sent) return
    waiting.unresolved.add(holder)
    this.#keepReceipt(job, holder, now)
  }

  #passOn (job: JobKey, holder: Instance, now: number): void {
    const waiting = this.#waiting.get(job)
    if (waiting !== undefined) this.#sendTo(waiting, holder, now)
  }

  /** Passes a job on no more when nobody waits for it; whether that is so. */
  #dropAbandoned (waiting: WaitingJob | undefined): boolean {
    if (waiting === undefined || !isAbandoned(waiting)) return false
    waiting.sentTo = undefined
    return true
  }

  /**
   * A receipt that names an entry which is gone stays: it may have run the job, and the new holder
   * may never get this message. While the new holder lives, it is asked as the owner of the job.
   */
  #keepReceipt (job: Job, holder: Instance, now: number): void {
    const known = this.#receipts.get(job.key)
    if (known !== undefined && !isMember(this.#context.view(), known.executor)) return
    this.#receipts.keep({ job: job.key, digest: job.digest, executor: holder }, now)
  }

  #unknownNeverRan (job: JobKey): boolean {
    return this.#takeover.unknownJobsAreNew && this.#receipts.get(job) === undefined && this.#horizon() === 0
  }

  #deliver (waiting: WaitingJob, from: Instance, answer: Answer): void {
    this.#waiting.delete(waiting.job.key)
    if (isForgotten(answer)) this.#receipts.drop(waiting.job.key, from)
    const doubtful = saysNotRun(answer) && !this.#provablyNotRun(waiting)
    this.#answerAll(waiting, doubtful ? asMayHaveRun(answer, 'an entry that had the job before may have run it') : answer)
  }

  /**
   * An earlier holder that has not answered may have run the job, unless it was removed and every
   * agent has said that it obeys that: "not run" is said only when it is provable.
   */
  #provablyNotRun (waiting: WaitingJob): boolean {
    if (waiting.unresolved.size === 0) return true
    const view = this.#context.view()
    const gone = [...waiting.unresolved].every(entry => !isMember(view, entry))
    return gone && this.#takeover.transfersComplete && this.#takeover.ledgersComplete
  }

  #answerAll (waiting: WaitingJob, answer: Answer): void {
    for (const request of waiting.requests) this.#context.emit({ type: 'answer', request, answer })
  }

  #giveUp (waiting: WaitingJob): void {
    this.#waiting.delete(waiting.job.key)
    this.#answerAll(waiting, ownerUnreachable())
  }
}
