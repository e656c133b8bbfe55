/**
 * Health of targets, judged by outcomes before load: a target that fails every task is always idle, so a
 * choice by load alone would send it the work of the whole fleet.
 *
 * A target that fails far more often than the others is ejected for a while, then probed with one task at a
 * time, and its limit doubles with each success. A new or returning target starts in the same way at a
 * quarter of its slots, so that neither a bad target nor a returning provider receives a burst. When all
 * targets fail alike the fault lies in the work and none is ejected. A minimum fraction of the fleet is
 * never ejected.
 */
import {
  REFUSAL_EJECTION_MILLISECONDS, EJECTION_CONTRAST, EJECTION_MILLISECONDS, EJECTION_THRESHOLD, FAILURE_SMOOTHING, MAX_FLAPS,
  FLAP_HALF_LIFE_MILLISECONDS, EJECTION_RESET_SUCCESSES, MAX_EJECTION_MILLISECONDS, NEVER_EJECTED_FRACTION,
  SLOWNESS_HALF_LIFE_MILLISECONDS, SLOWNESS_SMOOTHING, SLOWNESS_THRESHOLD
} from './schedulingdefaults.ts'

/** Health state of a target. */
export enum Trust {
  Full = 'full',
  /** Receives a limited number of tasks, which doubles with each success. */
  Probing = 'probing',
  /** Receives no tasks for a while. */
  Ejected = 'ejected'
}

/** Health of one target as observed by one entry. */
export class TargetHealth {
  trust = Trust.Probing
  /** Maximum number of unfinished tasks while it is probed. */
  allowed: number
  /** Instant at which an ejected target is probed again. */
  probeAt = 0
  failureRate = 0
  readonly #slots: number
  #logSlowness = 0
  #measuredAt = 0
  #ejections = 0
  #refusalEjections = 0
  /** Whether the latest ejection followed a single refusal. */
  #ejectedForOneRefusal = false
  #unresponsive = false
  #consecutiveSuccesses = 0
  #flaps = 0
  #returnedAt = -Infinity

  constructor (slots: number) {
    this.#slots = slots
    this.allowed = this.#initialLimit()
  }

  /** Maximum number of unfinished tasks at the target in its current state. */
  limit (): number {
    if (this.trust === Trust.Ejected) return 0
    return this.trust === Trust.Full ? Infinity : this.allowed
  }

