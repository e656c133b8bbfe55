/** Chooses the target of a task by the time left to its deadline: fast targets are left to tasks that would be late elsewhere. */
import type { AgentView } from './fleetview.ts'
import type { PlacementRequest } from './placement.ts'
import { LATE_FACTOR } from './defaults.ts'
import { FAST_TARGET_COST_MILLISECONDS, SLACK_MARGIN_FRACTION } from './speeddefaults.ts'
import { allows, expectedRunOf, placementCostOf } from './placement.ts'

/** Whether a task would end in time at a target. Lower values are better. */
enum Fit {
  /** In time, even if the run exceeds its expected time by the margin. */
  Safe,
  /** In time if the run takes no longer than expected. */
  Tight,
  Late,
  /** So late that the result has no value. */
  TooLate
}

type Cost = (request: PlacementRequest, agent: AgentView) => number

/** Cost by which targets with the same fit are compared, in milliseconds. */
const COSTS: { readonly [Key in Fit]: Cost } = {
  [Fit.Safe]: (request, agent) => FAST_TARGET_COST_MILLISECONDS * Math.log(agent.speed) + placementCostOf(request, agent, request.farPenalty),
  [Fit.Tight]: (request, agent) => expectedRunOf(request, agent) + placementCostOf(request, agent, request.remoteDelay),
  [Fit.Late]: (request, agent) => FAST_TARGET_COST_MILLISECONDS * Math.log(agent.speed) + placementCostOf(request, agent, request.farPenalty),
  [Fit.TooLate]: (request, agent) => expectedRunOf(request, agent) + placementCostOf(request, agent, request.remoteDelay)
}

/**
 * Chooses the slowest target at which the task is in time with a margin, or else the one where it is most likely in time.
 * Undefined when no target has capacity, or when the task would be late at all that have, but in time at a faster target that
 * may have capacity soon. A task that cannot be in time at any target does not get a fast one.
 *
 * @param fastest speed of the fastest targets that accept the task, with or without free capacity
 */
export function chooseBySlack (request: PlacementRequest, candidates: readonly AgentView[], fastest: number): AgentView | undefined {
  const shortestRun = request.expected / fastest
  const neverInTime = shortestRun > request.left
  let chosen: AgentView | undefined
  let fit = Fit.TooLate
  let lowest = Infinity
  for (const agent of candidates) {
    if (!allows(request, agent)) continue
    const fitHere = fitOf(request, agent)
    if (fitHere > fit) continue
    const cost = COSTS[fitHere](request, agent)
    if (fitHere === fit && cost >= lowest) continue
    chosen = agent
    fit = fitHere
    lowest = cost
  }
  const shouldWait = fit >= Fit.Late && !neverInTime
  return shouldWait ? undefined : chosen
}

function fitOf (request: PlacementRequest, agent: AgentView): Fit {
  const { expected, dataCentre, remoteDelay } = request
  const run = expectedRunOf(request, agent)
  const left = request.left - (agent.target?.dataCentre === dataCentre ? 0 : remoteDelay)
  if (run * (1 + SLACK_MARGIN_FRACTION) <= left) return Fit.Safe
  if (run <= left) return Fit.Tight
  return run <= Math.max(left, expected) * LATE_FACTOR ? Fit.Late : Fit.TooLate
}
