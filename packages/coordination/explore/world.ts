/**
 * The simulated system that a schedule acts on: the product's own entries and agents under virtual time,
 * with a store, targets and a network that fail. Each process has its own clocks, with a random offset and
 * a slightly different rate.
 */
import type { AgentEvent } from '../src/agenttypes.ts'
import type { Configuration } from '../src/configuration.ts'
import type { Timings } from '../src/defaults.ts'
import type { EntryEvent } from '../src/entrytypes.ts'
import type { AgentToEntry, EntryToAgent, Instance, PeerMessage } from '../src/messages.ts'
import type { AnyMessage } from './network.ts'
import type { AgentProcess, EntryProcess, Guards, Process } from './processes.ts'
import type { Schedule } from './schedule.ts'
import { Agent } from '../src/agent.ts'
import { DEFAULT_TIMINGS } from '../src/defaults.ts'
import { Entry } from '../src/entry.ts'
import { TaskScheduler } from '../src/scheduler.ts'
import { Slots } from '../src/slots.ts'
import { Callers } from './callers.ts'
import { SeededRandom } from './seededrandom.ts'
import { Dialling } from './dialling.ts'
import { Effects } from './effects.ts'
import { FakeScheduler } from './fakescheduler.ts'
import { FakeStore } from './fakestore.ts'
import { FakeTargets } from './faketarget.ts'
import { InvariantChecker } from './invariants.ts'
import { SERVICE, TENANT } from './names.ts'
import { Network } from './network.ts'
import { Timeline } from './timeline.ts'
import { Trace } from './trace.ts'

const TICK_INTERVAL = 200
const DIAL_INTERVAL = 250
const WALL_EPOCH = 1_700_000_000_000
const MAX_WALL_SKEW = 100
const CLOCK_MARGIN = 300
const MAX_CLOCK_RATE_ERROR = 0.04
const SHORT_RETENTION = 8000

const CONFIGURATION: Configuration = {
  version: 1,
  services: { [SERVICE]: { shares: { provider: 100 } } },
  providers: { provider: { expectedTargets: 2 } },
  tenants: { [TENANT]: { tasksPerSecond: 0, burst: 0, slots: 0, weight: 1 } },
  draining: { targets: [], racks: [], dataCentres: [], providers: [] }
}

/** The processes, the store, the targets and the network of one simulation. */
export class World {
  readonly timeline = new Timeline()
  readonly chance: SeededRandom
  readonly store: FakeStore
  readonly targets: FakeTargets
  readonly network: Network
  readonly checker: InvariantChecker
  readonly callers: Callers
  readonly entries = new Map<Instance, EntryProcess>()
  readonly agents = new Map<Instance, AgentProcess>()
  readonly #schedule: Schedule
  readonly #guards: Guards
  readonly #timings: Timings
  readonly #incarnations = new Map<string, number>()
  readonly #ticks = new Map<Instance, () => void>()
  readonly #trace: Trace
  readonly #dialling: Dialling
  readonly #effects: Effects

