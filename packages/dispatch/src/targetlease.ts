/** The lease under which all tasks of a target run, from the point of view of the agent that renews it. */
import type { Timings } from './timings.ts'

/**
 * Computes deadlines on the target's clock, and the time until which its tasks may be running.
 *
 * A target that receives renewals whose answers are lost would keep running tasks whose ends reach
 * no agent. So after one lost answer no renewal is sent until the target has answered again.
 */
export class TargetLease {
  readonly #timings: Timings
  /** Last reading of the target's clock, and when it arrived here. */
  #reading: { clock: number, at: number } | undefined
  #renewedAt = Number.NEGATIVE_INFINITY
  /** When a deadline was last sent, including those that do not renew the lease. */
  #sentAt = Number.NEGATIVE_INFINITY
  /** Last deadline sent, on the target's clock. */
  #deadline: number | undefined
  /** Time of the first unanswered poll since the last answer; undefined while the target answers. */
  #unresponsiveSince: number | undefined
  /** Time until which tasks may run that were sent to the previous incarnation. */
  readonly #inheritedExpiry: number

  constructor (timings: Timings, inherited = Number.NEGATIVE_INFINITY) {
    this.#timings = timings
    this.#inheritedExpiry = inherited
  }

  /** Whether the last poll of the target was not answered. */
  get silent (): boolean {
    return this.#unresponsiveSince !== undefined
  }

  /** Time since polls are no longer answered, in milliseconds; 0 while they are. */
  unresponsiveFor (now: number): number {
    return this.#unresponsiveSince === undefined ? 0 : now - this.#unresponsiveSince
  }

  /** Time from which no task can be running that was started or renewed until now. */
  get expiredAt (): number {
    return Math.max(this.#inheritedExpiry, this.#renewedAt + this.#timings.expiry)
  }

  /** The same for tasks that may have reached a new incarnation unnoticed, whose clock starts anew. */
  get expiredInNextIncarnationAt (): number {
    return Math.max(this.#inheritedExpiry, this.#sentAt + this.#timings.maxExpiry)
  }

  /**
   * Renews the lease and returns the deadline, on the target's clock, for a message that is sent now.
   * Undefined while that clock is not known or the target does not respond. A reading of the clock is
   * older than its arrival, so the deadline can be too early but never too late.
   */
  renew (now: number): number | undefined {
    if (this.#reading === undefined || this.silent) return undefined
    this.#renewedAt = now
    this.#sentAt = now
    this.#deadline = Math.floor(this.#reading.clock + (now - this.#reading.at) + this.#timings.lease)
    return this.#deadline
  }

  /** Last deadline, for a message sent now that must not extend the lease; undefined unless `least` milliseconds of the lease remain. */
  repeat (least: number, now: number): number | undefined {
    if (!this.hasRemaining(least, now)) return undefined
    this.#sentAt = now
    return this.#deadline
  }

  /** Whether the target responds and at least `least` milliseconds of the lease remain. */
  hasRemaining (least: number, now: number): boolean {
    const clock = this.clockAt(now)
    if (this.#deadline === undefined || clock === undefined || this.silent) return false
    return this.#deadline - clock >= least
  }

  /** Estimate of the target's clock, never ahead of it; undefined until a reading is known. */
  clockAt (now: number): number | undefined {
    return this.#reading === undefined ? undefined : this.#reading.clock + (now - this.#reading.at)
  }

  noteClock (clock: number, now: number): void {
    this.#reading = { clock, at: now }
  }

  /** A poll was answered. */
  noteAnswer (clock: number, now: number): void {
    this.noteClock(clock, now)
    this.#unresponsiveSince = undefined
  }

  noteUnanswered (now: number): void {
    this.#unresponsiveSince ??= now
  }
}
