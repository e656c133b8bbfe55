/**
 * Discrete-event simulation of a small fleet. Entries run the real scheduler, agents the real slot
 * accounting; network latencies are fixed and time is virtual. Processes, the wire protocol, claims
 * and the store are left out, so that only scheduling decisions are measured.
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
import { FAILED_RUN_MILLISECONDS, FaultKind, faultAt, FLAP_INTERVAL_MILLISECONDS, SLOWDOWN_FACTOR } from './faults.ts'
import { AGENT_LATENCY, CLIENT_LATENCY } from './latencies.ts'
import { seededRandom } from './random.ts'
import type { ModelJob, ModelTask, User } from './workload.ts'
import { profiles } from './workload.ts'

/** Workload, fleet and faults of one simulation. */
export interface ModelOptions {
  user: User
  jobs: readonly ModelJob[]
  configuration: Configuration
  seed: number
  policy?: PolicyName
  /** @default 3 */
  entries?: number
  /** Number of targets. @default that of the user's profile */
  targets?: number
  faults?: readonly Fault[]
  /** Number of targets of provider-a, from the first; the rest belong to provider-b. @default half, rounded up */
  targetsOfProviderA?: number
  /** Configuration changes; each reaches all entries at the same instant. */
  changes?: ReadonlyArray<{ at: number, configuration: Configuration }>
}

/** Outcome of one job. */
export interface JobRecord {
  job: ModelJob
  state: 'waiting' | 'complete' | 'failed' | 'refused' | 'late'
  /** Response time as the caller measures it, in milliseconds; 0 while the job is waiting. */
  response: number
  /** Wait that the refusal asks for, in milliseconds; 0 unless the job is refused. */
  retryAfter: number
}

/** One dispatch or start of a task. */
export interface StartRecord {
  at: number
  service: string
  provider: string
  target: number
  failed: boolean
}

/** Records and counters of a simulation. */
export interface ModelResult {
  jobs: JobRecord[]
  starts: StartRecord[]
  /** In order of dispatch over all entries, including tasks that the agent then refuses. */
  dispatches: StartRecord[]
  /** Number of messages between entries and agents, by type. */
  messages: { dispatch: number, result: number, refusal: number, report: number, cancel: number }
  statuses: SchedulerStatus[]
  /** Number of scheduling passes over all entries. */
  decideCalls: number
}

/** A job that an entry has admitted and not yet finished. */
interface OpenJob {
  record: JobRecord
  entry: ModelEntry
  /** Tasks that have not succeeded yet. */
  left: number
  tasks: SchedulableTask[]
  /** Tasks dispatched to agents and not settled. */
  dispatched: Set<DispatchedTask>
}

/** One dispatch of a task to an agent. */
interface DispatchedTask {
  id: number
  open: OpenJob
  agent: ModelAgent
  assignment: Assignment
  task: ModelTask
}

/** An entry: the real scheduler and the open jobs that it owns. */
class ModelEntry {
  readonly instance: Instance
  readonly scheduler: TaskScheduler
  readonly jobs = new Map<string, OpenJob>()
  /** Instant of the next scheduled decision, or Infinity when there is none. */
  wakeAt = Infinity

  constructor (instance: Instance, scheduler: TaskScheduler) {
    this.instance = instance
    this.scheduler = scheduler
  }
}

/** An agent with the real slot accounting, and a simulated target that follows the table of faults. */
class ModelAgent {
  readonly number: number
  readonly instance: Instance
  readonly description: TargetDescription
  readonly slots: Slots
  /** Accepted tasks by id, queued or running. */
  readonly held = new Map<number, DispatchedTask>()
  /** Whether the link to the entries is up. */
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

/** Simulates one workload on one fleet. */
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

  #dispatchCount = 0

  constructor (options: ModelOptions) {
    this.#options = options
    this.#random = seededRandom(options.seed + 1)
    this.#faults = options.faults ?? []
    this.#entries = Array.from({ length: options.entries ?? 3 }, (_, number) => this.#createEntry(number))
    const targets = options.targets ?? profiles[options.user].targets
    this.#agents = Array.from({ length: targets }, (_, number) => this.#createAgent(number, targets))
    this.#agentsByInstance = new Map(this.#agents.map(agent => [agent.instance, agent]))
    this.#registerTargets()
  }

