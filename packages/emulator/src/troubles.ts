/** Applies each kind of trouble to an emulated fleet. */
import type { SeededRandom } from '@amaranthmast/standins/random'
import type { DayPlan, ScheduledTrouble } from './dayplan.ts'
import type { EmulatedFleet } from './fleet.ts'
import type { Timeline } from './timeline.ts'
import { TroubleKind } from './troubletypes.ts'

interface TroubleContext {
  fleet: EmulatedFleet
  timeline: Timeline
  random: SeededRandom
}

type TroubleHandler = (context: TroubleContext, trouble: ScheduledTrouble) => void

/** Time from the notice of a leaving target to its end, in milliseconds. */
const LEAVE_NOTICE = 3000

/** Maximum random addition to the downtime of a process after a power loss, in milliseconds. */
const MAX_EXTRA_DOWNTIME = 50

/** Troubles that change the load do nothing here: the plan of the day includes them. */
const INCLUDED_IN_PLAN: TroubleHandler = () => {}

const HANDLERS: Readonly<Record<TroubleKind, TroubleHandler>> = {
  [TroubleKind.Burst]: INCLUDED_IN_PLAN,
  [TroubleKind.GiveUp]: INCLUDED_IN_PLAN,
  [TroubleKind.Poison]: INCLUDED_IN_PLAN,
  [TroubleKind.Crashing]: INCLUDED_IN_PLAN,
  [TroubleKind.Hang]: (context, trouble) => setSpeeds(context, trouble, 0),
  [TroubleKind.Slow]: (context, trouble) => setSpeeds(context, trouble, 1 / trouble.factor),
  [TroubleKind.Fail]: ({ fleet, timeline, random }, { share, factor, duration }) => {
    for (const target of drawIndexes(fleet.targets.length, share, random)) {
      fleet.setFailureRate(target, factor)
      timeline.after(duration, () => fleet.setFailureRate(target, 0))
    }
  },
  [TroubleKind.LateOrders]: ({ fleet }, { share, duration }) => { for (const target of fleet.targets) target.executeLate(duration, share) },
  [TroubleKind.LostAnswers]: ({ fleet }, { share, duration }) => { for (const target of fleet.targets) target.loseAnswers(duration, share) },
  [TroubleKind.Crash]: ({ fleet, random }, { share, duration }) => {
    for (const target of drawIndexes(fleet.targets.length, share, random)) fleet.targets[target]?.crash(duration)
  },
  [TroubleKind.Restart]: ({ fleet, random }, { share, duration }) => {
    for (const target of drawIndexes(fleet.targets.length, share, random)) fleet.targets[target]?.crash(duration, true)
  },
  [TroubleKind.Evacuate]: ({ fleet, random }, { share, duration }) => {
    const { dataCentres } = fleet
    for (const index of drawIndexes(dataCentres.length, share, random)) fleet.evacuate(dataCentres[index] as string, duration)
  },
  [TroubleKind.Leave]: ({ fleet, random }, { share }) => {
    for (const target of drawIndexes(fleet.targets.length, share, random)) fleet.targets[target]?.leave(LEAVE_NOTICE)
  },
  [TroubleKind.Notice]: ({ fleet, random }, { share, duration }) => {
    for (const target of drawIndexes(fleet.targets.length, share, random)) fleet.targets[target]?.leave(duration, { announcesEnd: true })
  },
  [TroubleKind.Shrink]: ({ fleet, timeline, random }, { share, factor, duration }) => {
    for (const target of drawIndexes(fleet.targets.length, share, random)) {
      fleet.targets[target]?.setCapacityFraction(factor)
      timeline.after(duration, () => fleet.targets[target]?.setCapacityFraction(1))
    }
  },
  [TroubleKind.CutEntries]: ({ fleet, random }, { share, duration }) => {
    for (const entry of drawIndexes(fleet.entries.length, share, random)) fleet.cutEntry(entry, duration)
  },
  [TroubleKind.KillEntries]: ({ fleet, random }, { share, duration }) => {
    for (const entry of drawIndexes(fleet.entries.length, share, random)) fleet.killEntry(entry, duration, false)
  },
  [TroubleKind.KillAgents]: ({ fleet, random }, { share, duration }) => {
    for (const agent of drawIndexes(fleet.agents.length, share, random)) fleet.killAgent(agent, duration, false)
  },
  [TroubleKind.FreezeEntries]: ({ fleet, random }, { share, duration }) => {
    for (const entry of drawIndexes(fleet.entries.length, share, random)) fleet.entries[entry]?.freeze(duration)
  },
  [TroubleKind.PowerLoss]: ({ fleet, random }, { duration }) => {
    for (const entry of fleet.entries.keys()) fleet.killEntry(entry, duration + random.next() * MAX_EXTRA_DOWNTIME, true)
    for (const agent of fleet.agents.keys()) {
      fleet.killAgent(agent, duration + random.next() * MAX_EXTRA_DOWNTIME, true)
      fleet.targets[agent]?.crash(duration)
    }
  }
}

/** Schedules every trouble of the day. */
export function schedule ({ troubles }: DayPlan, context: TroubleContext): void {
  for (const trouble of troubles) context.timeline.after(trouble.at, () => HANDLERS[trouble.kind](context, trouble))
}

function setSpeeds ({ fleet, timeline, random }: TroubleContext, { share, duration }: ScheduledTrouble, rate: number): void {
  for (const target of drawIndexes(fleet.targets.length, share, random)) {
    fleet.targets[target]?.setRate(rate)
    timeline.after(duration, () => fleet.targets[target]?.setRate(1))
  }
}

/** Draws a share of the indexes below `count`, at least one. */
function drawIndexes (count: number, share: number, random: SeededRandom): number[] {
  const remaining = Array.from({ length: count }, (_none, index) => index)
  const wanted = Math.max(1, Math.round(count * share))
  return Array.from({ length: Math.min(count, wanted) }, () => remaining.splice(random.integer(0, remaining.length - 1), 1)[0] as number)
}
