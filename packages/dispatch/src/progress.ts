/** Tells from the progress of tasks whether they, and the target as a whole, get on as expected. */
import type { HeldTask } from './heldtasks.ts'
import type { Policy } from './policy.ts'
import type { PaceTold } from './steadypace.ts'
import {
  PACE_EVIDENCE_MILLISECONDS, PACE_HALF_LIFE_MILLISECONDS, PROGRESS_WINDOW_MILLISECONDS, SLOW_FACTOR, SLOW_PACE,
  STUCK_MILLISECONDS, STUCK_PART
} from './defaults.ts'
import { SteadyPace } from './steadypace.ts'
import { TypicalPace } from './typicalpace.ts'

/** Time left of a task that does not advance. */
export const NEVER = -1

const WHOLE_PERCENT = 100

/**
 * Pace of a target: expected work that its tasks got done, over the time that they took, with older
 * observations fading out. A single task tells little, since estimates are off by 40%; together the
 * tasks of a target that has become slow show it within some hundred milliseconds, long before the
 * first of them ends.
 */
export class TargetPace {
  readonly #steady: SteadyPace | undefined
  readonly #typical: TypicalPace | undefined
  #work = 0
  #time = 0
  #fadedAt = 0

  constructor ({ learnsKinds }: Pick<Policy, 'learnsKinds'>) {
    if (!learnsKinds) return
    this.#steady = new SteadyPace()
    this.#typical = new TypicalPace()
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
    this.#typical?.observe(held, work, time, now)
    if (percent === WHOLE_PERCENT) this.#steady?.noteEnd(held.order.expected, now - held.startedAt, now)
    held.observedPercent = percent
    held.observedAt = now
  }

  /** In parts of the expected pace; 0 when too little was observed lately. */
  value (now: number): number {
    this.#fade(now)
    if (this.#time < PACE_EVIDENCE_MILLISECONDS) return 0
    return this.#typical?.value(now) ?? this.#work / this.#time
  }

  /** Over the last seconds; undefined when nothing is known, or kinds are not learned. */
  steady (now: number): PaceTold | undefined {
    return this.#steady?.value(this.value(now), now)
  }

  #fade (now: number): void {
    const factor = 2 ** (-(now - this.#fadedAt) / PACE_HALF_LIFE_MILLISECONDS)
    this.#work *= factor
    this.#time *= factor
    this.#fadedAt = now
  }
}

/** Takes the progress of a poll in. */
export function noteProgress (held: HeldTask, percent: number, now: number): void {
  if (percent <= held.percent) return
  held.percent = percent
  held.advancedAt = now
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
  if (now - held.advancedAt >= Math.max(STUCK_MILLISECONDS, STUCK_PART * held.order.expected)) return NEVER
  if (held.percent === 0 || pace === 0 || pace >= SLOW_PACE) return undefined
  const projected = elapsed * WHOLE_PERCENT / held.percent
  return projected > SLOW_FACTOR * held.order.expected ? projected - elapsed : undefined
}
