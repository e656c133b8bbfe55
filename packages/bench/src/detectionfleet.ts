/**
 * Runs the real logic of entries and agents under virtual time, with simulated links, processes and
 * store, to measure failure detection. Links can be refused, partitioned and closed when idle;
 * processes can be paused and killed; the store holds one view. Intervals and timeouts are those of
 * the daemon.
 *
 * Jobs and the processor time of the processes are left out.
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

/** Options of a {@link DetectionFleet}. */
export interface DetectionFleetOptions {
  entries: number
  agents: number
  timings: Timings
  seed: number
  /** Idle timeout of links, in milliseconds. @default the daemon's */
  silence?: number
  /** Creates an entry. @default the real one */
  makeEntry?: (options: EntryOptions) => Entry
}

/** Counters and events that a fleet records. */
export interface FleetCounts {
  /** Number of messages by role of the sender and type. */
  messages: Map<string, number>
  /** Configuration messages sent to entries and to agents, and the bytes of the documents in them. */
  documents: { toEntries: number, toAgents: number, bytes: number }
  /** Entries that stopped because they were removed from the view. */
  removals: Array<{ at: number, instance: Instance }>
  /** Configurations that came into force. */
  adoptions: Array<{ at: number, instance: Instance, version: number }>
  /** Agents whose unfinished tasks an entry abandoned. */
  losses: Array<{ at: number, agent: Instance }>
}

/** One watch of the view and one of the configuration. */
const WATCHES_PER_ENTRY = 2
/** Delay until the platform restarts a removed entry, in milliseconds. */
const RESTART_DELAY = 1_000
/** Waits between polls are 0.75 to 1.25 of their mean. */
const POLL_MIN_FRACTION = 0.75
const POLL_JITTER_FRACTION = 0.5
const SLOTS_PER_AGENT = 8
const SEED_ROUND_TRIP_MILLISECONDS = 4

/**
 * The real scheduler, instrumented to detect abandoned agents. An entry calls `targetDown` when the
 * link of a target ends, and once more for the same target when it abandons the agent.
 */
class ObservedScheduler extends TaskScheduler {
  readonly #downTargets = new Set<Instance>()
  readonly #onAgentAbandoned: (agent: Instance) => void

  constructor (options: TaskSchedulerOptions, onAgentAbandoned: (agent: Instance) => void) {
    super(options)
    this.#onAgentAbandoned = onAgentAbandoned
  }

  override targetUp (...parameters: Parameters<TaskScheduler['targetUp']>): void {
    this.#downTargets.delete(parameters[0])
    super.targetUp(...parameters)
  }

