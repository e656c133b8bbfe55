/**
 * The scheduler of one entry. The queue selects the next task, the provider shares and the policy select
 * its target among the healthy ones, and the tenant quotas and the admission decision limit what is
 * accepted.
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
import { TenantActivity } from './presence.ts'
import { RetryBudget } from './retries.ts'
import type { Admission, Assignment, PlacedTask, SchedulableTask, Scheduler, SchedulerStatus } from './scheduling.ts'
import { EXCESS_CREDIT_FRACTION, MAX_TENANT_OVERTAKING_MILLISECONDS } from './schedulingdefaults.ts'
import type { Target } from './target.ts'
import { Fleet } from './fleet.ts'
import type { Lane, QueuedTask } from './taskqueue.ts'
import { overtakingLimit, TaskQueue, taskName } from './taskqueue.ts'

/** Settings of a scheduler. */
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

/** Selects which task is dispatched next, and to which target, at one entry. */
export class TaskScheduler implements Scheduler {
  readonly #random: () => number
  readonly #fleet: Fleet
  readonly #queue = new TaskQueue()
  readonly #quotas = new TenantQuotas()
  readonly #estimates = new RunTimeEstimates()
  readonly #retries: RetryBudget
  readonly #capacity = new CapacityMeter()
  readonly #tenantActivity = new TenantActivity()
  readonly #placement: Placement
  readonly #outstanding = new Map<string, OutstandingTask>()
  /** Tenants at their quota, keyed by the instant at which the rate allows the next start. */
  readonly #throttledTenants = new IndexedHeap<string>()
  readonly #dispatched: Record<string, Record<string, number>> = {}
  #configuration: Configuration = EMPTY_CONFIGURATION
  #entries = 1
  /** Instant of the last decision, at which the status reads the health weights. */
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
    this.#resumeTenants(now)
  }

  setEntryCount (entries: number, now: number): void {
    this.#entries = Math.max(1, entries)
    this.#quotas.setEntryCount(entries)
    this.#fleet.setEntryCount(entries, now)
    this.#resumeTenants(now)
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
    return this.#refuseUnrunnable(tasks) ?? this.#admitByDeadline(tasks, now)
  }

  enqueue (tasks: readonly SchedulableTask[], now: number): void {
    const added = tasks.filter(task => !this.#requeue(task, now))
    if (added.length > 0) this.#enqueueNew(added, now)
  }

  remove (job: JobKey): number[] {
    const items = this.#queue.remove(job)
    for (const item of items) this.#retries.remove(item.name)
    return items.map(item => item.task.index)
  }

  decide (now: number): Assignment[] {
    this.#now = now
    this.#advance(now)
    const assignments: Assignment[] = []
    const suspended: Lane[] = []
    this.#placement.beginRound()
    let lane = this.#queue.nextLane()
    while (lane !== undefined) {
      const assignment = this.#dispatchFrom(lane, now)
      if (assignment !== undefined) {
        assignments.push(assignment)
      } else if (this.#queue.nextLane() === lane) {
        this.#queue.suspend(lane)
        suspended.push(lane)
      }
      lane = this.#queue.nextLane()
    }
    for (const suspendedLane of suspended) this.#queue.resume(suspendedLane)
    return assignments
  }

  /**
   * Records the end of an outstanding task. `Unspecified` means that the entry cancelled it, which
   * is no evidence on the target.
   */
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
    this.#resumeTenant(task.tenant, now)
    if (ran) this.#capacity.note(runMilliseconds, now)
    if (ran) this.#recordRun(outstanding, outcome, runMilliseconds, now)
    if (started) this.#retries.remove(name)
    else this.#recordNotStarted(outstanding, name, now)
    this.#fleet.refresh(target, now)
    this.#fleet.dropIfUnused(target)
  }

  nextDecision (_now: number): number | undefined {
    const next = Math.min(
      this.#fleet.nextChange() ?? Infinity,
      this.#queue.nextChange() ?? Infinity,
      this.#throttledTenants.peekKey() ?? Infinity,
      this.#placement.nextShareWaitEnd
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

  /** Queues a refused task at its original position; returns false for a task that was never refused. */
  #requeue (task: SchedulableTask, now: number): boolean {
    const name = taskName(task.job, task.index)
    const position = this.#retries.position(name)
    if (position === undefined) return false
    const estimate = this.#estimates.predict(task.tenant, task.service, task.runMilliseconds)
    this.#queue.requeue(task, estimate, position, this.#retries.delay(name), now)
    return true
  }

  #enqueueNew (tasks: readonly SchedulableTask[], now: number): void {
    this.#tenantActivity.note((tasks[0] as SchedulableTask).tenant, now)
    const { tenant } = tasks[0] as SchedulableTask
    const fairShare = this.#tenantActivity.part(tenant, this.#quotas, now)
    const slots = this.#placement.expectedSlots()
    this.#queue.add(tasks, {
      estimate: task => this.#estimates.predict(task.tenant, task.service, task.runMilliseconds),
      slots,
      fairShareSlots: fairShare === 1 ? Infinity : Math.max(1, fairShare * slots / this.#entries)
    }, now)
  }

  #advance (now: number): void {
    this.#fleet.advance(now)
    this.#queue.advance(now)
    while ((this.#throttledTenants.peekKey() ?? Infinity) <= now) this.#queue.hold(this.#throttledTenants.pop() as string, false, now)
  }

  /** Dispatches the first task of the lane; returns undefined when no target can take it now. */
  #dispatchFrom (lane: Lane, now: number): Assignment | undefined {
    const item = this.#queue.head(lane)
    if (item === undefined) return undefined
    const { tenant } = item.task
    if (!this.#quotas.mayStart(tenant, now)) {
      this.#throttleTenant(tenant, now)
      return undefined
    }
    const creditFraction = this.#queue.excess(tenant, now) > 0 ? EXCESS_CREDIT_FRACTION : 1
    const target = this.#placement.place(item, creditFraction, now)
    return target === undefined ? undefined : this.#dispatch(item, target, now)
  }

  #dispatch (item: QueuedTask, target: Target, now: number): Assignment {
    const { task, estimate, name } = item
    this.#queue.dequeue(item, this.#quotas.weight(task.tenant), now)
    this.#quotas.start(task.tenant, now)
    this.#retries.recordDispatch()
    this.#outstanding.set(name, { item, task, target, estimate })
    target.noteDispatch(task.needs, estimate, now)
    this.#fleet.refresh(target, now)
    const byProvider = this.#dispatched[task.service] ??= {}
    const { provider } = target.description
    byProvider[provider] = (byProvider[provider] ?? 0) + 1
    const patienceMilliseconds = this.#agentWaitLimit(item, now)
    return { job: task.job, index: task.index, agent: target.agent, patienceMilliseconds }
  }

  /**
   * How long later tasks may overtake this one in its agent's queue, in milliseconds. While other tenants
   * are active, the order by age and by length is bounded, and the excess of a tenant over its fair share
   * is added. A burst fills the agents' queues, and the next task of another tenant is still placed ahead
   * of it.
   */
  #agentWaitLimit (item: QueuedTask, now: number): number {
    const { tenant } = item.task
    const patience = item.key - now
    const fairShare = this.#tenantActivity.part(tenant, this.#quotas, now)
    if (fairShare === 1) return patience
    return Math.max(-MAX_TENANT_OVERTAKING_MILLISECONDS, Math.min(MAX_TENANT_OVERTAKING_MILLISECONDS, patience)) + this.#queue.excess(tenant, now)
  }

  #recordRun (outstanding: OutstandingTask, outcome: TaskOutcome, run: number, now: number): void {
    const { task, target, estimate } = outstanding
    const succeeded = outcome === TaskOutcome.Succeeded
    const expected = this.#estimates.predict(task.tenant, task.service, task.runMilliseconds)
    this.#fleet.recordOutcome(target, !succeeded, Math.max(1, run) / Math.max(1, expected), now)
    if (!succeeded) return
    this.#estimates.learn(task.tenant, task.service, task.runMilliseconds, run)
    this.#queue.charge(task.tenant, run - estimate, this.#quotas.weight(task.tenant), now)
  }

  #recordNotStarted (outstanding: OutstandingTask, name: string, now: number): void {
    const { item, task, target, estimate } = outstanding
    this.#retries.recordRefusal(name, { enqueuedAt: item.enqueuedAt, key: item.key })
    this.#queue.charge(task.tenant, -estimate, this.#quotas.weight(task.tenant), now)
    this.#fleet.recordRefusal(target, now)
  }

  #throttleTenant (tenant: string, now: number): void {
    this.#queue.hold(tenant, true, now)
    this.#throttledTenants.set(tenant, this.#quotas.nextStart(tenant, now) ?? Infinity)
  }

  #resumeTenant (tenant: string, now: number): void {
    if (!this.#throttledTenants.has(tenant)) return
    if (!this.#quotas.mayStart(tenant, now)) {
      // A slot is free and only the rate limit remains. Once the tenant's last task has ended, no event
      // triggers another check, so the check is scheduled by time.
      this.#throttledTenants.set(tenant, this.#quotas.nextStart(tenant, now) ?? Infinity)
      return
    }
    this.#throttledTenants.delete(tenant)
    this.#queue.hold(tenant, false, now)
  }

  #resumeTenants (now: number): void {
    for (const tenant of [...this.#throttledTenants.values()]) {
      this.#throttledTenants.delete(tenant)
      this.#queue.hold(tenant, false, now)
    }
  }

  /**
   * Slots that this entry can expect: an equal fraction of the usable ones, or what it used recently if
   * that is more.
   */
  #slots (usable: number, now: number): number {
    return Math.min(usable, Math.max(usable / this.#entries, this.#capacity.slots(now)))
  }

  /**
   * Refuses a job with a task that fits no target, whether connected or seen before. While a service has
   * fewer targets than expected, the refusal is temporary and carries a retry time, because a missing
   * target may fit.
   */
  #refuseUnrunnable (tasks: readonly SchedulableTask[]): Admission | undefined {
    const unrunnable = tasks.find((task, index) => !sameNeeds(task, tasks[index - 1]) && !this.#placement.couldRun(task))
    if (unrunnable === undefined) return undefined
    if (this.#placement.lacksExpectedTargets(unrunnable.service, this.#configuration.providers)) {
      return refuse(Cause.NotReady, 'targets of the service have not announced themselves yet: come back later', retryAfter(1000))
    }
    return refuse(Cause.NeverRunnable, `no target that serves ${unrunnable.service} could run task ${unrunnable.index}: ask for less, or have the operators add one`, 0)
  }

  #admitByDeadline (tasks: readonly SchedulableTask[], now: number): Admission {
    const { tenant, service, deadline } = tasks[0] as SchedulableTask
    const estimates = tasks.map(task => this.#estimates.predict(tenant, service, task.runMilliseconds))
    const work = estimates.reduce((sum, estimate) => sum + estimate, 0)
    const longest = Math.max(...estimates)
    const usable = this.#placement.expectedSlots(service)
    const slots = this.#slots(usable, now)
    const mean = this.#estimates.mean(tenant, service)
    const fairShare = this.#tenantActivity.part(tenant, this.#quotas, now)
    const waitingAtAgents = Math.max(0, this.#outstanding.size - slots) * mean
    const tenantAtAgents = Math.max(0, this.#quotas.held(tenant) - slots * fairShare) * mean
    return decideAdmission({
      remaining: deadline - now,
      work,
      longest,
      waitingWork: this.#queue.work + waitingAtAgents,
      tenantWork: this.#queue.workOf(tenant) + tenantAtAgents,
      tenantPart: fairShare,
      slots,
      patience: overtakingLimit(Math.max(longest, work / Math.max(1, usable)), deadline - now),
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
