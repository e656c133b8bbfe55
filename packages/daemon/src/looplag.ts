/** How late turns of the event loop are, measured by the ticks of the process's one timer. */
import type { Exposition } from './exposition.ts'
import type { LogDecision } from './ports.ts'
import { TIMER_MARGIN_MILLISECONDS } from '@amaranthmast/dispatch/defaults'
import { Distribution } from './distribution.ts'

/** Between two lines on late turns, in milliseconds. */
const REPORT_INTERVAL_MILLISECONDS = 1000

/** Quantiles that are shown; 1 is the latest turn. */
const QUANTILES = [0.5, 0.9, 0.99, 1]

const MILLISECONDS_PER_SECOND = 1000

export interface LoopLagOptions {
  /** A turn later than this is noted, in milliseconds. */
  threshold: number
  /** Clock in milliseconds that is never set back. */
  now: () => number
  note: LogDecision
}

/** Late turns that no line has told of yet. */
interface LateTurns {
  count: number
  /** The latest of them, in milliseconds. */
  late: number
  /** Interval of ticks at that turn, in milliseconds. */
  interval: number
  at: number
}

/**
 * Lateness that the limits of `timings.ts` leave room for, in milliseconds: each sets aside the time of a stop and the margin for timers.
 *
 * @param stop longest time of a stop of a task, in milliseconds
 */
export function lateTurnThreshold (stop: number): number {
  return stop + TIMER_MARGIN_MILLISECONDS
}

/** A pause of the process shows as its length less up to the interval of the ticks: where in the interval it began is not known. */
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

  /** The next tick is due `interval` milliseconds after the last one; the first one after this call. */
  expect (interval: number): void {
    if (Number.isNaN(this.#tickedAt)) this.#tickedAt = this.#options.now()
    this.#interval = interval
  }

  /** A tick has come. */
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
