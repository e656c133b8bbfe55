/** Rate limit for the log lines of one class. */

const MILLISECONDS_PER_SECOND = 1000

/** Token bucket with one token for each line. */
export class LineBudget {
  readonly #perSecond: number
  readonly #burst: number
  #tokens: number
  #refilledAt: number

  /**
   * @param perSecond lines per second
   * @param burst maximum number of lines that may be written at once after an idle time
   * @param now time in milliseconds
   */
  constructor (perSecond: number, burst: number, now: number) {
    this.#perSecond = perSecond
    this.#burst = burst
    this.#tokens = burst
    this.#refilledAt = now
  }

  /**
   * Takes one line from the budget; returns false when the budget is used up.
   *
   * @param reserved number of lines that are left for others
   */
  take (now: number, reserved = 0): boolean {
    this.#tokens = Math.min(this.#burst, this.#tokens + (now - this.#refilledAt) * this.#perSecond / MILLISECONDS_PER_SECOND)
    this.#refilledAt = now
    if (this.#tokens < 1 + reserved) return false
    this.#tokens -= 1
    return true
  }
}
