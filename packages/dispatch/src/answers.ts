/** Answers that need no job. */
import type { Answer } from './entrytypes.ts'
import { AnswerKind, Reason } from './entrytypes.ts'

/** @param retryAfter when to submit again, in milliseconds */
export function refused (reason: Reason, retryAfter: number): Answer {
  return { kind: AnswerKind.Refused, reason, retryAfter }
}

export function unknown (): Answer {
  return { kind: AnswerKind.Unknown, reason: Reason.None, retryAfter: 0 }
}
