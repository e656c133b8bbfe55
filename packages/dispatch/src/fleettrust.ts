/** Health of each target, derived from how the tasks placed there ended. */
import type { AgentView, Placement } from './fleetview.ts'
import type { TaskEnd } from './messages.ts'
import type { Policy } from './policy.ts'
import { FleetHealth, TargetHealth, Trust } from '@amaranthmast/coordination/health'
import { REFUSAL_PAUSE_MILLISECONDS, MAX_TOLERATED_UNANSWERED_STARTS, UNREACHABLE_PAUSE_MILLISECONDS } from './defaults.ts'
import { Cause, Outcome } from './messages.ts'
import { fits } from './resources.ts'

/**
 * Slots assumed for the slow start of a new target. A quarter of them, the initial limit, already covers all that a
 * target has capacity for (ten tasks of three cores on 32 cores), so that a restarted fleet serves at full capacity at
 * once.
 */
const ASSUMED_SLOTS = 64

/** Causes that count as failures of the target, like a failed task. */
const TARGET_FAULTS = new Set<Cause>([Cause.Unhealthy, Cause.Rejected])

/** How long nothing is placed at a target after a cause, in milliseconds. */
const PAUSE_MILLISECONDS: { readonly [C in Cause]?: number } = {
  [Cause.Unreachable]: UNREACHABLE_PAUSE_MILLISECONDS,
  [Cause.Unhealthy]: REFUSAL_PAUSE_MILLISECONDS,
  [Cause.Rejected]: REFUSAL_PAUSE_MILLISECONDS
}

export interface FleetTrustDependencies {
  policy: Policy
  note: (what: string, fields: Record<string, unknown>) => void
}

export class FleetTrust {
  readonly #dependencies: FleetTrustDependencies
  readonly #health = new FleetHealth()

  constructor (dependencies: FleetTrustDependencies) {
    this.#dependencies = dependencies
  }

  add (agent: AgentView): void {
    this.#health.add(agent.health)
  }

  remove (agent: AgentView): void {
    this.#health.remove(agent.health)
  }

  /** Resets the health for a new incarnation of the target: results of the previous one no longer apply. */
  reset (agent: AgentView): void {
    this.#health.remove(agent.health)
    agent.health = new TargetHealth(ASSUMED_SLOTS)
    this.#health.add(agent.health)
  }

  /** Updates a target's health after one start of a task has ended there. */
  recordEnd (agent: AgentView, placement: Placement, end: TaskEnd, now: number): void {
    const { policy } = this.#dependencies
    this.#health.remove(agent.health)
    agent.unanswered = end.cause === Cause.Unanswered ? agent.unanswered + 1 : 0
    if (end.outcome === Outcome.Done) {
      agent.health.recordSuccess(end.ran * agent.speed / Math.max(1, placement.expected), now)
    } else if (end.outcome === Outcome.Failed || TARGET_FAULTS.has(end.cause) || agent.unanswered >= MAX_TOLERATED_UNANSWERED_STARTS) {
      agent.health.recordFailure()
    }
    const pause = PAUSE_MILLISECONDS[end.cause]
    if (pause !== undefined) {
      agent.pausedUntil = now + (policy.pausesRefusing ? pause : 0)
    } else if (policy.believesFull && end.cause === Cause.Full && fits(placement.needs, agent.free)) {
      // The reported load shows free capacity although the target refused as full. Without this the same start would be
      // repeated endlessly.
      agent.noteFull()
    }
    this.#health.add(agent.health)
    if (end.outcome !== Outcome.Done) this.#ejectIfDue(agent, now)
  }

  /** Counts a task that made no progress as a failure of its target. */
  noteStuck (agent: AgentView, now: number): void {
    this.#health.remove(agent.health)
    agent.health.recordFailure()
    this.#health.add(agent.health)
    this.#ejectIfDue(agent, now)
  }

  /** Puts an ejected target back on probation when its probe time has come. */
  probeIfDue (agent: AgentView, now: number): void {
    if (agent.health.trust !== Trust.Ejected || now < agent.health.probeAt) return
    this.#health.remove(agent.health)
    agent.health.probe()
    this.#health.add(agent.health)
    this.#dependencies.note('target probed', { agent: agent.name })
  }

  #ejectIfDue (agent: AgentView, now: number): void {
    if (!this.#dependencies.policy.ejects || !this.#health.shouldEject(agent.health)) return
    this.#health.remove(agent.health)
    agent.health.eject(now)
    this.#health.add(agent.health)
    this.#dependencies.note('target ejected', { agent: agent.name, failureRate: agent.health.failureRate, probeIn: Math.round(agent.health.probeAt - now) })
  }
}
