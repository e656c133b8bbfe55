/**
 * Notices that the machine was suspended. The steady clock does not count that time, so leases that
 * were agreed with others have run out without it showing there; the time of day does count it.
 */

/** A jump of the time of day below this is taken for an adjustment of the clock. */
const MIN_SUSPENSION_MILLISECONDS = 150

export class SuspensionWatch {
  readonly #steady: () => number
  readonly #wall: () => number
  #offset: number

  constructor (steady: () => number, wall: () => number) {
    this.#steady = steady
    this.#wall = wall
    this.#offset = wall() - steady()
  }

  /**
   * Milliseconds by which the time of day ran ahead of the steady clock since the last call; 0 when
   * it was no more than an adjustment. A clock that was set ahead looks the same and is taken for
   * a suspension: that costs some repeated work, the opposite error two runs of one task.
   */
  check (): number {
    const offset = this.#wall() - this.#steady()
    const ahead = offset - this.#offset
    this.#offset = offset
    return ahead >= MIN_SUSPENSION_MILLISECONDS ? ahead : 0
  }
}
