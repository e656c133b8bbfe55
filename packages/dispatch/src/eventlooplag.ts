/** Measures the event loop lag of this process by the delay of its ticks. */
import {
  IDLE_TICK_INTERVAL_MILLISECONDS, LAG_DECAY_FRACTION, HIGH_LAG_MILLISECONDS, MAX_LAG_MILLISECONDS, LOW_LAG_DURATION_MILLISECONDS,
  LOW_LAG_MILLISECONDS, TICK_INTERVAL_MILLISECONDS
} from './partitiondefaults.ts'

export class EventLoopLag {
  #tickedAt = Number.NEGATIVE_INFINITY
  #interval = IDLE_TICK_INTERVAL_MILLISECONDS
  #lag = 0
  #lagging = false
  #notLowAt = Number.NEGATIVE_INFINITY
  #eventAt = Number.NEGATIVE_INFINITY
  #stalledUntil = Number.NEGATIVE_INFINITY

  /** Exponentially decaying sum of the delays of the last ticks, up to a limit, in milliseconds. */
  get milliseconds (): number {
    return this.#lag
  }

  get lagging (): boolean {
    return this.#lagging
  }

  /** End of the last stall that exceeded the time others need to answer: their answers may still be unprocessed. */
  get stalledUntil (): number {
    return this.#stalledUntil
  }

  /** Records any event. A pause well beyond the tick interval means that this process was stalled. */
  noteEvent (now: number): void {
    if (now - this.#eventAt >= IDLE_TICK_INTERVAL_MILLISECONDS + HIGH_LAG_MILLISECONDS) this.#stalledUntil = now
    this.#eventAt = now
  }

  /** @param busy whether the next tick is due after the shorter interval */
  tick (now: number, busy: boolean): void {
    const delay = Math.max(0, now - this.#tickedAt - this.#interval)
    if (Number.isFinite(delay)) this.#lag = Math.min(MAX_LAG_MILLISECONDS, this.#lag * LAG_DECAY_FRACTION + delay)
    this.noteEvent(now)
    this.#tickedAt = now
    this.#interval = busy ? TICK_INTERVAL_MILLISECONDS : IDLE_TICK_INTERVAL_MILLISECONDS
    if (this.#lag >= LOW_LAG_MILLISECONDS) this.#notLowAt = now
    if (this.#lag >= HIGH_LAG_MILLISECONDS) this.#lagging = true
    else if (now - this.#notLowAt >= LOW_LAG_DURATION_MILLISECONDS) this.#lagging = false
  }
}
