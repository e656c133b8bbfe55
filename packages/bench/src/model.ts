/**
 * The bench's model of a small fleet: entries with the real scheduler, agents with the real slots,
 * the brief's latencies between them, virtual time. No processes, protocol, claims or store: it
 * measures decisions alone.
 */
import type { Configuration } from '@amaranthmast/coordination/configuration'
import { TaskOutcome } from '@amaranthmast/coordination/messages'
import type { Instance, TargetDescription, TargetReport } from '@amaranthmast/coordination/messages'
import type { PolicyName } from '@amaranthmast/coordination/policies'
import { TaskScheduler } from '@amaranthmast/coordination/scheduler'
import { QUEUE_PER_SLOT } from '@amaranthmast/coordination/schedulingdefaults'
import type { Assignment, SchedulableTask, SchedulerStatus } from '@amaranthmast/coordination/scheduling'
import { Slots } from '@amaranthmast/coordination/slots'
import { EventLoop } from './eventloop.ts'
import type { Fault } from './faults.ts'
import { FAILING_RUN, FaultKind, faultAt, FLAP_MILLISECONDS, SLOW_FACTOR } from './faults.ts'
import { AGENT_LEG, CLIENT_LEG } from './latencies.ts'
import { seededRandom } from './random.ts'
import type { ModelJob, ModelTask, User } from './workload.ts'
import { profiles } from './workload.ts'

/** What to run. */
export interface ModelOptions {
  user: User
  jobs: readonly ModelJob[]
  configuration: Configuration
  seed: number
  policy?: PolicyName
  /** @default 3 */
  entries?: number
  /** @default the user's */
  targets?: number
  faults?: readonly Fault[]
  /** Targets of provider-a, from the first; the rest belong to provider-b. @default the larger half */
  targetsOfProviderA?: number
  /** Later configurations, by the instant at which every entry has them. */
  changes?: ReadonlyArray<{ at: number, configuration: Configuration }>
}

/** How one job went. */
export interface JobRecord {
  job: ModelJob
  state: 'waiting' | 'complete' | 'failed' | 'refused' | 'late'
  response: number
  retryAfter: number
}

/** One start of a task. */
export interface StartRecord {
  at: number
  service: string
  provider: string
  target: number
  failed: boolean
}

/** What a run yields. */
export interface ModelResult {
  jobs: JobRecord[]
  starts: StartRecord[]
  /** In the order in which the entries dispatched, refused ones included. */
  dispatches: StartRecord[]
  /** Items sent between entries and agents, by kind. */
  messages: { dispatch: number, result: number, refusal: number, report: number, cancel: number }
  statuses: SchedulerStatus[]
  /** Health of each target at each entry over time, where it was asked for. */
  decideCalls: number
}

interface OpenJob {
  record: JobRecord
  entry: ModelEntry
  left: number
  tasks: SchedulableTask[]
  /** Tasks at agents, not settled. */
  dispatched: Set<OpenTask>
}

interface OpenTask {
  id: number
  open: OpenJob
  agent: ModelAgent
  assignment: Assignment
  task: ModelTask
}

/** An entry: the real scheduler and the jobs that it owns. */
class ModelEntry {
  readonly instance: Instance
  readonly scheduler: TaskScheduler
  readonly jobs = new Map<string, OpenJob>()
  wakeAt = Infinity

  constructor (instance: Instance, scheduler: TaskScheduler) {
    this.instance = instance
    this.scheduler = scheduler
  }
}

/** An agent: the real slots, and a target that behaves as the table of faults says. */
class ModelAgent {
  readonly number: number
  readonly instance: Instance
  readonly description: TargetDescription
  readonly slots: Slots
  readonly held = new Map<number, OpenTask>()
  linked = true

  constructor (number: number, description: TargetDescription) {
    this.number = number
    this.instance = `${description.target}#1`
    this.description = description
    this.slots = new Slots({ ...description, queueLimit: QUEUE_PER_SLOT * description.slots })
  }

  report (entry: Instance): TargetReport {
    return { ...this.slots.load(entry), leaving: false, viewVersion: 1, configurationVersion: 1 }
  }
}

