/** How soon a lost entry or agent is noticed, and how often a live one is taken for lost. */
import { DEFAULT_TIMINGS } from '@amaranthmast/coordination/defaults'
import type { FleetProcess } from './detectionprocess.ts'
import { DetectionFleet } from './detectionfleet.ts'
import { quantile, rounded } from './measures.ts'
import { logUniform } from './random.ts'
import type { Row, SectionOptions } from './sectiontypes.ts'

/** A disturbance of one process that goes on living. */
interface Upset {
  name: string
  /** How often it is taken to happen to one process in a day. */
  perDay: number
  act: (fleet: DetectionFleet, subject: FleetProcess) => void
}

type Patience = typeof PATIENCES[number]

const ENTRIES = [3, 12]
const SUSPECT_TIMES = [600, 1_200, 1_800, 2_400]
/** Time after which a disconnected agent is given up, and after which a silent link counts as broken. */
const PATIENCES = [
  { agentLost: 1_000, silence: 2_000 },
  { agentLost: 2_000, silence: 2_000 },
  { agentLost: 4_000, silence: 2_000 },
  { agentLost: 2_000, silence: 5_000 }
]

const AGENTS = 11
const SETTLED = 5_000
const UPSET_EVERY = 8_000
const LOSSES = 30
const LIMIT = 20_000
/** Disturbances of each kind, over all entries of the fleet. */
const UPSETS: Readonly<Record<number, number>> = { 3: 200, 12: 60 }
const AGENT_UPSETS = 100

const ENTRY_UPSETS: readonly Upset[] = [
  { name: 'pause 50-800', perDay: 1_440, act: (fleet, subject) => fleet.pause(subject, logUniform(fleet.random, 50, 800)) },
  { name: 'pause 800-1200', perDay: 1, act: (fleet, subject) => fleet.pause(subject, logUniform(fleet.random, 800, 1_200)) },
  { name: 'stop 2000', perDay: 1, act: (fleet, subject) => fleet.pause(subject, 2_000) },
  { name: 'lag 0-500 for 5 s', perDay: 24, act: (fleet, subject) => eachPeer(fleet, subject, peer => lagBoth(fleet, subject, peer)) },
  { name: 'one way to one peer cut 1000', perDay: 1, act: (fleet, subject) => fleet.network.cut(subject.instance, anotherEntry(fleet, subject), fleet.loop.now + 1_000) },
  { name: 'one way to one peer cut 3000', perDay: 1, act: (fleet, subject) => fleet.network.cut(subject.instance, anotherEntry(fleet, subject), fleet.loop.now + 3_000) },
  { name: 'both ways to one peer cut 3000', perDay: 1, act: (fleet, subject) => cutBoth(fleet, subject, anotherEntry(fleet, subject), 3_000) },
  { name: 'both ways to all peers cut 1000', perDay: 1, act: (fleet, subject) => eachPeer(fleet, subject, peer => cutBoth(fleet, subject, peer, 1_000)) },
  { name: 'both ways to all peers cut 3000', perDay: 1, act: (fleet, subject) => eachPeer(fleet, subject, peer => cutBoth(fleet, subject, peer, 3_000)) }
]

const AGENT_UPSET_KINDS: readonly Upset[] = [
  { name: 'pause 50-800', perDay: 1_440, act: (fleet, subject) => fleet.pause(subject, logUniform(fleet.random, 50, 800)) },
  { name: 'stop 2000', perDay: 1, act: (fleet, subject) => fleet.pause(subject, 2_000) },
  { name: 'connections reset', perDay: 1, act: resetAll },
  { name: 'connections reset, stop 2000', perDay: 1, act: (fleet, subject) => { resetAll(fleet, subject); fleet.pause(subject, 2_000) } },
  { name: 'both ways cut 1000, reset', perDay: 1, act: (fleet, subject) => cutAndReset(fleet, subject, 1_000) },
  { name: 'both ways cut 3000, reset', perDay: 1, act: (fleet, subject) => cutAndReset(fleet, subject, 3_000) },
  { name: 'both ways cut 3000', perDay: 1, act: (fleet, subject) => eachPeer(fleet, subject, peer => cutBoth(fleet, subject, peer, 3_000)) }
]

/** One row per size and suspect time: killed entries, with and without the store, and silent ones. */
export function measureDetection ({ seed }: SectionOptions): Row[] {
  return ENTRIES.flatMap(entries => SUSPECT_TIMES.map(suspect => {
    const killed = timesOf(seed, run => noticeEntry({ entries, suspect, seed: run }, (fleet, entry) => fleet.kill(entry)))
    const killedInOutage = timesOf(seed, run => noticeEntry({ entries, suspect, seed: run }, (fleet, entry) => {
      fleet.store.down = true
      fleet.kill(entry)
    }))
    const silent = timesOf(seed, run => noticeEntry({ entries, suspect, seed: run }, (fleet, entry) => fleet.silence(entry)))
    return { entries, suspect, ...spread('killed', killed), ...spread('killedStoreDown', killedInOutage), ...spread('silent', silent) }
  }))
}

/** One row per size, suspect time and disturbance: live entries that were removed. */
export function measureFalseRemovals ({ seed }: SectionOptions): Row[] {
  return ENTRIES.flatMap(entries => SUSPECT_TIMES.flatMap(suspect => ENTRY_UPSETS.map(upset => {
    const upsets = UPSETS[entries] as number
    const { removals, mostAtOnce } = upsetEntries({ entries, suspect, seed }, upset, upsets)
    return { entries, suspect, upset: upset.name, upsets, removals, mostAtOnce, perDayTaken: upset.perDay, removalsPerEntryDay: rounded(upset.perDay * removals / upsets) }
  })))
}

