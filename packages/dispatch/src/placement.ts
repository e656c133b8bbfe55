/** Which target a task goes to. */
import type { AgentView } from './fleetview.ts'
import type { Step } from './job.ts'
import type { Policy } from './policy.ts'
import { SUSPECT_LOAD_COST_MILLISECONDS } from './crashdefaults.ts'
import { COUNTED_FAILURE_RATE } from './defaults.ts'
import { Isolation } from './messages.ts'
import { fits } from './resources.ts'

/** What a choice is made for. */
export interface PlacementRequest {
  step: Pick<Step, 'needs' | 'label' | 'rack' | 'perTarget'>
  /** Expected run time at an average target, in milliseconds. */
  expected: number
  now: number
  /** Milliseconds until the task must have ended for its job to be in time; negative when that has passed. */
  left: number
  /** Target to be taken only when no other has room. */
  avoid: string
  /** A suspect goes to the emptiest target without another one. */
  isolation: Isolation
  dataCentre: string
  /** Tasks of the same step at a target. */
  placedAt: (agent: AgentView) => number
  /** Whether it may get one more, apart from its room. */
  hasPlace: (agent: AgentView) => boolean
  /** Whether it has tasks of the entry that the choice is for. */
  isUsed: (agent: AgentView) => boolean
  /** Entries that may place tasks there. */
  entries: number
  policy: Policy
  /** What a target of another data centre is worth avoiding, in milliseconds. */
  farPenalty: number
  /** How much longer a task takes there and back, in milliseconds. */
  farWay: number
}

/**
 * The target with room where the task is expected to end first, with a preference for the own data
 * centre, whose traffic is cheaper, and for emptier targets, whose load is less likely to be out of
 * date. Undefined when none has room.
 */
export function choose (request: PlacementRequest, candidates: readonly AgentView[]): AgentView | undefined {
  let best: AgentView | undefined
  let lowest = Infinity
  for (const agent of candidates) {
    if (!allows(request, agent)) continue
    const cost = costOf(request, agent)
    if (cost >= lowest) continue
    lowest = cost
    best = agent
  }
  return best
}

/** Whether the target may get the task now. */
export function allows ({ step, expected, now, isolation, placedAt, hasPlace }: PlacementRequest, agent: AgentView): boolean {
  if (isolation !== Isolation.None && agent.hasSuspect) return false
  if (!hasPlace(agent) || !fits(step.needs, agent.free) || !agent.canFinishBeforeLeaving(expected, now)) return false
  if (step.label !== '' && agent.target?.labels.includes(step.label) !== true) return false
  return step.perTarget === 0 || placedAt(agent) < step.perTarget
}

/** Time that the choice costs, in milliseconds. */
function costOf (request: PlacementRequest, agent: AgentView): number {
  return runOf(request, agent) + sideCostOf(request, agent, request.farPenalty)
}

/** How long the task is expected to run there, in milliseconds. */
export function runOf ({ step, expected, policy }: PlacementRequest, { target, health, speed }: AgentView): number {
  if (target === undefined) return Infinity
  const sound = policy.countsFailures ? 1 - Math.min(COUNTED_FAILURE_RATE, health.failureRate) : 1
  const run = expected / speed / sound
  return step.rack === '' || target.labels.includes(step.rack) ? run : run * 1.5
}

/**
 * What the choice costs besides the run, in milliseconds.
 *
 * @param farPenalty what a target of another data centre is worth avoiding, in milliseconds
 */
export function sideCostOf ({ expected, avoid, isolation, dataCentre, isUsed, entries, policy }: PlacementRequest, agent: AgentView, farPenalty: number): number {
  const { target } = agent
  if (target === undefined) return Infinity
  const far = target.dataCentre === dataCentre ? 0 : farPenalty
  const load = (isolation === Isolation.None ? policy.loadPenalty : SUSPECT_LOAD_COST_MILLISECONDS) * (agent.used.cpu + agent.others.cpu) / Math.max(1, target.capacity.cpu)
  const fresh = isUsed(agent) ? 0 : policy.affinity * entries
  const avoidance = isolation === Isolation.None ? expected : SUSPECT_LOAD_COST_MILLISECONDS
  return fresh + far + load + (agent.name === avoid ? avoidance : 0) + (agent.hasSuspect ? expected : 0)
}
