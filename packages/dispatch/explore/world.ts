/** A small fleet under virtual time, its callers, and the promises: no task runs twice at one time, none starts in an evacuated data centre, none of a cancelled job runs on. */
import type { AgentEffect, AgentEvent } from '../src/agenttypes.ts'
import type { AgentGuards } from '../src/agentcontext.ts'
import type { AnswerKind, EntryEffect, EntryEvent } from '../src/entrytypes.ts'
import type { FleetGuards } from '../src/fleetguards.ts'
import type { TargetOptions } from '@amaranthmast/emulator/emulatedtarget'
import type { AgentProcess, EntryProcess } from '@amaranthmast/emulator/linkends'
import { SeededRandom } from '@amaranthmast/standins/random'
import { Callers, endsFirst } from './callers.ts'
import { Cancels } from './cancels.ts'
import { Operators } from './operators.ts'
import { Agent } from '../src/agent.ts'
import { ALL_AGENT_GUARDS } from '../src/agentcontext.ts'
import { Entry } from '../src/entry.ts'
import { ALL_FLEET_GUARDS } from '../src/fleetguards.ts'
import { DEFAULT_POLICY } from '../src/policy.ts'
import { timingsFor } from '../src/timings.ts'
import { Connections } from '@amaranthmast/emulator/connections'
import { EmulatedTarget } from '@amaranthmast/emulator/emulatedtarget'
import { linkEnds, numberOf, pairOf } from '@amaranthmast/emulator/linkends'
import { PeerLinks } from '@amaranthmast/emulator/peerlinks'
import { Process } from '@amaranthmast/emulator/process'
import { Timeline } from '@amaranthmast/emulator/timeline'

export interface Guards {
  agent: AgentGuards
  fleet: FleetGuards
}

export const ALL_GUARDS: Guards = { agent: ALL_AGENT_GUARDS, fleet: ALL_FLEET_GUARDS }

/** Every guard on but one. */
export function guardsWithout (name: string): Guards {
  return {
    agent: name in ALL_AGENT_GUARDS ? { ...ALL_AGENT_GUARDS, [name]: false } : ALL_AGENT_GUARDS,
    fleet: name in ALL_FLEET_GUARDS ? { ...ALL_FLEET_GUARDS, [name]: false } : ALL_FLEET_GUARDS
  }
}

/** Bounds of the platform that the fleet is built for, in milliseconds. */
const BOUNDS = { resubmission: 1300, longestLease: 1000, stop: 50, drain: 1000 }
const CALLER_DEADLINE = 3000
const LONG_CALLER_DEADLINE = 10_000
const SHORT_TASK = 1500
const LONG_TASK = 9000

/** A task that is left with its entry late must outlast the time after which its caller comes back, in milliseconds. */
const LATE_TASK = 3000
const DIAL_AGAIN = 60

/** An entry that has started is linked to the others, and has heard what they know. */
const LEARNING = 200
const TASK_CPU = 3000
const SCARCE_CPU = 6000
const CHECK_INTERVAL = 5
const HEARTBEAT = 1500

/** By the platform's bounds room that has shrunk counts for so long, in milliseconds: a machine may be out of touch, and one heartbeat more. */
const NEWS = 4000 + HEARTBEAT

/** Capacity of a target, in thousandths of a core, and of one that changes: then it is full now and again. */
const CAPACITY = 32_000
const CHANGING_CAPACITY = 12_000
const FASTEST_MESSAGE = 0.1
const MESSAGE_SPREAD = 2.9

/** On every other seed links are as quiet as in a fleet of 35 entries: most starts wait for an echo. */
const OFTEN_QUIET = 700

/** A late process takes its turns so far apart, in milliseconds. */
const LEAST_PAUSE = 100
const PAUSE_SPREAD = 600

/** A worker's steady clock is up to this much slow. */
const CLOCK_SLOWNESS = 0.02

const QUEUE = { name: 'queue', host: 'host', prefix: '/', service: 'service', priority: 0, attempts: 3, slackFactor: 3, latency: 500, timeout: 0 }

