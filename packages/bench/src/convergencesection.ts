/** Time, documents and useless documents of one change, by choice of the peers and by disturbance. */
import { PeerSelection, Responsibility } from '@amaranthmast/coordination/adoption'
import type { ConvergenceOptions } from './convergencemodel.ts'
import { Disturbance, runConvergence } from './convergencemodel.ts'
import { quantile, rounded } from './measures.ts'
import type { Row, SectionOptions } from './sectiontypes.ts'

/** A fleet, the document that it has, and over how many seeds it is measured. */
interface FleetSize {
  entries: number
  agents: number
  documentBytes: number
  runs: number
  /** Runs for random choice, which take long where it does not converge. */
  randomRuns: number
}

/** A way to choose the peers that are sent the document. */
interface Choice {
  name: string
  options: Pick<ConvergenceOptions, 'choice' | 'roundPeers' | 'entryPeers'>
}

/**
 * Bytes of a document as the store holds it, with 2 tenants and 2 services, and with 380 tenants
 * with quotas and 40 services of 2 providers each, all with short names.
 */
const SMALL_DOCUMENT = 550
const LARGE_DOCUMENT = 29_000

const FLEETS: readonly FleetSize[] = [
  { entries: 3, agents: 11, documentBytes: SMALL_DOCUMENT, runs: 100, randomRuns: 40 },
  { entries: 3, agents: 110, documentBytes: SMALL_DOCUMENT, runs: 40, randomRuns: 10 },
  { entries: 12, agents: 1_100, documentBytes: LARGE_DOCUMENT, runs: 10, randomRuns: 2 }
]

const CHOICES: readonly Choice[] = [
  { name: 'known behind', options: { choice: PeerSelection.KnownBehind } },
  { name: 'known behind, entries at once', options: { choice: PeerSelection.KnownBehind, entryPeers: Responsibility.Own } },
  { name: 'known behind, entries wait', options: { choice: PeerSelection.KnownBehind, entryPeers: Responsibility.Other } },
  { name: 'random 1', options: { choice: PeerSelection.Random, roundPeers: 1 } },
  { name: 'random 10', options: { choice: PeerSelection.Random, roundPeers: 10 } },
  { name: 'random 100', options: { choice: PeerSelection.Random, roundPeers: 100 } }
]

/** One row per fleet, disturbance and choice. */
export function measureConvergence ({ seed }: SectionOptions): Row[] {
  return FLEETS.flatMap(fleet => Object.values(Disturbance).flatMap(disturbance =>
    CHOICES.map(choice => measureChoice(fleet, disturbance, choice, seed))))
}

function measureChoice (fleet: FleetSize, disturbance: Disturbance, choice: Choice, seed: number): Row {
  const { entries, agents, documentBytes } = fleet
  const runs = choice.options.choice === PeerSelection.Random ? fleet.randomRuns : fleet.runs
  const results = Array.from({ length: runs }, (_, run) =>
    runConvergence({ entries, agents, documentBytes, disturbance, seed: seed * 1_000 + run, ...choice.options }))
  const wholes = results.map(({ inForce, unfinished }) => unfinished > 0 ? Number.POSITIVE_INFINITY : Math.max(...inForce))
  const mean = (value: (result: typeof results[number]) => number) => results.reduce((sum, result) => sum + value(result), 0) / runs
  return {
    fleet: `${entries}/${agents}`,
    disturbance,
    choice: choice.name,
    wholeP50: milliseconds(quantile(wholes, 0.5)),
    wholeP99: milliseconds(quantile(wholes, 0.99)),
    wholeWorst: milliseconds(Math.max(...wholes)),
    instanceP99: rounded(quantile(results.flatMap(({ inForce }) => inForce), 0.99), 0),
    unfinished: results.reduce((sum, { unfinished }) => sum + unfinished, 0),
    documents: rounded(mean(({ documents }) => documents), 1),
    useless: rounded(mean(({ useless }) => useless), 1),
    kilobytes: rounded(mean(({ bytes }) => bytes) / 1_000, 0),
    backwards: results.reduce((sum, { backwards }) => sum + backwards, 0)
  }
}

/** Whole milliseconds; `never` when some instance did not get it within the limit of a run. */
function milliseconds (value: number): number | string {
  return Number.isFinite(value) ? rounded(value, 0) : 'never'
}