  /** Ratio of its run times to those of the other targets; 1 unless it is clearly slower. */
  slowness (now: number): number {
    const slowness = Math.exp(this.#agedSlowness(now))
    return slowness < SLOWNESS_THRESHOLD ? 1 : slowness
  }

  /** From 0 when ejected to 1 when fully trusted and as fast as the others. */
  weight (now: number): number {
    if (this.trust === Trust.Ejected) return 0
    return Math.min(1, this.limit() / this.#slots) / this.slowness(now)
  }

  /** Records a success. `runRatio` is the run time divided by the expected one. */
  recordSuccess (runRatio: number, now: number): void {
    this.failureRate *= 1 - FAILURE_SMOOTHING
    const aged = this.#agedSlowness(now)
    this.#logSlowness = aged + (Math.log(runRatio) - aged) * SLOWNESS_SMOOTHING
    this.#measuredAt = now
    this.#consecutiveSuccesses += 1
    this.#refusalEjections = 0
    if (this.#consecutiveSuccesses >= EJECTION_RESET_SUCCESSES) this.#ejections = 0
    this.#endUnresponsive()
    if (this.trust !== Trust.Probing) return
    this.allowed *= 2
    if (this.allowed >= this.#slots) this.trust = Trust.Full
  }

  recordFailure (): void {
    this.failureRate += (1 - this.failureRate) * FAILURE_SMOOTHING
    this.#consecutiveSuccesses = 0
    this.#refusalEjections = 0
    this.#endUnresponsive()
    if (this.trust === Trust.Probing) this.allowed = Math.max(1, Math.floor(this.allowed / 2))
  }

  eject (now: number): void {
    const duration = EJECTION_MILLISECONDS * 2 ** this.#ejections
    this.#ejections += 1
    this.#ejectedForOneRefusal = false
    this.trust = Trust.Ejected
    this.probeAt = now + Math.min(MAX_EJECTION_MILLISECONDS, duration)
  }

  /**
   * Ejects a target that refused a task although it had free capacity: the target cannot be reached, or its
   * agent is cut off. Unlike failures this is not a matter of chance, so one refusal is enough. No task was
   * lost, so it is probed again sooner than after failures.
   */
  close (now: number): void {
    const duration = REFUSAL_EJECTION_MILLISECONDS * 2 ** this.#refusalEjections
    this.#refusalEjections += 1
    this.#ejectedForOneRefusal = this.#refusalEjections === 1
    this.trust = Trust.Ejected
    this.probeAt = now + Math.min(MAX_EJECTION_MILLISECONDS, duration)
  }

  /**
   * Whether it is ejected for a single refusal. An agent refuses tasks for a moment after every change of its view,
   * so its slots are not lost yet; a refused probe shows that they are.
   */
  get paused (): boolean {
    return this.trust === Trust.Ejected && this.#ejectedForOneRefusal
  }

  /** Ejects a busy target that has not responded for long, until it responds or its next probe is due. */
  ejectUnresponsive (now: number): void {
    this.eject(now)
    this.#unresponsive = true
  }

  probe (): void {
    this.#unresponsive = false
    this.trust = Trust.Probing
    this.allowed = 1
  }

  /**
   * Whether the target is probed after an ejection. A failed probe ejects it again at once, without waiting
   * for its failure rate to rise.
   */
  get onProbation (): boolean {
    return this.trust === Trust.Probing && this.#ejections > 0
  }

  /**
   * Records that the target connected, for the first time or again. A target that reconnects too often is
   * ejected for a while each time: it looks healthy while it is connected, and each disconnect loses the
   * tasks it had.
   */
  recordReturn (now: number): void {
    const elapsed = now - this.#returnedAt
    this.#flaps = this.#flaps * 2 ** (-elapsed / FLAP_HALF_LIFE_MILLISECONDS) + 1
    this.#returnedAt = now
    if (this.#flaps > MAX_FLAPS) this.eject(now)
    else if (this.trust !== Trust.Ejected) this.trust = Trust.Probing
    this.allowed = this.#initialLimit()
  }

  #endUnresponsive (): void {
    if (!this.#unresponsive) return
    this.#unresponsive = false
    this.trust = Trust.Probing
    this.allowed = this.#initialLimit()
  }

  #initialLimit (): number {
    return Math.max(1, Math.ceil(this.#slots / 4))
  }

  /**
   * Logarithm of the slowness, which decays with time. A slow target gets few tasks and therefore few
   * measurements; without the decay it would never be tried again.
   */
  #agedSlowness (now: number): number {
    return this.#logSlowness * 2 ** (-(now - this.#measuredAt) / SLOWNESS_HALF_LIFE_MILLISECONDS)
  }
}

/** Failure rates of the fleet and the number of ejected targets. */
export class FleetHealth {
  #live = 0
  #ejected = 0
  #failureRateSum = 0

  add (health: TargetHealth): void {
    this.#live += 1
    this.#failureRateSum += health.failureRate
    if (health.trust === Trust.Ejected) this.#ejected += 1
  }

  remove (health: TargetHealth): void {
    this.#live -= 1
    this.#failureRateSum -= health.failureRate
    if (health.trust === Trust.Ejected) this.#ejected -= 1
  }

  /** Whether a target of this fleet is at fault and can be spared. */
  shouldEject (health: TargetHealth): boolean {
    if (!this.canSpare(health)) return false
    if (health.onProbation) return true
    const others = this.#live > 1 ? (this.#failureRateSum - health.failureRate) / (this.#live - 1) : 0
    return health.failureRate >= EJECTION_THRESHOLD && health.failureRate >= EJECTION_CONTRAST * others
  }

  /** Whether a target of this fleet can be ejected while enough others remain. */
  canSpare (health: TargetHealth): boolean {
    if (health.trust === Trust.Ejected) return false
    const minimum = Math.max(1, Math.ceil(this.#live * NEVER_EJECTED_FRACTION))
    return this.#ejected + 1 <= this.#live - minimum
  }
}
