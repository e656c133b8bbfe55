/** The daemon's one timer: often while there is work, seldom while there is none. */
import type { LoopLag } from './looplag.ts'
import { IDLE_TICK_MILLISECONDS, TICK_MILLISECONDS } from './defaults.ts'

export class Ticker {
  readonly #tick: () => void
  readonly #busy: () => boolean
  readonly #lag: LoopLag
  #timer: NodeJS.Timeout | undefined

  /**
   * @param busy whether anything is in progress whose limits are shorter than the idle interval
   * @param lag is told when each tick is due, and when it comes
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
