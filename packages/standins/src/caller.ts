/**
 * Stand-in for a caller of the platform. It submits jobs through the balancer. When a submission
 * fails or gets no answer in time, it submits the same job unchanged through another entry. It keeps
 * every answer that it received.
 */
import { setTimeout as delay } from 'node:timers/promises'

import { Agent, request } from 'undici'

import { Balancer } from './balancer.ts'
import {
  CALLER_CONNECTIONS, JOB_TIMEOUT, MAX_RETRY_AFTER, MAX_REFUSALS, RESUBMIT_DELAY, SUBMISSION_TIMEOUT
} from './defaults.ts'
import type { AnswerBody, Attempt, JobRecord, JobSubmission } from './records.ts'
import { AnswerKind } from './records.ts'

/** Options of a {@link Caller}. Times are in milliseconds. */
export interface CallerOptions {
  /** Base URLs of the entries, without a final slash. */
  entries: readonly string[]
  /** Time after which a submission without an answer fails. @default 10000 */
  submissionTimeout?: number
  /** Time from the first submission after which a job is abandoned. @default 40000 */
  giveUp?: number
  /** Number of refusals of one job after which a refusal is final, even with a time to retry. @default 8 */
  maxRefusals?: number
}

const ANSWER_KINDS: ReadonlySet<unknown> = new Set(Object.values(AnswerKind))

/** Submits jobs and records the submissions and the final answer of each. */
export class Caller {
  readonly #options: Required<CallerOptions>
  readonly #dispatcher = new Agent({ connections: CALLER_CONNECTIONS, headersTimeout: 0, bodyTimeout: 0 })
  readonly #balancer: Balancer
  readonly #records: JobRecord[] = []

  constructor (options: CallerOptions) {
    this.#options = {
      submissionTimeout: SUBMISSION_TIMEOUT,
      giveUp: JOB_TIMEOUT,
      maxRefusals: MAX_REFUSALS,
      ...options
    }
    this.#balancer = new Balancer(options.entries, this.#dispatcher)
  }

  /** Starts the balancer. Resolves after its first round of readiness checks. */
  start (): Promise<void> {
    return this.#balancer.start()
  }

  /** Stops the balancer and closes open connections. */
  async close (): Promise<void> {
    this.#balancer.stop()
    await this.#dispatcher.destroy()
  }

  /** Entries that are currently ready. */
  readyEntries (): string[] {
    return this.#balancer.ready()
  }

  /** All jobs in order of submission. */
  records (): readonly JobRecord[] {
    return this.#records
  }

  /** Submits a job until it has a final answer or is abandoned. Never rejects. */
  async submit (submission: JobSubmission): Promise<JobRecord> {
    const record: JobRecord = { submission, submittedAt: Date.now(), attempts: [] }
    this.#records.push(record)
    const body = JSON.stringify(submission)
    const timeoutAt = record.submittedAt + this.#options.giveUp
    while (Date.now() < timeoutAt) {
      const attempt = await this.#attempt(record, body, timeoutAt)
      const retryDelay = attempt === undefined ? RESUBMIT_DELAY : this.#retryDelay(record, attempt)
      if (retryDelay === undefined) break
      await delay(retryDelay)
    }
    return record
  }

  /** Submits a job once, through the next ready entry. Resolves to undefined when none is ready. */
  async #attempt (record: JobRecord, body: string, giveUpAt: number): Promise<Attempt | undefined> {
    const entry = this.#balancer.next(record.attempts.at(-1)?.entry)
    if (entry === undefined) return undefined
    const attempt: Attempt = { entry, submittedAt: Date.now(), endedAt: 0 }
    record.attempts.push(attempt)
    const timeout = Math.min(this.#options.submissionTimeout, Math.max(1, giveUpAt - attempt.submittedAt))
    try {
      await this.#post(attempt, body, timeout)
    } catch (error) {
      attempt.failure = describeFailure(error)
      if (attempt.failure === 'ECONNREFUSED') this.#balancer.drop(entry)
    }
    attempt.endedAt = Date.now()
    return attempt
  }

  async #post (attempt: Attempt, body: string, timeout: number): Promise<void> {
    const response = await request(`${attempt.entry}/v1/jobs`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body,
      dispatcher: this.#dispatcher,
      signal: AbortSignal.timeout(timeout)
    })
    const answer = await response.body.json() as Partial<AnswerBody> | null
    attempt.status = response.statusCode
    if (!ANSWER_KINDS.has(answer?.kind)) {
      attempt.failure = `status ${response.statusCode} with a body that is no answer`
      return
    }
    attempt.answer = withRetryAfter(answer as AnswerBody, response.headers['retry-after'])
  }

  /** Milliseconds to wait before the job is submitted again; undefined when the answer is final. */
  #retryDelay (record: JobRecord, attempt: Attempt): number | undefined {
    const { answer } = attempt
    if (answer === undefined) return RESUBMIT_DELAY
    const retryAfter = answer.retryAfterMilliseconds ?? 0
    const refusals = record.attempts.filter(earlier => earlier.answer?.kind === AnswerKind.Refused).length
    if (answer.kind === AnswerKind.Refused && retryAfter > 0 && refusals < this.#options.maxRefusals) {
      return Math.min(retryAfter, MAX_RETRY_AFTER)
    }
    record.final = answer
    record.finishedAt = attempt.endedAt
    return undefined
  }
}

/** Adds the time to retry from the header. The value in the body takes precedence, because the header has whole seconds only. */
function withRetryAfter (answer: AnswerBody, header: string | string[] | undefined): AnswerBody {
  if (answer.retryAfterMilliseconds !== undefined || typeof header !== 'string') return answer
  return { ...answer, retryAfterMilliseconds: Number(header) * 1000 }
}

function describeFailure (error: unknown): string {
  const { code, name, message } = error as { code?: unknown, name?: string, message?: string }
  if (typeof code === 'string') return code
  return name ?? message ?? 'unknown failure'
}
