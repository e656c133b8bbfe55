/**
 * Simulates how a new configuration spreads through a fleet. Every entry runs the real
 * `ConfigurationAdoption`; links have random latencies, the store supports a watch and polling, and
 * time is virtual. An agent keeps only the highest version that it has received, as the real one
 * does: agents receive no document.
 *
 * Processor time and traffic other than documents and heartbeats are left out. Task messages carry
 * versions too and are more frequent than heartbeats, so a real fleet under load detects sooner
 * which instances are behind.
 */
import type { AdoptionOptions, PeerSelection, VersionedDocument } from '@amaranthmast/coordination/adoption'
import { ConfigurationAdoption, Responsibility } from '@amaranthmast/coordination/adoption'
import { DEFAULT_TIMINGS } from '@amaranthmast/coordination/defaults'
import type { Member } from '@amaranthmast/coordination/messages'
import { ownerOf } from '@amaranthmast/coordination/rendezvous'
import { CONFIGURATION_POLL_MILLISECONDS } from '@amaranthmast/daemon/defaults'
import { EventLoop } from './eventloop.ts'
import { logUniform, seededRandom } from './random.ts'

/** Failure that is injected around the write of the configuration. */
export enum Disturbance {
  /** Nothing: every watch reports the write. */
  None = 'none',
  /** One entry's watch misses the write. */
  OneWatchMissed = 'oneWatchMissed',
  /** Every watch misses the write, so that entries find it by polling. */
  AllWatchesMissed = 'allWatchesMissed',
  /** The store delivers every event a second late, and reads time out. */
  StoreSlow = 'storeSlow',
  /** Events are late by 0 to 1 s, each by a different time. */
  StoreUneven = 'storeUneven',
  /** The store goes down when only one entry has the new version. */
  Outage = 'outage',
  /** One agent is disconnected for 1 s from the instant of the write. */
  AgentCutOff = 'agentCutOff',
  /** As `Outage`; a second after the write, an agent and an entry start and connect to their peers. */
  StartsInOutage = 'startsInOutage',
  /** A second after the write, the links of one entry to the others are reset. */
  LinksReset = 'linksReset'
}

/** Options of one simulation. */
export interface ConvergenceOptions {
  entries: number
  agents: number
  disturbance: Disturbance
  choice: PeerSelection
  /** Number of peers drawn in one round of random choice. @default 1 */
  roundPeers?: number
  /** Responsibility of an entry for the other entries, which decides how long it waits before it sends. @default Responsibility.Watcher */
  entryPeers?: Responsibility
  documentBytes: number
  seed: number
  /** Creates the adoption of one entry. @default the real one */
  makeAdoption?: (options: AdoptionOptions) => ConfigurationAdoption
}

/** Result of one simulation. */
export interface ConvergenceResult {
  /** Time until the new version is in force at each instance that adopted it, in milliseconds from the write or from the instance's start, whichever is later. */
  inForce: number[]
  /** Number of instances that did not adopt it within the time limit. */
  unfinished: number
  /** Number of documents sent to entries and versions sent to agents. */
  documents: number
  bytes: number
  /** Number of documents received by an instance that already had the version. */
  useless: number
  /** How often an instance reverted to an older version. */
  backwards: number
}

/** Time limit of a run after the write, in milliseconds. */
const MAX_RUN_MILLISECONDS = 6_000
const WRITE_AT = 1_000
/** Delay from the write to late starts and link resets, in milliseconds. */
const LATE_EVENT_DELAY = 1_000
const PARTITION_MILLISECONDS = 1_000
const MAX_STORE_DELAY = 1_000
const TICK_MILLISECONDS = 50
/** Mean interval of polling, and the range of its jitter: 0.75 to 1.25 of the mean. */
const POLL_MILLISECONDS = CONFIGURATION_POLL_MILLISECONDS
const POLL_MIN_FRACTION = 0.75
const POLL_JITTER_FRACTION = 0.5
const NETWORK_LATENCY = { low: 0.5, high: 5 }
const STORE_LATENCY = { low: 2, high: 10 }
/** Bandwidth of one process's outgoing link: 1 Gbit/s. */
const BYTES_PER_MILLISECOND = 125_000
/** Times after the first transmission at which a lost packet is retransmitted, in milliseconds; the interval doubles, as in TCP. */
const RETRANSMISSIONS = [200, 600, 1_400, 3_000]

