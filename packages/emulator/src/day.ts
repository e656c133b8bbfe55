/** Emulates one day of an experiment under one policy. */
import type { Policy } from '@amaranthmast/dispatch/policy'
import type { JobResult } from './callers.ts'
import type { Experiment } from './experiment.ts'
import type { DayFigures } from './figures.ts'
import { SeededRandom } from '@amaranthmast/standins/random'
import { Callers } from './callers.ts'
import { drawDay } from './dayplan.ts'
import { figuresOf } from './figures.ts'
import { EmulatedFleet } from './fleet.ts'
import { Timeline } from './timeline.ts'
import { schedule } from './troubles.ts'

/** How long the fleet runs before the load starts, in milliseconds. */
const WARM_UP_MILLISECONDS = 2000

/** Offset of the seed of the run from that of the plan. Separate random streams keep a policy from changing the load. */
const PLAY_SEED_OFFSET = 1_000_003

/** Figures and job results of an emulated day. */
export interface Day {
  figures: DayFigures
  results: readonly JobResult[]
}

/** @param note receives every line that a process logs; `at` is in milliseconds from the start of the load */
export function playDay (experiment: Experiment, seed: number, policy: Partial<Policy>, note?: (at: number, process: string, what: string, fields: Record<string, unknown>) => void): Day {
  const plan = drawDay(experiment, seed)
  const timeline = new Timeline()
  const random = new SeededRandom(seed + PLAY_SEED_OFFSET)
  const callers = new Callers(plan, timeline, random, () => fleet)
  const fleet = new EmulatedFleet(plan, timeline, random, policy, {
    answered: (request, answer) => callers.answered(request, answer),
    entryEnded: (entry, powerLost) => callers.entryEnded(entry, powerLost),
    ...(note === undefined ? {} : { note: (process, what, fields) => note(timeline.now - WARM_UP_MILLISECONDS, process, what, fields) })
  })
  timeline.runUntil(WARM_UP_MILLISECONDS)
  const messagesBefore = fleet.messages
  callers.start()
  schedule(plan, { fleet, timeline, random })
  timeline.runUntil(WARM_UP_MILLISECONDS + plan.length)
  const counts = { work: fleet.work, seconds: experiment.seconds, callerDelay: plan.delays.callers, crashes: fleet.crashes, startsAfterCrashes: fleet.startsAfterCrashes, starts: fleet.starts, fullStarts: fleet.fullStarts, messages: fleet.messages - messagesBefore, entryLoads: fleet.entryLoads, agentLoads: fleet.agentLoads, checks: fleet.targets.map(({ check }) => check) }
  const maxDeadline = Math.max(...plan.jobs.map(({ deadline }) => deadline))
  timeline.runUntil(WARM_UP_MILLISECONDS + plan.length + maxDeadline + 1)
  return { figures: figuresOf(callers.results, counts), results: callers.results }
}
