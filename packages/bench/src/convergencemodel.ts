/**
 * How a new configuration spreads: the real `ConfigurationAdoption` at every entry, links with the
 * latencies of the brief, a store with a watch and a poll, virtual time. An agent only keeps the
 * highest version that it was told, as the real one does: agents get no document.
 *
 * Left out: processor time, and traffic other than documents and heartbeats. Task traffic states
 * versions more often than heartbeats do, so a fleet under load learns sooner who is behind.
 */
import type { AdoptionOptions, PeerSelection, VersionedDocument } from '@amaranthmast/coordination/adoption'
import { ConfigurationAdoption, Responsibility } from '@amaranthmast/coordination/adoption'
import { DEFAULT_TIMINGS } from '@amaranthmast/coordination/defaults'
import type { Member } from '@amaranthmast/coordination/messages'
import { ownerOf } from '@amaranthmast/coordination/rendezvous'
import { CONFIGURATION_POLL_MILLISECONDS } from '@amaranthmast/daemon/defaults'
import { EventLoop } from './eventloop.ts'
import { logUniform, seededRandom } from './random.ts'

/** What goes wrong around the write. */
export enum Disturbance {
  /** Nothing: every watch reports the write. */
  None = 'none',
  /** One entry's watch misses the write. */
  OneWatchMissed = 'oneWatchMissed',
  /** Every watch misses the write: the poll finds it. */
  AllWatchesMissed = 'allWatchesMissed',
  /** The store takes a second for every event, and reads run into their time limit. */
  StoreSlow = 'storeSlow',
  /** Events are late by 0 to 1 s, each by another time. */
  StoreUneven = 'storeUneven',
  /** The store goes down when one entry alone has the new version. */
  Outage = 'outage',
  /** One agent is cut off for 1 s from the instant of the write. */
  AgentCutOff = 'agentCutOff',
  /** As `Outage`; a second after the write an agent and an entry come up and reach their peers. */
  StartsInOutage = 'startsInOutage',
  /** Nothing at the write; a second later the links of one entry to the others are reset. */
  LinksReset = 'linksReset'
}

/** One run. */
export interface ConvergenceOptions {
  entries: number
  agents: number
  disturbance: Disturbance
  choice: PeerSelection
  /** Peers drawn in one round of random choice. @default 1 */
  roundPeers?: number
  /** Whether an entry sends to the other entries at once, after the grace or after the patience. @default Responsibility.Watcher */
  entryPeers?: Responsibility
  documentBytes: number
  seed: number
  /** Makes the adoption of one entry. @default the real one */
  makeAdoption?: (options: AdoptionOptions) => ConfigurationAdoption
}

/** What a run yields. */
export interface ConvergenceResult {
  /** For each instance that got it, the time from the write, or from its start when that is later. */
  inForce: number[]
  /** Instances that did not get it within the limit. */
  unfinished: number
  /** Documents sent to entries, and versions told to agents. */
  documents: number
  bytes: number
  /** Documents that reached an instance which had that version already. */
  useless: number
  /** How often an instance went back to an older version. */
  backwards: number
}

/** A run ends here at the latest, in milliseconds after the write. */
const LIMIT = 6_000
const WRITE_AT = 1_000
const STARTS_AFTER = 1_000
const CUT = 1_000
const SLOW = 1_000
const TICK = 50
/** Interval of a watcher's reads, and by which part it varies. */
const POLL = CONFIGURATION_POLL_MILLISECONDS
const POLL_LEAST_PART = 0.75
const POLL_SPREAD = 0.5
const LEG = { low: 0.5, high: 5 }
const STORE_ANSWER = { low: 2, high: 10 }
/** Bytes that leave one process in a millisecond: 1 Gbit/s. */
const BYTES_PER_MILLISECOND = 125_000
/** Waits of a sender whose packets get lost, in milliseconds: TCP doubles the first one. */
const RETRANSMISSIONS = [200, 600, 1_400, 3_000]

/** Bytes of the message that tells an agent of a version, as the codec writes it. */
const VERSION_BYTES = 7

const OLD = 1
const NEW = 2

interface ModelEntry {
  name: string
  index: number
  adoption: ConfigurationAdoption
  version: number
  /** Until when earlier documents occupy the way out. */
  sendingUntil: number
  up: boolean
}

interface ModelAgent {
  name: string
  version: number
  startedAt: number
  cut: boolean
}

/** Runs one change of the configuration through a fleet. */
export function runConvergence (options: ConvergenceOptions): ConvergenceResult {
  return new ConvergenceModel(options).run()
}

class ConvergenceModel {
  readonly #options: ConvergenceOptions
  readonly #loop = new EventLoop()
  readonly #random: () => number
  readonly #entries: ModelEntry[]
  readonly #agents: ModelAgent[]
  readonly #byName = new Map<string, ModelEntry | ModelAgent>()
  readonly #inForceAt = new Map<string, number>()
  readonly #startedAt = new Map<string, number>()
  #documents = 0
  #bytes = 0
  #useless = 0
  #backwards = 0
  #settled = false

