/**
 * The scheduler of one entry. It puts the parts together: the queue says whose task is next, the
 * shares say which provider receives it, health and the policy say which target, and the quotas
 * and the admission keep the rest out.
 */
import { decideAdmission, refuse, retryAfter } from './admission.ts'
import { CapacityMeter } from './capacity.ts'
import type { Configuration } from './configuration.ts'
import { EMPTY_CONFIGURATION } from './configuration.ts'
import { RunTimeEstimates } from './estimates.ts'
import { IndexedHeap } from './heap.ts'
import { Cause, TaskOutcome } from './messages.ts'
import type { Instance, JobKey, TargetDescription, TargetReport } from './messages.ts'
import { Placement } from './placement.ts'
import { policies, PolicyName } from './policies.ts'
import { TenantQuotas } from './quotas.ts'
import { TenantPresence } from './presence.ts'
import { RetryBudget } from './retries.ts'
import type { Admission, Assignment, PlacedTask, SchedulableTask, Scheduler, SchedulerStatus } from './scheduling.ts'
import { EXCESS_ROOM_PART, TENANT_ORDER_MILLISECONDS } from './schedulingdefaults.ts'
import type { Target } from './target.ts'
import { Fleet } from './targets.ts'
import type { Lane, QueuedTask } from './taskqueue.ts'
import { orderPatience, TaskQueue, taskName } from './taskqueue.ts'

/** How a scheduler is made. */
export interface TaskSchedulerOptions {
  /** Random numbers in [0, 1). */
  random: () => number
  /** @default PolicyName.EvenSpread */
  policy?: PolicyName
}

interface OutstandingTask {
  item: QueuedTask
  task: SchedulableTask
  target: Target
  estimate: number
}

/** Decides who runs next, where, at one entry. */
export class TaskScheduler implements Scheduler {
  readonly #random: () => number
  readonly #fleet: Fleet
  readonly #queue = new TaskQueue()
  readonly #quotas = new TenantQuotas()
  readonly #estimates = new RunTimeEstimates()
  readonly #retries: RetryBudget
  readonly #capacity = new CapacityMeter()
  readonly #presence = new TenantPresence()
  readonly #placement: Placement
  readonly #outstanding = new Map<string, OutstandingTask>()
  /** Tenants that their quotas hold back, by when the rate lets them go on. */
  readonly #heldTenants = new IndexedHeap<string>()
  readonly #dispatched: Record<string, Record<string, number>> = {}
  #configuration: Configuration = EMPTY_CONFIGURATION
  #entries = 1
  /** Instant of the last decision, for the status. */
  #now = 0

  constructor (options: TaskSchedulerOptions) {
    this.#random = options.random
    const policy = policies[options.policy ?? PolicyName.EvenSpread]
    this.#fleet = new Fleet(policy, options.random)
    this.#placement = new Placement(this.#fleet, policy, options.random)
    this.#retries = new RetryBudget(options.random)
  }

  configure (configuration: Configuration, now: number): void {
    this.#configuration = configuration
    this.#quotas.configure(configuration.tenants)
    this.#placement.configure(configuration.services)
    this.#fleet.configure(configuration.draining, now)
    this.#releaseTenants(now)
  }

  setEntryCount (entries: number, now: number): void {
    this.#entries = Math.max(1, entries)
    this.#quotas.setEntryCount(entries)
    this.#fleet.setEntryCount(entries, now)
    this.#releaseTenants(now)
  }

  targetUp (agent: Instance, target: TargetDescription, report: TargetReport, now: number): void {
    this.#fleet.up(agent, target, report, now)
  }

  targetReport (agent: Instance, report: TargetReport, now: number): void {
    const target = this.#fleet.get(agent)
    if (target === undefined) return
    target.noteReport(report, now)
    this.#fleet.refresh(target, now)
  }

  targetDown (agent: Instance, now: number): void {
    this.#fleet.down(agent, now)
  }

  admit (tasks: readonly SchedulableTask[], now: number): Admission {
    const first = tasks[0]
    if (first === undefined) return { admitted: true }
    if (this.#configuration.services[first.service] === undefined) {
      return refuse(Cause.UnknownService, `the configuration has no service ${first.service}`, 0)
    }
    if (this.#configuration.tenants[first.tenant] === undefined) {
      return refuse(Cause.UnknownTenant, `the configuration has no tenant ${first.tenant}`, 0)
    }
    return this.#refuseUnfit(tasks) ?? this.#admitByTime(tasks, now)
  }