/** Encoded size of the message that sends a version to an agent. */
const VERSION_BYTES = 7

const OLD_VERSION = 1
const NEW_VERSION = 2

interface ModelEntry {
  name: string
  index: number
  adoption: ConfigurationAdoption
  version: number
  /** Instant until which earlier documents occupy the outgoing link. */
  sendingUntil: number
  up: boolean
}

interface ModelAgent {
  name: string
  version: number
  startedAt: number
  cut: boolean
}

/** Simulates one configuration change in a fleet. */
export function runConvergence (options: ConvergenceOptions): ConvergenceResult {
  return new ConvergenceModel(options).run()
}

class ConvergenceModel {
  readonly #options: ConvergenceOptions
  readonly #loop = new EventLoop()
  readonly #random: () => number
  readonly #entries: ModelEntry[]
  readonly #agents: ModelAgent[]
  readonly #instances = new Map<string, ModelEntry | ModelAgent>()
  readonly #inForceAt = new Map<string, number>()
  readonly #startedAt = new Map<string, number>()
  #documents = 0
  #bytes = 0
  #redundantDocuments = 0
  #regressions = 0
  #converged = false

  constructor (options: ConvergenceOptions) {
    this.#options = options
    this.#random = seededRandom(options.seed)
    this.#entries = Array.from({ length: options.entries }, (_, index) => this.#createEntry(index))
    this.#agents = Array.from({ length: options.agents }, (_, index) => ({ name: `agent-${index}#1`, version: OLD_VERSION, startedAt: 0, cut: false }))
    for (const instance of [...this.#entries, ...this.#agents]) this.#instances.set(instance.name, instance)
  }

  run (): ConvergenceResult {
    this.#scheduleLateStarts()
    this.#connectAll()
    this.#scheduleHeartbeats()
    this.#loop.at(WRITE_AT, () => this.#writeConfiguration())
    for (let until = WRITE_AT; !this.#converged && until <= WRITE_AT + MAX_RUN_MILLISECONDS; until += TICK_MILLISECONDS) {
      this.#loop.run(until)
      this.#converged = this.#hasConverged()
    }
    return this.#result()
  }

  #createEntry (index: number): ModelEntry {
    const adoption = this.#createAdoption()
    adoption.offer(documentOf(OLD_VERSION), 0)
    return { name: `entry-${index}#1`, index, adoption, version: OLD_VERSION, sendingUntil: 0, up: true }
  }

  get #members (): Member[] {
    return this.#entries.filter(({ up }) => up).map(({ name }) => ({ instance: name, address: '', dataCentre: '', leaving: false }))
  }

