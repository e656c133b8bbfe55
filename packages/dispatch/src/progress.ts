/** Tells from the progress of tasks whether they, and the target as a whole, get on as expected. */
import type { HeldTask } from './heldtasks.ts'
import type { Policy } from './policy.ts'
import type { SpeedRatioEstimate } from './steadyspeedratio.ts'
import {
  SPEED_RATIO_MIN_TASK_MILLISECONDS, SPEED_RATIO_HALF_LIFE_MILLISECONDS, PROGRESS_WINDOW_MILLISECONDS, SLOW_FACTOR, SLOW_SPEED_RATIO,
  STUCK_MILLISECONDS, STUCK_FRACTION
} from './defaults.ts'
import { SteadySpeedRatio } from './steadyspeedratio.ts'
import { MedianSpeedRatio } from './medianspeedratio.ts'

/** Time left of a task that does not advance. */
export const NO_PROGRESS = -1

const WHOLE_PERCENT = 100

/**
 * Pace of a target: expected work that its tasks got done, over the time that they took, with older
 * observations fading out. A single task tells little, since estimates are off by 40%; together the
 * tasks of a target that has become slow show it within some hundred milliseconds, long before the
 * first of them ends.
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

  /** Takes in how far a task has come since it was observed last. */
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

  /** In parts of the expected pace; 0 when too little was observed lately. */
  value (now: number): number {
    this.#fade(now)
    if (this.#time < SPEED_RATIO_MIN_TASK_MILLISECONDS) return 0
    return this.#median?.value(now) ?? this.#work / this.#time
  }

  /** Over the last seconds; undefined when nothing is known, or kinds are not learned. */
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

/** Takes the progress of a poll in. */
export function noteProgress (held: HeldTask, percent: number, now: number): void {
  if (percent <= held.percent) return
  held.percent = percent
  held.progressedAt = now
}

/**
 * Time that a task still needs when it stands still, or crawls at a target that is slow as a whole;
 * undefined when it gets on, or was reported a moment ago. A task that takes long at a sound target
 * would take as long elsewhere: it was only estimated too short.
 *
 * A target whose tasks stand still answers everything else as if it were well: only the progress
 * shows it before the caller's deadline does.
 */
export function slowRemaining (held: HeldTask, pace: number, now: number): number | undefined {
  const elapsed = now - held.startedAt
  if (elapsed < PROGRESS_WINDOW_MILLISECONDS || now - held.reportedSlowAt < PROGRESS_WINDOW_MILLISECONDS) return undefined
  if (now - held.progressedAt >= Math.max(STUCK_MILLISECONDS, STUCK_FRACTION * held.order.expected)) return NO_PROGRESS
  if (held.percent === 0 || pace === 0 || pace >= SLOW_SPEED_RATIO) return undefined
  const projected = elapsed * WHOLE_PERCENT / held.percent
  return projected > SLOW_FACTOR * held.order.expected ? projected - elapsed : undefined
}
