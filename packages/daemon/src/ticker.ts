/** The daemon's timer: it ticks at a shorter interval while there is work. */
import type { LoopLag } from './looplag.ts'
import { IDLE_TICK_MILLISECONDS, TICK_MILLISECONDS } from './defaults.ts'

export class Ticker {
  readonly #tick: () => void
  readonly #busy: () => boolean
  readonly #lag: LoopLag
  #timer: NodeJS.Timeout | undefined

  /**
   * @param busy whether any work in progress has limits that are shorter than the idle interval
   * @param lag records when each tick is due and when it happens
   */
  constructor (tick: () => void, busy: () => boolean, lag: LoopLag) {
    this.#tick = tick
    this.#busy = busy
    this.#lag = lag
  }

  start (): void {
    const interval = this.#busy() ? TICK_MILLISECONDS : IDLE_TICK_MILLISECONDS
    this.#lag.expect(interval)
    this.#timer = setTimeout(() => {
      this.#lag.ticked()
      this.#tick()
      if (this.#timer !== undefined) this.start()
    }, interval)
  }

  stop (): void {
    clearTimeout(this.#timer)
    this.#timer = undefined
  }
}
