/**
 * Decides when an agent may send its target a deadline, and when the tasks that were sent one have certainly ended.
 *
 * A target may restart under the same name unnoticed. A call meant for the previous incarnation is then carried out by the
 * new one, which grants the longest lease for any deadline, since its clock starts anew. Tasks that may have reached a new
 * incarnation are bounded by requiring fresh contact with their entries whenever a deadline is sent. Tasks that the current
 * incarnation has listed are bounded by its lease.
 */
import type { AgentContext } from './agentcontext.ts'
import type { HeldTask, HeldTasks } from './heldtasks.ts'
import type { TargetLease } from './targetlease.ts'
import { MIN_LEASE_MILLISECONDS, STOPS_BEFORE_EXPIRY } from './defaults.ts'
import { Stage } from './heldtasks.ts'

/** Pings that fit into `freshContact`, the contact required for orders that a new incarnation may carry out. */
const PINGS_PER_FRESH_CONTACT = 2

export interface LeaseGrantsDependencies {
  context: AgentContext
  held: HeldTasks
  /** Lease of the current incarnation. */
  lease: () => TargetLease
  /** Whether the target rejects calls that name another of its incarnations. Also true without a target. */
  refusesOtherLives: () => boolean
  /** Whether the target has deregistered. */
  deregistered: () => boolean
  /** Whether the task can only have been started by the current incarnation. */
  isOfCurrentIncarnation: (held: HeldTask) => boolean
}

export class LeaseGrants {
  readonly #dependencies: LeaseGrantsDependencies
  readonly #context: AgentContext
  readonly #held: HeldTasks

  constructor (dependencies: LeaseGrantsDependencies) {
    this.#dependencies = dependencies
    this.#context = dependencies.context
    this.#held = dependencies.held
  }

  /** Interval of the pings to an entry with tasks at the target, in milliseconds. */
  get ping (): number {
    const { ping, freshContact } = this.#context.timings
    return this.#mayReachNextIncarnation ? Math.min(ping, Math.floor(freshContact / PINGS_PER_FRESH_CONTACT)) : ping
  }

  /** Time until which tasks of an entry may be started whose contact ends at `contactUntil`. */
  startableUntil (contactUntil: number): number {
    const { contact, freshContact } = this.#context.timings
    return this.#mayReachNextIncarnation ? contactUntil - contact + freshContact : contactUntil
  }

  /** Time from which the task cannot be running, neither in the current incarnation nor in a new one that received its orders. */
  expiresAt (held: HeldTask): number {
    const lease = this.#dependencies.lease()
    return this.#mayReachNextIncarnation && !this.#dependencies.isOfCurrentIncarnation(held) ? lease.expiredInNextIncarnationAt : lease.expiredAt
  }

  /** Deadline for a start that is sent now; undefined while no start may be sent. */
  startDeadline (now: number): number | undefined {
    if (!this.#maySendDeadline(now)) return undefined
    return this.renewal(now) ?? this.#dependencies.lease().repeat(MIN_LEASE_MILLISECONDS, now)
  }

  /** Deadline for a poll that is sent now; undefined while the lease may not be renewed. An orphaned run is ended by letting the lease expire. */
  renewal (now: number): number | undefined {
    const leftToExpire = this.#context.guards.boundedLease && this.#held.hasOrphanedRuns
    return leftToExpire || !this.#mayRenew(now) ? undefined : this.#dependencies.lease().renew(now)
  }

  /**
   * Whether a start may be sent now. While the lease may not be renewed, a start uses what remains of it: the lease is
   * renewed as soon as the ends of the tasks that prevent this are listed.
   */
  mayStart (now: number): boolean {
    return this.#maySendDeadline(now) && (this.#mayRenew(now) || this.#dependencies.lease().hasRemaining(MIN_LEASE_MILLISECONDS, now))
  }

  /** Whether a run that several stops have not ended has to be ended by the expiry of the lease, which also ends all other tasks of the target. */
  get endsWithLease (): boolean {
    return this.#held.orphanedRunPersists || this.#held.all().some(held => held.stopConfirmedAt === undefined && held.stage === Stage.Stopping && held.stops > STOPS_BEFORE_EXPIRY)
  }

  /** Whether a call meant for the current incarnation may be carried out by a new one. */
  get #mayReachNextIncarnation (): boolean {
    return this.#context.guards.freshContact && !this.#dependencies.refusesOtherLives()
  }

  /** Whether any deadline may be sent. A new incarnation would extend all tasks that may have reached it by the longest lease. */
  #maySendDeadline (now: number): boolean {
    if (!this.#mayReachNextIncarnation) return true
    return now < this.startableUntil(this.#held.earliestContactEnd(held => !this.#dependencies.isOfCurrentIncarnation(held)))
  }

  /**
   * Whether the lease may be renewed: only while every task's entry is in contact. So the target runs no task for longer,
   * however late this process is.
   */
  #mayRenew (now: number): boolean {
    if (this.#context.guards.boundedLease && now >= this.#held.earliestContactEnd()) return false
    return this.#maySendDeadline(now) && !this.#dependencies.deregistered() && !this.endsWithLease
  }
}
