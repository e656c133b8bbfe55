/**
 * Simulates a small fleet and its callers in virtual time and checks the invariants: no task has two concurrent runs, no task
 * starts in an evacuated data centre, beyond a target's capacity or after its drain time, no task of a cancelled job keeps running,
 * and no job is answered as failed unless targets have listed as many failures of one of its tasks as its queue allows.
 */
import type { AgentEffect, AgentEvent } from '../src/agenttypes.ts'
import type { AgentGuards } from '../src/agentcontext.ts'
import type { EntryEffect, EntryEvent } from '../src/entrytypes.ts'
import type { FleetGuards } from '../src/fleetguards.ts'
import type { Queue } from '../src/queues.ts'
import type { TargetOptions } from '@amaranthmast/emulator/emulatedtarget'
import type { AgentProcess, EntryProcess } from '@amaranthmast/emulator/linkends'
import { SeededRandom } from '@amaranthmast/standins/random'
import { Callers, handleEndsFirst } from './callers.ts'
import { Cancellations } from './cancels.ts'
import { Operators } from './operators.ts'
import { Agent } from '../src/agent.ts'
import { ALL_AGENT_GUARDS } from '../src/agentcontext.ts'
import { Entry } from '../src/entry.ts'
import { AnswerKind } from '../src/entrytypes.ts'
import { ALL_FLEET_GUARDS } from '../src/fleetguards.ts'
import { DEFAULT_POLICY } from '../src/policy.ts'
import { timingsFor } from '../src/timings.ts'
import { CancellationStore } from '@amaranthmast/emulator/cancellationstore'
import { Connections } from '@amaranthmast/emulator/connections'
import { EmulatedTarget } from '@amaranthmast/emulator/emulatedtarget'
import { FailureCheck } from '@amaranthmast/emulator/failurecheck'
import { linkEnds, numberOf, pairOf } from '@amaranthmast/emulator/linkends'
import { PeerLinks } from '@amaranthmast/emulator/peerlinks'
import { Process } from '@amaranthmast/emulator/process'
import { Timeline } from '@amaranthmast/emulator/timeline'

export interface Guards {
  agent: AgentGuards
  fleet: FleetGuards
}

export const ALL_GUARDS: Guards = { agent: ALL_AGENT_GUARDS, fleet: ALL_FLEET_GUARDS }

/** All guards enabled except the named one. */
export function guardsWithout (name: string): Guards {
  return {
    agent: name in ALL_AGENT_GUARDS ? { ...ALL_AGENT_GUARDS, [name]: false } : ALL_AGENT_GUARDS,
    fleet: name in ALL_FLEET_GUARDS ? { ...ALL_FLEET_GUARDS, [name]: false } : ALL_FLEET_GUARDS
  }
}

/** Platform bounds that the fleet is configured for, in milliseconds. */
const PLATFORM_BOUNDS = { resubmission: 1300, longestLease: 1000, stop: 50, drain: 1000 }
const CALLER_DEADLINE = 3000
const LONG_CALLER_DEADLINE = 10_000
const SHORT_TASK_DURATION = 1500
const LONG_TASK_DURATION = 9000

/** Longest task with delayed processes, in milliseconds. A task whose delayed entry lost its caller must outlast the resubmission time. */
const LATE_PROCESS_TASK_DURATION = 3000
const DIAL_INTERVAL = 60

/** Time within which a started entry is linked to the other entries and has received their state, in milliseconds. */
const PEER_SYNC_TIME = 200

/** Time until a started entry has read the stored cancellations, in milliseconds, in simulations where jobs are submitted again. */
const READ_DELAY = 4
const TASK_CPU = 3000
const PARTITIONED_CAPACITY = 6000
const CHECK_INTERVAL = 5
const HEARTBEAT_INTERVAL = 1500

