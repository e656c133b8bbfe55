/** Detection times of lost entries and agents, and rates of false detections. */
import { DEFAULT_TIMINGS } from '@amaranthmast/coordination/defaults'
import type { FleetProcess } from './detectionprocess.ts'
import { DetectionFleet } from './detectionfleet.ts'
import { quantile, round } from './measures.ts'
import { logUniform } from './random.ts'
import type { Row, SectionOptions } from './sectiontypes.ts'

/** A disturbance of one process that keeps running. */
interface Disturbance {
  name: string
  /** Assumed number of occurrences per process and day. */
  perDay: number
  act: (fleet: DetectionFleet, subject: FleetProcess) => void
}

type TimeoutCase = typeof TIMEOUT_CASES[number]

const ENTRIES = [3, 12]
const SUSPECT_TIMES = [600, 1_200, 1_800, 2_400]
/** Timeouts for abandoning a disconnected agent (`agentLost`) and for closing an idle link (`silence`), in milliseconds. */
const TIMEOUT_CASES = [
  { agentLost: 1_000, silence: 2_000 },
  { agentLost: 2_000, silence: 2_000 },
  { agentLost: 4_000, silence: 2_000 },
  { agentLost: 2_000, silence: 5_000 }
]

const AGENTS = 11
const SETTLE_MILLISECONDS = 5_000
/** Time between two disturbances, in milliseconds. */
const DISTURBANCE_INTERVAL = 8_000
const RUNS_PER_LOSS = 30
const MAX_DETECTION_TIME = 20_000
/** Number of disturbances of each type, by number of entries. */
const DISTURBANCES_BY_ENTRIES: Readonly<Record<number, number>> = { 3: 200, 12: 60 }
const AGENT_DISTURBANCE_COUNT = 100

const ENTRY_DISTURBANCES: readonly Disturbance[] = [
  { name: 'pause 50-800', perDay: 1_440, act: (fleet, subject) => fleet.pause(subject, logUniform(fleet.random, 50, 800)) },
  { name: 'pause 800-1200', perDay: 1, act: (fleet, subject) => fleet.pause(subject, logUniform(fleet.random, 800, 1_200)) },
  { name: 'stop 2000', perDay: 1, act: (fleet, subject) => fleet.pause(subject, 2_000) },
  { name: 'lag 0-500 for 5 s', perDay: 24, act: (fleet, subject) => forEachPeer(fleet, subject, peer => lagBoth(fleet, subject, peer)) },
  { name: 'one way to one peer cut 1000', perDay: 1, act: (fleet, subject) => fleet.network.cut(subject.instance, anotherEntry(fleet, subject), fleet.loop.now + 1_000) },
  { name: 'one way to one peer cut 3000', perDay: 1, act: (fleet, subject) => fleet.network.cut(subject.instance, anotherEntry(fleet, subject), fleet.loop.now + 3_000) },
  { name: 'both ways to one peer cut 3000', perDay: 1, act: (fleet, subject) => cutBoth(fleet, subject, anotherEntry(fleet, subject), 3_000) },
  { name: 'both ways to all peers cut 1000', perDay: 1, act: (fleet, subject) => forEachPeer(fleet, subject, peer => cutBoth(fleet, subject, peer, 1_000)) },
  { name: 'both ways to all peers cut 3000', perDay: 1, act: (fleet, subject) => forEachPeer(fleet, subject, peer => cutBoth(fleet, subject, peer, 3_000)) }
]

const AGENT_DISTURBANCES: readonly Disturbance[] = [
  { name: 'pause 50-800', perDay: 1_440, act: (fleet, subject) => fleet.pause(subject, logUniform(fleet.random, 50, 800)) },
  { name: 'stop 2000', perDay: 1, act: (fleet, subject) => fleet.pause(subject, 2_000) },
  { name: 'connections reset', perDay: 1, act: resetAll },
  { name: 'connections reset, stop 2000', perDay: 1, act: (fleet, subject) => { resetAll(fleet, subject); fleet.pause(subject, 2_000) } },
  { name: 'both ways cut 1000, reset', perDay: 1, act: (fleet, subject) => cutAndReset(fleet, subject, 1_000) },
  { name: 'both ways cut 3000, reset', perDay: 1, act: (fleet, subject) => cutAndReset(fleet, subject, 3_000) },
  { name: 'both ways cut 3000', perDay: 1, act: (fleet, subject) => forEachPeer(fleet, subject, peer => cutBoth(fleet, subject, peer, 3_000)) }
]

