/**
 * The real decision logic of entries and agents, run under virtual time with the edges that matter
 * for noticing a loss: links that are dialled, refused, cut and closed when silent, processes that
 * pause and are killed, and a store with one view. Intervals of the edges are those of the daemon.
 *
 * Left out: jobs, and the processor time of the processes themselves.
 */
import type { AgentEffect, AgentEvent } from '@amaranthmast/coordination/agenttypes'
import { Agent } from '@amaranthmast/coordination/agent'
import type { Timings } from '@amaranthmast/coordination/defaults'
import { EMPTY_CONFIGURATION } from '@amaranthmast/coordination/configuration'
import type { EntryOptions } from '@amaranthmast/coordination/entry'
import { Entry } from '@amaranthmast/coordination/entry'
import type { EntryEffect, EntryEvent } from '@amaranthmast/coordination/entrytypes'
import type { AgentToEntry, EntryToAgent, Instance, PeerMessage, View } from '@amaranthmast/coordination/messages'
import type { TaskSchedulerOptions } from '@amaranthmast/coordination/scheduler'
import { TaskScheduler } from '@amaranthmast/coordination/scheduler'
import { Slots } from '@amaranthmast/coordination/slots'
import { isMember } from '@amaranthmast/coordination/view'
import { CONFIGURATION_POLL_MILLISECONDS, TICK_MILLISECONDS, VIEW_POLL_MILLISECONDS } from '@amaranthmast/daemon/defaults'
import { linkTimeout } from '@amaranthmast/daemon/silence'
import type { FleetProcess } from './detectionprocess.ts'
import { EventLoop } from './eventloop.ts'
import { DetectionNetwork } from './detectionnetwork.ts'
import { DetectionStore } from './detectionstore.ts'
import { seededRandom } from './random.ts'

/** How a fleet is made. */
export interface DetectionFleetOptions {
  entries: number
  agents: number
  timings: Timings
  seed: number
  /** Time after which a link on which nothing arrives is closed, in milliseconds. @default the daemon's */
  silence?: number
  /** Makes an entry. @default the real one */
  makeEntry?: (options: EntryOptions) => Entry
}

/** Messages by kind, and what the fleet saw. */
export interface FleetCounts {
  messages: Map<string, number>
  /** Documents of the configuration sent to entries and versions told to agents, and the bytes of the documents. */
  documents: { toEntries: number, toAgents: number, bytes: number }
  /** Instants at which an entry stopped because it had been removed. */
  removals: Array<{ at: number, instance: Instance }>
  /** Instants at which a configuration came into force. */
  adoptions: Array<{ at: number, instance: Instance, version: number }>
  /** Instants at which an entry gave an agent's unfinished tasks up. */
  losses: Array<{ at: number, agent: Instance }>
}

/** Watches of an entry: the view and the configuration. */
const WATCHES = 2
const RESTART = 1_000
/** A poll's waits are three to five quarters of its mean. */
const LEAST_WAIT = 0.75
const WAIT_SPREAD = 0.5
const SLOTS = 8
const SEED_ROUND_TRIP = 4

/**
 * The real scheduler, watched: an entry takes a target down when its link ends, and takes a target
 * that is down already down once more when it gives the agent up.
 */
class WatchedScheduler extends TaskScheduler {
  readonly #down = new Set<Instance>()
  readonly #givenUp: (agent: Instance) => void

  constructor (options: TaskSchedulerOptions, givenUp: (agent: Instance) => void) {
    super(options)
    this.#givenUp = givenUp
  }

  override targetUp (...parameters: Parameters<TaskScheduler['targetUp']>): void {
    this.#down.delete(parameters[0])
    super.targetUp(...parameters)
  }

  override targetDown (agent: Instance, now: number): void {
    if (this.#down.has(agent)) this.#givenUp(agent)
    this.#down.add(agent)
    super.targetDown(agent, now)
  }
}

export class DetectionFleet {
  readonly loop = new EventLoop()
  readonly random: () => number
  readonly store: DetectionStore
  readonly network: DetectionNetwork
  readonly counts: FleetCounts = { messages: new Map(), documents: { toEntries: 0, toAgents: 0, bytes: 0 }, removals: [], adoptions: [], losses: [] }
  readonly #options: DetectionFleetOptions
  readonly #processes = new Map<Instance, FleetProcess>()
  #incarnation = 0

