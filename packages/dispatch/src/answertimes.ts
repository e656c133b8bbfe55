/** Answer times of a target, and the timeout after which a call counts as lost. */
import { ANSWER_DEVIATIONS, ANSWER_WEIGHT, LOSS_RETENTION_MILLISECONDS, MAX_START_TIMEOUT_MILLISECONDS, MIN_TIMEOUT_MILLISECONDS } from './defaults.ts'

/**
 * Smoothed mean and deviation of the answer times, as TCP keeps them for its retransmissions
 * (RFC 6298). A fixed timeout has to be longer than the longest stall of this process. An adaptive
 * one cancels a lost start while its job can still be in time.
 */
export class AnswerTimes {
  #mean = 0
  #deviation = 0
  #answers = 0
  #lostAt = Number.NEGATIVE_INFINITY

  /** Records that a call was answered after `took` milliseconds. */
  noteAnswer (took: number): void {
    this.#answers += 1
    if (this.#answers === 1) {
      this.#mean = took
      this.#deviation = took / 2
      return
    }
    this.#deviation += (Math.abs(took - this.#mean) - this.#deviation) * 2 * ANSWER_WEIGHT
    this.#mean += (took - this.#mean) * ANSWER_WEIGHT
  }

  noteLoss (now: number): void {
    this.#lostAt = now
  }

  /** Whether an answer was lost within the last `LOSS_RETENTION_MILLISECONDS`. */
  losesAnswers (now: number): boolean {
    return now - this.#lostAt < LOSS_RETENTION_MILLISECONDS
  }

  /** Time in milliseconds after which a call counts as unanswered. */
  get limit (): number {
    if (this.#answers === 0) return MAX_START_TIMEOUT_MILLISECONDS
    const limit = this.#mean + ANSWER_DEVIATIONS * this.#deviation
    return Math.ceil(Math.min(MAX_START_TIMEOUT_MILLISECONDS, Math.max(MIN_TIMEOUT_MILLISECONDS, limit)))
  }
}