/** One row per number of entries and suspect time: detection of killed entries, with and without the store, and of unresponsive ones. */
export function measureDetection ({ seed }: SectionOptions): Row[] {
  return ENTRIES.flatMap(entries => SUSPECT_TIMES.map(suspect => {
    const killed = repeatRuns(seed, run => entryDetectionTime({ entries, suspect, seed: run }, (fleet, entry) => fleet.kill(entry)))
    const killedInOutage = repeatRuns(seed, run => entryDetectionTime({ entries, suspect, seed: run }, (fleet, entry) => {
      fleet.store.down = true
      fleet.kill(entry)
    }))
    const silent = repeatRuns(seed, run => entryDetectionTime({ entries, suspect, seed: run }, (fleet, entry) => fleet.silence(entry)))
    return { entries, suspect, ...summarize('killed', killed), ...summarize('killedStoreDown', killedInOutage), ...summarize('silent', silent) }
  }))
}

/** One row per number of entries, suspect time and disturbance: removals of live entries. */
export function measureFalseRemovals ({ seed }: SectionOptions): Row[] {
  return ENTRIES.flatMap(entries => SUSPECT_TIMES.flatMap(suspect => ENTRY_DISTURBANCES.map(disturbance => {
    const upsets = DISTURBANCES_BY_ENTRIES[entries] as number
    const { removals, mostAtOnce } = measureEntryDisturbances({ entries, suspect, seed }, disturbance, upsets)
    return { entries, suspect, upset: disturbance.name, upsets, removals, mostAtOnce, perDayTaken: disturbance.perDay, removalsPerEntryDay: round(disturbance.perDay * removals / upsets) }
  })))
}

/** One row per pair of timeouts and type of loss or disturbance of an agent. */
export function measureAgentLoss ({ seed }: SectionOptions): Row[] {
  return TIMEOUT_CASES.flatMap(timeouts => {
    const killed = repeatRuns(seed, run => agentDetectionTime(timeouts, run, (fleet, agent) => fleet.kill(agent)))
    const silent = repeatRuns(seed, run => agentDetectionTime(timeouts, run, (fleet, agent) => fleet.silence(agent)))
    return [
      { ...timeouts, upset: 'killed', ...summarize('noticed', killed) },
      { ...timeouts, upset: 'silent', ...summarize('noticed', silent) },
      ...AGENT_DISTURBANCES.map(disturbance => ({ ...timeouts, upset: disturbance.name, upsets: AGENT_DISTURBANCE_COUNT, falselyLost: countFalseAgentLosses(timeouts, disturbance, seed) }))
    ]
  })
}

/** Options of a fleet without agents. */
export interface EntryFleetOptions {
  entries: number
  suspect: number
  seed: number
  makeEntry?: ConstructorParameters<typeof DetectionFleet>[0]['makeEntry']
}

/** Time from the loss of an entry until it is in no other entry's view, in milliseconds; at most {@link MAX_DETECTION_TIME}. */
export function entryDetectionTime (options: EntryFleetOptions, injectLoss: (fleet: DetectionFleet, entry: FleetProcess) => void): number {
  const fleet = createEntryFleet(options)
  const lostAt = SETTLE_MILLISECONDS + fleet.random() * DEFAULT_TIMINGS.heartbeat
  fleet.loop.run(lostAt)
  const entry = pickRandom(fleet, fleet.entries)
  injectLoss(fleet, entry)
  return timeUntil(fleet, lostAt, () => fleet.isRemovedEverywhere(entry.instance))
}

function createEntryFleet ({ entries, suspect, seed, makeEntry }: EntryFleetOptions): DetectionFleet {
  return new DetectionFleet({ entries, agents: 0, timings: { ...DEFAULT_TIMINGS, suspect }, seed, ...(makeEntry === undefined ? {} : { makeEntry }) })
}

/** Counts the removals of live entries under one type of disturbance: in total, and at most after a single one. */
export function measureEntryDisturbances (options: EntryFleetOptions, disturbance: Pick<Disturbance, 'act'>, disturbanceCount: number): { removals: number, mostAtOnce: number } {
  const fleet = createEntryFleet(options)
  fleet.loop.run(SETTLE_MILLISECONDS)
  let mostAtOnce = 0
  for (let done = 0; done < disturbanceCount; done += 1) {
    const before = fleet.counts.removals.length
    disturbance.act(fleet, pickRandom(fleet, fleet.entries))
    fleet.loop.run(fleet.loop.now + DISTURBANCE_INTERVAL + fleet.random() * DEFAULT_TIMINGS.heartbeat)
    mostAtOnce = Math.max(mostAtOnce, fleet.counts.removals.length - before)
  }
  return { removals: fleet.counts.removals.length, mostAtOnce }
}