/** One row per patience and kind of loss or disturbance of an agent. */
export function measureAgentLoss ({ seed }: SectionOptions): Row[] {
  return PATIENCES.flatMap(patience => {
    const killed = timesOf(seed, run => noticeAgent(patience, run, (fleet, agent) => fleet.kill(agent)))
    const silent = timesOf(seed, run => noticeAgent(patience, run, (fleet, agent) => fleet.silence(agent)))
    return [
      { ...patience, upset: 'killed', ...spread('noticed', killed) },
      { ...patience, upset: 'silent', ...spread('noticed', silent) },
      ...AGENT_UPSET_KINDS.map(upset => ({ ...patience, upset: upset.name, upsets: AGENT_UPSETS, falselyLost: upsetAgents(patience, upset, seed) }))
    ]
  })
}

/** A fleet of entries alone. */
export interface EntryFleet {
  entries: number
  suspect: number
  seed: number
  makeEntry?: ConstructorParameters<typeof DetectionFleet>[0]['makeEntry']
}

/** Time from the loss of an entry until no other has it in its view; the limit when some always does. */
export function noticeEntry (options: EntryFleet, lose: (fleet: DetectionFleet, entry: FleetProcess) => void): number {
  const fleet = entryFleet(options)
  const lostAt = SETTLED + fleet.random() * DEFAULT_TIMINGS.heartbeat
  fleet.loop.run(lostAt)
  const entry = randomOf(fleet, fleet.entries)
  lose(fleet, entry)
  return until(fleet, lostAt, () => fleet.removedEverywhere(entry.instance))
}

function entryFleet ({ entries, suspect, seed, makeEntry }: EntryFleet): DetectionFleet {
  return new DetectionFleet({ entries, agents: 0, timings: { ...DEFAULT_TIMINGS, suspect }, seed, ...(makeEntry === undefined ? {} : { makeEntry }) })
}

/** Removals of live entries under one kind of disturbance: all, and the most after a single one. */
export function upsetEntries (options: EntryFleet, upset: Pick<Upset, 'act'>, upsets: number): { removals: number, mostAtOnce: number } {
  const fleet = entryFleet(options)
  fleet.loop.run(SETTLED)
  let mostAtOnce = 0
  for (let done = 0; done < upsets; done += 1) {
    const before = fleet.counts.removals.length
    upset.act(fleet, randomOf(fleet, fleet.entries))
    fleet.loop.run(fleet.loop.now + UPSET_EVERY + fleet.random() * DEFAULT_TIMINGS.heartbeat)
    mostAtOnce = Math.max(mostAtOnce, fleet.counts.removals.length - before)
  }
  return { removals: fleet.counts.removals.length, mostAtOnce }
}

function noticeAgent (patience: Patience, seed: number, lose: (fleet: DetectionFleet, agent: FleetProcess) => void): number {
  const fleet = agentFleet(patience, seed)
  const lostAt = SETTLED + fleet.random() * DEFAULT_TIMINGS.heartbeat
  fleet.loop.run(lostAt)
  lose(fleet, randomOf(fleet, fleet.agents))
  return until(fleet, lostAt, () => fleet.counts.losses.length === fleet.entries.length)
}

function agentFleet ({ agentLost, silence }: Patience, seed: number): DetectionFleet {
  return new DetectionFleet({ entries: 3, agents: AGENTS, timings: { ...DEFAULT_TIMINGS, agentLost }, silence, seed })
}

/** Disturbances after which some entry had given a live agent up. */
function upsetAgents (patience: Patience, upset: Upset, seed: number): number {
  const fleet = agentFleet(patience, seed)
  fleet.loop.run(SETTLED)
  let lost = 0
  for (let done = 0; done < AGENT_UPSETS; done += 1) {
    const before = fleet.counts.losses.length
    upset.act(fleet, randomOf(fleet, fleet.agents))
    fleet.loop.run(fleet.loop.now + UPSET_EVERY + SETTLED + fleet.random() * DEFAULT_TIMINGS.heartbeat)
    if (fleet.counts.losses.length > before) lost += 1
  }
  return lost
}

function until (fleet: DetectionFleet, from: number, holds: () => boolean): number {
  for (let instant = from; instant < from + LIMIT; instant += 5) {
    fleet.loop.run(instant)
    if (holds()) return instant - from
  }
  return LIMIT
}

function timesOf (seed: number, measure: (seed: number) => number): number[] {
  return Array.from({ length: LOSSES }, (_, run) => measure(seed * 1_000 + run))
}

function spread (name: string, times: readonly number[]): Row {
  return { [`${name}P50`]: rounded(quantile(times, 0.5), 0), [`${name}Worst`]: rounded(Math.max(...times), 0) }
}

function randomOf (fleet: DetectionFleet, processes: readonly FleetProcess[]): FleetProcess {
  return processes[Math.floor(fleet.random() * processes.length)] as FleetProcess
}

function anotherEntry (fleet: DetectionFleet, subject: FleetProcess): string {
  return randomOf(fleet, fleet.entries.filter(entry => entry !== subject)).instance
}

function eachPeer (fleet: DetectionFleet, subject: FleetProcess, act: (peer: string) => void): void {
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
  eachPeer(fleet, subject, peer => fleet.network.reset(subject.instance, peer))
}

/** Both ends see the reset, then nothing passes. */
function cutAndReset (fleet: DetectionFleet, subject: FleetProcess, milliseconds: number): void {
  resetAll(fleet, subject)
  eachPeer(fleet, subject, peer => cutBoth(fleet, subject, peer, milliseconds))
}
