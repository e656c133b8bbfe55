/**
 * Routes the requests of this entry's callers. Each request goes to the entry that holds or owns its job,
 * is routed again when entries join or leave, and gets one final answer.
 */
import type { EntryContext } from './entrycontext.ts'
import type { Attachment } from './execution.ts'
import type { Jobs } from './jobs.ts'
import type { Answer, Instance, Job, JobKey, JobState } from './messages.ts'
import type { Receipts } from './receipts.ts'
import type { Takeover } from './takeover.ts'
import type { WaitingJob } from './waitingjob.ts'
import { NOT_READY_RETRY_MILLISECONDS } from './defaults.ts'
import { answerWithoutResults, releasesJobId } from './execution.ts'
import { Holders } from './holders.ts'
import { AnswerKind, Cause } from './messages.ts'
import { JobQueries } from './jobqueries.ts'
import { JobIntake } from './jobintake.ts'
import { saysNotRun, asMayHaveRun, ownerUnreachable } from './uncertainanswers.ts'
import { isMember } from './view.ts'
import { isAbandoned, newWaitingJob } from './waitingjob.ts'

/** Delay before a request without a reachable holder is routed again, in milliseconds. */
const REROUTE_DELAY_MILLISECONDS = 100

/** The components of the entry that the router uses, and the state that it reads from the entry. */
export interface RouterDependencies {
  context: EntryContext
  jobs: Jobs
  receipts: Receipts
  takeover: Takeover
  /**
   * Start of the period for which the memory of job ids is complete, in milliseconds since 1970; 0 when it
   * always was.
   */
  horizon: () => number
  /**
   * Whether this entry is, or was, a member with a complete memory of its job ids. Requests are held back
   * until then.
   */
  ready: () => boolean
  /**
   * Whether this entry has joined so recently that its agents and its configuration may not have arrived
   * yet.
   */
  settling: (now: number) => boolean
  /**
   * Whether no other entry can have taken over the job ids of this one. Only then may an answer state that
   * the job did not run.
   */
  inForce: (now: number) => boolean
}

/** Tracks the open requests of one entry and the entry to which each was sent. */
export class Router {
  readonly #context: EntryContext
  readonly #receipts: Receipts
  readonly #takeover: Takeover
  readonly #horizon: () => number
  readonly #ready: () => boolean
  readonly #inForce: (now: number) => boolean
  readonly #holders: Holders
  readonly #intake: JobIntake
  readonly #queries: JobQueries
  readonly #waiting = new Map<JobKey, WaitingJob>()
  #nextSubmission = 1

  constructor (dependencies: RouterDependencies) {
    this.#context = dependencies.context
    this.#receipts = dependencies.receipts
    this.#takeover = dependencies.takeover
    this.#horizon = dependencies.horizon
    this.#ready = dependencies.ready
    this.#inForce = dependencies.inForce
    this.#holders = new Holders(dependencies.context, dependencies.jobs, dependencies.receipts)
    this.#intake = this.#createIntake(dependencies)
    this.#queries = this.#createQueries(dependencies)
  }

  get waiting (): number {
    return this.#waiting.size + this.#queries.size
  }