  /** Runs the simulation until no event is left, or up to the instant `until`. */
  run (until = Infinity): ModelResult {
    for (const job of this.#options.jobs) this.#loop.at(job.sentAt, () => this.#submit(job))
    for (const change of this.#options.changes ?? []) this.#loop.at(change.at, () => this.#configure(change.configuration))
    for (const fault of this.#faults) {
      if (fault.kind === FaultKind.Flapping) this.#scheduleFlapping(fault)
    }
    this.#loop.run(until)
    this.#result.statuses = this.#entries.map(entry => entry.scheduler.status())
    return this.#result
  }

  /** Calls `observer` with the status of every entry at each multiple of `interval`, up to `until`. */
  observe (interval: number, until: number, observer: (now: number, statuses: SchedulerStatus[]) => void): void {
    for (let instant = interval; instant <= until; instant += interval) {
      this.#loop.at(instant, () => observer(instant, this.#entries.map(entry => entry.scheduler.status())))
    }
  }

  #createEntry (number: number): ModelEntry {
    const random = seededRandom(this.#options.seed * 31 + number)
    const scheduler = new TaskScheduler({ random, policy: this.#options.policy })
    scheduler.configure(this.#options.configuration, 0)
    scheduler.setEntryCount(this.#options.entries ?? 3, 0)
    return new ModelEntry(`entry-${number}#1`, scheduler)
  }

  #createAgent (number: number, targets: number): ModelAgent {
    const profile = profiles[this.#options.user]
    const countOfProviderA = this.#options.targetsOfProviderA ?? Math.ceil(targets / 2)
    return new ModelAgent(number, {
      target: `target-${number}`,
      provider: number < countOfProviderA ? 'provider-a' : 'provider-b',
      services: [...profile.services],
      slots: profile.slots,
      accelerators: 0,
      memoryMegabytes: profile.memoryMegabytes,
      dataCentre: `centre-${number % profile.dataCentres}`,
      rack: `rack-${Math.floor(number / 3)}`
    })
  }

  #registerTargets (): void {
    const instances = this.#entries.map(entry => entry.instance)
    for (const agent of this.#agents) {
      agent.slots.setEntries(instances)
      for (const entry of this.#entries) this.#registerTarget(agent, entry)
    }
  }

  #registerTarget (agent: ModelAgent, entry: ModelEntry): void {
    entry.scheduler.targetUp(agent.instance, agent.description, agent.report(entry.instance), this.#loop.now)
  }

  #configure (configuration: Configuration): void {
    for (const entry of this.#entries) {
      entry.scheduler.configure(configuration, this.#loop.now)
      this.#decide(entry)
    }
  }

  #scheduleFlapping (fault: Fault): void {
    const agent = this.#agents[fault.target] as ModelAgent
    for (let instant = fault.from; instant < fault.until; instant += 2 * FLAP_INTERVAL_MILLISECONDS) {
      this.#loop.at(instant, () => this.#setConnected(agent, false))
      this.#loop.at(instant + FLAP_INTERVAL_MILLISECONDS, () => this.#setConnected(agent, true))
    }
  }

  #setConnected (agent: ModelAgent, linked: boolean): void {
    agent.linked = linked
    for (const entry of this.#entries) {
      if (linked) this.#registerTarget(agent, entry)
      else entry.scheduler.targetDown(agent.instance, this.#loop.now)
      this.#decide(entry)
    }
  }

  /**
   * Sends a job through the load balancer, which picks an entry at random. When another entry owns
   * the job id, as for two of three jobs with three entries, the request is forwarded to it.
   */
  #submit (job: ModelJob): void {
    const record: JobRecord = { job, state: 'waiting', response: 0, retryAfter: 0 }
    this.#result.jobs.push(record)
    const owner = this.#pickEntry()
    const latency = CLIENT_LATENCY + (this.#pickEntry() === owner ? 0 : AGENT_LATENCY)
    this.#loop.after(latency, () => this.#receiveJob(owner, record, latency))
  }

  #pickEntry (): ModelEntry {
    return this.#entries[Math.floor(this.#random() * this.#entries.length)] as ModelEntry
  }

  #receiveJob (entry: ModelEntry, record: JobRecord, latency: number): void {
    const { job } = record
    const { now } = this.#loop
    const deadline = job.sentAt + job.deadlineMilliseconds - latency
    const tasks = job.tasks.map((task, index): SchedulableTask => ({
      job: job.key, index, tenant: job.tenant, service: job.service, needs: task.needs, runMilliseconds: task.declared, deadline
    }))
    const admission = entry.scheduler.admit(tasks, now)
    if (!admission.admitted) {
      record.retryAfter = admission.retryAfterMilliseconds
      this.#recordResponse(record, 'refused', latency)
      return
    }
    const open = { record, entry, left: tasks.length, tasks, dispatched: new Set<DispatchedTask>() }
    entry.jobs.set(job.key, open)
    this.#loop.at(deadline, () => this.#handleDeadline(open, latency))
    entry.scheduler.enqueue(tasks, now)
    this.#decide(entry)
  }

  #recordResponse (record: JobRecord, state: JobRecord['state'], latency: number): void {
    if (record.state !== 'waiting') return
    record.state = state
    record.response = this.#loop.now + latency - record.job.sentAt
  }

  #handleDeadline (open: OpenJob, latency: number): void {
    if (open.record.state !== 'waiting') return
    this.#recordResponse(open.record, 'late', latency)
    this.#cancelJob(open)
  }

  /** Cancels the rest of a job: tasks queued at the entry, and with one message per agent those dispatched. */
  #cancelJob (open: OpenJob): void {
    const { scheduler, jobs } = open.entry
    scheduler.remove(open.record.job.key)
    jobs.delete(open.record.job.key)
    const outstanding = [...open.dispatched]
    open.dispatched.clear()
    for (const dispatchedTask of outstanding) scheduler.settled(dispatchedTask.assignment, TaskOutcome.Unspecified, 0, this.#loop.now)
    for (const agent of new Set(outstanding.map(dispatchedTask => dispatchedTask.agent))) {
      const tasksAtAgent = outstanding.filter(dispatchedTask => dispatchedTask.agent === agent)
      this.#result.messages.cancel += 1
      this.#loop.after(AGENT_LATENCY, () => tasksAtAgent.forEach(dispatchedTask => this.#cancelTask(dispatchedTask)))
    }
  }

  /** Withdraws a queued task, or aborts a running one. */
  #cancelTask (dispatchedTask: DispatchedTask): void {
    const { agent, id } = dispatchedTask
    if (!agent.held.has(id)) return
    if (!agent.slots.cancelWaiting(id)) {
      this.#finishTask(agent, dispatchedTask, TaskOutcome.MayHaveRun, 0)
      return
    }
    agent.held.delete(id)
    this.#result.messages.refusal += 1
  }

