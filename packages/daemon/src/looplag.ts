/** Measures the delay of event loop turns by the ticks of the process's timer. */
import type { Exposition } from './exposition.ts'
import type { LogDecision } from './ports.ts'
import { TIMER_MARGIN_MILLISECONDS } from '@amaranthmast/dispatch/defaults'
import { Distribution } from './distribution.ts'

/** Minimum time between two log lines on late turns, in milliseconds. */
const REPORT_INTERVAL_MILLISECONDS = 1000

/** Quantiles that the metrics expose; 1 is the maximum. */
const QUANTILES = [0.5, 0.9, 0.99, 1]

const MILLISECONDS_PER_SECOND = 1000

export interface LoopLagOptions {
  /** A turn that is later than this is logged, in milliseconds. */
  threshold: number
  /** Monotonic clock in milliseconds. */
  now: () => number
  note: LogDecision
}

/** Late turns that have not been logged yet. */
interface LateTurns {
  count: number
  /** Maximum delay among them, in milliseconds. */
  late: number
  /** Interval of the ticks at the turn with the maximum delay, in milliseconds. */
  interval: number
  at: number
}

/**
 * Returns the delay that the limits in `timings.ts` tolerate, in milliseconds: each of them reserves the time of a stop and the margin for timers.
 *
 * @param stop maximum time to stop a task, in milliseconds
 */
export function lateTurnThreshold (stop: number): number {
  return stop + TIMER_MARGIN_MILLISECONDS
}

/** Records the delay of ticks. A pause of the process is measured short by up to one tick interval, as it may have begun anywhere within it. */
export class LoopLag {
  readonly #options: LoopLagOptions
  readonly #distribution = new Distribution()
  #tickedAt = Number.NaN
  #interval = 0
  #lateTurns = 0
  #unreported: LateTurns | undefined
  #reportedAt = Number.NEGATIVE_INFINITY

  constructor (options: LoopLagOptions) {
    this.#options = options
  }

  /** Sets when the next tick is due: `interval` milliseconds after the last tick, or after this call for the first one. */
  expect (interval: number): void {
    if (Number.isNaN(this.#tickedAt)) this.#tickedAt = this.#options.now()
    this.#interval = interval
  }

  /** Records a tick. */
  ticked (): void {
    const now = this.#options.now()
    const late = Math.max(0, now - this.#tickedAt - this.#interval)
    this.#tickedAt = now
    this.#distribution.record(late)
    if (late > this.#options.threshold) this.#count(late, now)
    if (this.#unreported !== undefined && now - this.#reportedAt >= REPORT_INTERVAL_MILLISECONDS) this.#report(this.#unreported, now)
  }

  expose (exposition: Exposition): void {
    exposition.summary('amaranthmast_loop_late_seconds', 'How late ticks of the event loop came, since the start', [this.#distribution.summary({}, QUANTILES, MILLISECONDS_PER_SECOND)])
    exposition.counter('amaranthmast_loop_late_turns_total', 'Ticks that came later than the time that limits set aside for a stop and for timers', [{ labels: {}, value: this.#lateTurns }])
  }

  #count (late: number, at: number): void {
    this.#lateTurns += 1
    const count = (this.#unreported?.count ?? 0) + 1
    this.#unreported = this.#unreported !== undefined && this.#unreported.late >= late ? { ...this.#unreported, count } : { count, late, interval: this.#interval, at }
  }

  #report ({ count, late, interval, at }: LateTurns, now: number): void {
    this.#unreported = undefined
    this.#reportedAt = now
    this.#options.note('event loop late', { late: Math.round(late), interval, ago: Math.round(now - at), turns: count, threshold: this.#options.threshold })
  }
}
