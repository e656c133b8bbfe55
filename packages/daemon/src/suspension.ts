/**
 * Detects suspensions of the machine. The monotonic clock does not advance during a suspension, so it
 * does not show that leases agreed with other processes have expired; the time of day does advance.
 */

/** A jump of the time of day below this is considered an adjustment of the clock. */
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
   * Returns the milliseconds by which the time of day advanced more than the monotonic clock since the
   * last call, or 0 when that is no more than an adjustment. A clock that was set ahead cannot be
   * distinguished and is reported as a suspension: this costs some repeated work, whereas an undetected
   * suspension can cause two runs of one task.
   */
  check (): number {
    const offset = this.#wall() - this.#steady()
    const ahead = offset - this.#offset
    this.#offset = offset
    return ahead >= MIN_SUSPENSION_MILLISECONDS ? ahead : 0
  }
}