  submit (request: string, job: Job, now: number): void {
    const known = this.#waiting.get(job.key)
    if (known === undefined) {
      const waiting = newWaitingJob(this.#createSubmissionId(), request, job, now)
      this.#waiting.set(job.key, waiting)
      this.#route(waiting, now)
      return
    }
    if (known.job.digest === job.digest) {
      known.requests.add(request)
      return
    }
    const answer = answerWithoutResults(AnswerKind.Refused, Cause.IdReused, 'this job id is in use with other content: use a new id')
    this.#context.emit({ type: 'answer', request, answer })
  }

  /**
   * Drops the request of a caller that disconnected. A job that is already held continues, since the caller
   * may ask for the answer later. A job that still waits here for an unreachable entry is not forwarded any
   * more: the caller may have submitted it elsewhere, received the answer that it did not run, and
   * abandoned it. Running it afterwards would make that answer false.
   */
  callerGone (request: string): void {
    for (const waiting of this.#waiting.values()) waiting.requests.delete(request)
  }

  /** Handles a job that another entry forwarded to this one. */
  forwarded (job: Job, from: Attachment, now: number): void {
    this.#intake.submit(job, from, now)
  }

  /** Handles an answer, from this entry or another, to a request of this entry. */
  answered (peer: Instance, job: JobKey, submission: string, answer: Answer): void {
    if (this.#queries.answered(submission, answer)) return
    const waiting = this.#waiting.get(job)
    if (waiting?.submission !== submission) return
    waiting.unresolved.delete(peer)
    this.#deliver(waiting, peer, answer)
  }

  /** Handles a redirect: another entry names the holder of the job. */
  redirected (peer: Instance, job: JobKey, submission: string, holder: Instance, now: number): void {
    if (this.#queries.redirected(submission, holder)) return
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

  /**
   * Sends an answer to a request of this entry or of another entry. "Not run" is sent only while this entry
   * is certain that no other one has taken the job over.
   */
  reply (to: Attachment, job: JobKey, found: Answer, now: number): void {
    const unproven = saysNotRun(found) && !this.#inForce(now)
    const answer = unproven ? asMayHaveRun(found, 'another entry may have taken the job over') : found
    if (to.entry !== this.#context.instance) {
      this.#context.sendPeer(to.entry, { case: 'answer', value: { job, submission: to.submission, answer } })
      return
    }
    this.answered(this.#context.instance, job, to.submission, answer)
  }

  /** Sends requests again to a peer whose link was re-established, under the same submission id. */
  peerConnected (peer: Instance, now: number): void {
    for (const waiting of this.#waiting.values()) {
      if (waiting.sentTo === peer) this.#sendTo(waiting, peer, now)
    }
  }

  /** Routes requests again whose entry is no longer a member. */
  membersChanged (now: number): void {
    const view = this.#context.view()
    for (const waiting of this.#waiting.values()) {
      if (waiting.sentTo !== undefined && !isMember(view, waiting.sentTo)) this.#route(waiting, now)
    }
    this.retryParked(now)
  }

  /** Retries the jobs that could not be accepted or forwarded yet. */
  retryParked (now: number): void {
    this.#intake.retryParked(now)
  }

  tick (now: number): void {
    this.retryParked(now)
    for (const waiting of this.#waiting.values()) {
      if (now >= waiting.deadline + this.#context.timings.answerGrace) this.#timeOut(waiting)
      else if (waiting.sentTo === undefined && now >= waiting.rerouteAt) this.#route(waiting, now)
    }
    this.#queries.tick(now)
  }

  /**
   * Ends all requests because this entry stops or is replaced. Waiting callers are asked to submit the same
   * job id to another entry.
   */
  stopped (): void {
    const detail = 'the entry ended while it had the job: submit the same job id again'
    const answer = answerWithoutResults(AnswerKind.MayHaveRun, Cause.EntryLost, detail, NOT_READY_RETRY_MILLISECONDS)
    for (const waiting of this.#waiting.values()) this.#answerAll(waiting, answer)
    this.#waiting.clear()
    this.#queries.stopped(answer)
    this.#intake.stopped()
  }

  cancel (request: string, job: JobKey, now: number): void {
    this.#queries.cancel(request, job, now)
  }

  lookUp (request: string, job: JobKey, now: number): void {
    this.#queries.lookUp(request, job, now)
  }

  /** Handles a cancellation forwarded by another entry. */
  cancelFor (from: Attachment, job: JobKey, now: number): void {
    this.#queries.cancelFor(from, job, now)
  }

  /** Handles a look-up forwarded by another entry. */
  lookUpFor (from: Attachment, job: JobKey): void {
    this.#queries.lookUpFor(from, job)
  }

  /** Handles another entry's result of a look-up from this entry. */
  lookedUp (submission: string, job: JobKey, state: JobState, answer: Answer | undefined): void {
    this.#queries.lookedUp({ entry: this.#context.instance, submission }, job, state, answer)
  }

  #createIntake (dependencies: RouterDependencies): JobIntake {
    const { context, jobs, receipts, takeover, horizon, ready, settling } = dependencies
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
      forward: (job, holder, now) => this.#forward(job, holder, now)
    })
  }

  #createQueries ({ context, jobs, ready }: RouterDependencies): JobQueries {
    return new JobQueries({
      context,
      jobs,
      holders: this.#holders,
      ready,
      unknownNeverRan: job => this.#unknownNeverRan(job),
      newSubmission: () => this.#createSubmissionId(),
      reply: (to, job, answer, now) => this.reply(to, job, answer, now)
    })
  }

  #createSubmissionId (): string {
    const submission = String(this.#nextSubmission)
    this.#nextSubmission += 1
    return submission
  }

  #route (waiting: WaitingJob, now: number): void {
    if (this.#dropAbandoned(waiting)) return
    if (!this.#ready()) {
      waiting.rerouteAt = now + REROUTE_DELAY_MILLISECONDS
      return
    }
    const holder = this.#holders.otherHolder(waiting.job.key)
    if (holder !== undefined) {
      this.#sendTo(waiting, holder, now)
      return
    }
    waiting.sentTo = this.#context.instance
    const job = { ...waiting.job, remainingMilliseconds: waiting.deadline - now }
    this.#intake.submit(job, { entry: this.#context.instance, submission: waiting.submission }, now)
  }

  /**
   * Schedules the request for routing after a delay. While a new view spreads, two entries may name each
   * other as the holder; the delay keeps them from redirecting in a tight loop.
   */
  #routeLater (waiting: WaitingJob, now: number): void {
    waiting.sentTo = undefined
    waiting.rerouteAt = now + REROUTE_DELAY_MILLISECONDS
  }

  /** Sends a job to another entry. The receipt kept here is the second record of the job. */
  #sendTo (waiting: WaitingJob, holder: Instance, now: number): void {
    if (this.#dropAbandoned(waiting)) return
    waiting.sentTo = holder
    const job = { ...waiting.job, remainingMilliseconds: Math.max(0, waiting.deadline - now) }
    const sent = this.#context.sendPeer(holder, { case: 'submit', value: { job, submission: waiting.submission } })
    if (!sent) return
    waiting.unresolved.add(holder)
    this.#keepReceipt(job, holder, now)
  }

  #forward (job: JobKey, holder: Instance, now: number): void {
    const waiting = this.#waiting.get(job)
    if (waiting !== undefined) this.#sendTo(waiting, holder, now)
  }

  /** Stops forwarding a job that no caller waits for; returns whether that applies. */
  #dropAbandoned (waiting: WaitingJob | undefined): boolean {
    if (waiting === undefined || !isAbandoned(waiting)) return false
    waiting.sentTo = undefined
    return true
  }

  /**
   * Records which entry received the job. A receipt that names a removed entry is kept instead: that entry
   * may have run the job, and the new holder may never receive this message. While the new holder is a
   * member, requests reach it as the owner of the job.
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
    if (releasesJobId(answer)) this.#receipts.drop(waiting.job.key, from)
    const unproven = saysNotRun(answer) && !this.#provablyNotRun(waiting)
    this.#answerAll(waiting, unproven ? asMayHaveRun(answer, 'an entry that had the job before may have run it') : answer)
  }

  /**
   * Whether an answer "not run" is proven. An earlier holder that has not answered may have run the job,
   * unless it was removed from the view and every agent has confirmed that removal.
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

  #timeOut (waiting: WaitingJob): void {
    this.#waiting.delete(waiting.job.key)
    this.#answerAll(waiting, ownerUnreachable())
  }
}