const DATA_CENTRES = ['one', 'two']

export interface WorldSizes {
  entries: number
  agents: number
  dataCentres: number
  /** Tasks that outlast the bounds of a cancellation, and callers that wait for them. */
  longTasks: boolean
  /** Tasks under which a worker crashed are started apart. */
  isolatesSuspects: boolean
  /** Whether targets shrink, grow and leave, are used until they are gone, and start whatever they are told. */
  changing: boolean
  /** Entries give out the room in partitions, and targets have little of it, so that they ask each other. */
  partitions: boolean
  /** Workers may start again under their names. */
  keepNames: boolean
  /** Processes take in what has reached them turn by turn, callers are heard late, and calls end with the process that made them. */
  late: boolean
}

export interface Violation {
  at: number
  detail: string
  /** For how long the two runs went on beside each other, in milliseconds; 0 for violations of other kinds. */
  lasts: number
}

export class World {
  readonly timeline = new Timeline()
  readonly random: SeededRandom
  readonly entries: EntryProcess[] = []
  readonly agents: AgentProcess[] = []
  readonly workers: EmulatedTarget[] = []
  readonly callers: Callers
  readonly operators: Operators
  readonly cancels: Cancels
  readonly #longestTask: number
  readonly #isolatesSuspects: boolean
  readonly #dataCentres: number
  readonly #changing: boolean
  /** When the notice of each target was acknowledged. */
  readonly #noticed = new Map<number, number>()
  readonly #partitions: boolean
  readonly #late: boolean
  readonly #keepNames: boolean
  readonly #connections: Connections
  readonly #quietPing: number
  readonly #peers: PeerLinks
  readonly #trace: ((line: string) => void) | undefined
  /** From then on all entries run, and know what the others do. */
  #entriesWholeAt = 0
  violation: Violation | undefined

  constructor (seed: number, guards: Guards, sizes: WorldSizes, trace?: (line: string) => void) {
    this.#trace = trace
    this.#dataCentres = sizes.dataCentres
    this.#longestTask = longestTaskOf(sizes)
    this.#isolatesSuspects = sizes.isolatesSuspects
    this.#changing = sizes.changing
    this.#partitions = sizes.partitions
    this.#late = sizes.late
    this.#keepNames = sizes.keepNames
    this.random = new SeededRandom(seed)
    this.#quietPing = seed % 2 === 0 ? OFTEN_QUIET : DEFAULT_POLICY.quietPing
    const travel = (): number => FASTEST_MESSAGE + this.random.next() * MESSAGE_SPREAD
    this.#connections = new Connections(this.timeline, travel)
    this.#peers = new PeerLinks(this.timeline, this.entries, travel)
    this.callers = new Callers({ timeline: this.timeline, random: this.random, entries: this.entries, queue: QUEUE, cpu: TASK_CPU, deadline: sizes.longTasks ? LONG_CALLER_DEADLINE : CALLER_DEADLINE, resubmission: BOUNDS.resubmission, travel: sizes.late ? travel : undefined })
    // The operators draw from a sequence of their own, so that a seed means the same processes with and without them.
    this.operators = new Operators({ timeline: this.timeline, random: new SeededRandom(seed), entries: this.entries, agents: this.agents, dataCentreOf: agent => this.dataCentreOf(agent) })
    this.cancels = new Cancels({ timeline: this.timeline, random: new SeededRandom(seed), entries: this.entries, waiting: () => this.callers.waiting(), stop: BOUNDS.stop })
    const timings = timingsFor(BOUNDS)
    for (let index = 0; index < sizes.agents; index += 1) this.#addAgent(index, timings, guards)
    for (let index = 0; index < sizes.entries; index += 1) this.#addEntry(index, timings, guards)
    for (const process of [...this.agents, ...this.entries]) process.start()
    for (const entry of this.entries) this.#configure(entry)
    this.#dialAll()
    this.#check()
    if (sizes.dataCentres > 1) this.operators.start()
  }

