/**
 * The requests of this entry's callers: each goes to the entry that holds or owns its job, follows
 * the job when entries come and go, and gets one final answer.
 */
import type { EntryContext } from './entrycontext.ts'
import type { Attachment, Execution } from './execution.ts'
import type { Jobs } from './jobs.ts'
import type { Answer, Instance, Job, JobKey } from './messages.ts'
import type { Receipts } from './receipts.ts'
import type { Takeover } from './takeover.ts'
import { NOT_READY_RETRY_MILLISECONDS } from './defaults.ts'
import { answerWithout, isForgotten } from './execution.ts'
import { AnswerKind, Cause, JobState, SubmitStatus } from './messages.ts'
import { ownerOf } from './rendezvous.ts'
import { isMember, liveMembers } from './view.ts'

/** How long a cancel or look-up waits for another entry, in milliseconds. */
const QUESTION_PATIENCE_MILLISECONDS = 3000
/** Pause before a request that found no holder is routed again, in milliseconds. */
const REROUTE_MILLISECONDS = 100

/** A job that callers of this entry wait for. */
interface Waiting {
  job: Job
  submission: string
  requests: Set<string>
  /** The entry it was handed to last; this entry's own name when it is held or parked here. */
  sentTo: Instance | undefined
  /** Entries it was sent to that have not answered: each may have taken it. */
  unresolved: Set<Instance>
  deadline: number
  rerouteAt: number
  redirects: number
}

/** A job id that is taken up when the memory of its range is complete. */
interface Parked {
  job: Job
  from: Attachment
  deadline: number
}

/** A cancel or a look-up on its way. */
interface Question {
  kind: 'cancel' | 'lookUp'
  request: string
  job: JobKey
  expiresAt: number
}

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

/** Nobody waits for the answer any more. */
function isAbandoned (waiting: Waiting): boolean {
  return waiting.requests.size === 0
}

/** A refusal that is not provable. */
function unproved (answer: Answer, reason: string): Answer {
  return { ...answer, kind: AnswerKind.MayHaveRun, detail: `${answer.detail}; ${reason}` }
}

export class Router {
  readonly #context: EntryContext
  readonly #jobs: Jobs
  readonly #receipts: Receipts
  readonly #takeover: Takeover
  readonly #horizon: () => number
  readonly #ready: () => boolean
  readonly #settling: (now: number) => boolean
  readonly #inForce: (now: number) => boolean
  readonly #waiting = new Map<JobKey, Waiting>()
  readonly #questions = new Map<string, Question>()
  #parked: Parked[] = []
  #nextSubmission = 1

  constructor (parts: RouterParts) {
    this.#context = parts.context
    this.#jobs = parts.jobs
    this.#receipts = parts.receipts
    this.#takeover = parts.takeover
    this.#horizon = parts.horizon
    this.#ready = parts.ready
    this.#settling = parts.settling
    this.#inForce = parts.inForce
  }

  get waiting (): number {
    return this.#waiting.size + this.#questions.size
  }

