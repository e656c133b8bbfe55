/** Propagation time, documents and redundant documents of one configuration change, by choice of peers and disturbance. */
import { PeerSelection, Responsibility } from '@amaranthmast/coordination/adoption'
import type { ConvergenceOptions } from './convergencemodel.ts'
import { Disturbance, runConvergence } from './convergencemodel.ts'
import { quantile, round } from './measures.ts'
import type { Row, SectionOptions } from './sectiontypes.ts'

/** Size of a fleet and of its configuration, and the number of runs with different seeds. */
interface FleetSize {
  entries: number
  agents: number
  documentBytes: number
  runs: number
  /** Number of runs with random choice of peers, which are slow where they don't converge. */
  randomRuns: number
}

/** A policy for choosing the peers that a document is sent to. */
interface PeerChoiceCase {
  name: string
  options: Pick<ConvergenceOptions, 'choice' | 'roundPeers' | 'entryPeers'>
}

/**
 * Size in bytes of a stored document with 2 tenants and 2 services, and with 380 tenants with quotas
 * and 40 services of 2 providers each, all with short names.
 */
const SMALL_DOCUMENT = 550
const LARGE_DOCUMENT = 29_000

const FLEETS: readonly FleetSize[] = [
  { entries: 3, agents: 11, documentBytes: SMALL_DOCUMENT, runs: 100, randomRuns: 40 },
  { entries: 3, agents: 110, documentBytes: SMALL_DOCUMENT, runs: 40, randomRuns: 10 },
  { entries: 12, agents: 1_100, documentBytes: LARGE_DOCUMENT, runs: 10, randomRuns: 2 }
]

const PEER_CHOICES: readonly PeerChoiceCase[] = [
  { name: 'known behind', options: { choice: PeerSelection.KnownBehind } },
  { name: 'known behind, entries at once', options: { choice: PeerSelection.KnownBehind, entryPeers: Responsibility.Own } },
  { name: 'known behind, entries wait', options: { choice: PeerSelection.KnownBehind, entryPeers: Responsibility.Other } },
  { name: 'random 1', options: { choice: PeerSelection.Random, roundPeers: 1 } },
  { name: 'random 10', options: { choice: PeerSelection.Random, roundPeers: 10 } },
  { name: 'random 100', options: { choice: PeerSelection.Random, roundPeers: 100 } }
]

/** One row per fleet, disturbance and choice of peers. */
export function measureConvergence ({ seed }: SectionOptions): Row[] {
  return FLEETS.flatMap(fleet => Object.values(Disturbance).flatMap(disturbance =>
    PEER_CHOICES.map(choice => measureChoice(fleet, disturbance, choice, seed))))
}

function measureChoice (fleet: FleetSize, disturbance: Disturbance, choice: PeerChoiceCase, seed: number): Row {
  const { entries, agents, documentBytes } = fleet
  const runs = choice.options.choice === PeerSelection.Random ? fleet.randomRuns : fleet.runs
  const results = Array.from({ length: runs }, (_, run) =>
    runConvergence({ entries, agents, documentBytes, disturbance, seed: seed * 1_000 + run, ...choice.options }))
  const completionTimes = results.map(({ inForce, unfinished }) => unfinished > 0 ? Number.POSITIVE_INFINITY : Math.max(...inForce))
  const mean = (value: (result: typeof results[number]) => number) => results.reduce((sum, result) => sum + value(result), 0) / runs
  return {
    fleet: `${entries}/${agents}`,
    disturbance,
    choice: choice.name,
    wholeP50: formatMilliseconds(quantile(completionTimes, 0.5)),
    wholeP99: formatMilliseconds(quantile(completionTimes, 0.99)),
    wholeWorst: formatMilliseconds(Math.max(...completionTimes)),
    instanceP99: round(quantile(results.flatMap(({ inForce }) => inForce), 0.99), 0),
    unfinished: results.reduce((sum, { unfinished }) => sum + unfinished, 0),
    documents: round(mean(({ documents }) => documents), 1),
    useless: round(mean(({ useless }) => useless), 1),
    kilobytes: round(mean(({ bytes }) => bytes) / 1_000, 0),
    backwards: results.reduce((sum, { backwards }) => sum + backwards, 0)
  }
}

/** Rounds to whole milliseconds; returns `never` when some instance did not adopt the change within the time limit of a run. */
function formatMilliseconds (value: number): number | string {
  return Number.isFinite(value) ? round(value, 0) : 'never'
}