  constructor (options: DetectionFleetOptions) {
    this.#options = options
    this.random = seededRandom(options.seed)
    this.store = new DetectionStore(this.loop, this.random)
    this.network = new DetectionNetwork(this.loop, this.random, options.silence ?? linkTimeout(options.timings), {
      process: instance => this.#processes.get(instance),
      deliver: (process, run) => this.#deliver(process, run),
      connected: (process, peer, dialled) => this.#connected(process, peer, dialled),
      disconnected: (process, peer, refused) => this.#disconnected(process, peer, refused)
    })
    for (let index = 0; index < options.entries; index += 1) this.startEntry(`entry-${index}`)
    for (let index = 0; index < options.agents; index += 1) this.startAgent(`agent-${index}`)
    this.store.onViewChanged(() => this.#viewChanged())
    this.store.onConfigurationChanged(() => this.#configurationChanged())
  }

  get processes (): FleetProcess[] {
    return [...this.#processes.values()].filter(process => process.alive)
  }

  get entries (): FleetProcess[] {
    return this.processes.filter(process => process.entry !== undefined)
  }

  get agents (): FleetProcess[] {
    return this.processes.filter(process => process.agent !== undefined)
  }

  startEntry (id: string): FleetProcess {
    const process = this.#newProcess(id)
    const options = {
      instance: process.instance,
      address: process.instance,
      dataCentre: 'gulf-1',
      scheduler: new WatchedScheduler({ random: this.random }, agent => this.counts.losses.push({ at: this.loop.now, agent })),
      parseConfiguration: (document: Uint8Array, version: number) => ({ ...EMPTY_CONFIGURATION, version }),
      random: this.random,
      wallClock: () => this.loop.now,
      timings: this.#options.timings
    }
    process.entry = this.#options.makeEntry?.(options) ?? new Entry(options)
    this.#begin(process)
    this.loop.after(this.random() * TICK_MILLISECONDS, () => this.#readConfiguration(process))
    this.loop.after(this.random() * VIEW_POLL_MILLISECONDS, () => this.#pollView(process))
    this.store.calls.watchesOpened += WATCHES
    return process
  }

  startAgent (id: string, seeds = false): FleetProcess {
    const process = this.#newProcess(id)
    process.seeds = seeds
    const target = { target: id, provider: 'provider-a', services: ['label-check'], slots: SLOTS, accelerators: 0, memoryMegabytes: 65_536, dataCentre: 'gulf-1', rack: 'r1' }
    process.agent = new Agent({ instance: process.instance, target, slots: new Slots({ ...target, queueLimit: SLOTS }), timings: this.#options.timings })
    this.#begin(process)
    return process
  }

  /** Stops a process for a while; what reaches it meanwhile waits. */
  pause (process: FleetProcess, milliseconds: number): void {
    process.pausedUntil = Math.max(process.pausedUntil, this.loop.now + milliseconds)
    this.loop.at(process.pausedUntil, () => this.#wake(process))
  }

  /** Ends a process as SIGKILL does: its connections break and its address refuses new ones. */
  kill (process: FleetProcess): void {
    if (!process.alive) return
    process.alive = false
    this.network.ended(process)
  }

  /** Ends a process as a power cut of its machine does: nobody hears anything. */
  silence (process: FleetProcess): void {
    process.pausedUntil = Number.POSITIVE_INFINITY
  }

  /** The store's watch tells one entry of the configuration. */
  tellConfiguration (entry: FleetProcess): void {
    this.store.notify(entry.instance, () => this.#deliver(entry, () => this.#takeConfiguration(entry)))
  }

  /** Whether every other entry that runs has a view without this instance. */
  removedEverywhere (instance: Instance): boolean {
    const others = this.entries.filter(other => other.instance !== instance && this.#running(other))
    return others.every(other => !isMember(this.#viewOf(other), instance))
  }

  #viewOf (process: FleetProcess): View {
    return (process.entry as Entry).status().view
  }

  #running (process: FleetProcess): boolean {
    return process.alive && this.loop.now >= process.pausedUntil
  }

  #newProcess (id: string): FleetProcess {
    this.#incarnation += 1
    const process: FleetProcess = { instance: `${id}#${this.#incarnation}`, alive: true, pausedUntil: 0, missed: [], wanted: new Set(), reading: false }
    this.#processes.set(process.instance, process)
    return process
  }

  #begin (process: FleetProcess): void {
    this.loop.after(this.random() * TICK_MILLISECONDS, () => this.#tick(process))
  }

  #tick (process: FleetProcess): void {
    if (!process.alive) return
    if (this.#running(process)) {
      this.network.sweep(process)
      this.#handle(process, { type: 'tick' })
    }
    this.loop.at(Math.max(this.loop.now, Math.min(process.pausedUntil, Number.MAX_SAFE_INTEGER)) + TICK_MILLISECONDS, () => this.#tick(process))
  }

  /** After a pause the timer fires first, then what arrived is read. */
  #wake (process: FleetProcess): void {
    if (!this.#running(process)) return
    const { missed } = process
    process.missed = []
    this.network.sweep(process)
    this.#handle(process, { type: 'tick' })
    for (const run of missed) run()
  }

  #deliver (process: FleetProcess, run: () => void): void {
    if (!process.alive) return
    if (this.#running(process)) run()
    else process.missed.push(run)
  }

  #handle (process: FleetProcess, event: EntryEvent | AgentEvent): void {
    if (!process.alive) return
    if (process.entry !== undefined) {
      for (const effect of process.entry.handle(event as EntryEvent, this.loop.now)) this.#entryEffect(process, effect)
    } else {
      for (const effect of (process.agent as Agent).handle(event as AgentEvent, this.loop.now)) this.#agentEffect(process, effect)
    }
  }

  #entryEffect (process: FleetProcess, effect: EntryEffect): void {
    switch (effect.type) {
      case 'sendPeer': this.#send(process, effect.peer, effect.message); break
      case 'sendAgent': this.#send(process, effect.agent, effect.message); break
      case 'connectPeers': this.network.want(process, effect.peers.map(({ instance }) => instance).filter(peer => peer !== process.instance)); break
      case 'readView': this.#readView(process); break
      case 'writeView': this.#writeView(process, effect.view, effect.expectedRevision); break
      case 'configurationAdopted': this.#adopted(process, effect.configuration.version); break
      case 'stopped': this.#removed(process); break
      default: break
    }
  }

  #agentEffect (process: FleetProcess, effect: AgentEffect): void {
    if (effect.type === 'sendEntry') this.#send(process, effect.entry, effect.message)
    if (effect.type === 'connectEntries') this.network.want(process, effect.entries.map(({ instance }) => instance))
    if (effect.type === 'readView') this.#readView(process)
  }

  #send (from: FleetProcess, to: Instance, message: PeerMessage | EntryToAgent | AgentToEntry): void {
    const kind = `${from.entry === undefined ? 'agent' : 'entry'}:${message.case}`
    this.counts.messages.set(kind, (this.counts.messages.get(kind) ?? 0) + 1)
    if (message.case === 'configuration') this.#countDocument(to, message.value.document)
    this.network.send(from.instance, to, receiver => this.#receive(receiver, from, message))
  }

  #countDocument (to: Instance, document: Uint8Array): void {
    const { documents } = this.counts
    if (this.#processes.get(to)?.agent === undefined) documents.toEntries += 1
    else documents.toAgents += 1
    documents.bytes += document.length
  }

  #receive (receiver: FleetProcess, from: FleetProcess, message: PeerMessage | EntryToAgent | AgentToEntry): void {
    if (receiver.agent !== undefined) {
      if (message.case === 'configuration') this.#adopted(receiver, message.value.version)
      this.#handle(receiver, { type: 'entryMessage', entry: from.instance, message: message as EntryToAgent })
    } else if (from.agent !== undefined) {
      this.#handle(receiver, { type: 'agentMessage', agent: from.instance, message: message as AgentToEntry })
    } else {
      this.#handle(receiver, { type: 'peerMessage', peer: from.instance, message: message as PeerMessage })
    }
  }

  #connected (process: FleetProcess, peer: FleetProcess, dialled: boolean): void {
    if (process.agent !== undefined) this.#handle(process, { type: 'entryConnected', entry: peer.instance })
    else if (peer.entry !== undefined) this.#handle(process, { type: 'peerConnected', peer: peer.instance })
    else if (dialled) throw new TypeError('an entry never dials an agent')
  }

  #disconnected (process: FleetProcess, peer: FleetProcess, refused: boolean): void {
    if (process.agent !== undefined) {
      if (!refused) this.#handle(process, { type: 'entryDisconnected', entry: peer.instance })
    } else if (peer.entry !== undefined) {
      this.#handle(process, { type: 'peerDisconnected', peer: peer.instance, refused })
    } else {
      this.#handle(process, { type: 'agentDisconnected', agent: peer.instance })
    }
  }

  #readView (process: FleetProcess): void {
    if (process.reading) return
    process.reading = true
    const readStarted = this.loop.now
    this.store.read(process.instance, result => this.#deliver(process, () => {
      process.reading = false
      if (result === undefined) {
        if (process.entry !== undefined) this.#handle(process, { type: 'viewReadFailed' })
        else if (process.seeds === true) this.#askSeed(process)
        return
      }
      const { view, revision } = result
      this.#handle(process, process.entry === undefined ? { type: 'viewRead', view } : { type: 'viewRead', view, revision, readStarted })
    }))
  }