  submit (request: string, job: Job, now: number): void {
    const known = this.#waiting.get(job.key)
    if (known === undefined) {
      const waiting = this.#newWaiting(request, job, now)
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
    this.#take(job, from, now)
  }

  /** The answer of another entry to a request of this one. */
  answered (peer: Instance, job: JobKey, submission: string, answer: Answer): void {
    const question = this.#questions.get(submission)
    if (question !== undefined) {
      this.#questions.delete(submission)
      this.#context.emit({ type: 'answer', request: question.request, answer })
      return
    }
    const waiting = this.#waiting.get(job)
    if (waiting?.submission !== submission) return
    waiting.unresolved.delete(peer)
    this.#deliver(waiting, peer, answer)
  }

  /** Another entry says who holds the job. */
  redirected (peer: Instance, job: JobKey, submission: string, holder: Instance, now: number): void {
    const question = this.#questions.get(submission)
    if (question !== undefined) {
      if (holder !== this.#context.instance) this.#ask(question, submission, holder)
      return
    }
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
    const doubtful = found.kind === AnswerKind.Refused && found.cause !== Cause.IdReused && !this.#inForce(now)
    const answer = doubtful ? unproved(found, 'another entry may have taken the job over') : found
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
    const parked = this.#parked
    this.#parked = []
    for (const { job, from, deadline } of parked) {
      const waiting = from.entry === this.#context.instance ? this.#waiting.get(job.key) : undefined
      if (waiting !== undefined && isAbandoned(waiting)) {
        waiting.sentTo = undefined
        continue
      }
      const remainingMilliseconds = deadline - now
      if (remainingMilliseconds > 0) this.#take({ ...job, remainingMilliseconds }, from, now)
      else this.reply(from, job.key, this.#unreached(), now)
    }
  }

  tick (now: number): void {
    if (this.#parked.length > 0) this.unpark(now)
    for (const waiting of this.#waiting.values()) {
      if (now >= waiting.deadline + this.#context.timings.answerGrace) this.#giveUp(waiting)
      else if (waiting.sentTo === undefined && now >= waiting.rerouteAt) this.#route(waiting, now)
    }
    for (const [submission, question] of this.#questions) {
      if (now >= question.expiresAt) this.#questionExpired(submission, question)
    }
  }

  /** This entry ends, replaced or stopped: callers that still wait are told to ask the others. */
  stopped (): void {
    const detail = 'the entry ended while it had the job: submit the same job id again'
    const answer = answerWithout(AnswerKind.MayHaveRun, Cause.EntryLost, detail, NOT_READY_RETRY_MILLISECONDS)
    for (const waiting of this.#waiting.values()) this.#answerAll(waiting, answer)
    this.#waiting.clear()
    for (const { request } of this.#questions.values()) this.#context.emit({ type: 'answer', request, answer })
    this.#questions.clear()
    this.#parked = []
  }

  cancel (request: string, job: JobKey, now: number): void {
    this.#question('cancel', request, job, now)
  }

  lookUp (request: string, job: JobKey, now: number): void {
    this.#question('lookUp', request, job, now)
  }

  /** A cancel that came from another entry, or from this one. */
  cancelFor (from: Attachment, job: JobKey, now: number): void {
    const held = this.#jobs.get(job)
    if (held === undefined) {
      this.#questionElsewhere(from, job, now)
      return
    }
    if (held.answer !== undefined) {
      this.reply(from, job, held.answer, now)
      return
    }
    if (held.orphan) {
      this.reply(from, job, answerWithout(AnswerKind.MayHaveRun, Cause.EntryLost, 'the entry that had the job was lost'), now)
      return
    }
    held.attach(from)
    this.#jobs.cancel(held, now)
  }

  /** A look-up that came from another entry, or from this one. */
  lookUpFor (from: Attachment, job: JobKey): void {
    const held = this.#jobs.get(job)
    const holder = this.#holderOf(job)
    if (holder !== this.#context.instance && holder !== undefined && from.entry !== this.#context.instance) {
      this.#redirect(from, job, holder)
      return
    }
    const state = held === undefined ? JobState.Unknown : this.#jobs.stateOf(held)
    this.lookedUp(from, job, state, held?.answer)
  }

  lookedUp (to: Attachment, job: JobKey, state: JobState, answer: Answer | undefined): void {
    if (to.entry !== this.#context.instance) {
      const value = { job, submission: to.submission, state, ...(answer !== undefined && { answer }) }
      this.#context.sendPeer(to.entry, { case: 'lookedUp', value })
      return
    }
    const question = this.#questions.get(to.submission)
    if (question === undefined) return
    this.#questions.delete(to.submission)
    this.#context.emit({ type: 'lookedUp', request: question.request, state, ...(answer !== undefined && { answer }) })
  }

  #newWaiting (request: string, job: Job, now: number): Waiting {
    return {
      job,
      submission: this.#newSubmission(),
      requests: new Set([request]),
      sentTo: undefined,
      unresolved: new Set(),
      deadline: now + job.remainingMilliseconds,
      rerouteAt: now,
      redirects: 0
    }
  }

  #newSubmission (): string {
    const submission = String(this.#nextSubmission)
    this.#nextSubmission += 1
    return submission
  }

  #route (waiting: Waiting, now: number): void {
    if (isAbandoned(waiting)) {
      waiting.sentTo = undefined
      return
    }
    if (!this.#ready()) {
      waiting.rerouteAt = now + REROUTE_MILLISECONDS
      return
    }
    const holder = this.#holderOf(waiting.job.key)
    if (holder !== undefined && holder !== this.#context.instance) {
      this.#sendTo(waiting, holder, now)
      return
    }
    waiting.sentTo = this.#context.instance
    const job = { ...waiting.job, remainingMilliseconds: waiting.deadline - now }
    this.#take(job, { entry: this.#context.instance, submission: waiting.submission }, now)
  }

  /** Entries that name each other for a moment, while a view spreads, are not asked ever faster. */
  #routeLater (waiting: Waiting, now: number): void {
    waiting.sentTo = undefined
    waiting.rerouteAt = now + REROUTE_MILLISECONDS
  }

  /** Who has or would have the job, as far as this entry knows. */
  #holderOf (job: JobKey): Instance | undefined {
    const held = this.#jobs.get(job)
    if (held !== undefined && (!held.orphan || held.answer !== undefined)) return this.#context.instance
    const view = this.#context.view()
    const receipt = this.#context.guards.claim ? this.#receipts.get(job) : undefined
    if (receipt !== undefined && isMember(view, receipt.executor)) return receipt.executor
    return ownerOf(job, liveMembers(view))
  }

  /** Hands a job to another entry. This entry's receipt is the second memory of the job. */
  #sendTo (waiting: Waiting, holder: Instance, now: number): void {
    if (isAbandoned(waiting)) {
      waiting.sentTo = undefined
      return
    }
    waiting.sentTo = holder
    const job = { ...waiting.job, remainingMilliseconds: Math.max(0, waiting.deadline - now) }
    const sent = this.#context.sendPeer(holder, { case: 'submit', value: { job, submission: waiting.submission } })
    if (!sent) return
    waiting.unresolved.add(holder)
    this.#keepReceipt(job, holder, now)
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

  #take (job: Job, from: Attachment, now: number): void {
    const refusal = this.#jobs.earlierRefusal(from)
    if (refusal !== undefined) {
      this.reply(from, job.key, refusal, now)
      return
    }
    if (!this.#ready()) {
      this.#park(job, from, now)
      return
    }
    const holder = this.#holderOf(job.key)
    if (holder !== undefined && holder !== this.#context.instance) {
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
      this.reply(from, job.key, answerWithout(AnswerKind.MayHaveRun, Cause.BeforeHorizon, detail), now)
      return
    }
    if (this.#settling(now) && !this.#jobs.admits(job, now)) {
      this.#park(job, from, now)
      return
    }
    this.#jobs.accept(job, from, forgotten, now)
  }

  /** What a lost entry had is taken up only when every agent has told what it started, or is given up. */
  #attach (held: Execution, job: Job, from: Attachment, now: number): void {
    const told = this.#takeover.transfersComplete && this.#takeover.recallEnded
    if (held.orphan && held.answer === undefined && this.#context.guards.takeover && !told) this.#park(job, from, now)
    else this.#jobs.attach(held, job, from, this.#takeover.ledgersComplete && !this.#outlived(job), now)
  }

  /** Whether the job is older than what anybody remembers: then no ledger need name it. */
  #outlived (job: Job): boolean {
    return job.lodgedAt !== 0 && job.lodgedAt < this.#context.wallClock() - this.#context.timings.retention
  }

  #park (job: Job, from: Attachment, now: number): void {
    const known = this.#parked.some(parked => parked.from.entry === from.entry && parked.from.submission === from.submission)
    if (!known) this.#parked.push({ job, from, deadline: now + job.remainingMilliseconds })
  }

