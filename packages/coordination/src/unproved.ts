/** Answers that say "may have run" where "not run" would be a guess. */
import type { Answer } from './messages.ts'
import { NOT_READY_RETRY_MILLISECONDS } from './defaults.ts'
import { answerWithoutResults } from './execution.ts'
import { AnswerKind, Cause } from './messages.ts'

/** Whether the answer says that no submission of the job has run, which takes a proof. */
export function saysNotRun (answer: Answer): boolean {
  return answer.kind === AnswerKind.Refused && answer.cause !== Cause.IdReused
}

/** A refusal that is not provable. */
export function unproved (answer: Answer, reason: string): Answer {
  return { ...answer, kind: AnswerKind.MayHaveRun, detail: `${answer.detail}; ${reason}` }
}

/**
 * The entry that owns the job was not reached in time. This request started nothing, but an
 * earlier submission of the same id, through another entry, may have: "not run" would be a guess.
 */
export function unreached (): Answer {
  const detail = 'the entry that owns this job id could not be reached: submit the same job id again later'
  return answerWithoutResults(AnswerKind.MayHaveRun, Cause.OwnerUnreachable, detail, NOT_READY_RETRY_MILLISECONDS)
}
