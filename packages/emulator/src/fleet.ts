/** The real entries and agents of one emulated day, their targets and the links between them. */
import type { AgentEffect, AgentEvent } from '@amaranthmast/dispatch/agenttypes'
import type { Answer, EntryEffect, EntryEvent } from '@amaranthmast/dispatch/entrytypes'
import type { AgentMessage, EntryMessage } from '@amaranthmast/dispatch/messages'
import type { Policy } from '@amaranthmast/dispatch/policy'
import type { SeededRandom } from '@amaranthmast/standins/random'
import type { DayPlan, JobPlan } from './dayplan.ts'
import type { AgentProcess, EntryProcess } from './linkends.ts'
import type { Costs } from './process.ts'
import type { Timeline } from './timeline.ts'
import { Agent } from '@amaranthmast/dispatch/agent'
import { Entry } from '@amaranthmast/dispatch/entry'
import { Cause } from '@amaranthmast/dispatch/messages'
import { timingsFor } from '@amaranthmast/dispatch/timings'
import { Connections } from './connections.ts'
import { EmulatedTarget } from './emulatedtarget.ts'
import { linkEnds, numberOf, pairOf } from './linkends.ts'
import { PeerLinks } from './peerlinks.ts'
import { TroubleKind } from './troubletypes.ts'
import { priceOfAgentEffect, priceOfAgentEvent, priceOfEntryEffect, priceOfEntryEvent } from './prices.ts'
import { Process } from './process.ts'

/** Bounds of the platform, in milliseconds. */
export const BOUNDS = { resubmission: 1300, longestLease: 1000, stop: 50, grace: 6000, drain: 3000 }

const SERVICE = 'service'
const HEARTBEAT = 1500

/** Room that has shrunk counts until the next heartbeat has come, and orders sent before it, in milliseconds. */
const NEWS = HEARTBEAT + 100

const MILLISECONDS_PER_SECOND = 1000

/** A target that a task has crashed is back after this, in milliseconds: half of them under their names, half of them refusing calls meanwhile. */
const CRASHED_MILLISECONDS = 3000

/** Troubles after which targets start again under their names. */
const KEEPS_NAMES: ReadonlySet<TroubleKind> = new Set([TroubleKind.Restart, TroubleKind.Crashing])

/** Crashes of targets after which a task may not be started again (the users' rule). */
const CRASHES_ALLOWED = 3

/** Pause between looks for links that are missing, in milliseconds. */
const DIAL_AGAIN = 60

/** How soon a process reads a change of the operators, and how often it reads without one, in milliseconds. */
const WATCH = 10
const READ_AGAIN = 1000

/** Messages travel up to this much longer than the link's delay, in milliseconds. */
const JITTER = 0.3

export interface FleetEvents {
  answered: (request: number, answer: Answer) => void
  /** The process of an entry has ended: connections of callers to it break, or hang when its machine has no power. */
  entryEnded: (entry: number, silent: boolean) => void
  note?: (process: string, what: string, fields: Record<string, unknown>) => void
}

export class EmulatedFleet {
  readonly entries: EntryProcess[] = []
  readonly agents: AgentProcess[] = []
  readonly targets: EmulatedTarget[] = []
  /** Messages between entries and agents. */
  messages = 0
  /** Starts that came back for want of room, and all that were sent. */
  fullStarts = 0
  starts = 0
  /** Targets that tasks crashed, and starts of tasks under which three had crashed before. */
  crashes = 0
  startsAfterCrashes = 0
  readonly #crashesOf = new Map<string, number>()
  /** Work that agents have told of, by job: thousandths of a core times milliseconds. */
  readonly work = new Map<string, number>()
  readonly #plan: DayPlan
  readonly #timeline: Timeline
  readonly #random: SeededRandom
  readonly #events: FleetEvents
  readonly #connections: Connections
  readonly #peers: PeerLinks
  readonly #jobs: ReadonlyMap<string, JobPlan>
  readonly #evacuated = new Set<string>()
  /** Of the operators' store; 0 before they have written. */
  #revision = 0
  /** Parts of tasks that fail at a target. */
  readonly #failing = new Map<number, number>()