  #elsewhere (job: Job, from: Attachment, holder: Instance, now: number): void {
    if (from.entry !== this.#context.instance) {
      this.#redirect(from, job.key, holder)
      return
    }
    const waiting = this.#waiting.get(job.key)
    if (waiting !== undefined) this.#sendTo(waiting, holder, now)
  }

  #redirect (from: Attachment, job: JobKey, holder: Instance): void {
    const value = { job, submission: from.submission, status: SubmitStatus.HeldElsewhere, holder }
    this.#context.sendPeer(from.entry, { case: 'submitted', value })
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

  #deliver (waiting: Waiting, from: Instance, answer: Answer): void {
    this.#waiting.delete(waiting.job.key)
    const refused = answer.kind === AnswerKind.Refused && answer.cause !== Cause.IdReused
    if (isForgotten(answer)) this.#receipts.drop(waiting.job.key, from)
    const doubtful = refused && !this.#provablyNotRun(waiting)
    this.#answerAll(waiting, doubtful ? unproved(answer, 'an entry that had the job before may have run it') : answer)
  }

  /**
   * An earlier holder that has not answered may have run the job, unless it was removed and every
   * agent has said that it obeys that: "not run" is said only when it is provable.
   */
  #provablyNotRun (waiting: Waiting): boolean {
    if (waiting.unresolved.size === 0) return true
    const view = this.#context.view()
    const gone = [...waiting.unresolved].every(entry => !isMember(view, entry))
    return gone && this.#takeover.transfersComplete && this.#takeover.ledgersComplete
  }

  #answerAll (waiting: Waiting, answer: Answer): void {
    for (const request of waiting.requests) this.#context.emit({ type: 'answer', request, answer })
  }

  #giveUp (waiting: Waiting): void {
    this.#waiting.delete(waiting.job.key)
    this.#answerAll(waiting, this.#unreached())
  }

  /**
   * The entry that owns the job was not reached in time. This request started nothing, but an
   * earlier submission of the same id, through another entry, may have: "not run" would be a guess.
   */
  #unreached (): Answer {
    const detail = 'the entry that owns this job id could not be reached: submit the same job id again later'
    return answerWithout(AnswerKind.MayHaveRun, Cause.OwnerUnreachable, detail, NOT_READY_RETRY_MILLISECONDS)
  }

  #question (kind: Question['kind'], request: string, job: JobKey, now: number): void {
    const submission = this.#newSubmission()
    const question = { kind, request, job, expiresAt: now + QUESTION_PATIENCE_MILLISECONDS }
    this.#questions.set(submission, question)
    if (!this.#ready()) return
    const holder = this.#holderOf(job)
    if (holder !== undefined && holder !== this.#context.instance) {
      this.#ask(question, submission, holder)
      return
    }
    const from = { entry: this.#context.instance, submission }
    if (kind === 'cancel') this.cancelFor(from, job, now)
    else this.lookUpFor(from, job)
  }

  #ask (question: Question, submission: string, holder: Instance): void {
    this.#context.sendPeer(holder, { case: question.kind, value: { job: question.job, submission } })
  }

  #questionElsewhere (from: Attachment, job: JobKey, now: number): void {
    const holder = this.#holderOf(job)
    if (holder !== undefined && holder !== this.#context.instance && from.entry !== this.#context.instance) {
      this.#redirect(from, job, holder)
      return
    }
    const remembered = this.#takeover.unknownIsNew && this.#receipts.get(job) === undefined && this.#horizon() === 0
    const kind = remembered ? AnswerKind.Refused : AnswerKind.MayHaveRun
    this.reply(from, job, answerWithout(kind, Cause.Cancelled, 'no such job is known: there is nothing to cancel'), now)
  }

  #questionExpired (submission: string, question: Question): void {
    this.#questions.delete(submission)
    if (question.kind === 'lookUp') {
      this.#context.emit({ type: 'lookedUp', request: question.request, state: JobState.Unknown })
      return
    }
    const answer = answerWithout(AnswerKind.MayHaveRun, Cause.OwnerUnreachable, 'the entry that has the job did not answer')
    this.#context.emit({ type: 'answer', request: question.request, answer })
  }
}