  /** Adds one agent and one entry that start later. */
  #scheduleLateStarts (): void {
    if (this.#options.disturbance !== Disturbance.StartsInOutage) return
    const entry = this.#createEntry(this.#entries.length)
    Object.assign(entry, { up: false, version: 0, adoption: this.#createAdoption() })
    const agent: ModelAgent = { name: 'agent-late#1', version: 0, startedAt: Number.POSITIVE_INFINITY, cut: false }
    this.#entries.push(entry)
    this.#agents.push(agent)
    for (const instance of [entry, agent]) {
      this.#instances.set(instance.name, instance)
      this.#startedAt.set(instance.name, WRITE_AT + LATE_EVENT_DELAY)
    }
    this.#loop.at(WRITE_AT + LATE_EVENT_DELAY, () => this.#startLateInstances(entry, agent))
  }

  #createAdoption (): ConfigurationAdoption {
    const { choice, roundPeers, makeAdoption } = this.#options
    const options = { choice, random: this.#random, ...(roundPeers === undefined ? {} : { roundPeers }) }
    return makeAdoption?.(options) ?? new ConfigurationAdoption(options)
  }

  #startLateInstances (entry: ModelEntry, agent: ModelAgent): void {
    entry.up = true
    agent.startedAt = this.#loop.now
    for (const other of this.#entries) {
      if (other !== entry) this.#connectEntries(other, entry)
      other.adoption.connected(agent.name, agent.version, this.#responsibility(other, agent.name), this.#loop.now)
      this.#sendDueDocuments(other)
    }
  }

  /** Opens a link. The version of the other end is unknown until its greeting arrives. */
  #connectEntries (one: ModelEntry, other: ModelEntry): void {
    for (const [from, to] of [[one, other], [other, one]] as const) {
      from.adoption.connected(to.name, undefined, this.#responsibility(from, to.name), this.#loop.now)
      const version = from.version
      this.#loop.after(this.#networkLatency(), () => to.adoption.noteVersion(from.name, version))
    }
    this.#sendDueDocuments(one)
    this.#sendDueDocuments(other)
  }

  #connectAll (): void {
    for (const entry of this.#entries.filter(({ up }) => up)) {
      for (const peer of this.#entries) {
        if (peer !== entry && peer.up) entry.adoption.connected(peer.name, OLD_VERSION, this.#responsibility(entry, peer.name), 0)
      }
      for (const agent of this.#agents) {
        if (agent.startedAt === 0) entry.adoption.connected(agent.name, OLD_VERSION, this.#responsibility(entry, agent.name), 0)
      }
    }
  }

  #responsibility (entry: ModelEntry, peer: string): Responsibility {
    if (!peer.startsWith('agent')) return this.#options.entryPeers ?? Responsibility.Watcher
    return ownerOf(peer, this.#members) === entry.name ? Responsibility.Own : Responsibility.Other
  }

  /** Schedules the heartbeats of every instance to all its peers, and the ticks of the entries. */
  #scheduleHeartbeats (): void {
    const { heartbeat } = DEFAULT_TIMINGS
    for (const instance of [...this.#entries, ...this.#agents]) {
      this.#repeat(heartbeat, this.#random() * heartbeat, () => this.#sendHeartbeat(instance))
    }
    for (const entry of this.#entries) this.#repeat(TICK_MILLISECONDS, this.#random() * TICK_MILLISECONDS, () => this.#sendDueDocuments(entry))
  }

  #repeat (interval: number, phase: number, run: () => void): void {
    this.#loop.at(phase, () => {
      run()
      this.#repeat(interval, phase + interval, run)
    })
  }

  #sendHeartbeat (from: ModelEntry | ModelAgent): void {
    if ('up' in from ? !from.up : from.startedAt > this.#loop.now) return
    const version = from.version
    this.#loop.at(this.#arrivalTime(this.#loop.now, from), () => {
      for (const entry of this.#entries) if (entry !== from && entry.up) entry.adoption.noteVersion(from.name, version)
    })
  }

  #writeConfiguration (): void {
    if (this.#options.disturbance === Disturbance.AgentCutOff) this.#disconnectAgent(this.#agents[0] as ModelAgent)
    if (this.#options.disturbance === Disturbance.LinksReset) this.#loop.after(LATE_EVENT_DELAY, () => this.#resetLinks())
    for (const entry of this.#entries.filter(({ up }) => up)) {
      const delay = this.#storeNotificationDelay(entry)
      if (delay !== undefined) this.#loop.after(delay, () => this.#offer(entry, NEW_VERSION))
      this.#scheduleStaleRead(entry)
    }
  }

  #disconnectAgent (agent: ModelAgent): void {
    agent.cut = true
    this.#loop.after(PARTITION_MILLISECONDS, () => { agent.cut = false })
  }

