/** The real cores of entries and agents: an apply, or a start or a reset while nothing changes. */
import { DEFAULT_TIMINGS } from '@amaranthmast/coordination/defaults'
import { DetectionFleet } from './detectionfleet.ts'
import { quantile, rounded } from './measures.ts'
import type { Row, SectionOptions } from './sectiontypes.ts'

/** What happens to a fleet that is at rest on version 1. */
export interface CoreCase {
  name: string
  act: (fleet: DetectionFleet) => void
}

/** A fleet, and over how many seeds it is measured. */
interface FleetSize {
  entries: number
  agents: number
  runs: number
}

/** What one case took. */
export interface CoreResult {
  /** Time until every instance has the newest version, in milliseconds. */
  whole: number
  /** The same for the instances that were there from the start. */
  atStart: number
  /** Documents sent to entries. */
  toEntries: number
  /** Versions told to agents. */
  toAgents: number
  /** Bytes of the documents. */
  bytes: number
}

const FLEETS: readonly FleetSize[] = [{ entries: 3, agents: 11, runs: 50 }, { entries: 12, agents: 55, runs: 10 }]
const SETTLED = 5_000
const LIMIT = 15_000
const OUTAGE = 8_000
const BACK_AFTER = SETTLED + OUTAGE

const CASES: readonly CoreCase[] = [
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

/** One row per fleet and case; a late instance's time counts from the apply. */
export function measureCores ({ seed }: SectionOptions): Row[] {
  return FLEETS.flatMap(size => CASES.map(({ name, act }) => {
    const runs = Array.from({ length: size.runs }, (_, run) => runCores(size, act, seed * 1_000 + run))
    const median = (value: (result: CoreResult) => number) => quantile(runs.map(value), 0.5)
    return {
      fleet: `${size.entries}/${size.agents}`,
      case: name,
      wholeP50: rounded(median(({ whole }) => whole), 0),
      wholeWorst: rounded(Math.max(...runs.map(({ whole }) => whole)), 0),
      atStartP50: rounded(median(({ atStart }) => atStart), 0),
      toEntriesP50: median(({ toEntries }) => toEntries),
      toAgentsP50: median(({ toAgents }) => toAgents),
      documentsP50: median(({ toEntries, toAgents }) => toEntries + toAgents)
    }
  }))
}

/** One case on a fleet that has settled on version 1. */
export function runCores ({ entries, agents }: Pick<FleetSize, 'entries' | 'agents'>, act: CoreCase['act'], seed: number): CoreResult {
  const fleet = new DetectionFleet({ entries, agents, timings: DEFAULT_TIMINGS, seed })
  fleet.store.apply(1, false)
  fleet.loop.run(SETTLED)
  const before = { ...fleet.counts.documents }
  const old = new Set(fleet.processes.map(({ instance }) => instance))
  act(fleet)
  fleet.loop.run(SETTLED + LIMIT)
  const { documents, adoptions } = fleet.counts
  const newest = adoptions.filter(({ version }) => version === fleet.store.configurationVersion).reverse()
  const instants = new Map(newest.map(({ instance, at }) => [instance, Math.max(0, at - SETTLED)]))
  const timeOf = (instances: string[]) => Math.max(...instances.map(instance => instants.get(instance) ?? LIMIT))
  const all = fleet.processes.map(({ instance }) => instance)
  return {
    whole: timeOf(all),
    atStart: timeOf(all.filter(instance => old.has(instance))),
    toEntries: documents.toEntries - before.toEntries,
    toAgents: documents.toAgents - before.toAgents,
    bytes: documents.bytes - before.bytes
  }
}

/** One entry hears of the change, then the store goes down. */
export function applyBeforeOutage (fleet: DetectionFleet): void {
  fleet.store.apply(2, false)
  const [first] = fleet.entries
  if (first !== undefined) fleet.tellConfiguration(first)
  fleet.loop.after(20, () => { fleet.store.down = true })
  fleet.loop.at(BACK_AFTER, () => { fleet.store.down = false })
}

function startInOutage (fleet: DetectionFleet, start: () => void): void {
  applyBeforeOutage(fleet)
  fleet.loop.after(1_000, start)
}

/** Breaks every link of one entry. */
export function resetLinks (fleet: DetectionFleet): void {
  const [first, ...others] = fleet.entries
  for (const other of others) if (first !== undefined) fleet.network.reset(first.instance, other.instance)
}
