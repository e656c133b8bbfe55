/** How far this process lags behind its events, judged by the lateness of its ticks. */
import {
  IDLE_TICK_INTERVAL_MILLISECONDS, LAG_KEPT_PART, LAGGING_MILLISECONDS, MOST_LAG_MILLISECONDS, QUICK_FOR_MILLISECONDS,
  QUICK_MILLISECONDS, TICK_INTERVAL_MILLISECONDS
} from './partitiondefaults.ts'

export class ProcessorLag {
  #tickedAt = Number.NEGATIVE_INFINITY
  #interval = IDLE_TICK_INTERVAL_MILLISECONDS
  #lag = 0
  #lagging = false
  #slowAt = Number.NEGATIVE_INFINITY
  #eventAt = Number.NEGATIVE_INFINITY
  #stoodUntil = Number.NEGATIVE_INFINITY

  /** Lateness of the last ticks, the newest weighing most, in milliseconds. */
  get milliseconds (): number {
    return this.#lag
  }

  get lagging (): boolean {
    return this.#lagging
  }

  /** When this process last stood still for longer than others need to answer: it may not have seen their answers. */
  get stoodUntil (): number {
    return this.#stoodUntil
  }

  /** Notes any event: after a pause longer than that between ticks this process stood still. */
  noteEvent (now: number): void {
    if (now - this.#eventAt >= IDLE_TICK_INTERVAL_MILLISECONDS + LAGGING_MILLISECONDS) this.#stoodUntil = now
    this.#eventAt = now
  }

  /** @param busy whether the next tick is due after the shorter interval */
  tick (now: number, busy: boolean): void {
    const late = Math.max(0, now - this.#tickedAt - this.#interval)
    if (Number.isFinite(late)) this.#lag = Math.min(MOST_LAG_MILLISECONDS, this.#lag * LAG_KEPT_PART + late)
    this.noteEvent(now)
    this.#tickedAt = now
    this.#interval = busy ? TICK_INTERVAL_MILLISECONDS : IDLE_TICK_INTERVAL_MILLISECONDS
    if (this.#lag >= QUICK_MILLISECONDS) this.#slowAt = now
    if (this.#lag >= LAGGING_MILLISECONDS) this.#lagging = true
    else if (now - this.#slowAt >= QUICK_FOR_MILLISECONDS) this.#lagging = false
  }
}
