/** Chooses the target of a task by cost. */
import type { AgentView } from './fleetview.ts'
import type { Step } from './job.ts'
import type { Policy } from './policy.ts'
import { SUSPECT_LOAD_COST_MILLISECONDS } from './crashdefaults.ts'
import { MAX_COUNTED_FAILURE_RATE } from './defaults.ts'
import { Isolation } from './messages.ts'
import { fits } from './resources.ts'

/** The task to be placed and the circumstances of the choice. */
export interface PlacementRequest {
  step: Pick<Step, 'needs' | 'label' | 'rack' | 'perTarget'>
  /** Expected run time at an average target, in milliseconds. */
  expected: number
  now: number
  /** Milliseconds until the task must end for its job to meet its objective; negative when that has passed. */
  left: number
  /** Agent whose target is used only when no other has capacity. */
  avoid: string
  /** Isolated tasks (suspects of a crash) go to the emptiest target without another suspect. */
  isolation: Isolation
  dataCentre: string
  /** Number of tasks of the same step at a target. */
  placedAt: (agent: AgentView) => number
  /** Whether a target may get one more task, apart from its free resources. */
  hasPlace: (agent: AgentView) => boolean
  /** Whether a target has tasks of the entry for which the task is placed. */
  isUsed: (agent: AgentView) => boolean
  /** Number of entries that may place tasks. */
  entries: number
  policy: Policy
  /** Cost of a target of another data centre, in milliseconds. */
  farPenalty: number
  /** Extra time of a task at a target of another data centre, in milliseconds. */
  remoteDelay: number
}

/**
 * Chooses the target with free capacity where the task is expected to end first, with a preference
 * for the local data centre, whose traffic is cheaper, and for emptier targets, whose load is less
 * likely to be out of date. Undefined when no target has capacity.
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

/** Whether the target may get the task now: free resources, remaining lifetime, labels, isolation and the limit per target. */
export function allows ({ step, expected, now, isolation, placedAt, hasPlace }: PlacementRequest, agent: AgentView): boolean {
  if (isolation !== Isolation.None && agent.hasSuspect) return false
  if (!hasPlace(agent) || !fits(step.needs, agent.free) || !agent.canFinishBeforeLeaving(expected, now)) return false
  if (step.label !== '' && agent.target?.labels.includes(step.label) !== true) return false
  return step.perTarget === 0 || placedAt(agent) < step.perTarget
}

/** Total cost of the choice, in milliseconds. */
function costOf (request: PlacementRequest, agent: AgentView): number {
  return expectedRunOf(request, agent) + placementCostOf(request, agent, request.farPenalty)
}

/** Expected run time of the task at the target by its speed, success rate and rack, in milliseconds. */
export function expectedRunOf ({ step, expected, policy }: PlacementRequest, { target, health, speed }: AgentView): number {
  if (target === undefined) return Infinity
  const successRate = policy.countsFailures ? 1 - Math.min(MAX_COUNTED_FAILURE_RATE, health.failureRate) : 1
  const run = expected / speed / successRate
  return step.rack === '' || target.labels.includes(step.rack) ? run : run * 1.5
}

/**
 * Cost of the choice besides the expected run time, in milliseconds.
 *
 * @param farPenalty cost of a target of another data centre, in milliseconds
 */
export function placementCostOf ({ expected, avoid, isolation, dataCentre, isUsed, entries, policy }: PlacementRequest, agent: AgentView, farPenalty: number): number {
  const { target } = agent
  if (target === undefined) return Infinity
  const remoteCost = target.dataCentre === dataCentre ? 0 : farPenalty
  const loadCost = (isolation === Isolation.None ? policy.loadPenalty : SUSPECT_LOAD_COST_MILLISECONDS) * (agent.used.cpu + agent.others.cpu) / Math.max(1, target.capacity.cpu)
  const newTargetCost = isUsed(agent) ? 0 : policy.affinity * entries
  const avoidance = isolation === Isolation.None ? expected : SUSPECT_LOAD_COST_MILLISECONDS
  return newTargetCost + remoteCost + loadCost + (agent.name === avoid ? avoidance : 0) + (agent.hasSuspect ? expected : 0)
}
