/** How many lines of one class may be written. */

const MILLISECONDS_PER_SECOND = 1000

export class LineBudget {
  readonly #perSecond: number
  readonly #burst: number
  #tokens: number
  #refilledAt: number

  /**
   * @param perSecond lines in a second
   * @param burst lines that may be written at once after a quiet time
   * @param now time in milliseconds
   */
  constructor (perSecond: number, burst: number, now: number) {
    this.#perSecond = perSecond
    this.#burst = burst
    this.#tokens = burst
    this.#refilledAt = now
  }

  /** Takes a line from the budget; false when nothing is left of it. */
  take (now: number): boolean {
    this.#tokens = Math.min(this.#burst, this.#tokens + (now - this.#refilledAt) * this.#perSecond / MILLISECONDS_PER_SECOND)
    this.#refilledAt = now
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }
}