  constructor (options: ConvergenceOptions) {
    this.#options = options
    this.#random = seededRandom(options.seed)
    this.#entries = Array.from({ length: options.entries }, (_, index) => this.#newEntry(index))
    this.#agents = Array.from({ length: options.agents }, (_, index) => ({ name: `agent-${index}#1`, version: OLD, startedAt: 0, cut: false }))
    for (const instance of [...this.#entries, ...this.#agents]) this.#byName.set(instance.name, instance)
  }

  run (): ConvergenceResult {
    this.#prepareStarters()
    this.#connectAll()
    this.#beat()
    this.#loop.at(WRITE_AT, () => this.#write())
    for (let until = WRITE_AT; !this.#settled && until <= WRITE_AT + LIMIT; until += TICK) {
      this.#loop.run(until)
      this.#settled = this.#allDone()
    }
    return this.#result()
  }

  #newEntry (index: number): ModelEntry {
    const adoption = this.#newAdoption()
    adoption.offer(documentOf(OLD), 0)
    return { name: `entry-${index}#1`, index, adoption, version: OLD, sendingUntil: 0, up: true }
  }

  get #members (): Member[] {
    return this.#entries.filter(({ up }) => up).map(({ name }) => ({ instance: name, address: '', dataCentre: '', leaving: false }))
  }

  /** One agent and one entry that are not there yet. */
  #prepareStarters (): void {
    if (this.#options.disturbance !== Disturbance.StartsInOutage) return
    const entry = this.#newEntry(this.#entries.length)
    Object.assign(entry, { up: false, version: 0, adoption: this.#newAdoption() })
    const agent: ModelAgent = { name: 'agent-late#1', version: 0, startedAt: Number.POSITIVE_INFINITY, cut: false }
    this.#entries.push(entry)
    this.#agents.push(agent)
    for (const instance of [entry, agent]) {
      this.#byName.set(instance.name, instance)
      this.#startedAt.set(instance.name, WRITE_AT + STARTS_AFTER)
    }
    this.#loop.at(WRITE_AT + STARTS_AFTER, () => this.#startLate(entry, agent))
  }

  #newAdoption (): ConfigurationAdoption {
    const { choice, roundPeers, makeAdoption } = this.#options
    const options = { choice, random: this.#random, ...(roundPeers === undefined ? {} : { roundPeers }) }
    return makeAdoption?.(options) ?? new ConfigurationAdoption(options)
  }

  #startLate (entry: ModelEntry, agent: ModelAgent): void {
    entry.up = true
    agent.startedAt = this.#loop.now
    for (const other of this.#entries) {
      if (other !== entry) this.#linkEntries(other, entry)
      other.adoption.connected(agent.name, agent.version, this.#responsibility(other, agent.name), this.#loop.now)
      this.#sendDue(other)
    }
  }

  /** A new link: each end takes the other's version as unknown until its greeting has come. */
  #linkEntries (one: ModelEntry, other: ModelEntry): void {
    for (const [from, to] of [[one, other], [other, one]] as const) {
      from.adoption.connected(to.name, undefined, this.#responsibility(from, to.name), this.#loop.now)
      const version = from.version
      this.#loop.after(this.#leg(), () => to.adoption.noteVersion(from.name, version))
    }
    this.#sendDue(one)
    this.#sendDue(other)
  }

  #connectAll (): void {
    for (const entry of this.#entries.filter(({ up }) => up)) {
      for (const peer of this.#entries) {
        if (peer !== entry && peer.up) entry.adoption.connected(peer.name, OLD, this.#responsibility(entry, peer.name), 0)
      }
      for (const agent of this.#agents) {
        if (agent.startedAt === 0) entry.adoption.connected(agent.name, OLD, this.#responsibility(entry, agent.name), 0)
      }
    }
  }

  #responsibility (entry: ModelEntry, peer: string): Responsibility {
    if (!peer.startsWith('agent')) return this.#options.entryPeers ?? Responsibility.Watcher
    return ownerOf(peer, this.#members) === entry.name ? Responsibility.Own : Responsibility.Other
  }

  /** Heartbeats of every instance to all its peers, and the entries' ticks. */
  #beat (): void {
    const { heartbeat } = DEFAULT_TIMINGS
    for (const instance of [...this.#entries, ...this.#agents]) {
      this.#every(heartbeat, this.#random() * heartbeat, () => this.#heartbeat(instance))
    }
    for (const entry of this.#entries) this.#every(TICK, this.#random() * TICK, () => this.#sendDue(entry))
  }

  #every (interval: number, phase: number, run: () => void): void {
    this.#loop.at(phase, () => {
      run()
      this.#every(interval, phase + interval, run)
    })
  }

  #heartbeat (from: ModelEntry | ModelAgent): void {
    if ('up' in from ? !from.up : from.startedAt > this.#loop.now) return
    const version = from.version
    this.#loop.at(this.#arrival(this.#loop.now, from), () => {
      for (const entry of this.#entries) if (entry !== from && entry.up) entry.adoption.noteVersion(from.name, version)
    })
  }

