/** Answers that an entry gives without a job. */
import type { Answer } from './entrytypes.ts'
import { AnswerKind, Reason } from './entrytypes.ts'

/** @param retryAfter when to come back, in milliseconds */
export function refused (reason: Reason, retryAfter: number): Answer {
  return { kind: AnswerKind.Refused, reason, retryAfter }
}

export function unknown (): Answer {
  return { kind: AnswerKind.Unknown, reason: Reason.None, retryAfter: 0 }
}
