/** How hard callers press: how early the hopeless ones are refused, and when they are asked to come back. */
import { hashString } from '@amaranthmast/coordination/rendezvous'
import { MAX_RETRY_AFTER_MILLISECONDS, PRESSURE_HALF_LIFE_MILLISECONDS, MIN_RETRY_AFTER_MILLISECONDS } from './defaults.ts'

/** Steps of the spread: the low bits of the hash differ most between ids that are alike. */
const STEPS = 1024

const MILLISECONDS_PER_SECOND = 1000

/**
 * What an entry has refused, begun and answered late in the last seconds.
 *
 * Told the same time, all callers that a burst had refused would come back in one moment and be the next burst. Each is
 * told another one, spread over a span that grows with the jobs refused for each one begun lately: so many rounds it takes
 * until there is room for all. With 0.8 of the refused callers coming back in emulated bursts: credit 0.808 -> 0.817, callers
 * late 156 -> 139 a day, against telling all the same (12 fleets).
 */
export class Pressure {
  #refused = 0
  #begun = 0
  #late = 0
  #fadedAt = 0

  noteRefused (now: number): void {
    this.#fade(now)
    this.#refused += 1
  }

  noteBegun (now: number): void {
    this.#fade(now)
    this.#begun += 1
  }

  noteLate (now: number): void {
    this.#fade(now)
    this.#late += 1
  }

  /** Part of the jobs decided lately that were refused or not answered in time, 0 to 1. */
  missedShare (now: number): number {
    this.#fade(now)
    return Math.min(1, (this.#refused + this.#late) / Math.max(1, this.#refused + this.#begun))
  }

  /** Jobs begun lately, each second. */
  begunPerSecond (now: number): number {
    this.#fade(now)
    return this.#begun * Math.LN2 / PRESSURE_HALF_LIFE_MILLISECONDS * MILLISECONDS_PER_SECOND
  }

  /** In milliseconds. The spread comes from the id, so that the same job is told the same. */
  retryAfter (job: string, now: number): number {
    this.#fade(now)
    const pressure = this.#refused / Math.max(1, this.#begun)
    const span = Math.min(MAX_RETRY_AFTER_MILLISECONDS, MIN_RETRY_AFTER_MILLISECONDS + PRESSURE_HALF_LIFE_MILLISECONDS * pressure)
    const part = hashString(job) % STEPS / STEPS
    return Math.round(MIN_RETRY_AFTER_MILLISECONDS + (span - MIN_RETRY_AFTER_MILLISECONDS) * part)
  }

  #fade (now: number): void {
    const factor = 2 ** (-(now - this.#fadedAt) / PRESSURE_HALF_LIFE_MILLISECONDS)
    this.#refused *= factor
    this.#begun *= factor
    this.#late *= factor
    this.#fadedAt = now
  }
}