  constructor (schedule: Schedule, guards: Guards, print?: (line: string) => void) {
    this.#schedule = schedule
    this.#guards = guards
    this.#trace = new Trace(this.timeline, print)
    this.#timings = { ...DEFAULT_TIMINGS, clockMargin: CLOCK_MARGIN, ...(schedule.shortRetention && { retention: SHORT_RETENTION }) }
    this.chance = new SeededRandom(schedule.seed)
    this.checker = new InvariantChecker(() => this.timeline.now, this.#timings.retention, entry => this.store.removedAt(entry))
    this.store = new FakeStore(this.timeline, this.chance)
    this.targets = new FakeTargets(this.timeline, this.chance, (job, index, agent, earlier) => {
      this.#trace.note(agent, `START ${job}/${index}`)
      this.checker.recordStart(job, index, agent, earlier, earlier.length > 0 && this.#anyHorizonRaised())
    })
    this.network = new Network(this.timeline, this.chance, {
      alive: instance => this.process(instance)?.alive === true,
      current: id => this.#current(id),
      deliver: (to, from, message) => this.#deliver(to, from, message),
      linkUp: (at, other) => this.#linkUp(at, other),
      linkDown: (at, other) => this.#linkDown(at, other)
    })
    this.#dialling = this.#createDialling()
    this.#effects = this.#createEffects()
    this.callers = this.#createCallers()
  }

  /** Advances the time; returns true when an invariant is violated. */
  advance (duration: number): boolean {
    this.timeline.advance(duration, () => this.checker.violation !== undefined)
    return this.checker.violation !== undefined
  }

  process (instance: Instance): EntryProcess | AgentProcess | undefined {
    return this.entries.get(instance) ?? this.agents.get(instance)
  }

  liveEntries (): EntryProcess[] {
    return [...this.entries.values()].filter(entry => entry.alive)
  }

  liveAgents (): AgentProcess[] {
    return [...this.agents.values()].filter(agent => agent.alive)
  }

  /** Milliseconds since 1970, by the callers' clock. */
  wallNow (): number {
    return WALL_EPOCH + this.timeline.now
  }

  // Processes

  startEntry (id: string): void {
    if (this.#current(id) !== undefined) return
    const instance = this.#newInstance(id)
    const base = this.#createProcess(instance, id)
    const core = new Entry({
      instance,
      address: `http://${id}`,
      dataCentre: `centre-${Number(id.split('-')[1]) % 2}`,
      scheduler: this.#schedule.realScheduler ? new TaskScheduler({ random: () => this.chance.next() }) : new FakeScheduler(this.chance),
      parseConfiguration: () => CONFIGURATION,
      random: () => this.chance.next(),
      wallClock: base.wallClock,
      timings: this.#timings,
      guards: this.#guards.entry
    })
    const entry: EntryProcess = { ...base, core, stopping: false }
    this.entries.set(instance, entry)
    this.#trace.note(instance, 'started')
    this.#entryEvent(entry, { type: 'configurationRead', configuration: CONFIGURATION, document: new Uint8Array() })
    this.#startTimers(entry, () => this.#handleEntry(entry, { type: 'tick' }))
  }

  startAgent (target: string): void {
    const id = `agent-${target}`
    if (this.#current(id) !== undefined) return
    const instance = this.#newInstance(id)
    const slots = this.chance.whole(1, 3)
    const core = new Agent({
      instance,
      target: { target, provider: 'provider', services: [SERVICE], slots, accelerators: 0, memoryMegabytes: 1024, dataCentre: 'centre-0', rack: 'rack' },
      slots: new Slots({ slots, accelerators: 0, memoryMegabytes: 1024, queueLimit: 2 }),
      timings: this.#timings,
      guards: this.#guards.agent
    })
    const agent: AgentProcess = { ...this.#createProcess(instance, id), core, target }
    this.agents.set(instance, agent)
    this.#trace.note(instance, 'started')
    this.#startTimers(agent, () => this.#handleAgent(agent, { type: 'tick' }))
  }

  crash (process: Process): void {
    if (!process.alive) return
    this.#trace.note(process.instance, 'CRASH')
    this.#end(process)
  }

  pause (process: Process, duration: number): void {
    if (!process.alive || process.paused) return
    this.#trace.note(process.instance, `PAUSE ${duration}`)
    process.paused = true
    this.timeline.after(duration, () => this.resume(process))
  }

  resume (process: Process): void {
    if (!process.paused) return
    if (process.alive) this.#drain(process)
    process.paused = false
    if (process.alive) this.#tick(process)
  }

  /** Processes what arrived during a pause; what arrives meanwhile is processed after it. */
  #drain (process: Process): void {
    this.#trace.note(process.instance, 'WAKE')
    const tick = this.#ticks.get(process.instance)
    if (tick !== undefined && this.chance.happens(0.5)) process.inbox.unshift(tick)
    for (let next = process.inbox.shift(); next !== undefined && process.alive; next = process.inbox.shift()) next()
  }

  stopEntry (entry: EntryProcess): void {
    entry.stopping = true
    this.#trace.note(entry.instance, 'STOP')
    this.#entryEvent(entry, { type: 'stopOrdered' })
  }

  stopAgent (agent: AgentProcess): void {
    this.#trace.note(agent.instance, 'STOP')
    this.#agentEvent(agent, { type: 'stopOrdered' })
  }

  // Incoming events

  #entryEvent (entry: EntryProcess, event: EntryEvent): void {
    this.#arrive(entry, () => this.#handleEntry(entry, event))
  }

  #handleEntry (entry: EntryProcess, event: EntryEvent): void {
    const effects = entry.core.handle(event, entry.clock())
    for (const effect of effects) this.#effects.ofEntry(entry, effect)
  }

  #agentEvent (agent: AgentProcess, event: AgentEvent): void {
    this.#arrive(agent, () => this.#handleAgent(agent, event))
  }

  #handleAgent (agent: AgentProcess, event: AgentEvent): void {
    const effects = agent.core.handle(event, agent.clock())
    for (const effect of effects) this.#effects.ofAgent(agent, effect)
  }

