/** How many lines of one class may be written. */

const MILLISECONDS_PER_SECOND = 1000

export class LineBudget {
  readonly #perSecond: number
  readonly #saved: number
  #allowance: number
  #refilledAt: number

  /**
   * @param perSecond lines in a second
   * @param saved lines that may be written at once after a quiet time
   * @param now time in milliseconds
   */
  constructor (perSecond: number, saved: number, now: number) {
    this.#perSecond = perSecond
    this.#saved = saved
    this.#allowance = saved
    this.#refilledAt = now
  }

  /** Takes a line from the budget; false when nothing is left of it. */
  take (now: number): boolean {
    this.#allowance = Math.min(this.#saved, this.#allowance + (now - this.#refilledAt) * this.#perSecond / MILLISECONDS_PER_SECOND)
    this.#refilledAt = now
    if (this.#allowance < 1) return false
    this.#allowance -= 1
    return true
  }
}