  #decide (entry: ModelEntry): void {
    const { now } = this.#loop
    this.#result.decideCalls += 1
    for (const assignment of entry.scheduler.decide(now)) this.#dispatchTask(entry, assignment)
    const next = entry.scheduler.nextDecision(now)
    if (next === undefined || next >= entry.wakeAt) return
    entry.wakeAt = next
    this.#loop.at(next, () => {
      if (entry.wakeAt === next) entry.wakeAt = Infinity
      this.#decide(entry)
    })
  }

  #dispatchTask (entry: ModelEntry, assignment: Assignment): void {
    const open = entry.jobs.get(assignment.job) as OpenJob
    const task = open.record.job.tasks[assignment.index] as ModelTask
    const agent = this.#agentsByInstance.get(assignment.agent) as ModelAgent
    this.#dispatchCount += 1
    const dispatchedTask = { id: this.#dispatchCount, open, agent, assignment, task }
    open.dispatched.add(dispatchedTask)
    this.#result.messages.dispatch += 1
    this.#result.dispatches.push({ at: this.#loop.now, service: open.record.job.service, provider: agent.description.provider, target: agent.number, failed: false })
    this.#loop.after(AGENT_LATENCY, () => this.#offerTask(agent, dispatchedTask))
  }

  #offerTask (agent: ModelAgent, dispatchedTask: DispatchedTask): void {
    const { entry } = dispatchedTask.open
    const { patienceMilliseconds } = dispatchedTask.assignment
    const offer = { id: dispatchedTask.id, entry: entry.instance, needs: dispatchedTask.task.needs, runMilliseconds: dispatchedTask.task.declared, patienceMilliseconds }
    const outcome = agent.slots.offer(offer, this.#loop.now)
    if (outcome === 'full') {
      this.#result.messages.refusal += 1
      this.#loop.after(AGENT_LATENCY, () => this.#settleTask(dispatchedTask, TaskOutcome.NotStarted, 0))
    } else {
      agent.held.set(dispatchedTask.id, dispatchedTask)
      if (outcome === 'start') this.#startTask(agent, dispatchedTask)
    }
    this.#sendReports(agent)
  }

  #startTask (agent: ModelAgent, dispatchedTask: DispatchedTask): void {
    const fault = faultAt(this.#faults, agent.number, this.#loop.now)
    if (fault === FaultKind.Unreachable) {
      this.#loop.after(0, () => this.#finishTask(agent, dispatchedTask, TaskOutcome.NotStarted, 0))
      return
    }
    const { service } = dispatchedTask.open.record.job
    const failed = fault === FaultKind.Failing
    this.#result.starts.push({ at: this.#loop.now, service, provider: agent.description.provider, target: agent.number, failed })
    const run = failed ? FAILED_RUN_MILLISECONDS : dispatchedTask.task.run * (fault === FaultKind.Slow ? SLOWDOWN_FACTOR : 1)
    if (fault === FaultKind.Hanging) {
      const until = this.#faults.find(other => other.target === agent.number)?.until ?? Infinity
      this.#loop.at(until, () => this.#finishTask(agent, dispatchedTask, TaskOutcome.Failed, until))
    } else {
      this.#loop.after(run, () => this.#finishTask(agent, dispatchedTask, failed ? TaskOutcome.Failed : TaskOutcome.Succeeded, run))
    }
  }

  #finishTask (agent: ModelAgent, dispatchedTask: DispatchedTask, outcome: TaskOutcome, run: number): void {
    if (!agent.held.delete(dispatchedTask.id)) return
    for (const id of agent.slots.release(dispatchedTask.id)) this.#startTask(agent, agent.held.get(id) as DispatchedTask)
    this.#result.messages.result += 1
    this.#loop.after(AGENT_LATENCY, () => this.#settleTask(dispatchedTask, outcome, run))
    this.#sendReports(agent)
  }

  #sendReports (agent: ModelAgent): void {
    if (!agent.linked) return
    for (const instance of agent.slots.entriesToReport()) {
      const entry = this.#entries.find(other => other.instance === instance) as ModelEntry
      const report = agent.report(instance)
      this.#result.messages.report += 1
      this.#loop.after(AGENT_LATENCY, () => {
        entry.scheduler.targetReport(agent.instance, report, this.#loop.now)
        this.#decide(entry)
      })
    }
  }

  #settleTask (dispatchedTask: DispatchedTask, outcome: TaskOutcome, run: number): void {
    const { open, assignment } = dispatchedTask
    const { entry, record } = open
    const { now } = this.#loop
    if (!open.dispatched.delete(dispatchedTask)) return
    entry.scheduler.settled(assignment, outcome, run, now)
    if (outcome === TaskOutcome.NotStarted && record.state === 'waiting') {
      entry.scheduler.enqueue([open.tasks[assignment.index] as SchedulableTask], now)
    } else if (outcome === TaskOutcome.Failed) {
      this.#recordResponse(record, 'failed', CLIENT_LATENCY)
      this.#cancelJob(open)
    } else {
      open.left -= 1
      if (open.left === 0) this.#recordResponse(record, 'complete', CLIENT_LATENCY)
    }
    if (record.state !== 'waiting') entry.jobs.delete(record.job.key)
    this.#decide(entry)
  }
}