  enqueue (tasks: readonly SchedulableTask[], now: number): void {
    const fresh = tasks.filter(task => !this.#enqueueAgain(task, now))
    if (fresh.length > 0) this.#enqueueFresh(fresh, now)
  }

  remove (job: JobKey): number[] {
    const items = this.#queue.remove(job)
    for (const item of items) this.#retries.forget(item.name)
    return items.map(item => item.task.index)
  }

  decide (now: number): Assignment[] {
    this.#now = now
    this.#advance(now)
    const assignments: Assignment[] = []
    const aside: Lane[] = []
    this.#placement.begin()
    let lane = this.#queue.nextLane()
    while (lane !== undefined) {
      const assignment = this.#serve(lane, now)
      if (assignment !== undefined) {
        assignments.push(assignment)
      } else if (this.#queue.nextLane() === lane) {
        this.#queue.setAside(lane)
        aside.push(lane)
      }
      lane = this.#queue.nextLane()
    }
    for (const waiting of aside) this.#queue.putBack(waiting)
    return assignments
  }

  /** `Unspecified` says that the entry broke the task off, which tells nothing about its target. */
  settled (assignment: PlacedTask, outcome: TaskOutcome, runMilliseconds: number, now: number): void {
    const name = taskName(assignment.job, assignment.index)
    const outstanding = this.#outstanding.get(name)
    if (outstanding === undefined || outstanding.target.agent !== assignment.agent) return
    this.#outstanding.delete(name)
    const { task, target, estimate } = outstanding
    const started = outcome !== TaskOutcome.NotStarted
    const ran = started && outcome !== TaskOutcome.Unspecified
    target.noteSettled(task.needs, estimate, ran, now)
    this.#quotas.end(task.tenant, started, now)
    this.#releaseTenant(task.tenant, now)
    if (ran) this.#capacity.note(runMilliseconds, now)
    if (ran) this.#learn(outstanding, outcome, runMilliseconds, now)
    if (started) this.#retries.forget(name)
    else this.#noteNotStarted(outstanding, name, now)
    this.#fleet.refresh(target, now)
    this.#fleet.forget(target)
  }

  nextDecision (_now: number): number | undefined {
    const next = Math.min(
      this.#fleet.nextChange() ?? Infinity,
      this.#queue.nextChange() ?? Infinity,
      this.#heldTenants.peekKey() ?? Infinity,
      this.#placement.patienceEnds
    )
    return next === Infinity || this.#queue.size === 0 ? undefined : next
  }

  status (): SchedulerStatus {
    const health: Record<string, number> = {}
    for (const target of this.#fleet.targets()) {
      if (target.up) health[target.description.target] = target.health.weight(this.#now)
    }
    return { queued: this.#queue.size, outstanding: this.#outstanding.size, dispatched: this.#dispatched, health, evacuated: this.#fleet.evacuated }
  }

  /** Queues a task at its first place; false when it was never refused. */
  #enqueueAgain (task: SchedulableTask, now: number): boolean {
    const name = taskName(task.job, task.index)
    const place = this.#retries.place(name)
    if (place === undefined) return false
    const estimate = this.#estimates.predict(task.tenant, task.service, task.runMilliseconds)
    this.#queue.addAgain(task, estimate, place, this.#retries.delay(name), now)
    return true
  }

  #enqueueFresh (tasks: readonly SchedulableTask[], now: number): void {
    this.#presence.note((tasks[0] as SchedulableTask).tenant, now)
    const { tenant } = tasks[0] as SchedulableTask
    const part = this.#presence.part(tenant, this.#quotas, now)
    const slots = this.#placement.usableSlots()
    this.#queue.add(tasks, {
      estimate: task => this.#estimates.predict(task.tenant, task.service, task.runMilliseconds),
      slots,
      tenantSlots: part === 1 ? Infinity : Math.max(1, part * slots / this.#entries)
    }, now)
  }

  #advance (now: number): void {
    this.#fleet.advance(now)
    this.#queue.advance(now)
    while ((this.#heldTenants.peekKey() ?? Infinity) <= now) this.#queue.hold(this.#heldTenants.pop() as string, false, now)
  }

  /** Dispatches the first task of the lane; undefined when it cannot go now. */
  #serve (lane: Lane, now: number): Assignment | undefined {
    const item = this.#queue.head(lane)
    if (item === undefined) return undefined
    const { tenant } = item.task
    if (!this.#quotas.mayStart(tenant, now)) {
      this.#holdTenant(tenant, now)
      return undefined
    }
    const room = this.#queue.excess(tenant, now) > 0 ? EXCESS_ROOM_PART : 1
    const target = this.#placement.place(item, room, now)
    return target === undefined ? undefined : this.#dispatch(item, target, now)
  }

