/** Cancels and look-ups: each goes to the entry that has the job, and is answered within a bounded time. */
import type { EntryContext } from './entrycontext.ts'
import type { Attachment } from './execution.ts'
import type { Holders } from './holders.ts'
import type { Jobs, Reply } from './jobs.ts'
import type { Answer, Instance, JobKey } from './messages.ts'
import { answerWithoutResults } from './execution.ts'
import { AnswerKind, Cause, JobState } from './messages.ts'

/** How long a cancel or look-up waits for another entry, in milliseconds. */
const QUESTION_PATIENCE_MILLISECONDS = 3000

/** A cancel or a look-up on its way. */
interface Question {
  kind: 'cancel' | 'lookUp'
  request: string
  job: JobKey
  expiresAt: number
}

export interface QuestionsParts {
  context: EntryContext
  jobs: Jobs
  holders: Holders
  /** Whether this entry is, or was, a member with a complete memory: until then it says nothing. */
  ready: () => boolean
  /** Whether a job that nobody knows of has provably never run. */
  unknownNeverRan: (job: JobKey) => boolean
  newSubmission: () => string
  reply: Reply
}

export class Questions {
  readonly #context: EntryContext
  readonly #jobs: Jobs
  readonly #holders: Holders
  readonly #ready: () => boolean
  readonly #unknownNeverRan: (job: JobKey) => boolean
  readonly #newSubmission: () => string
  readonly #reply: Reply
  readonly #questions = new Map<string, Question>()

  constructor (parts: QuestionsParts) {
    this.#context = parts.context
    this.#jobs = parts.jobs
    this.#holders = parts.holders
    this.#ready = parts.ready
    this.#unknownNeverRan = parts.unknownNeverRan
    this.#newSubmission = parts.newSubmission
    this.#reply = parts.reply
  }

  get size (): number {
    return this.#questions.size
  }

  cancel (request: string, job: JobKey, now: number): void {
    this.#question('cancel', request, job, now)
  }

  lookUp (request: string, job: JobKey, now: number): void {
    this.#question('lookUp', request, job, now)
  }

  /** Takes an answer in if it is to a question; whether it was. */
  answered (submission: string, answer: Answer): boolean {
    const question = this.#questions.get(submission)
    if (question === undefined) return false
    this.#questions.delete(submission)
    this.#context.emit({ type: 'answer', request: question.request, answer })
    return true
  }

  /** Asks the entry that another one names, if it was asked a question; whether it was. */
  redirected (submission: string, holder: Instance): boolean {
    const question = this.#questions.get(submission)
    if (question === undefined) return false
    if (holder !== this.#context.instance) this.#ask(question, submission, holder)
    return true
  }

  /** A cancel that came from another entry, or from this one. */
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

  /** A look-up that came from another entry, or from this one. */
  lookUpFor (from: Attachment, job: JobKey): void {
    const holder = this.#holders.elsewhere(job)
    if (holder !== undefined && from.entry !== this.#context.instance) {
      this.#holders.redirect(from, job, holder)
      return
    }
    const held = this.#jobs.get(job)
    const state = held === undefined ? JobState.Unknown : this.#jobs.stateOf(held)
    this.lookedUp(from, job, state, held?.answer)
  }

  /** Gives what a look-up found to the entry that asked. */
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

  tick (now: number): void {
    for (const [submission, question] of this.#questions) {
      if (now >= question.expiresAt) this.#expired(submission, question)
    }
  }

  /** Gives every question this answer: the entry ends. */
  stopped (answer: Answer): void {
    for (const { request } of this.#questions.values()) this.#context.emit({ type: 'answer', request, answer })
    this.#questions.clear()
  }

  #question (kind: Question['kind'], request: string, job: JobKey, now: number): void {
    const submission = this.#newSubmission()
    const question = { kind, request, job, expiresAt: now + QUESTION_PATIENCE_MILLISECONDS }
    this.#questions.set(submission, question)
    if (!this.#ready()) return
    const holder = this.#holders.elsewhere(job)
    if (holder !== undefined) {
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

  #cancelUnknown (from: Attachment, job: JobKey, now: number): void {
    const holder = this.#holders.elsewhere(job)
    if (holder !== undefined && from.entry !== this.#context.instance) {
      this.#holders.redirect(from, job, holder)
      return
    }
    const kind = this.#unknownNeverRan(job) ? AnswerKind.Refused : AnswerKind.MayHaveRun
    this.#reply(from, job, answerWithoutResults(kind, Cause.Cancelled, 'no such job is known: there is nothing to cancel'), now)
  }

  #expired (submission: string, question: Question): void {
    this.#questions.delete(submission)
    if (question.kind === 'lookUp') {
      this.#context.emit({ type: 'lookedUp', request: question.request, state: JobState.Unknown })
      return
    }
    const answer = answerWithoutResults(AnswerKind.MayHaveRun, Cause.OwnerUnreachable, 'the entry that has the job did not answer')
    this.#context.emit({ type: 'answer', request: question.request, answer })
  }
}