  override targetDown (agent: Instance, now: number): void {
    if (this.#downTargets.has(agent)) this.#onAgentAbandoned(agent)
    this.#downTargets.add(agent)
    super.targetDown(agent, now)
  }
}

/** A simulated fleet of entries and agents. */
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
      connected: (process, peer, dialled) => this.#handleConnected(process, peer, dialled),
      disconnected: (process, peer, refused) => this.#handleDisconnected(process, peer, refused)
    })
    for (let index = 0; index < options.entries; index += 1) this.startEntry(`entry-${index}`)
    for (let index = 0; index < options.agents; index += 1) this.startAgent(`agent-${index}`)
    this.store.onViewChanged(() => this.#notifyViewChanged())
    this.store.onConfigurationChanged(() => this.#notifyConfigurationChanged())
  }

  /** Processes that have not ended, including paused ones. */
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
    const process = this.#createProcess(id)
    const options = {
      instance: process.instance,
      address: process.instance,
      dataCentre: 'gulf-1',
      scheduler: new ObservedScheduler({ random: this.random }, agent => this.counts.losses.push({ at: this.loop.now, agent })),
      parseConfiguration: (document: Uint8Array, version: number) => ({ ...EMPTY_CONFIGURATION, version }),
      random: this.random,
      wallClock: () => this.loop.now,
      timings: this.#options.timings
    }
    process.entry = this.#options.makeEntry?.(options) ?? new Entry(options)
    this.#scheduleFirstTick(process)
    this.loop.after(this.random() * TICK_MILLISECONDS, () => this.#readConfiguration(process))
    this.loop.after(this.random() * VIEW_POLL_MILLISECONDS, () => this.#pollView(process))
    this.store.calls.watchesOpened += WATCHES_PER_ENTRY
    return process
  }

  startAgent (id: string, seeds = false): FleetProcess {
    const process = this.#createProcess(id)
    process.seeds = seeds
    const target = { target: id, provider: 'provider-a', services: ['label-check'], slots: SLOTS_PER_AGENT, accelerators: 0, memoryMegabytes: 65_536, dataCentre: 'gulf-1', rack: 'r1' }
    process.agent = new Agent({ instance: process.instance, target, slots: new Slots({ ...target, queueLimit: SLOTS_PER_AGENT }), timings: this.#options.timings })
    this.#scheduleFirstTick(process)
    return process
  }

  /** Pauses a process. Messages and events that reach it meanwhile are deferred. */
  pause (process: FleetProcess, milliseconds: number): void {
    process.pausedUntil = Math.max(process.pausedUntil, this.loop.now + milliseconds)
    this.loop.at(process.pausedUntil, () => this.#resume(process))
  }

  /** Ends a process as SIGKILL does: its connections break and new ones are refused. */
  kill (process: FleetProcess): void {
    if (!process.alive) return
    process.alive = false
    this.network.ended(process)
  }

  /** Ends a process as a power failure of its machine does: its peers receive nothing, not even a reset. */
  silence (process: FleetProcess): void {
    process.pausedUntil = Number.POSITIVE_INFINITY
  }

  /** Delivers the current configuration to one entry through its watch. */
  notifyConfiguration (entry: FleetProcess): void {
    this.store.notify(entry.instance, () => this.#deliver(entry, () => this.#handleConfiguration(entry)))
  }

  /** Whether no other running entry has this instance in its view. */
  isRemovedEverywhere (instance: Instance): boolean {
    const others = this.entries.filter(other => other.instance !== instance && this.#isRunning(other))
    return others.every(other => !isMember(this.#viewOf(other), instance))
  }

  #viewOf (process: FleetProcess): View {
    return (process.entry as Entry).status().view
  }

  #isRunning (process: FleetProcess): boolean {
    return process.alive && this.loop.now >= process.pausedUntil
  }

  #createProcess (id: string): FleetProcess {
    this.#incarnation += 1
    const process: FleetProcess = { instance: `${id}#${this.#incarnation}`, alive: true, pausedUntil: 0, deferred: [], wanted: new Set(), readingView: false }
    this.#processes.set(process.instance, process)
    return process
  }

  #scheduleFirstTick (process: FleetProcess): void {
    this.loop.after(this.random() * TICK_MILLISECONDS, () => this.#tick(process))
  }

  #tick (process: FleetProcess): void {
    if (!process.alive) return
    if (this.#isRunning(process)) {
      this.network.closeIdleLinks(process)
      this.#handle(process, { type: 'tick' })
    }
    this.loop.at(Math.max(this.loop.now, Math.min(process.pausedUntil, Number.MAX_SAFE_INTEGER)) + TICK_MILLISECONDS, () => this.#tick(process))
  }

  /** Continues a process after its pause: the overdue timer fires first, then deferred input is handled. */
  #resume (process: FleetProcess): void {
    if (!this.#isRunning(process)) return
    const { deferred } = process
    process.deferred = []
    this.network.closeIdleLinks(process)
    this.#handle(process, { type: 'tick' })
    for (const run of deferred) run()
  }

  #deliver (process: FleetProcess, run: () => void): void {
    if (!process.alive) return
    if (this.#isRunning(process)) run()
    else process.deferred.push(run)
  }

  #handle (process: FleetProcess, event: EntryEvent | AgentEvent): void {
    if (!process.alive) return
    if (process.entry !== undefined) {
      for (const effect of process.entry.handle(event as EntryEvent, this.loop.now)) this.#applyEntryEffect(process, effect)
    } else {
      for (const effect of (process.agent as Agent).handle(event as AgentEvent, this.loop.now)) this.#applyAgentEffect(process, effect)
    }
  }

  #applyEntryEffect (process: FleetProcess, effect: EntryEffect): void {
    switch (effect.type) {
      case 'sendPeer': this.#send(process, effect.peer, effect.message); break
      case 'sendAgent': this.#send(process, effect.agent, effect.message); break
      case 'connectPeers': this.network.setPeers(process, effect.peers.map(({ instance }) => instance).filter(peer => peer !== process.instance)); break
      case 'readView': this.#readView(process); break
      case 'writeView': this.#writeView(process, effect.view, effect.expectedRevision); break
      case 'configurationAdopted': this.#recordAdoption(process, effect.configuration.version); break
      case 'stopped': this.#handleRemoval(process); break
      default: break
    }
  }

  #applyAgentEffect (process: FleetProcess, effect: AgentEffect): void {
    if (effect.type === 'sendEntry') this.#send(process, effect.entry, effect.message)
    if (effect.type === 'connectEntries') this.network.setPeers(process, effect.entries.map(({ instance }) => instance))
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
      if (message.case === 'configuration') this.#recordAdoption(receiver, message.value.version)
      this.#handle(receiver, { type: 'entryMessage', entry: from.instance, message: message as EntryToAgent })
    } else if (from.agent !== undefined) {
      this.#handle(receiver, { type: 'agentMessage', agent: from.instance, message: message as AgentToEntry })
    } else {
      this.#handle(receiver, { type: 'peerMessage', peer: from.instance, message: message as PeerMessage })
    }
  }

  #handleConnected (process: FleetProcess, peer: FleetProcess, dialled: boolean): void {
    if (process.agent !== undefined) this.#handle(process, { type: 'entryConnected', entry: peer.instance })
    else if (peer.entry !== undefined) this.#handle(process, { type: 'peerConnected', peer: peer.instance })
    else if (dialled) throw new TypeError('an entry never dials an agent')
  }

  #handleDisconnected (process: FleetProcess, peer: FleetProcess, refused: boolean): void {
    if (process.agent !== undefined) {
      if (!refused) this.#handle(process, { type: 'entryDisconnected', entry: peer.instance })
    } else if (peer.entry !== undefined) {
      this.#handle(process, { type: 'peerDisconnected', peer: peer.instance, refused })
    } else {
      this.#handle(process, { type: 'agentDisconnected', agent: peer.instance })
    }
  }

  #readView (process: FleetProcess): void {
    if (process.readingView) return
    process.readingView = true
    const readStarted = this.loop.now
    this.store.read(process.instance, result => this.#deliver(process, () => {
      process.readingView = false
      if (result === undefined) {
        if (process.entry !== undefined) this.#handle(process, { type: 'viewReadFailed' })
        else if (process.seeds === true) this.#readViewFromSeed(process)
        return
      }
      const { view, revision } = result
      this.#handle(process, process.entry === undefined ? { type: 'viewRead', view } : { type: 'viewRead', view, revision, readStarted })
    }))
  }

  /** Reads the view from a seed entry. It takes one round trip to connect and one for the request. */
  #readViewFromSeed (process: FleetProcess): void {
    const [seed] = this.entries
    if (seed === undefined) return
    this.loop.after(2 * SEED_ROUND_TRIP_MILLISECONDS, () => this.#deliver(process, () => this.#handle(process, { type: 'viewRead', view: this.#viewOf(seed) })))
  }

  #writeView (process: FleetProcess, view: View, expectedRevision: number): void {
    this.store.write(process.instance, view, expectedRevision, outcome => this.#deliver(process, () => {
      this.#handle(process, { type: 'viewWritten', outcome })
    }))
  }

  #notifyViewChanged (): void {
    for (const entry of this.entries) this.store.notify(entry.instance, () => this.#deliver(entry, () => this.#readView(entry)))
  }

  #notifyConfigurationChanged (): void {
    for (const entry of this.entries) this.notifyConfiguration(entry)
  }

  /** Reads the configuration from the store, now and then at every poll. */
  #readConfiguration (process: FleetProcess): void {
    if (!process.alive) return
    this.store.readConfiguration(process.instance, () => this.#deliver(process, () => this.#handleConfiguration(process)))
    this.loop.after(this.#pollWait(CONFIGURATION_POLL_MILLISECONDS), () => this.#readConfiguration(process))
  }

  #pollWait (mean: number): number {
    return mean * (POLL_MIN_FRACTION + POLL_JITTER_FRACTION * this.random())
  }

  #pollView (process: FleetProcess): void {
    if (!process.alive) return
    this.#readView(process)
    this.loop.after(this.#pollWait(VIEW_POLL_MILLISECONDS), () => this.#pollView(process))
  }

  #handleConfiguration (process: FleetProcess): void {
    const version = this.store.configurationVersion
    if (version === 0) return
    this.#handle(process, { type: 'configurationRead', configuration: { ...EMPTY_CONFIGURATION, version }, document: Uint8Array.of(version) })
  }

  #recordAdoption (process: FleetProcess, version: number): void {
    this.counts.adoptions.push({ at: this.loop.now, instance: process.instance, version })
  }

  /** Ends a removed entry, which the platform then restarts as a new incarnation. */
  #handleRemoval (process: FleetProcess): void {
    this.counts.removals.push({ at: this.loop.now, instance: process.instance })
    this.kill(process)
    this.loop.after(RESTART_DELAY, () => this.startEntry(process.instance.split('#', 1)[0] as string))
  }
}