/** One run of the model. */
export class Model {
  readonly #options: ModelOptions
  readonly #loop = new EventLoop()
  readonly #entries: ModelEntry[]
  readonly #agents: ModelAgent[]
  readonly #agentsByInstance: Map<Instance, ModelAgent>
  readonly #random: () => number
  readonly #faults: readonly Fault[]
  readonly #result: ModelResult = {
    jobs: [], starts: [], dispatches: [], messages: { dispatch: 0, result: 0, refusal: 0, report: 0, cancel: 0 }, statuses: [], decideCalls: 0
  }

  #tasks = 0

  constructor (options: ModelOptions) {
    this.#options = options
    this.#random = seededRandom(options.seed + 1)
    this.#faults = options.faults ?? []
    this.#entries = Array.from({ length: options.entries ?? 3 }, (_, number) => this.#makeEntry(number))
    const targets = options.targets ?? profiles[options.user].targets
    this.#agents = Array.from({ length: targets }, (_, number) => this.#makeAgent(number, targets))
    this.#agentsByInstance = new Map(this.#agents.map(agent => [agent.instance, agent]))
    this.#connect()
  }

  /** Runs everything until the last job is answered, or `until`. */
  run (until = Infinity): ModelResult {
    for (const job of this.#options.jobs) this.#loop.at(job.sentAt, () => this.#send(job))
    for (const change of this.#options.changes ?? []) this.#loop.at(change.at, () => this.#configure(change.configuration))
    for (const fault of this.#faults) {
      if (fault.kind === FaultKind.Flapping) this.#flap(fault)
    }
    this.#loop.run(until)
    this.#result.statuses = this.#entries.map(entry => entry.scheduler.status())
    return this.#result
  }

  /** Calls `look` every so many milliseconds with the entries' status, until the instant. */
  observe (every: number, until: number, look: (now: number, statuses: SchedulerStatus[]) => void): void {
    for (let instant = every; instant <= until; instant += every) {
      this.#loop.at(instant, () => look(instant, this.#entries.map(entry => entry.scheduler.status())))
    }
  }

  #makeEntry (number: number): ModelEntry {
    const random = seededRandom(this.#options.seed * 31 + number)
    const scheduler = new TaskScheduler({ random, policy: this.#options.policy })
    scheduler.configure(this.#options.configuration, 0)
    scheduler.setEntryCount(this.#options.entries ?? 3, 0)
    return new ModelEntry(`entry-${number}#1`, scheduler)
  }

  #makeAgent (number: number, targets: number): ModelAgent {
    const profile = profiles[this.#options.user]
    const ofProviderA = this.#options.targetsOfProviderA ?? Math.ceil(targets / 2)
    return new ModelAgent(number, {
      target: `target-${number}`,
      provider: number < ofProviderA ? 'provider-a' : 'provider-b',
      services: [...profile.services],
      slots: profile.slots,
      accelerators: 0,
      memoryMegabytes: profile.memoryMegabytes,
      dataCentre: `centre-${number % profile.dataCentres}`,
      rack: `rack-${Math.floor(number / 3)}`
    })
  }

  #connect (): void {
    const instances = this.#entries.map(entry => entry.instance)
    for (const agent of this.#agents) {
      agent.slots.setEntries(instances)
      for (const entry of this.#entries) this.#announce(agent, entry)
    }
  }

  #announce (agent: ModelAgent, entry: ModelEntry): void {
    entry.scheduler.targetUp(agent.instance, agent.description, agent.report(entry.instance), this.#loop.now)
  }

  #configure (configuration: Configuration): void {
    for (const entry of this.#entries) {
      entry.scheduler.configure(configuration, this.#loop.now)
      this.#decide(entry)
    }
  }

  #flap (fault: Fault): void {
    const agent = this.#agents[fault.target] as ModelAgent
    for (let instant = fault.from; instant < fault.until; instant += 2 * FLAP_MILLISECONDS) {
      this.#loop.at(instant, () => this.#link(agent, false))
      this.#loop.at(instant + FLAP_MILLISECONDS, () => this.#link(agent, true))
    }
  }

  #link (agent: ModelAgent, linked: boolean): void {
    agent.linked = linked
    for (const entry of this.#entries) {
      if (linked) this.#announce(agent, entry)
      else entry.scheduler.targetDown(agent.instance, this.#loop.now)
      this.#decide(entry)
    }
  }

  /** The balancer picks any entry; the one that owns the job id is another one two times out of three. */
  #send (job: ModelJob): void {
    const record: JobRecord = { job, state: 'waiting', response: 0, retryAfter: 0 }
    this.#result.jobs.push(record)
    const owner = this.#pickEntry()
    const leg = CLIENT_LEG + (this.#pickEntry() === owner ? 0 : AGENT_LEG)
    this.#loop.after(leg, () => this.#arrive(owner, record, leg))
  }

  #pickEntry (): ModelEntry {
    return this.#entries[Math.floor(this.#random() * this.#entries.length)] as ModelEntry
  }

  #arrive (entry: ModelEntry, record: JobRecord, leg: number): void {
    const { job } = record
    const { now } = this.#loop
    const deadline = job.sentAt + job.deadlineMilliseconds - leg
    const tasks = job.tasks.map((task, index): SchedulableTask => ({
      job: job.key, index, tenant: job.tenant, service: job.service, needs: task.needs, runMilliseconds: task.declared, deadline
    }))
    const admission = entry.scheduler.admit(tasks, now)
    if (!admission.admitted) {
      record.retryAfter = admission.retryAfterMilliseconds
      this.#answer(record, 'refused', leg)
      return
    }
    const open = { record, entry, left: tasks.length, tasks, dispatched: new Set<OpenTask>() }
    entry.jobs.set(job.key, open)
    this.#loop.at(deadline, () => this.#expire(open, leg))
    entry.scheduler.enqueue(tasks, now)
    this.#decide(entry)
  }

  #answer (record: JobRecord, state: JobRecord['state'], leg: number): void {
    if (record.state !== 'waiting') return
    record.state = state
    record.response = this.#loop.now + leg - record.job.sentAt
  }

  #expire (open: OpenJob, leg: number): void {
    if (open.record.state !== 'waiting') return
    this.#answer(open.record, 'late', leg)
    this.#drop(open)
  }

  /** Takes back what has not started: here, and with one message at each agent that has some of it. */
  #drop (open: OpenJob): void {
    const { scheduler, jobs } = open.entry
    scheduler.remove(open.record.job.key)
    jobs.delete(open.record.job.key)
    const outstanding = [...open.dispatched]
    open.dispatched.clear()
    for (const held of outstanding) scheduler.settled(held.assignment, TaskOutcome.Unspecified, 0, this.#loop.now)
    for (const agent of new Set(outstanding.map(held => held.agent))) {
      const there = outstanding.filter(held => held.agent === agent)
      this.#result.messages.cancel += 1
      this.#loop.after(AGENT_LEG, () => there.forEach(held => this.#cancel(held)))
    }
  }

  /** A task that waits is withdrawn, one that runs is broken off. */
  #cancel (held: OpenTask): void {
    const { agent, id } = held
    if (!agent.held.has(id)) return
    if (!agent.slots.cancelWaiting(id)) {
      this.#end(agent, held, TaskOutcome.MayHaveRun, 0)
      return
    }
    agent.held.delete(id)
    this.#result.messages.refusal += 1
  }

  #decide (entry: ModelEntry): void {
    const { now } = this.#loop
    this.#result.decideCalls += 1
    for (const assignment of entry.scheduler.decide(now)) this.#dispatch(entry, assignment)
    const next = entry.scheduler.nextDecision(now)
    if (next === undefined || next >= entry.wakeAt) return
    entry.wakeAt = next
    this.#loop.at(next, () => {
      if (entry.wakeAt === next) entry.wakeAt = Infinity
      this.#decide(entry)
    })
  }

  #dispatch (entry: ModelEntry, assignment: Assignment): void {
    const open = entry.jobs.get(assignment.job) as OpenJob
    const task = open.record.job.tasks[assignment.index] as ModelTask
    const agent = this.#agentsByInstance.get(assignment.agent) as ModelAgent
    this.#tasks += 1
    const held = { id: this.#tasks, open, agent, assignment, task }
    open.dispatched.add(held)
    this.#result.messages.dispatch += 1
    this.#result.dispatches.push({ at: this.#loop.now, service: open.record.job.service, provider: agent.description.provider, target: agent.number, failed: false })
    this.#loop.after(AGENT_LEG, () => this.#offer(agent, held))
  }

  #offer (agent: ModelAgent, held: OpenTask): void {
    const { entry } = held.open
    const { patienceMilliseconds } = held.assignment
    const offer = { id: held.id, entry: entry.instance, needs: held.task.needs, runMilliseconds: held.task.declared, patienceMilliseconds }
    const taken = agent.slots.offer(offer, this.#loop.now)
    if (taken === 'full') {
      this.#result.messages.refusal += 1
      this.#loop.after(AGENT_LEG, () => this.#settle(held, TaskOutcome.NotStarted, 0))
    } else {
      agent.held.set(held.id, held)
      if (taken === 'start') this.#start(agent, held)
    }
    this.#sendReports(agent)
  }

  #start (agent: ModelAgent, held: OpenTask): void {
    const fault = faultAt(this.#faults, agent.number, this.#loop.now)
    if (fault === FaultKind.Unreachable) {
      this.#loop.after(0, () => this.#end(agent, held, TaskOutcome.NotStarted, 0))
      return
    }
    const { service } = held.open.record.job
    const failed = fault === FaultKind.Failing
    this.#result.starts.push({ at: this.#loop.now, service, provider: agent.description.provider, target: agent.number, failed })
    const run = failed ? FAILING_RUN : held.task.run * (fault === FaultKind.Slow ? SLOW_FACTOR : 1)
    if (fault === FaultKind.Hanging) {
      const until = this.#faults.find(other => other.target === agent.number)?.until ?? Infinity
      this.#loop.at(until, () => this.#end(agent, held, TaskOutcome.Failed, until))
    } else {
      this.#loop.after(run, () => this.#end(agent, held, failed ? TaskOutcome.Failed : TaskOutcome.Succeeded, run))
    }
  }

  #end (agent: ModelAgent, held: OpenTask, outcome: TaskOutcome, run: number): void {
    if (!agent.held.delete(held.id)) return
    for (const id of agent.slots.release(held.id)) this.#start(agent, agent.held.get(id) as OpenTask)
    this.#result.messages.result += 1
    this.#loop.after(AGENT_LEG, () => this.#settle(held, outcome, run))
    this.#sendReports(agent)
  }

  #sendReports (agent: ModelAgent): void {
    if (!agent.linked) return
    for (const instance of agent.slots.entriesToReport()) {
      const entry = this.#entries.find(other => other.instance === instance) as ModelEntry
      const report = agent.report(instance)
      this.#result.messages.report += 1
      this.#loop.after(AGENT_LEG, () => {
        entry.scheduler.targetReport(agent.instance, report, this.#loop.now)
        this.#decide(entry)
      })
    }
  }

  #settle (held: OpenTask, outcome: TaskOutcome, run: number): void {
    const { open, assignment } = held
    const { entry, record } = open
    const { now } = this.#loop
    if (!open.dispatched.delete(held)) return
    entry.scheduler.settled(assignment, outcome, run, now)
    if (outcome === TaskOutcome.NotStarted && record.state === 'waiting') {
      entry.scheduler.enqueue([open.tasks[assignment.index] as SchedulableTask], now)
    } else if (outcome === TaskOutcome.Failed) {
      this.#answer(record, 'failed', CLIENT_LEG)
      this.#drop(open)
    } else {
      open.left -= 1
      if (open.left === 0) this.#answer(record, 'complete', CLIENT_LEG)
    }
    if (record.state !== 'waiting') entry.jobs.delete(record.job.key)
    this.#decide(entry)
  }
}