/** Time for which the earlier capacity of a shrunk target may still be used, in milliseconds: the platform's bound for an instance without contact, plus one heartbeat. */
const CAPACITY_UPDATE_BOUND = 4000 + HEARTBEAT_INTERVAL

/** Capacity of a target and of one whose capacity changes, in thousandths of a core. The latter is small enough to be exhausted at times. */
const CAPACITY = 32_000
const CHANGING_CAPACITY = 12_000
const MIN_MESSAGE_DELAY = 0.1
const MESSAGE_DELAY_SPREAD = 2.9

/** Even seeds use the idle ping interval of a fleet of 35 entries, in milliseconds, so that most starts wait for an echo. */
const LONG_QUIET_PING = 700

/** Shortest pause between two event loop turns of a delayed process, and the upper limit of what is added to it, in milliseconds. */
const MIN_TURN_PAUSE = 100
const MAX_TURN_PAUSE_SPREAD = 600

/** Highest fraction by which a target's monotonic clock runs slow. */
const MAX_CLOCK_SLOWNESS = 0.02

/** Fraction of the tasks that fail at a sound target. */
const FAILURE_RATE = 0.02

const QUEUE = { name: 'queue', host: 'host', prefix: '/', service: 'service', priority: 0, attempts: 3, slackFactor: 3, latency: 500, timeout: 0 }

const DATA_CENTRES = ['one', 'two']

export interface WorldOptions {
  entries: number
  agents: number
  dataCentres: number
  /** Tasks may outlast the cancellation bound, and callers wait for them. */
  longTasks: boolean
  /** Tasks that were running when a target crashed are restarted on separate targets. */
  isolatesSuspects: boolean
  /** Targets change their capacity and leave, receive tasks until they are gone, and accept every start, even beyond their capacity. */
  changingTargets: boolean
  /** Entries grant capacity in partitions. Targets have little capacity, so that entries request it from each other. */
  partitions: boolean
  /** Restarted targets may keep their names. */
  keepNames: boolean
  /** Processes handle events in delayed batches, disconnects of callers reach entries after a delay, and calls end with the process that made them. */
  late: boolean
  /** Some submissions arrive once more, seconds after their answer. @default false */
  repeats?: boolean
  /** Failures of a task after which entries fail its job. The check requires those that the queue allows. @default those */
  attempts?: number | undefined
}

export interface Violation {
  at: number
  detail: string
  /** Time for which the two runs overlapped, in milliseconds; 0 for other violations. */
  overlapDuration: number
}

export class World {
  readonly timeline = new Timeline()
  readonly random: SeededRandom
  readonly entries: EntryProcess[] = []
  readonly agents: AgentProcess[] = []
  readonly targets: EmulatedTarget[] = []
  readonly callers: Callers
  readonly operators: Operators
  readonly cancels: Cancellations
  readonly store: CancellationStore
  readonly #maxTaskDuration: number
  readonly #isolatesSuspects: boolean
  readonly #dataCentres: number
  readonly #changingTargets: boolean
  /** Time at which the agent received the leave notice of each target. */
  readonly #noticeAcknowledgedAt = new Map<number, number>()
  readonly #partitions: boolean
  readonly #late: boolean
  readonly #keepNames: boolean
  readonly #queue: Queue
  readonly #failureCheck = new FailureCheck()
  /** Fraction of the tasks that fail at a target that is not sound. */
  readonly #failureRates = new Map<number, number>()
  readonly #connections: Connections
  readonly #quietPing: number
  readonly #peers: PeerLinks
  readonly #trace: ((line: string) => void) | undefined
  /** Time from which all entries run and have each other's state. */
  #entriesSyncedAt = 0
  violation: Violation | undefined