  /** One round trip to an entry, and one to open the connection. */
  #askSeed (process: FleetProcess): void {
    const [seed] = this.entries
    if (seed === undefined) return
    this.loop.after(2 * SEED_ROUND_TRIP, () => this.#deliver(process, () => this.#handle(process, { type: 'viewRead', view: this.#viewOf(seed) })))
  }

  #writeView (process: FleetProcess, view: View, expectedRevision: number): void {
    this.store.write(process.instance, view, expectedRevision, outcome => this.#deliver(process, () => {
      this.#handle(process, { type: 'viewWritten', outcome })
    }))
  }

  #viewChanged (): void {
    for (const entry of this.entries) this.store.notify(entry.instance, () => this.#deliver(entry, () => this.#readView(entry)))
  }

  #configurationChanged (): void {
    for (const entry of this.entries) this.tellConfiguration(entry)
  }

  /** At the start, then at every poll. */
  #readConfiguration (process: FleetProcess): void {
    if (!process.alive) return
    this.store.readConfiguration(process.instance, () => this.#deliver(process, () => this.#takeConfiguration(process)))
    this.loop.after(this.#pollWait(CONFIGURATION_POLL_MILLISECONDS), () => this.#readConfiguration(process))
  }

  #pollWait (mean: number): number {
    return mean * (LEAST_WAIT + WAIT_SPREAD * this.random())
  }

  #pollView (process: FleetProcess): void {
    if (!process.alive) return
    this.#readView(process)
    this.loop.after(this.#pollWait(VIEW_POLL_MILLISECONDS), () => this.#pollView(process))
  }

  #takeConfiguration (process: FleetProcess): void {
    const version = this.store.configurationVersion
    if (version === 0) return
    this.#handle(process, { type: 'configurationRead', configuration: { ...EMPTY_CONFIGURATION, version }, document: Uint8Array.of(version) })
  }

  #adopted (process: FleetProcess, version: number): void {
    this.counts.adoptions.push({ at: this.loop.now, instance: process.instance, version })
  }

  /** A removed entry ends, and its platform starts it anew under another incarnation. */
  #removed (process: FleetProcess): void {
    this.counts.removals.push({ at: this.loop.now, instance: process.instance })
    this.kill(process)
    this.loop.after(RESTART, () => this.startEntry(process.instance.split('#', 1)[0] as string))
  }
}
