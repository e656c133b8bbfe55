/** What each trouble does to an emulated fleet. */
import type { SeededRandom } from '@amaranthmast/standins/random'
import type { DayPlan, TroubleAt } from './dayplan.ts'
import type { EmulatedFleet } from './fleet.ts'
import type { Timeline } from './timeline.ts'
import { TroubleKind } from './troubletypes.ts'

interface Scene {
  fleet: EmulatedFleet
  timeline: Timeline
  random: SeededRandom
}

type TroubleHandler = (scene: Scene, trouble: TroubleAt) => void

/** A leaving target goes this long after its notice, in milliseconds. */
const LEAVING_MILLISECONDS = 3000

/** Pause between the kills of a rolling restart, in milliseconds. */
const KILL_PAUSE = 50

/** Troubles that are part of the load were drawn with it. */
const PART_OF_LOAD: TroubleHandler = () => {}

const HANDLERS: Readonly<Record<TroubleKind, TroubleHandler>> = {
  [TroubleKind.Burst]: PART_OF_LOAD,
  [TroubleKind.GiveUp]: PART_OF_LOAD,
  [TroubleKind.Poison]: PART_OF_LOAD,
  [TroubleKind.Crashing]: PART_OF_LOAD,
  [TroubleKind.Hang]: (scene, trouble) => setRates(scene, trouble, 0),
  [TroubleKind.Slow]: (scene, trouble) => setRates(scene, trouble, 1 / trouble.factor),
  [TroubleKind.Fail]: ({ fleet, timeline, random }, { share, factor, lasts }) => {
    for (const target of some(fleet.targets.length, share, random)) {
      fleet.setFailureRate(target, factor)
      timeline.after(lasts, () => fleet.setFailureRate(target, 0))
    }
  },
  [TroubleKind.LateOrders]: ({ fleet }, { share, lasts }) => { for (const target of fleet.targets) target.executeLate(lasts, share) },
  [TroubleKind.LostAnswers]: ({ fleet }, { share, lasts }) => { for (const target of fleet.targets) target.loseAnswers(lasts, share) },
  [TroubleKind.Crash]: ({ fleet, random }, { share, lasts }) => {
    for (const target of some(fleet.targets.length, share, random)) fleet.targets[target]?.crash(lasts)
  },
  [TroubleKind.Restart]: ({ fleet, random }, { share, lasts }) => {
    for (const target of some(fleet.targets.length, share, random)) fleet.targets[target]?.crash(lasts, true)
  },
  [TroubleKind.Evacuate]: ({ fleet, random }, { share, lasts }) => {
    const { dataCentres } = fleet
    for (const index of some(dataCentres.length, share, random)) fleet.evacuate(dataCentres[index] as string, lasts)
  },
  [TroubleKind.Leave]: ({ fleet, random }, { share }) => {
    for (const target of some(fleet.targets.length, share, random)) fleet.targets[target]?.leave(LEAVING_MILLISECONDS)
  },
  [TroubleKind.Notice]: ({ fleet, random }, { share, lasts }) => {
    for (const target of some(fleet.targets.length, share, random)) fleet.targets[target]?.leave(lasts, { announcesEnd: true })
  },
  [TroubleKind.Shrink]: ({ fleet, timeline, random }, { share, factor, lasts }) => {
    for (const target of some(fleet.targets.length, share, random)) {
      fleet.targets[target]?.setCapacityFraction(factor)
      timeline.after(lasts, () => fleet.targets[target]?.setCapacityFraction(1))
    }
  },
  [TroubleKind.CutEntries]: ({ fleet, random }, { share, lasts }) => {
    for (const entry of some(fleet.entries.length, share, random)) fleet.cutEntry(entry, lasts)
  },
  [TroubleKind.KillEntries]: ({ fleet, random }, { share, lasts }) => {
    for (const entry of some(fleet.entries.length, share, random)) fleet.killEntry(entry, lasts, false)
  },
  [TroubleKind.KillAgents]: ({ fleet, random }, { share, lasts }) => {
    for (const agent of some(fleet.agents.length, share, random)) fleet.killAgent(agent, lasts, false)
  },
  [TroubleKind.FreezeEntries]: ({ fleet, random }, { share, lasts }) => {
    for (const entry of some(fleet.entries.length, share, random)) fleet.entries[entry]?.freeze(lasts)
  },
  [TroubleKind.PowerLoss]: ({ fleet, random }, { lasts }) => {
    for (const entry of fleet.entries.keys()) fleet.killEntry(entry, lasts + random.next() * KILL_PAUSE, true)
    for (const agent of fleet.agents.keys()) {
      fleet.killAgent(agent, lasts + random.next() * KILL_PAUSE, true)
      fleet.targets[agent]?.crash(lasts)
    }
  }
}

/** Lets every trouble of the day strike at its time. */
export function schedule ({ troubles }: DayPlan, scene: Scene): void {
  for (const trouble of troubles) scene.timeline.after(trouble.at, () => HANDLERS[trouble.kind](scene, trouble))
}

function setRates ({ fleet, timeline, random }: Scene, { share, lasts }: TroubleAt, rate: number): void {
  for (const target of some(fleet.targets.length, share, random)) {
    fleet.targets[target]?.setRate(rate)
    timeline.after(lasts, () => fleet.targets[target]?.setRate(1))
  }
}

/** A share of the first `count` numbers, at least one. */
function some (count: number, share: number, random: SeededRandom): number[] {
  const left = Array.from({ length: count }, (_none, index) => index)
  const wanted = Math.max(1, Math.round(count * share))
  return Array.from({ length: Math.min(count, wanted) }, () => left.splice(random.integer(0, left.length - 1), 1)[0] as number)
}
