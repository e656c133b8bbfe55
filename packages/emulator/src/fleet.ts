/** The fleet of an emulated day: real entry and agent cores, emulated targets, and the links between them. */
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
import { CancellationStore } from './cancellationstore.ts'
import { Connections } from './connections.ts'
import { EmulatedTarget } from './emulatedtarget.ts'
import { FailureCheck } from './failurecheck.ts'
import { linkEnds, numberOf, pairOf } from './linkends.ts'
import { PeerLinks } from './peerlinks.ts'
import { TroubleKind } from './troubletypes.ts'
import { costOfAgentEffect, costOfAgentEvent, costOfEntryEffect, costOfEntryEvent } from './prices.ts'
import { Process } from './process.ts'

/** Time limits of the platform, in milliseconds. */
export const BOUNDS = { resubmission: 1300, longestLease: 1000, stop: 50, grace: 6000, drain: 3000 }

const SERVICE = 'service'
const HEARTBEAT_INTERVAL = 1500

/** How long a capacity still counts after it has shrunk, in milliseconds: until the next heartbeat, and the orders sent before it, have arrived. */
const CAPACITY_GRACE = HEARTBEAT_INTERVAL + 100

const MILLISECONDS_PER_SECOND = 1000

/** Downtime of a target that a task has crashed, in milliseconds. Half of the targets keep their names, and half refuse calls meanwhile. */
const CRASH_DOWNTIME = 3000

/** Troubles after which targets restart under the same name. */
const NAME_KEEPING_TROUBLES: ReadonlySet<TroubleKind> = new Set([TroubleKind.Restart, TroubleKind.Crashing])

/** Number of target crashes after which a task may not be started again (the users' rule). */
const MAX_CRASHES = 3

/** Interval at which missing links are opened, in milliseconds. */
const DIAL_INTERVAL = 60

/** Time until an entry reads a change in the operators' store, and the interval of reads without a change, in milliseconds. */
const WATCH_DELAY = 10
const READ_INTERVAL = 1000

/** Time until a started entry has read the stored cancellations, in milliseconds: none, since it has its configuration at once as well. */
const READ_DELAY = 0

/** Maximum random delay that is added to the delay of a link, in milliseconds. */
const MAX_JITTER = 0.3

/** Callbacks of a fleet to its callers and its log. */
export interface FleetEvents {
  answered: (request: number, answer: Answer) => void
  /** The process of an entry has ended. Connections of callers to it break, or hang if its machine has lost power. */
  entryEnded: (entry: number, powerLost: boolean) => void
  note?: (process: string, what: string, fields: Record<string, unknown>) => void
}

/** Runs the processes of a fleet, executes their effects, and counts messages, starts and work. */
export class EmulatedFleet {
  readonly entries: EntryProcess[] = []
  readonly agents: AgentProcess[] = []
  readonly targets: EmulatedTarget[] = []
  /** Messages sent by all entries and agents. */
  messages = 0
  /** Starts that were returned because the target was full, and all starts sent. */
  fullStarts = 0
  starts = 0
  /** Target crashes caused by tasks, and starts of tasks that had already crashed three targets. */
  crashes = 0
  startsAfterCrashes = 0
  /** Failures that the targets have listed. */
  readonly failureCheck = new FailureCheck()
  readonly #crashCounts = new Map<string, number>()
  /** Work reported by agents, by job, in thousandths of a core times milliseconds. */
  readonly work = new Map<string, number>()
  readonly #plan: DayPlan
  readonly #timeline: Timeline
  readonly #random: SeededRandom
  readonly #events: FleetEvents
  readonly #connections: Connections
  readonly #peers: PeerLinks
  readonly #cancellations: CancellationStore
  readonly #jobs: ReadonlyMap<string, JobPlan>
  readonly #evacuatedDataCentres = new Set<string>()
  /** Revision of the operators' store; 0 before the first write. */
  #revision = 0
  /** Fraction of tasks that fail, by target. */
  readonly #failureRates = new Map<number, number>()

