/** Which target a task goes to by what it can bear: fast targets are left to the tasks that are late elsewhere. */
import type { AgentView } from './fleetview.ts'
import type { PlacementRequest } from './placement.ts'
import { LATE_FACTOR } from './defaults.ts'
import { FAST_PLACE_MILLISECONDS, SLACK_MARGIN_PART } from './speeddefaults.ts'
import { allows, runOf, sideCostOf } from './placement.ts'

/** How a target would serve the task. */
enum Fit {
  /** In time, also when the run takes longer than expected by the margin. */
  Safe,
  /** In time if the run takes as long as expected. */
  Tight,
  Late,
  /** Too late to count at all. */
  Useless
}

type Rank = (request: PlacementRequest, agent: AgentView) => number

/** What the choice costs among targets that fit alike. */
const COSTS: { readonly [Key in Fit]: Rank } = {
  [Fit.Safe]: (request, agent) => FAST_PLACE_MILLISECONDS * Math.log(agent.speed) + sideCostOf(request, agent, request.farPenalty),
  [Fit.Tight]: (request, agent) => runOf(request, agent) + sideCostOf(request, agent, request.farWay),
  [Fit.Late]: (request, agent) => FAST_PLACE_MILLISECONDS * Math.log(agent.speed) + sideCostOf(request, agent, request.farPenalty),
  [Fit.Useless]: (request, agent) => runOf(request, agent) + sideCostOf(request, agent, request.farWay)
}

/**
 * The slowest target that serves the task in time with a margin, or the one where it is in time most likely. Undefined when
 * none has room, or when it would be late wherever there is room and in time at a faster target that may have room soon.
 * A task that can be in time nowhere is not worth a fast place.
 *
 * @param fastest speed of the fastest targets that take the task, with room or without
 */
export function chooseBySlack (request: PlacementRequest, candidates: readonly AgentView[], fastest: number): AgentView | undefined {
  const best = request.expected / fastest
  const doomed = best > request.left
  let chosen: AgentView | undefined
  let fit = Fit.Useless
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
  const waits = fit >= Fit.Late && !doomed
  return waits ? undefined : chosen
}

function fitOf (request: PlacementRequest, agent: AgentView): Fit {
  const { expected, dataCentre, farWay } = request
  const run = runOf(request, agent)
  const left = request.left - (agent.target?.dataCentre === dataCentre ? 0 : farWay)
  if (run * (1 + SLACK_MARGIN_PART) <= left) return Fit.Safe
  if (run <= left) return Fit.Tight
  return run <= Math.max(left, expected) * LATE_FACTOR ? Fit.Late : Fit.Useless
}