  #write (): void {
    if (this.#options.disturbance === Disturbance.AgentCutOff) this.#cutOff(this.#agents[0] as ModelAgent)
    if (this.#options.disturbance === Disturbance.LinksReset) this.#loop.after(STARTS_AFTER, () => this.#resetLinks())
    for (const entry of this.#entries.filter(({ up }) => up)) {
      const delay = this.#storeDelay(entry)
      if (delay !== undefined) this.#loop.after(delay, () => this.#offer(entry, NEW))
      this.#readStale(entry)
    }
  }

  #cutOff (agent: ModelAgent): void {
    agent.cut = true
    this.#loop.after(CUT, () => { agent.cut = false })
  }

  #resetLinks (): void {
    const entry = this.#entries[0] as ModelEntry
    for (const other of this.#entries.slice(1)) {
      entry.adoption.disconnected(other.name)
      other.adoption.disconnected(entry.name)
      this.#linkEntries(entry, other)
    }
  }

  /** When the store tells an entry of the write; undefined when it never does. */
  #storeDelay (entry: ModelEntry): number | undefined {
    const answer = logUniform(this.#random, STORE_ANSWER.low, STORE_ANSWER.high)
    const period = POLL * (POLL_LEAST_PART + POLL_SPREAD * this.#random())
    const polled = this.#random() * period + answer
    switch (this.#options.disturbance) {
      case Disturbance.OneWatchMissed: return entry.index === 0 ? polled : answer
      case Disturbance.AllWatchesMissed: return polled
      case Disturbance.StoreSlow: return answer + SLOW
      case Disturbance.StoreUneven: return answer + SLOW * this.#random()
      case Disturbance.Outage:
      case Disturbance.StartsInOutage: return entry.index === 0 ? answer : undefined
      default: return answer
    }
  }

  /** A replica of the store that lags answers a read after the write with the version before it. */
  #readStale (entry: ModelEntry): void {
    this.#loop.after(this.#random() * SLOW, () => this.#offer(entry, OLD))
  }

  #offer (entry: ModelEntry, version: number): void {
    if (entry.adoption.offer(documentOf(version), this.#loop.now)) this.#adopted(entry, entry.adoption.inForce.version)
    this.#sendDue(entry)
  }

  #adopted (instance: ModelEntry | ModelAgent, version: number): void {
    if (version < instance.version) this.#backwards += 1
    instance.version = version
    if ('adoption' in instance) this.#heartbeat(instance)
    if (version === NEW && !this.#inForceAt.has(instance.name)) this.#inForceAt.set(instance.name, this.#loop.now)
  }

  #sendDue (entry: ModelEntry): void {
    if (!entry.up) return
    for (const peer of entry.adoption.due(this.#loop.now)) this.#sendDocument(entry, this.#byName.get(peer) as ModelEntry | ModelAgent)
  }

  #sendDocument (from: ModelEntry, to: ModelEntry | ModelAgent): void {
    const { version } = from.adoption.inForce
    const bytes = 'adoption' in to ? this.#options.documentBytes : VERSION_BYTES
    this.#documents += 1
    this.#bytes += bytes
    from.sendingUntil = Math.max(from.sendingUntil, this.#loop.now) + bytes / BYTES_PER_MILLISECOND
    this.#loop.at(this.#arrival(from.sendingUntil, to), () => this.#receive(to, version))
  }

  #receive (instance: ModelEntry | ModelAgent, version: number): void {
    if (version <= instance.version) {
      this.#useless += 1
      return
    }
    if ('adoption' in instance) this.#offer(instance, version)
    else this.#adopted(instance, version)
  }

  #leg (): number {
    return logUniform(this.#random, LEG.low, LEG.high)
  }

  /** When a packet arrives that is sent at the instant to or from an instance: lost ones are sent again. */
  #arrival (sentAt: number, instance: ModelEntry | ModelAgent): number {
    if (!('cut' in instance) || !instance.cut) return sentAt + this.#leg()
    const end = WRITE_AT + CUT
    const attempt = RETRANSMISSIONS.map(wait => sentAt + wait).find(instant => instant >= end)
    return (attempt ?? end) + this.#leg()
  }

  /** Everyone has it and no entry believes that someone has not. */
  #allDone (): boolean {
    const late = this.#options.disturbance === Disturbance.StartsInOutage || this.#options.disturbance === Disturbance.LinksReset
    if (late && this.#loop.now < WRITE_AT + STARTS_AFTER + CUT) return false
    if (this.#inForceAt.size < this.#byName.size) return false
    return this.#entries.every(entry => entry.adoption.behind().length === 0)
  }

  #result (): ConvergenceResult {
    const inForce = [...this.#inForceAt].map(([name, at]) => at - (this.#startedAt.get(name) ?? WRITE_AT))
    return {
      inForce,
      unfinished: this.#byName.size - inForce.length,
      documents: this.#documents,
      bytes: this.#bytes,
      useless: this.#useless,
      backwards: this.#backwards
    }
  }
}

function documentOf (version: number): VersionedDocument {
  return { version, document: new Uint8Array() }
}
