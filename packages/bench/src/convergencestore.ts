/** Number of store calls by size of the fleet, during startup and in steady state. */
import { DEFAULT_TIMINGS } from '@amaranthmast/coordination/defaults'
import { DetectionFleet } from './detectionfleet.ts'
import { round } from './measures.ts'
import type { Row, SectionOptions } from './sectiontypes.ts'

const FLEETS = [
  { entries: 3, agents: 11, steady: 60_000 },
  { entries: 3, agents: 110, steady: 60_000 },
  { entries: 12, agents: 330, steady: 20_000 },
  { entries: 12, agents: 1_100, steady: 10_000 }
]
const STARTUP_MILLISECONDS = 5_000

/** One row per size of the fleet. */
export function measureStoreCalls ({ seed }: SectionOptions): Row[] {
  return FLEETS.map(({ entries, agents, steady }) => {
    const fleet = new DetectionFleet({ entries, agents, timings: DEFAULT_TIMINGS, seed })
    fleet.loop.run(STARTUP_MILLISECONDS)
    const started = { ...fleet.store.calls }
    fleet.loop.run(STARTUP_MILLISECONDS + steady)
    const { reads, writes, watchesOpened } = fleet.store.calls
    const perSecond = (calls: number) => round(calls * 1_000 / steady, 2)
    return {
      fleet: `${entries}/${agents}`,
      readsToStart: started.reads,
      writesToStart: started.writes,
      readsPerSecond: perSecond(reads - started.reads),
      writesPerSecond: perSecond(writes - started.writes),
      watchesOpen: watchesOpened
    }
  })
}
