/** Cancels and look-ups. Each is sent to the entry that has the job, and is answered within a bounded time. */
import type { EntryContext } from './entrycontext.ts'
import type { Attachment } from './execution.ts'
import type { Holders } from './holders.ts'
import type { Jobs, Reply } from './jobs.ts'
import type { Answer, Instance, JobKey } from './messages.ts'
import { answerWithoutResults } from './execution.ts'
import { AnswerKind, Cause, JobState } from './messages.ts'

/** How long a cancel or look-up waits for another entry, in milliseconds. */
const QUERY_TIMEOUT_MILLISECONDS = 3000

/** A cancel or look-up in progress. */
interface Query {
  kind: 'cancel' | 'lookUp'
  request: string
  job: JobKey
  expiresAt: number
}

export interface JobQueriesDependencies {
  context: EntryContext
  jobs: Jobs
  holders: Holders
  /** Whether this entry is, or was, a member with a complete memory. Until then no query is processed. */
  ready: () => boolean
  /** Whether a job that no entry has a record of has provably never run. */
  unknownNeverRan: (job: JobKey) => boolean
  newSubmission: () => string
  reply: Reply
}

export class JobQueries {
  readonly #context: EntryContext
  readonly #jobs: Jobs
  readonly #holders: Holders
  readonly #ready: () => boolean
  readonly #unknownNeverRan: (job: JobKey) => boolean
  readonly #newSubmission: () => string
  readonly #reply: Reply
  readonly #queries = new Map<string, Query>()

  constructor (dependencies: JobQueriesDependencies) {
    this.#context = dependencies.context
    this.#jobs = dependencies.jobs
    this.#holders = dependencies.holders
    this.#ready = dependencies.ready
    this.#unknownNeverRan = dependencies.unknownNeverRan
    this.#newSubmission = dependencies.newSubmission
    this.#reply = dependencies.reply
  }

  get size (): number {
    return this.#queries.size
  }

  cancel (request: string, job: JobKey, now: number): void {
    this.#startQuery('cancel', request, job, now)
  }

  lookUp (request: string, job: JobKey, now: number): void {
    this.#startQuery('lookUp', request, job, now)
  }

  /** Delivers an answer if it belongs to a query; returns whether it did. */
  answered (submission: string, answer: Answer): boolean {
    const query = this.#queries.get(submission)
    if (query === undefined) return false
    this.#queries.delete(submission)
    this.#context.emit({ type: 'answer', request: query.request, answer })
    return true
  }

  /** Sends a query on to the entry that another one named; returns whether the submission belongs to a query. */
  redirected (submission: string, holder: Instance): boolean {
    const query = this.#queries.get(submission)
    if (query === undefined) return false
    if (holder !== this.#context.instance) this.#forwardQuery(query, submission, holder)
    return true
  }

  /** Handles a cancel from this entry or another. */
  cancelFor (from: Attachment, job: JobKey, now: number): void {
    const held = this.#jobs.get(job)
    if (held === undefined) {
      this.#cancelUnknown(from, job, now)
      return
    }
    if (held.answer !== undefined) {
      this.#reply(from, job, held.answer, now)
      return
    }
    if (held.orphan) {
      this.#reply(from, job, answerWithoutResults(AnswerKind.MayHaveRun, Cause.EntryLost, 'the entry that had the job was lost'), now)
      return
    }
    held.attach(from)
    this.#jobs.cancel(held, now)
  }

  /** Handles a look-up from this entry or another. */
  lookUpFor (from: Attachment, job: JobKey): void {
    const holder = this.#holders.otherHolder(job)
    if (holder !== undefined && from.entry !== this.#context.instance) {
      this.#holders.redirect(from, job, holder)
      return
    }
    const held = this.#jobs.get(job)
    const state = held === undefined ? JobState.Unknown : this.#jobs.stateOf(held)
    this.lookedUp(from, job, state, held?.answer)
  }

  /** Sends the result of a look-up to the entry that requested it. */
  lookedUp (to: Attachment, job: JobKey, state: JobState, answer: Answer | undefined): void {
    if (to.entry !== this.#context.instance) {
      const value = { job, submission: to.submission, state, ...(answer !== undefined && { answer }) }
      this.#context.sendPeer(to.entry, { case: 'lookedUp', value })
      return
    }
    const query = this.#queries.get(to.submission)
    if (query === undefined) return
    this.#queries.delete(to.submission)
    this.#context.emit({ type: 'lookedUp', request: query.request, state, ...(answer !== undefined && { answer }) })
  }

  tick (now: number): void {
    for (const [submission, query] of this.#queries) {
      if (now >= query.expiresAt) this.#expire(submission, query)
    }
  }

  /** Answers every open query with `answer`, because the entry stops. */
  stopped (answer: Answer): void {
    for (const { request } of this.#queries.values()) this.#context.emit({ type: 'answer', request, answer })
    this.#queries.clear()
  }

  #startQuery (kind: Query['kind'], request: string, job: JobKey, now: number): void {
    const submission = this.#newSubmission()
    const query = { kind, request, job, expiresAt: now + QUERY_TIMEOUT_MILLISECONDS }
    this.#queries.set(submission, query)
    if (!this.#ready()) return
    const holder = this.#holders.otherHolder(job)
    if (holder !== undefined) {
      this.#forwardQuery(query, submission, holder)
      return
    }
    const from = { entry: this.#context.instance, submission }
    if (kind === 'cancel') this.cancelFor(from, job, now)
    else this.lookUpFor(from, job)
  }

  #forwardQuery (query: Query, submission: string, holder: Instance): void {
    this.#context.sendPeer(holder, { case: query.kind, value: { job: query.job, submission } })
  }

  #cancelUnknown (from: Attachment, job: JobKey, now: number): void {
    const holder = this.#holders.otherHolder(job)
    if (holder !== undefined && from.entry !== this.#context.instance) {
      this.#holders.redirect(from, job, holder)
      return
    }
    const kind = this.#unknownNeverRan(job) ? AnswerKind.Refused : AnswerKind.MayHaveRun
    this.#reply(from, job, answerWithoutResults(kind, Cause.Cancelled, 'no such job is known: there is nothing to cancel'), now)
  }

  #expire (submission: string, query: Query): void {
    this.#queries.delete(submission)
    if (query.kind === 'lookUp') {
      this.#context.emit({ type: 'lookedUp', request: query.request, state: JobState.Unknown })
      return
    }
    const answer = answerWithoutResults(AnswerKind.MayHaveRun, Cause.OwnerUnreachable, 'the entry that has the job did not answer')
    this.#context.emit({ type: 'answer', request: query.request, answer })
  }
}
