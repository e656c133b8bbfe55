/** Answered jobs, kept for callers that ask again: for the retention time, with results up to a limit in bytes. */
import type { Execution } from './execution.ts'
import type { Answer, JobKey } from './messages.ts'
import { answerWithoutResults } from './execution.ts'
import { AnswerKind, Cause } from './messages.ts'

export interface AnsweredJobsLimits {
  /** In milliseconds. */
  retention: number
  /** Maximum bytes of results held. */
  answerBytes: number
}

function bytesOf (answer: Answer): number {
  let bytes = 0
  for (const result of answer.results) bytes += result.byteLength
  return bytes
}

export class AnsweredJobs {
  readonly #limits: AnsweredJobsLimits
  /** Oldest first. */
  readonly #answered = new Map<JobKey, Execution>()
  #bytes = 0

  constructor (limits: AnsweredJobsLimits) {
    this.#limits = limits
  }

  /** Closes a job with its answer. Drops the results of the oldest jobs when the total exceeds the limit. */
  keep (execution: Execution, answer: Answer, now: number): void {
    execution.close(answer, now)
    this.#answered.set(execution.key, execution)
    this.#bytes += bytesOf(answer)
    for (const oldest of this.#answered.values()) {
      if (this.#bytes <= this.#limits.answerBytes || oldest === execution) return
      this.#dropResults(oldest)
    }
  }

  /** Removes an answered job. */
  forget (execution: Execution): void {
    this.#answered.delete(execution.key)
    if (execution.answer !== undefined) this.#bytes -= bytesOf(execution.answer)
  }

  /** Removes and returns the jobs whose retention time has passed. */
  expire (now: number): Execution[] {
    const expired: Execution[] = []
    for (const execution of this.#answered.values()) {
      if (now - execution.answeredAt <= this.#limits.retention) break
      this.forget(execution)
      expired.push(execution)
    }
    return expired
  }

  /** Replaces a complete answer by one that states that the job ran, without its results. */
  #dropResults (execution: Execution): void {
    const answer = execution.answer as Answer
    this.#bytes -= bytesOf(answer)
    if (answer.kind !== AnswerKind.Complete) return
    execution.answer = answerWithoutResults(AnswerKind.Failed, Cause.ResultsExpired, 'the job was answered before; its results are no longer held')
  }
}