  constructor (plan: DayPlan, timeline: Timeline, random: SeededRandom, policy: Partial<Policy>, events: FleetEvents) {
    this.#plan = plan
    this.#timeline = timeline
    this.#random = random
    this.#events = events
    this.#jobs = new Map(plan.jobs.map(job => [job.id, job]))
    this.#connections = new Connections(timeline, pair => this.#travel(pair))
    this.#peers = new PeerLinks(timeline, this.entries, (from, to) => this.#delay(plan.entries[from]?.dataCentre, plan.entries[to]?.dataCentre))
    const timings = timingsFor(BOUNDS)
    for (const index of plan.targets.keys()) this.#addAgent(index, () => new Agent({ timings, stop: BOUNDS.stop, drain: BOUNDS.drain, wallClock: () => 1_000_000 + timeline.now, policy }))
    for (const [index, { dataCentre }] of plan.entries.entries()) this.#addEntry(index, () => new Entry({ name: `entry${index}`, dataCentre, timings, grace: BOUNDS.grace, policy, strength: strengthOf(plan.processor.entries[index]) }))
    for (const agent of this.agents) agent.start()
    for (const index of this.entries.keys()) this.#startEntry(index)
    this.#dialAll()
  }

  get dataCentres (): readonly string[] {
    return this.#plan.dataCentres
  }

  get entryLoads (): number[] {
    return this.entries.map(({ used }) => used / this.#timeline.now * MILLISECONDS_PER_SECOND)
  }

  get agentLoads (): number[] {
    return this.agents.map(({ used }) => used / this.#timeline.now * MILLISECONDS_PER_SECOND)
  }

  /** Whether callers can reach the entry. */
  serves (entry: number): boolean {
    return this.entries[entry]?.alive === true
  }

  /** @param silent the machine has no power: nobody is told */
  killEntry (index: number, milliseconds: number, silent: boolean): void {
    const entry = this.entries[index] as EntryProcess
    if (!entry.alive) return
    entry.kill()
    this.#events.entryEnded(index, silent)
    this.#peers.ended(index, silent)
    for (const agent of this.agents.keys()) this.#lose(pairOf(index, agent), silent, 'closeByEntry')
    this.#timeline.after(milliseconds + this.#plan.startMilliseconds, () => this.#startEntry(index))
  }

  killAgent (index: number, milliseconds: number, silent: boolean): void {
    const agent = this.agents[index] as AgentProcess
    if (!agent.alive) return
    agent.kill()
    for (const entry of this.entries.keys()) this.#lose(pairOf(entry, index), silent, 'closeByAgent')
    this.#timeline.after(milliseconds + this.#plan.startMilliseconds, () => {
      agent.start()
      this.#timeline.after(this.#random.next() * HEARTBEAT / 2, () => this.targets[index]?.announce())
    })
  }

