/** Detects from the progress of tasks whether they, or the target as a whole, are slower than expected. */
import type { HeldTask } from './heldtasks.ts'
import type { Policy } from './policy.ts'
import type { SpeedRatioEstimate } from './steadyspeedratio.ts'
import {
  SPEED_RATIO_MIN_TASK_MILLISECONDS, SPEED_RATIO_HALF_LIFE_MILLISECONDS, PROGRESS_WINDOW_MILLISECONDS, SLOW_FACTOR, SLOW_SPEED_RATIO,
  STUCK_MILLISECONDS, STUCK_FRACTION
} from './defaults.ts'
import { SteadySpeedRatio } from './steadyspeedratio.ts'
import { MedianSpeedRatio } from './medianspeedratio.ts'

/** Remaining time reported for a task that makes no progress. */
export const NO_PROGRESS = -1

const WHOLE_PERCENT = 100

/**
 * Speed ratio of a target: the expected work that its tasks have done, divided by the time they took,
 * with exponential decay. A single task is weak evidence, since estimates are off by 40%. Together,
 * the tasks of a target that has become slow show this within some hundred milliseconds, long before
 * the first of them ends.
 */
export class TargetSpeedRatio {
  readonly #steady: SteadySpeedRatio | undefined
  readonly #median: MedianSpeedRatio | undefined
  #work = 0
  #time = 0
  #fadedAt = 0

  constructor ({ learnsKinds }: Pick<Policy, 'learnsKinds'>) {
    if (!learnsKinds) return
    this.#steady = new SteadySpeedRatio()
    this.#median = new MedianSpeedRatio()
  }

  /** Adds the progress of a task since it was last observed. */
  observe (held: HeldTask, percent: number, now: number): void {
    // Polls may be answered out of order.
    if (percent < held.observedPercent) return
    this.#fade(now)
    const work = (percent - held.observedPercent) / WHOLE_PERCENT * held.order.expected
    const time = Math.max(0, now - held.observedAt)
    this.#work += work
    this.#time += time
    this.#median?.observe(held, work, time, now)
    if (percent === WHOLE_PERCENT) this.#steady?.noteEnd(held.order.expected, now - held.startedAt, now)
    held.observedPercent = percent
    held.observedAt = now
  }

  /** Speed relative to the expected one; 0 if too little was observed recently. */
  value (now: number): number {
    this.#fade(now)
    if (this.#time < SPEED_RATIO_MIN_TASK_MILLISECONDS) return 0
    return this.#median?.value(now) ?? this.#work / this.#time
  }

  /** Speed ratio over the last seconds; undefined if not known, or with the policy `learnsKinds` off. */
  steady (now: number): SpeedRatioEstimate | undefined {
    return this.#steady?.value(this.value(now), now)
  }

  #fade (now: number): void {
    const factor = 2 ** (-(now - this.#fadedAt) / SPEED_RATIO_HALF_LIFE_MILLISECONDS)
    this.#work *= factor
    this.#time *= factor
    this.#fadedAt = now
  }
}

/** Updates the progress of a task from a poll. */
export function noteProgress (held: HeldTask, percent: number, now: number): void {
  if (percent <= held.percent) return
  held.percent = percent
  held.progressedAt = now
}

/**
 * Remaining time of a task that makes no progress, or that is slow at a target that is slow as a
 * whole; undefined if it progresses normally or was reported a moment ago. A task that takes long at
 * a healthy target would take as long elsewhere: only its estimate was too short.
 *
 * A target whose tasks make no progress can still answer all calls normally. Only the progress shows
 * the fault before the caller's deadline does.
 */
export function slowRemaining (held: HeldTask, speedRatio: number, now: number): number | undefined {
  const elapsed = now - held.startedAt
  if (elapsed < PROGRESS_WINDOW_MILLISECONDS || now - held.reportedSlowAt < PROGRESS_WINDOW_MILLISECONDS) return undefined
  if (now - held.progressedAt >= Math.max(STUCK_MILLISECONDS, STUCK_FRACTION * held.order.expected)) return NO_PROGRESS
  if (held.percent === 0 || speedRatio === 0 || speedRatio >= SLOW_SPEED_RATIO) return undefined
  const projected = elapsed * WHOLE_PERCENT / held.percent
  return projected > SLOW_FACTOR * held.order.expected ? projected - elapsed : undefined
}
