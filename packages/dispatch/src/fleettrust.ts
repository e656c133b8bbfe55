/** How far an entry trusts each target, by how the tasks that it placed there ended. */
import type { AgentView, Placement } from './fleetview.ts'
import type { TaskEnd } from './messages.ts'
import type { Policy } from './policy.ts'
import { FleetHealth, TargetHealth, Trust } from '@amaranthmast/coordination/health'
import { REFUSAL_PAUSE_MILLISECONDS, MAX_TOLERATED_UNANSWERED_STARTS, UNREACHABLE_PAUSE_MILLISECONDS } from './defaults.ts'
import { Cause, Outcome } from './messages.ts'
import { fits } from './resources.ts'

/**
 * Slots assumed for the gradual trust in a target: with a quarter of them a new one takes all that it has room for
 * (ten tasks of three cores on 32), so that a fleet that has just been restarted serves in full at once.
 */
const ASSUMED_SLOTS = 64

/** Causes that speak against a target as a failed task does. */
const AGAINST_TARGET = new Set<Cause>([Cause.Unhealthy, Cause.Rejected])

/** How long a target is left alone after a cause, in milliseconds. */
const PAUSES: { readonly [C in Cause]?: number } = {
  [Cause.Unreachable]: UNREACHABLE_PAUSE_MILLISECONDS,
  [Cause.Unhealthy]: REFUSAL_PAUSE_MILLISECONDS,
  [Cause.Rejected]: REFUSAL_PAUSE_MILLISECONDS
}

export interface FleetTrustParts {
  policy: Policy
  note: (what: string, fields: Record<string, unknown>) => void
}

export class FleetTrust {
  readonly #parts: FleetTrustParts
  readonly #health = new FleetHealth()

  constructor (parts: FleetTrustParts) {
    this.#parts = parts
  }

  add (agent: AgentView): void {
    this.#health.add(agent.health)
  }

  remove (agent: AgentView): void {
    this.#health.remove(agent.health)
  }

  /** Another life of the target is there: nothing that was learned of the one before holds. */
  renew (agent: AgentView): void {
    this.#health.remove(agent.health)
    agent.health = new TargetHealth(ASSUMED_SLOTS)
    this.#health.add(agent.health)
  }

  /** Learns from an end how far the target can be trusted. */
  judge (agent: AgentView, placement: Placement, end: TaskEnd, now: number): void {
    const { policy } = this.#parts
    this.#health.remove(agent.health)
    agent.unanswered = end.cause === Cause.Unanswered ? agent.unanswered + 1 : 0
    if (end.outcome === Outcome.Done) {
      agent.health.recordSuccess(end.ran * agent.speed / Math.max(1, placement.expected), now)
    } else if (end.outcome === Outcome.Failed || AGAINST_TARGET.has(end.cause) || agent.unanswered >= MAX_TOLERATED_UNANSWERED_STARTS) {
      agent.health.recordFailure()
    }
    const pause = PAUSES[end.cause]
    if (pause !== undefined) {
      agent.pausedUntil = now + (policy.pausesRefusing ? pause : 0)
    } else if (policy.believesFull && end.cause === Cause.Full && fits(placement.needs, agent.free)) {
      // By what it says of its load there is room: asking again at once would go on for ever.
      agent.noteFull()
    }
    this.#health.add(agent.health)
    if (end.outcome !== Outcome.Done) this.#ejectIfDue(agent, now)
  }

  /** A task that stood still there speaks against the target as a failed one does. */
  noteStuck (agent: AgentView, now: number): void {
    this.#health.remove(agent.health)
    agent.health.recordFailure()
    this.#health.add(agent.health)
    this.#ejectIfDue(agent, now)
  }

  /** A target that was left out is tried again when its time has come. */
  probeIfDue (agent: AgentView, now: number): void {
    if (agent.health.trust !== Trust.Ejected || now < agent.health.probeAt) return
    this.#health.remove(agent.health)
    agent.health.probe()
    this.#health.add(agent.health)
    this.#parts.note('target probed', { agent: agent.name })
  }

  #ejectIfDue (agent: AgentView, now: number): void {
    if (!this.#parts.policy.ejects || !this.#health.shouldEject(agent.health)) return
    this.#health.remove(agent.health)
    agent.health.eject(now)
    this.#health.add(agent.health)
    this.#parts.note('target ejected', { agent: agent.name, failureRate: agent.health.failureRate, probeIn: Math.round(agent.health.probeAt - now) })
  }
}