  /** Data centre of an agent and its target. */
  dataCentreOf (agent: number): string {
    return DATA_CENTRES[agent % this.#dataCentres] as string
  }

  cut (entry: number, agent: number, milliseconds: number): void {
    this.#connections.cut(pairOf(entry, agent), milliseconds)
  }

  /** Cuts an entry off from the other entries. */
  cutPeers (entry: number, milliseconds: number): void {
    this.#peers.cut(entry, milliseconds)
  }

  /** An entry takes the others for unable and gives out all targets, beside those that hold them, until it hears better. */
  claimAll (index: number): void {
    for (const [other, { name }] of this.entries.entries()) {
      if (other !== index) this.entries[index]?.post({ type: 'peerMessage', peer: name, message: { type: 'member', dataCentre: 'one', able: false, strength: 0 } })
    }
  }

  restartEntry (index: number, milliseconds: number): void {
    const entry = this.entries[index] as EntryProcess
    if (!entry.alive) return
    entry.kill()
    this.#peers.ended(index, false)
    this.agents.forEach((_agent, agent) => this.#connections.closeByEntry(pairOf(index, agent)))
    this.callers.breakOff(index)
    this.timeline.after(milliseconds, () => {
      entry.start()
      this.#configure(entry)
    })
  }

  /** Restarts an entry unless another one is down, or has not heard of what the others know. */
  removeEntry (index: number, milliseconds: number): void {
    const { now } = this.timeline
    if (now < this.#entriesWholeAt) return
    this.#entriesWholeAt = now + milliseconds + LEARNING
    this.restartEntry(index, milliseconds)
  }

  /** @param heartbeat longest time until the worker announces itself to the new run, in milliseconds */
  restartAgent (index: number, milliseconds: number, heartbeat = 1500): void {
    const agent = this.agents[index] as AgentProcess
    if (!agent.alive) return
    agent.kill()
    this.operators.noteDisturbed(index, this.timeline.now + milliseconds)
    this.entries.forEach((_entry, entry) => this.#connections.closeByAgent(pairOf(entry, index)))
    this.timeline.after(milliseconds, () => {
      agent.start()
      if (this.#dataCentres > 1 || this.#changing) this.operators.recallTarget(index)
      this.timeline.after(this.random.next() * heartbeat, () => this.workers[index]?.announce())
    })
  }

  /** A process takes its turns late for a while. */
  delay (process: EntryProcess | AgentProcess, milliseconds: number): void {
    const spread = this.random.next() * PAUSE_SPREAD
    process.delay(milliseconds, () => LEAST_PAUSE + this.random.next() * spread)
  }

  freezeAgent (index: number, milliseconds: number): void {
    this.agents[index]?.freeze(milliseconds)
    this.operators.noteDisturbed(index, this.timeline.now + milliseconds)
  }

  /**
   * A worker crashes and is back under another name, and its agent starts again. A heartbeat of the life before, which the
   * new run of the agent has never seen, arrives later.
   */
  lateHeartbeat (index: number, milliseconds: number): void {
    const worker = this.workers[index] as EmulatedTarget
    if (!worker.up) return
    const heartbeat = worker.announcement()
    worker.crash(20)
    this.restartAgent(index, 30, 60)
    this.timeline.after(milliseconds, () => this.agents[index]?.post(heartbeat))
  }

  resetConnection (entry: number, agent: number): void {
    this.#connections.closeByEntry(pairOf(entry, agent))
  }

  /** Every link between entries and agents breaks at the agents' ends, with what was under way to them. */
  loseLinks (): void {
    this.agents.forEach((_agent, agent) => this.entries.forEach((_entry, entry) => this.#connections.closeByAgent(pairOf(entry, agent))))
  }

  #addAgent (index: number, timings: ReturnType<typeof timingsFor>, guards: Guards): void {
    // Clocks of different runs of one machine may be set back between them.
    const make = (): Agent => new Agent({ timings, stop: BOUNDS.stop, drain: BOUNDS.drain, wallClock: () => 1_000_000 + this.timeline.now + this.random.integer(-400, 400), guards: guards.agent, policy: { quietPing: this.#quietPing, isolatesSuspects: this.#isolatesSuspects, usesLeaving: this.#changing, partitions: this.#partitions } })
    const agent: AgentProcess = new Process<AgentEvent, AgentEffect>(`agent${index}`, this.timeline, make, { type: 'tick' }, effect => this.#carryOutAgent(index, effect))
    this.agents.push(agent)
    this.workers.push(new EmulatedTarget(this.timeline, this.random, this.#traits(this.dataCentreOf(index), agent), event => {
      if (event.type === 'targetSeen') this.#noteNotice(index, event.facts.leaving)
      agent.post(event)
    }))
  }

  #traits (dataCentre: string, agent: AgentProcess): TargetOptions {
    return {
      service: 'service',
      dataCentre,
      labels: [],
      capacity: { cpu: this.#capacity, memory: 65_536, accelerators: 0 },
      clockRate: 1 - CLOCK_SLOWNESS * this.random.next(),
      longestLease: BOUNDS.longestLease,
      heartbeat: HEARTBEAT,
      capacityGrace: NEWS,
      rejectsOverload: !this.#changing,
      refusesOtherLives: !this.#keepNames,
      pollsWait: this.#dataCentres > 1 || this.#late,
      ...(this.#late ? { caller: agent } : {}),
      plan: () => ({ duration: 50 + this.random.next() * this.#longestTask, fails: this.random.next() < 0.02 }),
      cpuOf: () => TASK_CPU
    }
  }

  get #capacity (): number {
    if (this.#partitions) return SCARCE_CPU
    return this.#changing ? CHANGING_CAPACITY : CAPACITY
  }

  #addEntry (index: number, timings: ReturnType<typeof timingsFor>, guards: Guards): void {
    const make = (): Entry => new Entry({ name: `entry${index}`, dataCentre: 'one', timings, grace: 6000, guards: guards.fleet, policy: { isolatesSuspects: this.#isolatesSuspects, usesLeaving: this.#changing, partitions: this.#partitions } })
    this.entries.push(new Process<EntryEvent, EntryEffect>(`entry${index}`, this.timeline, make, { type: 'tick' }, effect => this.#carryOutEntry(index, effect), this.#late ? { arrange: endsFirst } : {}))
  }

  #configure (entry: EntryProcess): void {
    entry.post({ type: 'configured', configuration: { version: 1, queues: [QUEUE], limits: { header: 0, body: 0, headerTimeout: 0, idleTimeout: 0 } } })
  }

  #carryOutAgent (index: number, effect: AgentEffect): void {
    const worker = this.workers[index] as EmulatedTarget
    if (effect.type === 'start') {
      const fault = this.operators.faultOfStart(index) ?? this.#faultOfLateStart(index)
      if (fault !== undefined) this.violation ??= { at: this.timeline.now, detail: fault, lasts: 0 }
      worker.start(effect)
    }
    if (effect.type === 'readEvacuations') this.operators.readForAgent(index)
    if (effect.type === 'rememberTarget') this.operators.rememberTarget(index, effect.facts)
    if (effect.type === 'stop') worker.stop(effect)
    if (effect.type === 'poll') worker.poll(effect)
    if (effect.type === 'send') this.#connections.toEntry(pairOf(numberOf(effect.entry), index), effect.message)
    if (effect.type === 'unlink') this.#connections.closeByAgent(pairOf(numberOf(effect.entry), index))
    if (effect.type === 'note') this.#trace?.(`${this.timeline.now.toFixed(1)} agent${index} ${effect.what} ${JSON.stringify(effect.fields)}`)
  }

  #noteNotice (index: number, leaving: boolean): void {
    const agent = this.agents[index] as AgentProcess
    if (!leaving) this.#noticed.delete(index)
    else if (agent.alive && !agent.frozen && !this.#noticed.has(index)) this.#noticed.set(index, this.timeline.now)
  }

  /** Later than the time to drain after the acknowledgement nothing is started. */
  #faultOfLateStart (index: number): string | undefined {
    const late = this.timeline.now - (this.#noticed.get(index) ?? Infinity)
    return late > BOUNDS.drain ? `a start at worker ${index} ${late.toFixed(0)} ms after its notice was acknowledged` : undefined
  }

  #carryOutEntry (index: number, effect: EntryEffect): void {
    if (effect.type === 'send') this.#connections.toAgent(pairOf(index, numberOf(effect.agent)), effect.message)
    if (effect.type === 'tell') this.#peers.send(index, numberOf(effect.peer), effect.message)
    if (effect.type === 'unlink') this.#connections.closeByEntry(pairOf(index, numberOf(effect.agent)))
    if (effect.type === 'answer') this.#answered(effect.request, effect.answer.kind)
    if (effect.type === 'note') this.#trace?.(`${this.timeline.now.toFixed(1)} entry${index} ${effect.what} ${JSON.stringify(effect.fields)}`)
  }

  #answered (request: number, kind: AnswerKind): void {
    this.cancels.answered(request)
    this.callers.answered(request, kind)
  }

  #dialAll (): void {
    this.#peers.dial()
    this.entries.forEach((entry, index) => this.agents.forEach((_agent, other) => {
      if (!this.#dials(index, other)) return
      // A late entry dials with its next turn, once it has heard that the link before is gone.
      if (this.#late) entry.after(0, () => { if (this.#dials(index, other)) this.#dial(index, other) })
      else this.#dial(index, other)
    }))
    this.timeline.after(DIAL_AGAIN, () => this.#dialAll())
  }

  #dials (index: number, other: number): boolean {
    const pair = pairOf(index, other)
    return [this.entries[index], this.agents[other]].every(process => process?.alive === true && !process.frozen) && !this.#connections.isCut(pair) && !this.#connections.get(pair)
  }

  #dial (index: number, other: number): void {
    const entry = this.entries[index] as EntryProcess
    const agent = this.agents[other] as AgentProcess
    const { entryEnd, agentEnd } = linkEnds(entry, agent)
    this.#connections.open(pairOf(index, other), entryEnd, agentEnd)
  }

  // The promise

  #check (): void {
    for (const fault of this.#faults()) this.violation ??= { at: this.timeline.now, detail: fault, lasts: 0 }
    if (this.violation === undefined) this.timeline.after(CHECK_INTERVAL, () => this.#check())
  }

  #faults (): string[] {
    const faults: string[] = []
    const where = new Map<string, number>()
    this.workers.forEach((worker, index) => {
      if (worker.check.startsOver > 0) faults.push(`a start took worker ${index} over its capacity`)
      for (const { task, run } of worker.running()) {
        const other = where.get(task)
        if (other !== undefined) {
          faults.push(`${task} runs at worker ${other} and, as run ${run}, at worker ${index}`)
          this.#measure(task)
        }
        where.set(task, index)
        const fault = this.cancels.faultOfRun(task)
        if (fault !== undefined) faults.push(`${fault} at worker ${index}`)
      }
    })
    return faults
  }

  /** For how long the task goes on at two workers that it runs at twice now. */
  #measure (task: string): void {
    if (this.violation !== undefined) return
    const since = this.timeline.now
    const look = (): void => {
      const runs = this.workers.filter(worker => worker.running().some(run => run.task === task)).length
      if (runs < 2) return
      if (this.violation !== undefined) this.violation.lasts = this.timeline.now - since
      this.timeline.after(CHECK_INTERVAL, look)
    }
    this.timeline.after(CHECK_INTERVAL, look)
  }
}

/** In milliseconds. */
function longestTaskOf ({ longTasks, late }: WorldSizes): number {
  if (late) return LATE_TASK
  return longTasks ? LONG_TASK : SHORT_TASK
}
