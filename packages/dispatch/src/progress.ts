/** Tells from a task's progress whether it gets on as expected. */
import type { HeldTask } from './heldtasks.ts'
import { PROGRESS_WINDOW_MILLISECONDS, SLOW_FACTOR, STUCK_MILLISECONDS } from './defaults.ts'

/** Time left of a task that does not advance. */
export const NEVER = -1

/** Takes the progress of a look in. */
export function noteProgress (held: HeldTask, percent: number, now: number): void {
  if (percent <= held.percent) return
  held.percent = percent
  held.advancedAt = now
}

/** What is left of a task at its present pace. */
export interface Pace {
  /** In milliseconds; `NEVER` when it does not advance. */
  remaining: number
  /** In parts of the expected pace. */
  pace: number
}

/**
 * The pace of a task when it is stuck or much slower than expected; undefined when it
 * gets on, or was reported a moment ago.
 *
 * A target whose tasks stand still answers everything else as if it were well: only the progress
 * shows it before the caller's deadline does.
 */
export function slowPace (held: HeldTask, now: number): Pace | undefined {
  const elapsed = now - held.startedAt
  if (elapsed < PROGRESS_WINDOW_MILLISECONDS || now - held.reportedSlowAt < PROGRESS_WINDOW_MILLISECONDS) return undefined
  if (now - held.advancedAt >= STUCK_MILLISECONDS) return { remaining: NEVER, pace: 0 }
  if (held.percent === 0) return undefined
  const projected = elapsed * 100 / held.percent
  if (projected <= SLOW_FACTOR * held.order.expected) return undefined
  return { remaining: projected - elapsed, pace: held.order.expected / projected }
}