  constructor (seed: number, guards: Guards, options: WorldOptions, trace?: (line: string) => void) {
    this.#trace = trace
    this.#dataCentres = options.dataCentres
    this.#maxTaskDuration = maxTaskDurationOf(options)
    this.#isolatesSuspects = options.isolatesSuspects
    this.#changingTargets = options.changingTargets
    this.#partitions = options.partitions
    this.#late = options.late
    this.#keepNames = options.keepNames
    this.#queue = { ...QUEUE, attempts: options.attempts ?? QUEUE.attempts }
    this.random = new SeededRandom(seed)
    this.#quietPing = seed % 2 === 0 ? LONG_QUIET_PING : DEFAULT_POLICY.quietPing
    const messageDelay = (): number => MIN_MESSAGE_DELAY + this.random.next() * MESSAGE_DELAY_SPREAD
    this.#connections = new Connections(this.timeline, messageDelay)
    this.store = new CancellationStore(this.timeline, this.entries, options.repeats === true ? READ_DELAY : 0)
    this.#peers = new PeerLinks(this.timeline, this.entries, messageDelay)
    this.callers = new Callers({ timeline: this.timeline, random: this.random, entries: this.entries, queue: this.#queue, cpu: TASK_CPU, deadline: options.longTasks ? LONG_CALLER_DEADLINE : CALLER_DEADLINE, resubmission: PLATFORM_BOUNDS.resubmission, messageDelay: options.late ? messageDelay : undefined, repeats: options.repeats ?? false })
    // Operators and cancellations have their own random sequences, so that a seed yields the same process faults with and without them.
    this.operators = new Operators({ timeline: this.timeline, random: new SeededRandom(seed), entries: this.entries, agents: this.agents, dataCentreOf: agent => this.dataCentreOf(agent) })
    this.cancels = new Cancellations({ timeline: this.timeline, random: new SeededRandom(seed), entries: this.entries, queue: this.#queue, waiting: () => this.callers.waiting(), stop: PLATFORM_BOUNDS.stop })
    const timings = timingsFor(PLATFORM_BOUNDS)
    for (let index = 0; index < options.agents; index += 1) this.#addAgent(index, timings, guards)
    for (let index = 0; index < options.entries; index += 1) this.#addEntry(index, timings, guards)
    for (const process of [...this.agents, ...this.entries]) process.start()
    for (const entry of this.entries) this.#prepare(entry)
    this.#dialAll()
    this.#check()
    if (options.dataCentres > 1) this.operators.start()
  }

  /** Data centre of an agent and its target. */
  dataCentreOf (agent: number): string {
    return DATA_CENTRES[agent % this.#dataCentres] as string
  }

  cut (entry: number, agent: number, milliseconds: number): void {
    this.#connections.cut(pairOf(entry, agent), milliseconds)
  }

  /** Disconnects an entry from the other entries. */
  cutPeers (entry: number, milliseconds: number): void {
    this.#peers.cut(entry, milliseconds)
  }

  /** Whether an entry is disconnected from the other entries. */
  get arePeersCut (): boolean {
    return this.#peers.isAnyCut
  }

  /**
   * Reports to an entry that no other entry can grant capacity. It then grants that of all targets, concurrently with their
   * owners, until it receives the next member messages.
   */
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
    this.callers.breakConnections(index)
    this.timeline.after(milliseconds, () => {
      entry.start()
      this.#prepare(entry)
    })
  }

  /** Restarts an entry unless another one is down or has not yet received the others' state. */
  removeEntry (index: number, milliseconds: number): void {
    const { now } = this.timeline
    if (now < this.#entriesSyncedAt) return
    this.#entriesSyncedAt = now + milliseconds + PEER_SYNC_TIME
    this.restartEntry(index, milliseconds)
  }

  /** @param heartbeat longest time until the target announces itself to the restarted agent, in milliseconds */
  restartAgent (index: number, milliseconds: number, heartbeat = 1500): void {
    const agent = this.agents[index] as AgentProcess
    if (!agent.alive) return
    agent.kill()
    this.operators.recordDisturbance(index, this.timeline.now + milliseconds)
    this.entries.forEach((_entry, entry) => this.#connections.closeByAgent(pairOf(entry, index)))
    this.timeline.after(milliseconds, () => {
      agent.start()
      if (this.#dataCentres > 1 || this.#changingTargets) this.operators.recallTarget(index)
      this.timeline.after(this.random.next() * heartbeat, () => this.targets[index]?.announce())
    })
  }

  /** Delays the event loop turns of a process for a time. */
  delay (process: EntryProcess | AgentProcess, milliseconds: number): void {
    const spread = this.random.next() * MAX_TURN_PAUSE_SPREAD
    process.delay(milliseconds, () => MIN_TURN_PAUSE + this.random.next() * spread)
  }

  freezeAgent (index: number, milliseconds: number): void {
    this.agents[index]?.freeze(milliseconds)
    this.operators.recordDisturbance(index, this.timeline.now + milliseconds)
  }

  /**
   * Crashes a target, which returns under another name, and restarts its agent. The new incarnation of the agent later receives
   * a heartbeat of the target's earlier incarnation, which it has never seen.
   */
  lateHeartbeat (index: number, milliseconds: number): void {
    const target = this.targets[index] as EmulatedTarget
    if (!target.up) return
    const heartbeat = target.announcement()
    target.crash(20)
    this.restartAgent(index, 30, 60)
    this.timeline.after(milliseconds, () => this.agents[index]?.post(heartbeat))
  }

  /** For a time a target fails a fraction of the tasks that start there. */
  failTasks (index: number, fraction: number, milliseconds: number): void {
    this.#failureRates.set(index, fraction)
    this.timeline.after(milliseconds, () => this.#failureRates.delete(index))
  }

  resetConnection (entry: number, agent: number): void {
    this.#connections.closeByEntry(pairOf(entry, agent))
  }

  /** Restarts all entries at once. */
  restartAllEntries (milliseconds: number): void {
    for (const index of this.entries.keys()) this.restartEntry(index, milliseconds)
  }

  /** Restarts all entries and agents at once. */
  restartAll (milliseconds: number): void {
    this.restartAllEntries(milliseconds)
    for (const index of this.agents.keys()) this.restartAgent(index, milliseconds)
  }

  /** Breaks every link between entries and agents at the agents' ends. Messages in flight to the agents are lost. */
  breakAllLinks (): void {
    this.agents.forEach((_agent, agent) => this.entries.forEach((_entry, entry) => this.#connections.closeByAgent(pairOf(entry, agent))))
  }

  #addAgent (index: number, timings: ReturnType<typeof timingsFor>, guards: Guards): void {
    // The wall clock of an instance may be set back between two incarnations of its agent.
    const createAgent = (): Agent => new Agent({ timings, stop: PLATFORM_BOUNDS.stop, drain: PLATFORM_BOUNDS.drain, wallClock: () => 1_000_000 + this.timeline.now + this.random.integer(-400, 400), guards: guards.agent, policy: { quietPing: this.#quietPing, isolatesSuspects: this.#isolatesSuspects, usesLeaving: this.#changingTargets, partitions: this.#partitions } })
    const agent: AgentProcess = new Process<AgentEvent, AgentEffect>(`agent${index}`, this.timeline, createAgent, { type: 'tick' }, effect => this.#carryOutAgent(index, effect))
    this.agents.push(agent)
    this.targets.push(new EmulatedTarget(this.timeline, this.random, this.#traits(index, agent), event => {
      if (event.type === 'targetSeen') this.#recordNotice(index, event.facts.leaving)
      agent.post(event)
    }))
  }

  #traits (index: number, agent: AgentProcess): TargetOptions {
    return {
      service: 'service',
      dataCentre: this.dataCentreOf(index),
      labels: [],
      capacity: { cpu: this.#capacity, memory: 65_536, accelerators: 0 },
      clockRate: 1 - MAX_CLOCK_SLOWNESS * this.random.next(),
      longestLease: PLATFORM_BOUNDS.longestLease,
      heartbeat: HEARTBEAT_INTERVAL,
      capacityGrace: CAPACITY_UPDATE_BOUND,
      rejectsOverload: !this.#changingTargets,
      refusesOtherLives: !this.#keepNames,
      pollsWait: this.#dataCentres > 1 || this.#late,
      ...(this.#late ? { caller: agent } : {}),
      plan: () => ({ duration: 50 + this.random.next() * this.#maxTaskDuration, fails: this.random.next() < (this.#failureRates.get(index) ?? FAILURE_RATE) }),
      cpuOf: () => TASK_CPU,
      failureListed: task => this.#failureCheck.recordFailure(task)
    }
  }

  get #capacity (): number {
    if (this.#partitions) return PARTITIONED_CAPACITY
    return this.#changingTargets ? CHANGING_CAPACITY : CAPACITY
  }

  #addEntry (index: number, timings: ReturnType<typeof timingsFor>, guards: Guards): void {
    const createEntry = (): Entry => new Entry({ name: `entry${index}`, dataCentre: 'one', timings, grace: 6000, guards: guards.fleet, policy: { isolatesSuspects: this.#isolatesSuspects, usesLeaving: this.#changingTargets, partitions: this.#partitions } })
    this.entries.push(new Process<EntryEvent, EntryEffect>(`entry${index}`, this.timeline, createEntry, { type: 'tick' }, effect => this.#carryOutEntry(index, effect), this.#late ? { arrange: handleEndsFirst } : {}))
  }

  /** Gives a started entry what it reads from the store. */
  #prepare (entry: EntryProcess): void {
    this.store.list(entry)
    entry.post({ type: 'configured', configuration: { version: 1, queues: [this.#queue], limits: { header: 0, body: 0, headerTimeout: 0, idleTimeout: 0 } } })
  }

  #carryOutAgent (index: number, effect: AgentEffect): void {
    const target = this.targets[index] as EmulatedTarget
    if (effect.type === 'start') {
      this.#report(this.operators.violationOfStart(index) ?? this.#violationOfLateStart(index))
      target.start(effect)
    }
    if (effect.type === 'readEvacuations') this.operators.readForAgent(index)
    if (effect.type === 'rememberTarget') this.operators.rememberTarget(index, effect.facts)
    if (effect.type === 'stop') target.stop(effect)
    if (effect.type === 'poll') target.poll(effect)
    if (effect.type === 'send') this.#connections.toEntry(pairOf(numberOf(effect.entry), index), effect.message)
    if (effect.type === 'unlink') this.#connections.closeByAgent(pairOf(numberOf(effect.entry), index))
    if (effect.type === 'note') this.#trace?.(`${this.timeline.now.toFixed(1)} agent${index} ${effect.what} ${JSON.stringify(effect.fields)}`)
  }

  #recordNotice (index: number, leaving: boolean): void {
    const agent = this.agents[index] as AgentProcess
    if (!leaving) this.#noticeAcknowledgedAt.delete(index)
    else if (agent.alive && !agent.frozen && !this.#noticeAcknowledgedAt.has(index)) this.#noticeAcknowledgedAt.set(index, this.timeline.now)
  }

  /** Reports a start at a target later than the drain time after its leave notice was received. */
  #violationOfLateStart (index: number): string | undefined {
    const elapsed = this.timeline.now - (this.#noticeAcknowledgedAt.get(index) ?? Infinity)
    return elapsed > PLATFORM_BOUNDS.drain ? `a start at target ${index} ${elapsed.toFixed(0)} ms after its notice was acknowledged` : undefined
  }

  #carryOutEntry (index: number, effect: EntryEffect): void {
    if (effect.type === 'send') this.#connections.toAgent(pairOf(index, numberOf(effect.agent)), effect.message)
    if (effect.type === 'tell') this.#peers.send(index, numberOf(effect.peer), effect.message)
    if (effect.type === 'unlink') this.#connections.closeByEntry(pairOf(index, numberOf(effect.agent)))
    if (effect.type === 'storeCancellations') this.store.write(this.entries[index] as EntryProcess, effect.jobs)
    if (effect.type === 'answer') this.#answered(effect.request, effect.answer.kind)
    if (effect.type === 'note') this.#trace?.(`${this.timeline.now.toFixed(1)} entry${index} ${effect.what} ${JSON.stringify(effect.fields)}`)
  }

  #answered (request: number, kind: AnswerKind): void {
    const job = this.callers.jobOf(request)
    if (kind === AnswerKind.Failed && job !== undefined) this.#report(this.#failureCheck.violationOfFailed(job, QUEUE.attempts))
    if (kind !== AnswerKind.Refused) this.cancels.answered(request)
    this.callers.answered(request, kind)
  }

  #dialAll (): void {
    this.#peers.dial()
    this.entries.forEach((entry, index) => this.agents.forEach((_agent, other) => {
      if (!this.#canDial(index, other)) return
      // A delayed entry dials in its next turn, after it has handled the end of the previous link.
      if (this.#late) entry.after(0, () => { if (this.#canDial(index, other)) this.#dial(index, other) })
      else this.#dial(index, other)
    }))
    this.timeline.after(DIAL_INTERVAL, () => this.#dialAll())
  }

  #canDial (index: number, other: number): boolean {
    const pair = pairOf(index, other)
    return [this.entries[index], this.agents[other]].every(process => process?.alive === true && !process.frozen) && !this.#connections.isCut(pair) && !this.#connections.get(pair)
  }

  #dial (index: number, other: number): void {
    const entry = this.entries[index] as EntryProcess
    const agent = this.agents[other] as AgentProcess
    const { entryEnd, agentEnd } = linkEnds(entry, agent)
    this.#connections.open(pairOf(index, other), entryEnd, agentEnd)
  }

  // Invariants

  #check (): void {
    for (const violation of this.#findViolations()) this.#report(violation)
    if (this.violation === undefined) this.timeline.after(CHECK_INTERVAL, () => this.#check())
  }

  #report (detail: string | undefined): void {
    if (detail !== undefined) this.violation ??= { at: this.timeline.now, detail, overlapDuration: 0 }
  }

  #findViolations (): string[] {
    const violations: string[] = []
    const targetOfTask = new Map<string, number>()
    this.targets.forEach((target, index) => {
      if (target.check.startsOver > 0) violations.push(`a start took target ${index} over its capacity`)
      for (const { task, run } of target.running()) {
        const other = targetOfTask.get(task)
        if (other !== undefined) {
          violations.push(`${task} runs at target ${other} and, as run ${run}, at target ${index}`)
          this.#measureOverlap(task)
        }
        targetOfTask.set(task, index)
        const violation = this.cancels.violationOfRun(task)
        if (violation !== undefined) violations.push(`${violation} at target ${index}`)
      }
    })
    return violations
  }

  /** Measures for how long a task that now runs at two targets keeps running at both. */
  #measureOverlap (task: string): void {
    if (this.violation !== undefined) return
    const startedAt = this.timeline.now
    const checkOverlap = (): void => {
      const runs = this.targets.filter(target => target.running().some(run => run.task === task)).length
      if (runs < 2) return
      if (this.violation !== undefined) this.violation.overlapDuration = this.timeline.now - startedAt
      this.timeline.after(CHECK_INTERVAL, checkOverlap)
    }
    this.timeline.after(CHECK_INTERVAL, checkOverlap)
  }
}

/** Longest task of the simulation, in milliseconds. */
function maxTaskDurationOf ({ longTasks, late }: WorldOptions): number {
  if (late) return LATE_PROCESS_TASK_DURATION
  return longTasks ? LONG_TASK_DURATION : SHORT_TASK_DURATION
}
