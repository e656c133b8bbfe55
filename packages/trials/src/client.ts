/**
 * A caller that a trial directs: it sends each submission through a named entry, and keeps every
 * answer for the audit.
 */
import type { AnswerBody, Attempt, JobRecord, JobSubmission } from '@amaranthmast/standins/records'
import { Agent, request } from 'undici'

import { SUBMISSION_TIMEOUT } from './defaults.ts'
import { TENANT } from './jobs.ts'

/** Where a job stands, as a look-up tells it. */
export interface LookUp {
  state: string
  answer?: AnswerBody
}

/** Sends submissions where it is told. */
export class DirectedCaller {
  readonly #dispatcher = new Agent({ headersTimeout: 0, bodyTimeout: 0 })
  readonly #records: JobRecord[] = []

  /** Every job so far. */
  get records (): readonly JobRecord[] {
    return this.#records
  }

  /** Takes a job up; nothing is sent yet. */
  lodge (submission: JobSubmission): JobRecord {
    const record: JobRecord = { submission, submittedAt: Date.now(), attempts: [] }
    this.#records.push(record)
    return record
  }

  /** Sends the job through an entry. The latest answer counts as final. Never rejects. */
  async send (record: JobRecord, entry: string, signal = AbortSignal.timeout(SUBMISSION_TIMEOUT)): Promise<Attempt> {
    const attempt: Attempt = { entry, submittedAt: Date.now(), endedAt: 0 }
    record.attempts.push(attempt)
    try {
      const body = JSON.stringify(record.submission)
      const headers = { 'content-type': 'application/json' }
      const response = await request(`${entry}/v1/jobs`, { method: 'POST', headers, body, dispatcher: this.#dispatcher, signal })
      attempt.answer = await response.body.json() as AnswerBody
      attempt.status = response.statusCode
      record.final = attempt.answer
    } catch (error) {
      attempt.failure = (error as { code?: string }).code ?? String(error)
    }
    attempt.endedAt = Date.now()
    return attempt
  }

  /** Cancels a job through an entry. */
  async cancel (record: JobRecord, entry: string): Promise<AnswerBody> {
    const url = `${entry}/v1/jobs/${TENANT}/${record.submission.job}`
    const response = await request(url, { method: 'DELETE', dispatcher: this.#dispatcher })
    return await response.body.json() as AnswerBody
  }

  /** Asks an entry where a job stands. */
  async lookUp (record: JobRecord, entry: string): Promise<LookUp> {
    const url = `${entry}/v1/jobs/${TENANT}/${record.submission.job}`
    const response = await request(url, { dispatcher: this.#dispatcher })
    return await response.body.json() as LookUp
  }

  /** Breaks every open connection. */
  close (): Promise<void> {
    return this.#dispatcher.destroy()
  }
}

/** Kind of the answer to an attempt, or that there was none. */
export function kindOf (attempt: Attempt | undefined): string {
  return attempt?.answer?.kind ?? 'no answer'
}