  /** Nothing more may be started in the data centre for a while. */
  evacuate (dataCentre: string, milliseconds: number): void {
    const first = this.#revision === 0
    this.#evacuated.add(dataCentre)
    this.#operatorsWrote()
    if (first) this.#readAgain()
    this.#timeline.after(milliseconds, () => {
      this.#evacuated.delete(dataCentre)
      this.#operatorsWrote()
    })
  }

  #operatorsWrote (): void {
    this.#revision += 1
    this.#timeline.after(WATCH, () => { for (const entry of this.entries) this.#read(entry) })
  }

  #read (entry: EntryProcess): void {
    if (this.#revision > 0) entry.post({ type: 'evacuationsRead', state: { revision: this.#revision, dataCentres: [...this.#evacuated] } })
  }

  #readAgain (): void {
    this.#timeline.after(READ_AGAIN, () => {
      for (const entry of this.entries) this.#read(entry)
      this.#readAgain()
    })
  }

  cutEntry (index: number, milliseconds: number): void {
    this.#peers.cut(index, milliseconds)
    for (const agent of this.agents.keys()) this.#connections.cut(pairOf(index, agent), milliseconds)
  }

  /** From now on this part of the tasks at the target fails. */
  setFailing (target: number, part: number): void {
    this.#failing.set(target, part)
  }

  #addAgent (index: number, make: () => Agent): void {
    const agent: AgentProcess = new Process<AgentEvent, AgentEffect>(`agent${index}`, this.#timeline, make, { type: 'tick' }, effect => this.#carryOutAgent(index, effect), { costs: costsOn(this.#plan.processor.agents[index], this.#plan.processor.agent, priceOfAgentEvent, priceOfAgentEffect) })
    this.agents.push(agent)
    const { dataCentre, capacity, labels, speed } = this.#plan.targets[index] as DayPlan['targets'][number]
    this.targets.push(new EmulatedTarget(this.#timeline, this.#random, {
      service: SERVICE,
      dataCentre,
      labels,
      capacity,
      clockRate: 1,
      longestLease: BOUNDS.longestLease,
      rejectsOverload: this.#plan.rejectsOverload,
      refusesOtherLives: !this.#plan.troubles.some(({ kind }) => KEEPS_NAMES.has(kind)),
      heartbeat: HEARTBEAT,
      news: NEWS,
      pollsWait: true,
      plan: task => this.#runPlan(index, task, speed),
      cpuOf: task => this.#jobOf(task).cpu
    }, event => agent.post(event)))
  }

  #addEntry (index: number, make: () => Entry): void {
    const { entries, entry } = this.#plan.processor
    this.entries.push(new Process<EntryEvent, EntryEffect>(`entry${index}`, this.#timeline, make, { type: 'tick' }, effect => this.#carryOutEntry(index, effect), { costs: costsOn(entries[index], entry, priceOfEntryEvent, priceOfEntryEffect) }))
  }

  #startEntry (index: number): void {
    const entry = this.entries[index] as EntryProcess
    entry.start()
    this.#read(entry)
    entry.post({ type: 'configured', configuration: { version: 1, queues: this.#plan.queues, limits: { header: 0, body: 0, headerTimeout: 0, idleTimeout: 0 } } })
  }

  #runPlan (target: number, task: string, speed: number): { duration: number, fails: boolean } {
    const job = this.#jobOf(task)
    const index = Number(task.slice(task.lastIndexOf('.') + 1))
    const failing = this.#failing.get(target) ?? 0
    const duration = (job.tasks[index] ?? 0) * (job.stretch[index] ?? 1) / speed
    if (job.crashing?.task === index) this.#crashLater(target, task, duration * job.crashing.after)
    return { duration, fails: job.poisoned || (failing > 0 && this.#random.next() < failing) }
  }

  #crashLater (index: number, task: string, milliseconds: number): void {
    const before = this.#crashesOf.get(task) ?? 0
    if (before >= CRASHES_ALLOWED) this.startsAfterCrashes += 1
    this.#timeline.after(milliseconds, () => {
      const target = this.targets[index]
      if (target?.running().some(run => run.task === task) !== true) return
      this.crashes += 1
      this.#crashesOf.set(task, (this.#crashesOf.get(task) ?? 0) + 1)
      target.crash(CRASHED_MILLISECONDS, index % 4 < 2, index % 2 === 0)
    })
  }

  #jobOf (task: string): JobPlan {
    return this.#jobs.get(task.slice(0, task.indexOf('.'))) as JobPlan
  }

  #carryOutAgent (index: number, effect: AgentEffect): void {
    const target = this.targets[index] as EmulatedTarget
    if (effect.type === 'start') target.start(effect)
    if (effect.type === 'stop') target.stop(effect)
    if (effect.type === 'poll') target.poll(effect)
    if (effect.type === 'send') this.#toEntry(pairOf(numberOf(effect.entry), index), effect.message)
    if (effect.type === 'unlink') this.#connections.closeByAgent(pairOf(numberOf(effect.entry), index))
    if (effect.type === 'note') this.#events.note?.(`agent${index}`, effect.what, effect.fields)
  }

  #carryOutEntry (index: number, effect: EntryEffect): void {
    if (effect.type === 'send') this.#toAgent(pairOf(index, numberOf(effect.agent)), effect.message)
    if (effect.type === 'tell') {
      this.messages += 1
      this.#peers.send(index, numberOf(effect.peer), effect.message)
    }
    if (effect.type === 'unlink') this.#connections.closeByEntry(pairOf(index, numberOf(effect.agent)))
    if (effect.type === 'answer') this.#events.answered(effect.request, effect.answer)
    if (effect.type === 'note') this.#events.note?.(`entry${index}`, effect.what, effect.fields)
  }

  #toEntry (pair: string, message: AgentMessage): void {
    this.messages += 1
    if (message.type === 'ends') {
      this.fullStarts += message.ends.filter(({ cause }) => cause === Cause.Full).length
      for (const { task, ran } of message.ends) this.#noteWork(this.#jobOf(task), ran)
    }
    this.#connections.toEntry(pair, message)
  }

  #noteWork ({ id, cpu }: JobPlan, ran: number): void {
    this.work.set(id, (this.work.get(id) ?? 0) + ran * cpu)
  }

  #toAgent (pair: string, message: EntryMessage): void {
    this.messages += 1
    if (message.type === 'start') this.starts += message.tasks.length
    this.#connections.toAgent(pair, message)
  }

  #lose (pair: string, silent: boolean, close: 'closeByEntry' | 'closeByAgent'): void {
    if (silent) this.#connections.vanish(pair)
    else this.#connections[close](pair)
  }

  #travel (pair: string): number {
    const [entry = 0, agent = 0] = pair.split('-').map(Number)
    return this.#delay(this.#plan.entries[entry]?.dataCentre, this.#plan.targets[agent]?.dataCentre)
  }

  #delay (from: string | undefined, to: string | undefined): number {
    const { within, between } = this.#plan.delays
    return (from === to ? within : between) + this.#random.next() * JITTER
  }

  #dialAll (): void {
    this.#peers.dial()
    for (const [index, entry] of this.entries.entries()) {
      for (const [other, agent] of this.agents.entries()) {
        const pair = pairOf(index, other)
        if (entry.alive && agent.alive && !entry.frozen && !agent.frozen && !this.#connections.isCut(pair) && !this.#connections.get(pair)) this.#dial(index, other)
      }
    }
    this.#timeline.after(DIAL_AGAIN, () => this.#dialAll())
  }

  #dial (index: number, other: number): void {
    const entry = this.entries[index] as EntryProcess
    const agent = this.agents[other] as AgentProcess
    const { entryEnd, agentEnd } = linkEnds(entry, agent)
    this.#connections.open(pairOf(index, other), entryEnd, agentEnd)
  }
}

/** Speed of an entry's processor against one core, in whole doublings, as entries measure it. */
function strengthOf (cores = 1): number {
  return Math.round(Math.log2(cores))
}

/** @param cores speed of the processor, in cores; undefined where each event but a tick costs the same */
function costsOn<Event extends { type: string }, Effect> (cores: number | undefined, flat: number, event: (event: Event) => number, effect: (effect: Effect) => number): Costs<Event, Effect> {
  if (cores === undefined) return { event: ({ type }) => type === 'tick' ? 0 : flat, effect: () => 0 }
  return { event: taken => event(taken) / cores, effect: taken => effect(taken) / cores }
}
