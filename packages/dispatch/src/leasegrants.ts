/**
 * When an agent may send its target a deadline, and when the tasks that were sent one have certainly ended.
 *
 * A target may start again under its name unnoticed. A call meant for the life before is then carried out by the next one,
 * which grants the longest lease for any deadline, as its clock has started anew. What it may have taken is bounded by how
 * fresh the contact with the tasks' entries is when a deadline is sent; what the present life has listed is bounded by its lease.
 */
import type { AgentContext } from './agentcontext.ts'
import type { HeldTask, HeldTasks } from './heldtasks.ts'
import type { TargetLease } from './targetlease.ts'
import { SHORTEST_LEASE_MILLISECONDS, STOPS_BEFORE_LAPSE } from './defaults.ts'
import { Stage } from './heldtasks.ts'

/** Pings in the contact that is needed for orders which a next life may take. */
const PINGS_PER_FRESH_CONTACT = 2

export interface LeaseGrantsParts {
  context: AgentContext
  held: HeldTasks
  /** Of the present life. */
  lease: () => TargetLease
  /** Whether the target turns down calls that name another life of it, or there is none. */
  refusesOtherLives: () => boolean
  /** Whether the target has said that it ends. */
  deregistered: () => boolean
  /** Whether the task can only have begun in the present life. */
  isProven: (held: HeldTask) => boolean
}

export class LeaseGrants {
  readonly #parts: LeaseGrantsParts
  readonly #context: AgentContext
  readonly #held: HeldTasks

  constructor (parts: LeaseGrantsParts) {
    this.#parts = parts
    this.#context = parts.context
    this.#held = parts.held
  }

  /** Longest time between two pings of an entry with tasks at the target, in milliseconds. */
  get ping (): number {
    const { ping, freshContact } = this.#context.timings
    return this.#reachesNextLife ? Math.min(ping, Math.floor(freshContact / PINGS_PER_FRESH_CONTACT)) : ping
  }

  /** Until when tasks may be started of an entry whose contact lasts until then. */
  startableUntil (contactUntil: number): number {
    const { contact, freshContact } = this.#context.timings
    return this.#reachesNextLife ? contactUntil - contact + freshContact : contactUntil
  }

  /** From then on the task cannot be running, neither in the present life nor in one that has taken orders meant for it. */
  lapsesAt (held: HeldTask): number {
    const lease = this.#parts.lease()
    return this.#reachesNextLife && !this.#parts.isProven(held) ? lease.lapsedInNextLifeAt : lease.lapsedAt
  }

  /** Deadline of a start that is sent now; undefined while none may be sent. */
  startDeadline (now: number): number | undefined {
    if (!this.#mayGrant(now)) return undefined
    return this.renewal(now) ?? this.#parts.lease().repeat(SHORTEST_LEASE_MILLISECONDS, now)
  }

  /** Deadline of a poll that is sent now; undefined while the lease may not be renewed: for a run that nobody asked for it is left to lapse. */
  renewal (now: number): number | undefined {
    const leftToLapse = this.#context.guards.boundedLease && this.#held.hasStrays
    return leftToLapse || !this.#isAwaited(now) ? undefined : this.#parts.lease().renew(now)
  }

  /** While the lease may not be renewed, starts go under what is left of it: it is renewed as soon as the ends of others are listed. */
  mayStart (now: number): boolean {
    return this.#mayGrant(now) && (this.#isAwaited(now) || this.#parts.lease().lasts(SHORTEST_LEASE_MILLISECONDS, now))
  }

  /** A run that several orders did not stop ends with the lease, at the price of those beside it. */
  get endsWithLease (): boolean {
    return this.#held.strayStays || this.#held.all().some(held => held.stopConfirmedAt === undefined && held.stage === Stage.Stopping && held.stops > STOPS_BEFORE_LAPSE)
  }

  /** Whether a call meant for the present life may be carried out by the next one. */
  get #reachesNextLife (): boolean {
    return this.#context.guards.freshContact && !this.#parts.refusesOtherLives()
  }

  /** Whether any deadline may be sent: the next life would grant the longest lease to all that it may have taken. */
  #mayGrant (now: number): boolean {
    if (!this.#reachesNextLife) return true
    return now < this.startableUntil(this.#held.awaitedUntil(held => !this.#parts.isProven(held)))
  }

  /**
   * Whether each task is awaited: beyond that time the lease is not renewed, so that the target holds none for longer
   * however late this process is.
   */
  #isAwaited (now: number): boolean {
    if (this.#context.guards.boundedLease && now >= this.#held.awaitedUntil()) return false
    return this.#mayGrant(now) && !this.#parts.deregistered() && !this.endsWithLease
  }
}