  #resetLinks (): void {
    const entry = this.#entries[0] as ModelEntry
    for (const other of this.#entries.slice(1)) {
      entry.adoption.disconnected(other.name)
      other.adoption.disconnected(entry.name)
      this.#connectEntries(entry, other)
    }
  }

  /** Delay until an entry receives the write from the store, by its watch or by polling; undefined when it never does. */
  #storeNotificationDelay (entry: ModelEntry): number | undefined {
    const latency = logUniform(this.#random, STORE_LATENCY.low, STORE_LATENCY.high)
    const period = POLL_MILLISECONDS * (POLL_MIN_FRACTION + POLL_JITTER_FRACTION * this.#random())
    const polledAfter = this.#random() * period + latency
    switch (this.#options.disturbance) {
      case Disturbance.OneWatchMissed: return entry.index === 0 ? polledAfter : latency
      case Disturbance.AllWatchesMissed: return polledAfter
      case Disturbance.StoreSlow: return latency + MAX_STORE_DELAY
      case Disturbance.StoreUneven: return latency + MAX_STORE_DELAY * this.#random()
      case Disturbance.Outage:
      case Disturbance.StartsInOutage: return entry.index === 0 ? latency : undefined
      default: return latency
    }
  }

  /** Schedules a read that a lagging replica of the store answers with the version before the write. */
  #scheduleStaleRead (entry: ModelEntry): void {
    this.#loop.after(this.#random() * MAX_STORE_DELAY, () => this.#offer(entry, OLD_VERSION))
  }

  #offer (entry: ModelEntry, version: number): void {
    if (entry.adoption.offer(documentOf(version), this.#loop.now)) this.#recordAdoption(entry, entry.adoption.inForce.version)
    this.#sendDueDocuments(entry)
  }

  #recordAdoption (instance: ModelEntry | ModelAgent, version: number): void {
    if (version < instance.version) this.#regressions += 1
    instance.version = version
    if ('adoption' in instance) this.#sendHeartbeat(instance)
    if (version === NEW_VERSION && !this.#inForceAt.has(instance.name)) this.#inForceAt.set(instance.name, this.#loop.now)
  }

  #sendDueDocuments (entry: ModelEntry): void {
    if (!entry.up) return
    for (const peer of entry.adoption.due(this.#loop.now)) this.#sendDocument(entry, this.#instances.get(peer) as ModelEntry | ModelAgent)
  }

  #sendDocument (from: ModelEntry, to: ModelEntry | ModelAgent): void {
    const { version } = from.adoption.inForce
    const bytes = 'adoption' in to ? this.#options.documentBytes : VERSION_BYTES
    this.#documents += 1
    this.#bytes += bytes
    from.sendingUntil = Math.max(from.sendingUntil, this.#loop.now) + bytes / BYTES_PER_MILLISECOND
    this.#loop.at(this.#arrivalTime(from.sendingUntil, to), () => this.#receive(to, version))
  }

  #receive (instance: ModelEntry | ModelAgent, version: number): void {
    if (version <= instance.version) {
      this.#redundantDocuments += 1
      return
    }
    if ('adoption' in instance) this.#offer(instance, version)
    else this.#recordAdoption(instance, version)
  }

  #networkLatency (): number {
    return logUniform(this.#random, NETWORK_LATENCY.low, NETWORK_LATENCY.high)
  }

  /** Arrival time of a packet sent to or from an instance. Packets lost while it is disconnected are retransmitted. */
  #arrivalTime (sentAt: number, instance: ModelEntry | ModelAgent): number {
    if (!('cut' in instance) || !instance.cut) return sentAt + this.#networkLatency()
    const end = WRITE_AT + PARTITION_MILLISECONDS
    const retryAt = RETRANSMISSIONS.map(wait => sentAt + wait).find(instant => instant >= end)
    return (retryAt ?? end) + this.#networkLatency()
  }

  /** Whether every instance has the new version and no entry records a peer as behind. */
  #hasConverged (): boolean {
    const hasLateEvent = this.#options.disturbance === Disturbance.StartsInOutage || this.#options.disturbance === Disturbance.LinksReset
    if (hasLateEvent && this.#loop.now < WRITE_AT + LATE_EVENT_DELAY + PARTITION_MILLISECONDS) return false
    if (this.#inForceAt.size < this.#instances.size) return false
    return this.#entries.every(entry => entry.adoption.behind().length === 0)
  }

  #result (): ConvergenceResult {
    const inForce = [...this.#inForceAt].map(([name, at]) => at - (this.#startedAt.get(name) ?? WRITE_AT))
    return {
      inForce,
      unfinished: this.#instances.size - inForce.length,
      documents: this.#documents,
      bytes: this.#bytes,
      useless: this.#redundantDocuments,
      backwards: this.#regressions
    }
  }
}

function documentOf (version: number): VersionedDocument {
  return { version, document: new Uint8Array() }
}
