/** The lease under which everything runs at a target, as its agent renews it. */
import type { Timings } from './timings.ts'

/**
 * Works out deadlines on the target's clock and until when its tasks may be running.
 *
 * A target that receives renewals whose answers are lost would keep running tasks of which nobody
 * hears: after one lost answer no further renewal is sent until the target has answered again.
 */
export class TargetLease {
  readonly #timings: Timings
  /** Reading of the target's clock, and when it arrived here. */
  #reading: { clock: number, at: number } | undefined
  #renewedAt = Number.NEGATIVE_INFINITY
  /** When a deadline was sent last, also one that renews nothing. */
  #sentAt = Number.NEGATIVE_INFINITY
  /** Last deadline that was sent, on the target's clock. */
  #deadline: number | undefined
  /** Since when no poll was answered; undefined while the last one was. */
  #silentSince: number | undefined
  /** Until when tasks may run that the life before was sent. */
  readonly #inherited: number

  constructor (timings: Timings, inherited = Number.NEGATIVE_INFINITY) {
    this.#timings = timings
    this.#inherited = inherited
  }

  /** Whether the last poll at the target brought no answer. */
  get silent (): boolean {
    return this.#silentSince !== undefined
  }

  /** How long no poll has been answered, in milliseconds. */
  silentFor (now: number): number {
    return this.#silentSince === undefined ? 0 : now - this.#silentSince
  }

  /** From then on nothing can be running that was started or renewed before. */
  get lapsedAt (): number {
    return Math.max(this.#inherited, this.#renewedAt + this.#timings.lapse)
  }

  /** The same for what a next life of the target may have been sent unnoticed, whose clock has started anew. */
  get lapsedInNextLifeAt (): number {
    return Math.max(this.#inherited, this.#sentAt + this.#timings.longestLapse)
  }

  /**
   * A deadline for a message that is sent now, on the target's clock; undefined while that clock is
   * not known or the target is silent. The reading is older than its arrival, so the deadline is
   * rather too early than too late.
   */
  renew (now: number): number | undefined {
    if (this.#reading === undefined || this.silent) return undefined
    this.#renewedAt = now
    this.#sentAt = now
    this.#deadline = Math.floor(this.#reading.clock + (now - this.#reading.at) + this.#timings.lease)
    return this.#deadline
  }

  /** The last deadline, for a message that is sent now and must not prolong the lease; undefined unless the lease lasts for `least` milliseconds. */
  repeat (least: number, now: number): number | undefined {
    if (!this.lasts(least, now)) return undefined
    this.#sentAt = now
    return this.#deadline
  }

  /** Whether the target answers and as much as `least` milliseconds is left of the lease. */
  lasts (least: number, now: number): boolean {
    const clock = this.clockAt(now)
    if (this.#deadline === undefined || clock === undefined || this.silent) return false
    return this.#deadline - clock >= least
  }

  /** What the target's clock reads now, or a little less; undefined while it is not known. */
  clockAt (now: number): number | undefined {
    return this.#reading === undefined ? undefined : this.#reading.clock + (now - this.#reading.at)
  }

  noteClock (clock: number, now: number): void {
    this.#reading = { clock, at: now }
  }

  /** A poll was answered. */
  noteAnswer (clock: number, now: number): void {
    this.noteClock(clock, now)
    this.#silentSince = undefined
  }

  noteSilence (now: number): void {
    this.#silentSince ??= now
  }
}