  #arrive (process: Process, handle: () => void): void {
    if (!process.alive) return
    if (process.paused) process.inbox.push(handle)
    else handle()
  }

  #deliver (to: Instance, from: Instance, message: AnyMessage): void {
    this.#trace.received(to, from, message)
    const entry = this.entries.get(to)
    if (entry !== undefined) {
      if (this.agents.has(from)) this.#entryEvent(entry, { type: 'agentMessage', agent: from, message: message as AgentToEntry })
      else this.#entryEvent(entry, { type: 'peerMessage', peer: from, message: message as PeerMessage })
      return
    }
    const agent = this.agents.get(to)
    if (agent !== undefined) this.#agentEvent(agent, { type: 'entryMessage', entry: from, message: message as EntryToAgent })
  }

  #linkUp (at: Instance, other: Instance): void {
    this.#trace.note(at, `link to ${other} up`)
    const entry = this.entries.get(at)
    if (entry !== undefined && this.entries.has(other)) this.#entryEvent(entry, { type: 'peerConnected', peer: other })
    const agent = this.agents.get(at)
    if (agent !== undefined) this.#agentEvent(agent, { type: 'entryConnected', entry: other })
  }

  #linkDown (at: Instance, other: Instance): void {
    this.#trace.note(at, `link to ${other} down`)
    const entry = this.entries.get(at)
    if (entry === undefined) {
      const agent = this.agents.get(at)
      if (agent !== undefined) this.#agentEvent(agent, { type: 'entryDisconnected', entry: other })
      return
    }
    if (this.agents.has(other)) this.#entryEvent(entry, { type: 'agentDisconnected', agent: other })
    else this.#entryEvent(entry, { type: 'peerDisconnected', peer: other, refused: false })
  }

  // Components

  #createDialling (): Dialling {
    return new Dialling({
      timeline: this.timeline,
      chance: this.chance,
      network: this.network,
      process: instance => this.process(instance),
      isEntry: instance => this.entries.has(instance),
      current: id => this.#current(id),
      refused: (instance, peer) => {
        const entry = this.entries.get(instance)
        if (entry !== undefined) this.#entryEvent(entry, { type: 'peerDisconnected', peer, refused: true })
      }
    })
  }

  #createEffects (): Effects {
    return new Effects({
      store: this.store,
      targets: this.targets,
      network: this.network,
      checker: this.checker,
      dialling: this.#dialling,
      trace: this.#trace,
      entryEvent: (entry, event) => this.#entryEvent(entry, event),
      agentEvent: (agent, event) => this.#agentEvent(agent, event),
      end: process => this.#end(process)
    })
  }

  #createCallers (): Callers {
    return new Callers({
      timeline: this.timeline,
      checker: this.checker,
      entries: this.entries,
      trace: this.#trace,
      arrive: (entry, handle) => this.#arrive(entry, handle),
      entryEvent: (entry, event) => this.#entryEvent(entry, event)
    })
  }

  // Process lifecycle

  #newInstance (id: string): Instance {
    const incarnation = (this.#incarnations.get(id) ?? 0) + 1
    this.#incarnations.set(id, incarnation)
    return `${id}#${incarnation}`
  }

  #createProcess (instance: Instance, id: string): Process {
    const offset = this.chance.between(0, 1e6)
    const rate = this.chance.between(1 - MAX_CLOCK_RATE_ERROR, 1 + MAX_CLOCK_RATE_ERROR)
    const skew = this.chance.between(-MAX_WALL_SKEW, MAX_WALL_SKEW)
    return {
      instance,
      id,
      alive: true,
      paused: false,
      inbox: [],
      wanted: new Set(),
      clock: () => offset + this.timeline.now * rate,
      wallClock: () => WALL_EPOCH + this.timeline.now + skew
    }
  }

  #startTimers (process: Process, tick: () => void): void {
    this.#ticks.set(process.instance, tick)
    const next = (): void => {
      if (!process.alive) return
      if (!process.paused) this.#tick(process)
      this.timeline.after(this.chance.between(TICK_INTERVAL * 0.8, TICK_INTERVAL * 1.2), next)
    }
    this.timeline.after(this.chance.between(0, TICK_INTERVAL), next)
    const dial = (): void => {
      if (!process.alive) return
      this.#dialling.dial(process)
      this.timeline.after(DIAL_INTERVAL, dial)
    }
    this.timeline.after(this.chance.between(0, DIAL_INTERVAL), dial)
  }

  #tick (process: Process): void {
    this.#ticks.get(process.instance)?.()
  }

  #end (process: Process): void {
    process.alive = false
    process.inbox = []
    this.checker.recordProcessEnd(process.instance)
    this.network.ended(process.instance)
  }

  #current (id: string): Instance | undefined {
    const incarnation = this.#incarnations.get(id)
    if (incarnation === undefined) return undefined
    const instance = `${id}#${incarnation}`
    return this.process(instance)?.alive === true ? instance : undefined
  }

  /** Whether an entry has ever raised its horizon, that is, declared older records lost. */
  #anyHorizonRaised (): boolean {
    return [...this.entries.values()].some(entry => entry.core.status().horizon > 0)
  }
}
