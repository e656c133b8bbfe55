/**
 * How far a target is trusted, judged by outcomes before load: a target that fails all it starts
 * is always idle, and would draw the work of the whole fleet if load came first.
 *
 * A target that fails far more often than the others is ejected for a while, then probed with one
 * task at a time, then given twice as much with each success. A new target, and one that returns,
 * begins in the same way at a quarter of its slots, so that neither a bad one nor a returning
 * provider is met with a storm. When every target fails alike the fault is in the work, and nothing
 * is ejected; a part of the fleet is never ejected in any case.
 */
import {
  CLOSED_MILLISECONDS, EJECTION_CONTRAST, EJECTION_MILLISECONDS, EJECTION_THRESHOLD, FAILURE_RATE, FLAPS_TOLERATED,
  FLAP_HALF_LIFE_MILLISECONDS, FORGIVING_SUCCESSES, LONGEST_EJECTION_MILLISECONDS, NEVER_EJECTED_PART,
  SLOWNESS_HALF_LIFE_MILLISECONDS, SLOWNESS_RATE, SLOWNESS_TOLERATED
} from './schedulingdefaults.ts'

/** How far a target is in use. */
export enum Trust {
  Full = 'full',
  /** In use with a part of its slots, which grows with each success. */
  Probing = 'probing',
  /** Gets nothing for a while. */
  Ejected = 'ejected'
}

/** What one entry has seen of one target. */
export class TargetHealth {
  trust = Trust.Probing
  /** Tasks it may have at one time while it is probed. */
  allowed: number
  /** Instant at which an ejected target is probed again. */
  probeAt = 0
  failureRate = 0
  readonly #slots: number
  #logSlowness = 0
  #measuredAt = 0
  #ejections = 0
  #closures = 0
  #silent = false
  #successes = 0
  #flaps = 0
  #returnedAt = -Infinity

  constructor (slots: number) {
    this.#slots = slots
    this.allowed = this.#quarter()
  }

  /** Tasks that the target may have at one time. */
  limit (): number {
    if (this.trust === Trust.Ejected) return 0
    return this.trust === Trust.Full ? Infinity : this.allowed
  }

  /** Run time against that of the others; 1 unless it is clearly slower. */
  slowness (now: number): number {
    const slowness = Math.exp(this.#agedSlowness(now))
    return slowness < SLOWNESS_TOLERATED ? 1 : slowness
  }

  /** From 0 when ejected to 1 when fully trusted and as fast as the others. */
  weight (now: number): number {
    if (this.trust === Trust.Ejected) return 0
    return Math.min(1, this.limit() / this.#slots) / this.slowness(now)
  }

  /** `runRatio` is the run time against the expected one. */
  noteSuccess (runRatio: number, now: number): void {
    this.failureRate *= 1 - FAILURE_RATE
    const aged = this.#agedSlowness(now)
    this.#logSlowness = aged + (Math.log(runRatio) - aged) * SLOWNESS_RATE
    this.#measuredAt = now
    this.#successes += 1
    this.#closures = 0
    if (this.#successes >= FORGIVING_SUCCESSES) this.#ejections = 0
    this.#noteLife()
    if (this.trust !== Trust.Probing) return
    this.allowed *= 2
    if (this.allowed >= this.#slots) this.trust = Trust.Full
  }

  noteFailure (): void {
    this.failureRate += (1 - this.failureRate) * FAILURE_RATE
    this.#successes = 0
    this.#closures = 0
    this.#noteLife()
    if (this.trust === Trust.Probing) this.allowed = Math.max(1, Math.floor(this.allowed / 2))
  }

  eject (now: number): void {
    const duration = EJECTION_MILLISECONDS * 2 ** this.#ejections
    this.#ejections += 1
    this.trust = Trust.Ejected
    this.probeAt = now + Math.min(LONGEST_EJECTION_MILLISECONDS, duration)
  }

  /**
   * It refused what it had room for: its target cannot be reached, or its agent is cut off. That
   * is no matter of chance, as failures are, so one refusal is enough; and it cost no task, so it
   * is asked again sooner.
   */
  close (now: number): void {
    const duration = CLOSED_MILLISECONDS * 2 ** this.#closures
    this.#closures += 1
    this.trust = Trust.Ejected
    this.probeAt = now + Math.min(LONGEST_EJECTION_MILLISECONDS, duration)
  }

  /** It is busy and gave no sign of life for long: out until it gives one, or until its next probe. */
  noteSilence (now: number): void {
    this.eject(now)
    this.#silent = true
  }

  probe (): void {
    this.#silent = false
    this.trust = Trust.Probing
    this.allowed = 1
  }

  /** A failed probe: out again, without waiting for a rate to build up. */
  get onProbation (): boolean {
    return this.trust === Trust.Probing && this.#ejections > 0
  }

  /**
   * The target announced itself, again or for the first time. One that comes and goes is kept out
   * for a while each time: it looks healthy for as long as it is up, and each loss of it costs the
   * tasks that it had.
   */
  noteReturn (now: number): void {
    const elapsed = now - this.#returnedAt
    this.#flaps = this.#flaps * 2 ** (-elapsed / FLAP_HALF_LIFE_MILLISECONDS) + 1
    this.#returnedAt = now
    if (this.#flaps > FLAPS_TOLERATED) this.eject(now)
    else if (this.trust !== Trust.Ejected) this.trust = Trust.Probing
    this.allowed = this.#quarter()
  }

  #noteLife (): void {
    if (!this.#silent) return
    this.#silent = false
    this.trust = Trust.Probing
    this.allowed = this.#quarter()
  }

  #quarter (): number {
    return Math.max(1, Math.ceil(this.#slots / 4))
  }

  /** A slow target gets little and so shows little: without ageing it would never be tried again. */
  #agedSlowness (now: number): number {
    return this.#logSlowness * 2 ** (-(now - this.#measuredAt) / SLOWNESS_HALF_LIFE_MILLISECONDS)
  }
}

/** Failure rates of the fleet, and how much of it may be ejected. */
export class FleetHealth {
  #live = 0
  #ejected = 0
  #rates = 0

  add (health: TargetHealth): void {
    this.#live += 1
    this.#rates += health.failureRate
    if (health.trust === Trust.Ejected) this.#ejected += 1
  }

  remove (health: TargetHealth): void {
    this.#live -= 1
    this.#rates -= health.failureRate
    if (health.trust === Trust.Ejected) this.#ejected -= 1
  }

  /** Tells whether the target, which is counted here, is at fault and can be spared. */
  shouldEject (health: TargetHealth): boolean {
    if (!this.canSpare(health)) return false
    if (health.onProbation) return true
    const others = this.#live > 1 ? (this.#rates - health.failureRate) / (this.#live - 1) : 0
    return health.failureRate >= EJECTION_THRESHOLD && health.failureRate >= EJECTION_CONTRAST * others
  }

  /** Tells whether the target, which is counted here, may go without too few being left. */
  canSpare (health: TargetHealth): boolean {
    if (health.trust === Trust.Ejected) return false
    const kept = Math.max(1, Math.ceil(this.#live * NEVER_EJECTED_PART))
    return this.#ejected + 1 <= this.#live - kept
  }
}