function agentDetectionTime (timeouts: TimeoutCase, seed: number, injectLoss: (fleet: DetectionFleet, agent: FleetProcess) => void): number {
  const fleet = createAgentFleet(timeouts, seed)
  const lostAt = SETTLE_MILLISECONDS + fleet.random() * DEFAULT_TIMINGS.heartbeat
  fleet.loop.run(lostAt)
  injectLoss(fleet, pickRandom(fleet, fleet.agents))
  return timeUntil(fleet, lostAt, () => fleet.counts.losses.length === fleet.entries.length)
}

function createAgentFleet ({ agentLost, silence }: TimeoutCase, seed: number): DetectionFleet {
  return new DetectionFleet({ entries: 3, agents: AGENTS, timings: { ...DEFAULT_TIMINGS, agentLost }, silence, seed })
}

/** Counts the disturbances after which some entry abandoned a live agent. */
function countFalseAgentLosses (timeouts: TimeoutCase, disturbance: Disturbance, seed: number): number {
  const fleet = createAgentFleet(timeouts, seed)
  fleet.loop.run(SETTLE_MILLISECONDS)
  let lost = 0
  for (let done = 0; done < AGENT_DISTURBANCE_COUNT; done += 1) {
    const before = fleet.counts.losses.length
    disturbance.act(fleet, pickRandom(fleet, fleet.agents))
    fleet.loop.run(fleet.loop.now + DISTURBANCE_INTERVAL + SETTLE_MILLISECONDS + fleet.random() * DEFAULT_TIMINGS.heartbeat)
    if (fleet.counts.losses.length > before) lost += 1
  }
  return lost
}

function timeUntil (fleet: DetectionFleet, from: number, condition: () => boolean): number {
  for (let instant = from; instant < from + MAX_DETECTION_TIME; instant += 5) {
    fleet.loop.run(instant)
    if (condition()) return instant - from
  }
  return MAX_DETECTION_TIME
}

function repeatRuns (seed: number, measure: (seed: number) => number): number[] {
  return Array.from({ length: RUNS_PER_LOSS }, (_, run) => measure(seed * 1_000 + run))
}

function summarize (name: string, times: readonly number[]): Row {
  return { [`${name}P50`]: round(quantile(times, 0.5), 0), [`${name}Worst`]: round(Math.max(...times), 0) }
}

function pickRandom (fleet: DetectionFleet, processes: readonly FleetProcess[]): FleetProcess {
  return processes[Math.floor(fleet.random() * processes.length)] as FleetProcess
}

function anotherEntry (fleet: DetectionFleet, subject: FleetProcess): string {
  return pickRandom(fleet, fleet.entries.filter(entry => entry !== subject)).instance
}

function forEachPeer (fleet: DetectionFleet, subject: FleetProcess, act: (peer: string) => void): void {
  for (const { instance } of fleet.entries) if (instance !== subject.instance) act(instance)
}

function lagBoth (fleet: DetectionFleet, subject: FleetProcess, peer: string): void {
  fleet.network.lag(subject.instance, peer, 500, fleet.loop.now + 5_000)
  fleet.network.lag(peer, subject.instance, 500, fleet.loop.now + 5_000)
}

function cutBoth (fleet: DetectionFleet, subject: FleetProcess, peer: string, milliseconds: number): void {
  fleet.network.cut(subject.instance, peer, fleet.loop.now + milliseconds)
  fleet.network.cut(peer, subject.instance, fleet.loop.now + milliseconds)
}

function resetAll (fleet: DetectionFleet, subject: FleetProcess): void {
  forEachPeer(fleet, subject, peer => fleet.network.reset(subject.instance, peer))
}

/** Resets the connections at both ends, then partitions them. */
function cutAndReset (fleet: DetectionFleet, subject: FleetProcess, milliseconds: number): void {
  resetAll(fleet, subject)
  forEachPeer(fleet, subject, peer => cutBoth(fleet, subject, peer, milliseconds))
}
