/** Propagation of a configuration with the real logic of entries and agents: after an apply, a start or a reset of links. */
import { DEFAULT_TIMINGS } from '@amaranthmast/coordination/defaults'
import { DetectionFleet } from './detectionfleet.ts'
import { quantile, round } from './measures.ts'
import type { Row, SectionOptions } from './sectiontypes.ts'

/** An event in a fleet that has settled on version 1. */
export interface FleetCase {
  name: string
  act: (fleet: DetectionFleet) => void
}

/** Size of a fleet, and the number of runs with different seeds. */
interface FleetSize {
  entries: number
  agents: number
  runs: number
}

/** Times and traffic of one run of a case. */
export interface FleetCaseResult {
  /** Time until every instance has the newest version, in milliseconds. */
  whole: number
  /** The same for the instances that ran before the event. */
  atStart: number
  /** Number of documents sent to entries. */
  toEntries: number
  /** Number of versions sent to agents. */
  toAgents: number
  /** Bytes of the documents. */
  bytes: number
}

const FLEETS: readonly FleetSize[] = [{ entries: 3, agents: 11, runs: 50 }, { entries: 12, agents: 55, runs: 10 }]
const SETTLE_MILLISECONDS = 5_000
const MAX_CASE_MILLISECONDS = 15_000
const OUTAGE_MILLISECONDS = 8_000
const OUTAGE_ENDS_AT = SETTLE_MILLISECONDS + OUTAGE_MILLISECONDS

const CASES: readonly FleetCase[] = [
  { name: 'every watch reports it', act: fleet => fleet.store.apply(2, true) },
  { name: 'every watch misses it', act: fleet => fleet.store.apply(2, false) },
  { name: 'outage of 8 s, one entry has it', act: applyBeforeOutage },
  { name: 'the same, an agent starts after 1 s', act: fleet => startInOutage(fleet, () => fleet.startAgent('agent-late')) },
  { name: 'the same, an agent with seeds starts after 1 s', act: fleet => startInOutage(fleet, () => fleet.startAgent('agent-late', true)) },
  { name: 'the same, an entry starts after 1 s', act: fleet => startInOutage(fleet, () => fleet.startEntry('entry-late')) },
  { name: 'no change, an agent starts', act: fleet => { fleet.startAgent('agent-late') } },
  { name: 'no change, an entry starts', act: fleet => { fleet.startEntry('entry-late') } },
  { name: 'no change, links of an entry reset', act: resetLinks }
]

/** One row per fleet and case. Times are measured from the event, also for instances that start later. */
export function measureCores ({ seed }: SectionOptions): Row[] {
  return FLEETS.flatMap(size => CASES.map(({ name, act }) => {
    const runs = Array.from({ length: size.runs }, (_, run) => runFleetCase(size, act, seed * 1_000 + run))
    const medianOf = (value: (result: FleetCaseResult) => number) => quantile(runs.map(value), 0.5)
    return {
      fleet: `${size.entries}/${size.agents}`,
      case: name,
      wholeP50: round(medianOf(({ whole }) => whole), 0),
      wholeWorst: round(Math.max(...runs.map(({ whole }) => whole)), 0),
      atStartP50: round(medianOf(({ atStart }) => atStart), 0),
      toEntriesP50: medianOf(({ toEntries }) => toEntries),
      toAgentsP50: medianOf(({ toAgents }) => toAgents),
      documentsP50: medianOf(({ toEntries, toAgents }) => toEntries + toAgents)
    }
  }))
}

/** Runs one case on a fleet that has settled on version 1. */
export function runFleetCase ({ entries, agents }: Pick<FleetSize, 'entries' | 'agents'>, act: FleetCase['act'], seed: number): FleetCaseResult {
  const fleet = new DetectionFleet({ entries, agents, timings: DEFAULT_TIMINGS, seed })
  fleet.store.apply(1, false)
  fleet.loop.run(SETTLE_MILLISECONDS)
  const documentsBefore = { ...fleet.counts.documents }
  const initialInstances = new Set(fleet.processes.map(({ instance }) => instance))
  act(fleet)
  fleet.loop.run(SETTLE_MILLISECONDS + MAX_CASE_MILLISECONDS)
  const { documents, adoptions } = fleet.counts
  const newest = adoptions.filter(({ version }) => version === fleet.store.configurationVersion).reverse()
  const instants = new Map(newest.map(({ instance, at }) => [instance, Math.max(0, at - SETTLE_MILLISECONDS)]))
  const timeOf = (instances: string[]) => Math.max(...instances.map(instance => instants.get(instance) ?? MAX_CASE_MILLISECONDS))
  const all = fleet.processes.map(({ instance }) => instance)
  return {
    whole: timeOf(all),
    atStart: timeOf(all.filter(instance => initialInstances.has(instance))),
    toEntries: documents.toEntries - documentsBefore.toEntries,
    toAgents: documents.toAgents - documentsBefore.toAgents,
    bytes: documents.bytes - documentsBefore.bytes
  }
}

/** Applies a change that reaches one entry before the store goes down. */
export function applyBeforeOutage (fleet: DetectionFleet): void {
  fleet.store.apply(2, false)
  const [first] = fleet.entries
  if (first !== undefined) fleet.notifyConfiguration(first)
  fleet.loop.after(20, () => { fleet.store.down = true })
  fleet.loop.at(OUTAGE_ENDS_AT, () => { fleet.store.down = false })
}

function startInOutage (fleet: DetectionFleet, start: () => void): void {
  applyBeforeOutage(fleet)
  fleet.loop.after(1_000, start)
}

/** Resets every link of the first entry to other entries. */
export function resetLinks (fleet: DetectionFleet): void {
  const [first, ...others] = fleet.entries
  for (const other of others) if (first !== undefined) fleet.network.reset(first.instance, other.instance)
}
