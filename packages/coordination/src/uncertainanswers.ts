/** Answers "may have run" for cases in which "not run" cannot be proved. */
import type { Answer } from './messages.ts'
import { NOT_READY_RETRY_MILLISECONDS } from './defaults.ts'
import { answerWithoutResults } from './execution.ts'
import { AnswerKind, Cause } from './messages.ts'

/** Whether the answer states that no submission of the job has run, which requires proof. */
export function saysNotRun (answer: Answer): boolean {
  return answer.kind === AnswerKind.Refused && answer.cause !== Cause.IdReused
}

/** Converts a refusal that cannot be proved to an answer that the job may have run. */
export function asMayHaveRun (answer: Answer, reason: string): Answer {
  return { ...answer, kind: AnswerKind.MayHaveRun, detail: `${answer.detail}; ${reason}` }
}

/**
 * Answer for a job whose owner was not reached in time. This request started nothing, but an earlier submission of the
 * same id through another entry may have, so "not run" cannot be proved.
 */
export function ownerUnreachable (): Answer {
  const detail = 'the entry that owns this job id could not be reached: submit the same job id again later'
  return answerWithoutResults(AnswerKind.MayHaveRun, Cause.OwnerUnreachable, detail, NOT_READY_RETRY_MILLISECONDS)
}