  constructor (plan: DayPlan, timeline: Timeline, random: SeededRandom, policy: Partial<Policy>, events: FleetEvents) {
    this.#plan = plan
    this.#timeline = timeline
    this.#random = random
    this.#events = events
    this.#jobs = new Map(plan.jobs.map(job => [job.id, job]))
    this.#connections = new Connections(timeline, pair => this.#travelTime(pair))
    this.#peers = new PeerLinks(timeline, this.entries, (from, to) => this.#linkDelay(plan.entries[from]?.dataCentre, plan.entries[to]?.dataCentre))
    this.#cancellations = new CancellationStore(timeline, this.entries, READ_DELAY)
    const timings = timingsFor(BOUNDS)
    for (const index of plan.targets.keys()) this.#addAgent(index, () => new Agent({ timings, stop: BOUNDS.stop, drain: BOUNDS.drain, wallClock: () => 1_000_000 + timeline.now, policy }))
    for (const [index, { dataCentre }] of plan.entries.entries()) this.#addEntry(index, () => new Entry({ name: `entry${index}`, dataCentre, timings, grace: BOUNDS.grace, policy, strength: processorStrength(plan.processor.entries[index]) }))
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

  /** Whether the entry is running, so that callers can reach it. */
  isServing (entry: number): boolean {
    return this.entries[entry]?.alive === true
  }

  /** @param powerLost whether the machine loses power, so that its peers are not notified */
  killEntry (index: number, milliseconds: number, powerLost: boolean): void {
    const entry = this.entries[index] as EntryProcess
    if (!entry.alive) return
    entry.kill()
    this.#events.entryEnded(index, powerLost)
    this.#peers.ended(index, powerLost)
    for (const agent of this.agents.keys()) this.#disconnect(pairOf(index, agent), powerLost, 'closeByEntry')
    this.#timeline.after(milliseconds + this.#plan.startMilliseconds, () => this.#startEntry(index))
  }

  killAgent (index: number, milliseconds: number, powerLost: boolean): void {
    const agent = this.agents[index] as AgentProcess
    if (!agent.alive) return
    agent.kill()
    for (const entry of this.entries.keys()) this.#disconnect(pairOf(entry, index), powerLost, 'closeByAgent')
    this.#timeline.after(milliseconds + this.#plan.startMilliseconds, () => {
      agent.start()
      this.#timeline.after(this.#random.next() * HEARTBEAT_INTERVAL / 2, () => this.targets[index]?.announce())
    })
  }

  /** Evacuates the data centre for a while: nothing may be started there. */
  evacuate (dataCentre: string, milliseconds: number): void {
    const first = this.#revision === 0
    this.#evacuatedDataCentres.add(dataCentre)
    this.#notifyStoreChanged()
    if (first) this.#scheduleStoreRead()
    this.#timeline.after(milliseconds, () => {
      this.#evacuatedDataCentres.delete(dataCentre)
      this.#notifyStoreChanged()
    })
  }

  #notifyStoreChanged (): void {
    this.#revision += 1
    this.#timeline.after(WATCH_DELAY, () => { for (const entry of this.entries) this.#sendEvacuations(entry) })
  }

  #sendEvacuations (entry: EntryProcess): void {
    if (this.#revision > 0) entry.post({ type: 'evacuationsRead', state: { revision: this.#revision, dataCentres: [...this.#evacuatedDataCentres] } })
  }

  #scheduleStoreRead (): void {
    this.#timeline.after(READ_INTERVAL, () => {
      for (const entry of this.entries) this.#sendEvacuations(entry)
      this.#scheduleStoreRead()
    })
  }

  cutEntry (index: number, milliseconds: number): void {
    this.#peers.cut(index, milliseconds)
    for (const agent of this.agents.keys()) this.#connections.cut(pairOf(index, agent), milliseconds)
  }

  /** Sets the fraction of tasks that fail at the target. */
  setFailureRate (target: number, rate: number): void {
    this.#failureRates.set(target, rate)
  }

  #addAgent (index: number, createCore: () => Agent): void {
    const agent: AgentProcess = new Process<AgentEvent, AgentEffect>(`agent${index}`, this.#timeline, createCore, { type: 'tick' }, effect => this.#executeAgentEffect(index, effect), { costs: costsFor(this.#plan.processor.agents[index], this.#plan.processor.agent, costOfAgentEvent, costOfAgentEffect) })
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
      refusesOtherLives: !this.#plan.troubles.some(({ kind }) => NAME_KEEPING_TROUBLES.has(kind)),
      heartbeat: HEARTBEAT_INTERVAL,
      capacityGrace: CAPACITY_GRACE,
      pollsWait: true,
      plan: task => this.#runPlan(index, task, speed),
      cpuOf: task => this.#jobOf(task).cpu,
      failureListed: task => this.failureCheck.recordFailure(task)
    }, event => agent.post(event)))
  }

  #addEntry (index: number, createCore: () => Entry): void {
    const { entries, entry } = this.#plan.processor
    this.entries.push(new Process<EntryEvent, EntryEffect>(`entry${index}`, this.#timeline, createCore, { type: 'tick' }, effect => this.#executeEntryEffect(index, effect), { costs: costsFor(entries[index], entry, costOfEntryEvent, costOfEntryEffect) }))
  }

  #startEntry (index: number): void {
    const entry = this.entries[index] as EntryProcess
    entry.start()
    this.#cancellations.list(entry)
    this.#sendEvacuations(entry)
    entry.post({ type: 'configured', configuration: { version: 1, queues: this.#plan.queues, limits: { header: 0, body: 0, headerTimeout: 0, idleTimeout: 0 } } })
  }

  #runPlan (target: number, task: string, speed: number): { duration: number, fails: boolean } {
    const job = this.#jobOf(task)
    const index = Number(task.slice(task.lastIndexOf('.') + 1))
    const failureRate = this.#failureRates.get(target) ?? 0
    const duration = (job.tasks[index] ?? 0) * (job.tailFactors[index] ?? 1) / speed
    if (job.crashing?.task === index) this.#scheduleCrash(target, task, duration * job.crashing.after)
    return { duration, fails: job.poisoned || (failureRate > 0 && this.#random.next() < failureRate) }
  }

  #scheduleCrash (index: number, task: string, milliseconds: number): void {
    const before = this.#crashCounts.get(task) ?? 0
    if (before >= MAX_CRASHES) this.startsAfterCrashes += 1
    this.#timeline.after(milliseconds, () => {
      const target = this.targets[index]
      if (target?.running().some(run => run.task === task) !== true) return
      this.crashes += 1
      this.#crashCounts.set(task, (this.#crashCounts.get(task) ?? 0) + 1)
      target.crash(CRASH_DOWNTIME, index % 4 < 2, index % 2 === 0)
    })
  }

  #jobOf (task: string): JobPlan {
    return this.#jobs.get(task.slice(0, task.indexOf('.'))) as JobPlan
  }

  #executeAgentEffect (index: number, effect: AgentEffect): void {
    const target = this.targets[index] as EmulatedTarget
    if (effect.type === 'start') target.start(effect)
    if (effect.type === 'stop') target.stop(effect)
    if (effect.type === 'poll') target.poll(effect)
    if (effect.type === 'send') this.#sendToEntry(pairOf(numberOf(effect.entry), index), effect.message)
    if (effect.type === 'unlink') this.#connections.closeByAgent(pairOf(numberOf(effect.entry), index))
    if (effect.type === 'note') this.#events.note?.(`agent${index}`, effect.what, effect.fields)
  }

  #executeEntryEffect (index: number, effect: EntryEffect): void {
    if (effect.type === 'send') this.#sendToAgent(pairOf(index, numberOf(effect.agent)), effect.message)
    if (effect.type === 'tell') {
      this.messages += 1
      this.#peers.send(index, numberOf(effect.peer), effect.message)
    }
    if (effect.type === 'unlink') this.#connections.closeByEntry(pairOf(index, numberOf(effect.agent)))
    if (effect.type === 'storeCancellations') this.#cancellations.write(this.entries[index] as EntryProcess, effect.jobs)
    if (effect.type === 'answer') this.#events.answered(effect.request, effect.answer)
    if (effect.type === 'note') this.#events.note?.(`entry${index}`, effect.what, effect.fields)
  }

  #sendToEntry (pair: string, message: AgentMessage): void {
    this.messages += 1
    if (message.type === 'ends') {
      this.fullStarts += message.ends.filter(({ cause }) => cause === Cause.Full).length
      for (const { task, ran } of message.ends) this.#recordWork(this.#jobOf(task), ran)
    }
    this.#connections.toEntry(pair, message)
  }

  #recordWork ({ id, cpu }: JobPlan, ran: number): void {
    this.work.set(id, (this.work.get(id) ?? 0) + ran * cpu)
  }

  #sendToAgent (pair: string, message: EntryMessage): void {
    this.messages += 1
    if (message.type === 'start') this.starts += message.tasks.length
    this.#connections.toAgent(pair, message)
  }

  #disconnect (pair: string, powerLost: boolean, close: 'closeByEntry' | 'closeByAgent'): void {
    if (powerLost) this.#connections.drop(pair)
    else this.#connections[close](pair)
  }

  #travelTime (pair: string): number {
    const [entry = 0, agent = 0] = pair.split('-').map(Number)
    return this.#linkDelay(this.#plan.entries[entry]?.dataCentre, this.#plan.targets[agent]?.dataCentre)
  }

  #linkDelay (from: string | undefined, to: string | undefined): number {
    const { within, between } = this.#plan.delays
    return (from === to ? within : between) + this.#random.next() * MAX_JITTER
  }

  #dialAll (): void {
    this.#peers.dial()
    for (const [index, entry] of this.entries.entries()) {
      for (const [other, agent] of this.agents.entries()) {
        const pair = pairOf(index, other)
        if (entry.alive && agent.alive && !entry.frozen && !agent.frozen && !this.#connections.isCut(pair) && !this.#connections.get(pair)) this.#dial(index, other)
      }
    }
    this.#timeline.after(DIAL_INTERVAL, () => this.#dialAll())
  }

  #dial (index: number, other: number): void {
    const entry = this.entries[index] as EntryProcess
    const agent = this.agents[other] as AgentProcess
    const { entryEnd, agentEnd } = linkEnds(entry, agent)
    this.#connections.open(pairOf(index, other), entryEnd, agentEnd)
  }
}

/** Speed of an entry's processor relative to one core, as a rounded base-2 logarithm, the unit in which entries measure it. */
function processorStrength (cores = 1): number {
  return Math.round(Math.log2(cores))
}

/** @param cores speed of the processor, in cores; undefined if each event except a tick costs `flatCost` */
function costsFor<Event extends { type: string }, Effect> (cores: number | undefined, flatCost: number, event: (event: Event) => number, effect: (effect: Effect) => number): Costs<Event, Effect> {
  if (cores === undefined) return { event: ({ type }) => type === 'tick' ? 0 : flatCost, effect: () => 0 }
  return { event: taken => event(taken) / cores, effect: taken => effect(taken) / cores }
}
