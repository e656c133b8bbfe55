/** Plays one day of an experiment under one policy. */
import type { Policy } from '@amaranthmast/dispatch/policy'
import type { Verdict } from './callers.ts'
import type { Experiment } from './experiment.ts'
import type { DayFigures } from './figures.ts'
import { SeededRandom } from '@amaranthmast/standins/random'
import { Callers } from './callers.ts'
import { drawDay } from './dayplan.ts'
import { figuresOf } from './figures.ts'
import { EmulatedFleet } from './fleet.ts'
import { Timeline } from './timeline.ts'
import { schedule } from './troubles.ts'

/** The fleet runs for so long before the first job, in milliseconds. */
const LEAD_MILLISECONDS = 2000

/** Another stream of random numbers than that of the plan, so that a policy does not change the load. */
const PLAY_SEED_OFFSET = 1_000_003

export interface Day {
  figures: DayFigures
  verdicts: readonly Verdict[]
}

/** @param note hears every line that a process would log */
export function playDay (experiment: Experiment, seed: number, policy: Partial<Policy>, note?: (at: number, process: string, what: string, fields: Record<string, unknown>) => void): Day {
  const plan = drawDay(experiment, seed)
  const timeline = new Timeline()
  const random = new SeededRandom(seed + PLAY_SEED_OFFSET)
  const callers = new Callers(plan, timeline, random, () => fleet)
  const fleet = new EmulatedFleet(plan, timeline, random, policy, {
    answered: (request, answer) => callers.answered(request, answer),
    entryEnded: (entry, powerLost) => callers.entryEnded(entry, powerLost),
    ...(note === undefined ? {} : { note: (process, what, fields) => note(timeline.now - LEAD_MILLISECONDS, process, what, fields) })
  })
  timeline.runUntil(LEAD_MILLISECONDS)
  const messagesBefore = fleet.messages
  callers.begin()
  schedule(plan, { fleet, timeline, random })
  timeline.runUntil(LEAD_MILLISECONDS + plan.length)
  const counts = { work: fleet.work, seconds: experiment.seconds, callerDelay: plan.delays.callers, crashes: fleet.crashes, startsAfterCrashes: fleet.startsAfterCrashes, starts: fleet.starts, fullStarts: fleet.fullStarts, messages: fleet.messages - messagesBefore, entryLoads: fleet.entryLoads, agentLoads: fleet.agentLoads, checks: fleet.targets.map(({ check }) => check) }
  const longest = Math.max(...plan.jobs.map(({ deadline }) => deadline))
  timeline.runUntil(LEAD_MILLISECONDS + plan.length + longest + 1)
  return { figures: figuresOf(callers.verdicts, counts), verdicts: callers.verdicts }
}