  #dispatch (item: QueuedTask, target: Target, now: number): Assignment {
    const { task, estimate, name } = item
    this.#queue.take(item, this.#quotas.weight(task.tenant), now)
    this.#quotas.start(task.tenant, now)
    this.#retries.noteDispatch()
    this.#outstanding.set(name, { item, task, target, estimate })
    target.noteDispatch(task.needs, estimate, now)
    this.#fleet.refresh(target, now)
    const byProvider = this.#dispatched[task.service] ??= {}
    const { provider } = target.description
    byProvider[provider] = (byProvider[provider] ?? 0) + 1
    const patienceMilliseconds = this.#patienceAtAgent(item, now)
    return { job: task.job, index: task.index, agent: target.agent, patienceMilliseconds }
  }

  /**
   * Place of a task in its agent's queue. While other tenants are about, the age of a task counts
   * for little, and a tenant that is ahead of its part of the slots stands back by its lead. A burst
   * fills the agents' queues, and the next task of another tenant still goes before it.
   */
  #patienceAtAgent (item: QueuedTask, now: number): number {
    const { tenant } = item.task
    const patience = item.key - now
    const part = this.#presence.part(tenant, this.#quotas, now)
    if (part === 1) return patience
    return Math.max(-TENANT_ORDER_MILLISECONDS, Math.min(TENANT_ORDER_MILLISECONDS, patience)) + this.#queue.excess(tenant, now)
  }

  #learn (outstanding: OutstandingTask, outcome: TaskOutcome, run: number, now: number): void {
    const { task, target, estimate } = outstanding
    const succeeded = outcome === TaskOutcome.Succeeded
    const expected = this.#estimates.predict(task.tenant, task.service, task.runMilliseconds)
    this.#fleet.noteOutcome(target, !succeeded, Math.max(1, run) / Math.max(1, expected), now)
    if (!succeeded) return
    this.#estimates.learn(task.tenant, task.service, task.runMilliseconds, run)
    this.#queue.charge(task.tenant, run - estimate, this.#quotas.weight(task.tenant), now)
  }

  #noteNotStarted (outstanding: OutstandingTask, name: string, now: number): void {
    const { item, task, target, estimate } = outstanding
    this.#retries.noteRefusal(name, { enqueuedAt: item.enqueuedAt, key: item.key })
    this.#queue.charge(task.tenant, -estimate, this.#quotas.weight(task.tenant), now)
    this.#fleet.noteRefusal(target, now)
  }

  #holdTenant (tenant: string, now: number): void {
    this.#queue.hold(tenant, true, now)
    this.#heldTenants.set(tenant, this.#quotas.nextStart(tenant, now) ?? Infinity)
  }

  #releaseTenant (tenant: string, now: number): void {
    if (!this.#heldTenants.has(tenant)) return
    if (!this.#quotas.mayStart(tenant, now)) {
      // A slot is free and the rate is what holds it back now: nothing but time releases it, and
      // when its last task has ended no event would come to look again.
      this.#heldTenants.set(tenant, this.#quotas.nextStart(tenant, now) ?? Infinity)
      return
    }
    this.#heldTenants.delete(tenant)
    this.#queue.hold(tenant, false, now)
  }

  #releaseTenants (now: number): void {
    for (const tenant of [...this.#heldTenants.values()]) {
      this.#heldTenants.delete(tenant)
      this.#queue.hold(tenant, false, now)
    }
  }

  /** Slots that this entry can count on: its part, or what it got lately when others used less. */
  #slots (usable: number, now: number): number {
    return Math.min(usable, Math.max(usable / this.#entries, this.#capacity.slots(now)))
  }

  /**
   * Refuses what fits no target, live or known before. A service whose targets have not all
   * announced themselves yet is refused with when to come back instead: nothing is proven.
   */
  #refuseUnfit (tasks: readonly SchedulableTask[]): Admission | undefined {
    const unfit = tasks.find((task, index) => !sameNeeds(task, tasks[index - 1]) && !this.#placement.couldRun(task))
    if (unfit === undefined) return undefined
    if (this.#placement.awaitsTargets(unfit.service, this.#configuration.providers)) {
      return refuse(Cause.NotReady, 'targets of the service have not announced themselves yet: come back later', retryAfter(1000))
    }
    return refuse(Cause.NeverRunnable, `no target that serves ${unfit.service} could run task ${unfit.index}: ask for less, or have the operators add one`, 0)
  }

  #admitByTime (tasks: readonly SchedulableTask[], now: number): Admission {
    const { tenant, service, deadline } = tasks[0] as SchedulableTask
    const estimates = tasks.map(task => this.#estimates.predict(tenant, service, task.runMilliseconds))
    const work = estimates.reduce((sum, estimate) => sum + estimate, 0)
    const longest = Math.max(...estimates)
    const usable = this.#placement.usableSlots(service)
    const slots = this.#slots(usable, now)
    const mean = this.#estimates.mean(tenant, service)
    const part = this.#presence.part(tenant, this.#quotas, now)
    const waitingAtAgents = Math.max(0, this.#outstanding.size - slots) * mean
    const tenantAtAgents = Math.max(0, this.#quotas.held(tenant) - slots * part) * mean
    return decideAdmission({
      remaining: deadline - now,
      work,
      longest,
      waitingWork: this.#queue.work + waitingAtAgents,
      tenantWork: this.#queue.workOf(tenant) + tenantAtAgents,
      tenantPart: part,
      slots,
      patience: orderPatience(Math.max(longest, work / Math.max(1, usable)), deadline - now),
      meanPatience: this.#queue.meanPatience,
      quotaSlots: this.#quotas.slots(tenant),
      rateWait: this.#quotas.rateWait(tenant, tasks.length, now)
    }, this.#random())
  }
}

function sameNeeds (task: SchedulableTask, other: SchedulableTask | undefined): boolean {
  return other !== undefined && task.service === other.service &&
    task.needs.accelerators === other.needs.accelerators && task.needs.memoryMegabytes === other.needs.memoryMegabytes
}
