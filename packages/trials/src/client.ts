/**
 * A caller for trials: each submission goes through an entry that the test chooses, and every answer is
 * recorded for the audit.
 */
import type { AnswerBody, Attempt, JobRecord, JobSubmission } from '@amaranthmast/standins/records'
import { Agent, request } from 'undici'

import { SUBMISSION_TIMEOUT } from './defaults.ts'
import { TENANT } from './jobs.ts'

/** Response to a status request for a job. */
export interface JobStatus {
  state: string
  answer?: AnswerBody
}

/** Sends submissions through given entries and records every attempt. */
export class DirectedCaller {
  readonly #dispatcher = new Agent({ headersTimeout: 0, bodyTimeout: 0 })
  readonly #records: JobRecord[] = []

  /** Every job added so far. */
  get records (): readonly JobRecord[] {
    return this.#records
  }

  /** Adds a job to the records without sending it. */
  addJob (submission: JobSubmission): JobRecord {
    const record: JobRecord = { submission, submittedAt: Date.now(), attempts: [] }
    this.#records.push(record)
    return record
  }

  /** Submits the job through an entry. The latest answer is the final one. Never rejects: errors are recorded in the attempt. */
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

  /** Requests the status of a job from an entry. */
  async lookUp (record: JobRecord, entry: string): Promise<JobStatus> {
    const url = `${entry}/v1/jobs/${TENANT}/${record.submission.job}`
    const response = await request(url, { dispatcher: this.#dispatcher })
    return await response.body.json() as JobStatus
  }

  /** Closes all open connections at once; submissions in progress fail. */
  close (): Promise<void> {
    return this.#dispatcher.destroy()
  }
}

/** The kind of the answer to an attempt, or `no answer`. */
export function answerKind (attempt: Attempt | undefined): string {
  return attempt?.answer?.kind ?? 'no answer'
}
