/**
 * The scheduler of one entry. It puts the parts together: the queue says whose task is next, the
 * shares say which provider receives it, health and the policy say which target, and the quotas
 * and the admission keep the rest out.
 */
import { decideAdmission, refuse, retryAfter } from './admission.ts'
import type { Configuration } from './configuration.ts'
import { EMPTY_CONFIGURATION } from './configuration.ts'
import { RunTimeEstimates } from './estimates.ts'
import { IndexedHeap } from './heap.ts'
import { Cause, TaskOutcome } from './messages.ts'
import type { Instance, JobKey, TargetDescription, TargetReport, TaskNeeds } from './messages.ts'
import { policies, PolicyName } from './policies.ts'
import { TenantQuotas } from './quotas.ts'
import { RetryBudget } from './retries.ts'
import type { Admission, Assignment, SchedulableTask, Scheduler, SchedulerStatus } from './scheduling.ts'
import { FULL_MILLISECONDS, SHARE_PATIENCE_MILLISECONDS, SHARE_PATIENCE_PART } from './schedulingdefaults.ts'
import { ShareSequence } from './shares.ts'
import type { Pool, Target } from './targets.ts'
import { Fleet } from './targets.ts'
import type { Lane, QueuedTask } from './taskqueue.ts'
import { TaskQueue, taskName } from './taskqueue.ts'

/** How a scheduler is made. */
export interface TaskSchedulerOptions {
  /** Random numbers in [0, 1). */
  random: () => number
  /** @default PolicyName.EvenSpread */
  policy?: PolicyName
}

interface OutstandingTask {
  task: SchedulableTask
  target: Target
  estimate: number
}

interface Route {
  generation: number
  /** Pools that could run the tasks, by provider. */
  pools: Map<string, Pool[]>
}

/** Decides who runs next, where, at one entry. */
export class TaskScheduler implements Scheduler {
  readonly #random: () => number
  readonly #fleet: Fleet
  readonly #queue = new TaskQueue()
  readonly #quotas = new TenantQuotas()
  readonly #estimates = new RunTimeEstimates()
  readonly #retries: RetryBudget
  readonly #policy
  readonly #shares = new Map<string, ShareSequence>()
  readonly #routes = new WeakMap<Lane, Route>()
  readonly #outstanding = new Map<string, OutstandingTask>()
  /** Tenants that their quotas hold back, by when the rate lets them go on. */
  readonly #heldTenants = new IndexedHeap<string>()
  readonly #dispatched: Record<string, Record<string, number>> = {}
  #configuration: Configuration = EMPTY_CONFIGURATION
  #entries = 1
  #patienceEnds = Infinity

  constructor (options: TaskSchedulerOptions) {
    this.#random = options.random
    this.#policy = policies[options.policy ?? PolicyName.EvenSpread]
    this.#fleet = new Fleet(this.#policy, options.random)
    this.#retries = new RetryBudget(options.random)
  }

  configure (configuration: Configuration, now: number): void {
    const before = this.#configuration
    this.#configuration = configuration
    this.#quotas.configure(configuration.tenants)
    for (const [service, { shares }] of Object.entries(configuration.services)) {
      if (JSON.stringify(before.services[service]?.shares) === JSON.stringify(shares)) continue
      this.#shares.set(service, new ShareSequence(shares, this.#random()))
    }
    for (const service of this.#shares.keys()) {
      if (configuration.services[service] === undefined) this.#shares.delete(service)
    }
    this.#fleet.configure(configuration.draining, now)
    this.#releaseTenants()
  }

  setEntryCount (entries: number, now: number): void {
    this.#entries = Math.max(1, entries)
    this.#quotas.setEntryCount(entries)
    this.#fleet.setEntryCount(entries, now)
    this.#releaseTenants()
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
    this.#queue.add(
      tasks,
      task => this.#estimates.predict(task.tenant, task.service, task.runMilliseconds),
      name => this.#retries.delay(name),
      this.#slots(),
      now
    )
  }

  remove (job: JobKey): number[] {
    const items = this.#queue.remove(job)
    for (const item of items) this.#retries.forget(item.name)
    return items.map(item => item.task.index)
  }

  decide (now: number): Assignment[] {
    this.#advance(now)
    const assignments: Assignment[] = []
    const aside: Lane[] = []
    this.#patienceEnds = Infinity
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

  settled (assignment: Assignment, outcome: TaskOutcome, runMilliseconds: number, now: number): void {
    const name = taskName(assignment.job, assignment.index)
    const outstanding = this.#outstanding.get(name)
    if (outstanding === undefined || outstanding.target.agent !== assignment.agent) return
    this.#outstanding.delete(name)
    const { task, target } = outstanding
    const started = outcome !== TaskOutcome.NotStarted
    target.noteSettled(task.needs, now)
    this.#quotas.end(task.tenant, started, now)
    this.#releaseTenant(task.tenant, now)
    if (started) this.#learn(outstanding, outcome, runMilliseconds, now)
    else this.#noteNotStarted(outstanding, name, now)
    this.#fleet.refresh(target, now)
    this.#fleet.forget(target)
  }

  nextDecision (_now: number): number | undefined {
    const next = Math.min(
      this.#fleet.nextChange() ?? Infinity,
      this.#queue.nextChange() ?? Infinity,
      this.#heldTenants.peekKey() ?? Infinity,
      this.#patienceEnds
    )
    return next === Infinity || this.#queue.size === 0 ? undefined : next
  }

  status (): SchedulerStatus {
    const health: Record<string, number> = {}
    for (const target of this.#fleet.targets()) {
      if (target.up) health[target.description.target] = target.health.weight()
    }
    return { queued: this.#queue.size, outstanding: this.#outstanding.size, dispatched: this.#dispatched, health }
  }

  #advance (now: number): void {
    this.#fleet.advance(now)
    this.#queue.advance(now)
    while ((this.#heldTenants.peekKey() ?? Infinity) <= now) this.#queue.hold(this.#heldTenants.pop() as string, false)
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
    const target = this.#place(item, now)
    return target === undefined ? undefined : this.#dispatch(item, target, now)
  }

  #dispatch (item: QueuedTask, target: Target, now: number): Assignment {
    const { task, estimate, name } = item
    this.#queue.take(item, this.#quotas.weight(task.tenant))
    this.#quotas.start(task.tenant, now)
    this.#retries.noteDispatch()
    this.#outstanding.set(name, { task, target, estimate })
    target.noteDispatch(task.needs, estimate, now)
    this.#fleet.refresh(target, now)
    const byProvider = this.#dispatched[task.service] ??= {}
    const { provider } = target.description
    byProvider[provider] = (byProvider[provider] ?? 0) + 1
    return { job: task.job, index: task.index, agent: target.agent }
  }

  /** The target for the task: the provider whose turn it is first, another when patience is over. */
  #place (item: QueuedTask, now: number): Target | undefined {
    const { lane } = item
    const shares = this.#shares.get(lane.service)
    if (shares === undefined) return undefined
    const { pools } = this.#route(lane)
    const present = shares.providers().filter(provider => pools.get(provider)?.some(pool => pool.usable > 0) === true)
    let candidates = present
    const patience = this.#patience(item)
    while (candidates.length > 0) {
      const provider = shares.next(candidates, present) as string
      const target = this.#choose(pools.get(provider) as Pool[], lane.needs)
      if (target !== undefined) {
        shares.take(provider, present)
        return target
      }
      if (now < patience) {
        if (candidates.length > 1) this.#patienceEnds = Math.min(this.#patienceEnds, patience)
        return undefined
      }
      candidates = candidates.filter(other => other !== provider)
    }
    return undefined
  }

  /** Until when the task waits for the provider whose turn it is. */
  #patience (item: QueuedTask): number {
    const part = (item.task.deadline - item.enqueuedAt) * SHARE_PATIENCE_PART
    return item.enqueuedAt + Math.min(SHARE_PATIENCE_MILLISECONDS, part)
  }

  #choose (pools: readonly Pool[], needs: TaskNeeds): Target | undefined {
    let best: Target | undefined
    let lowest = Infinity
    for (const pool of pools) {
      const rank = pool.available.peekKey()
      if (rank === undefined || rank >= lowest) continue
      const target = pool.choose(needs, this.#policy, this.#random)
      if (target === undefined) continue
      best = target
      lowest = rank
    }
    return best
  }

  #route (lane: Lane): Route {
    const known = this.#routes.get(lane)
    if (known?.generation === this.#fleet.generation) return known
    const pools = this.#poolsFor(lane.service, lane.needs)
    const route = { generation: this.#fleet.generation, pools }
    this.#routes.set(lane, route)
    return route
  }

  #poolsFor (service: string, needs: TaskNeeds): Map<string, Pool[]> {
    const pools = new Map<string, Pool[]>()
    for (const pool of this.#fleet.pools()) {
      if (!pool.couldRun(service, needs)) continue
      const same = pools.get(pool.provider)
      if (same === undefined) pools.set(pool.provider, [pool])
      else same.push(pool)
    }
    return pools
  }

  #learn (outstanding: OutstandingTask, outcome: TaskOutcome, run: number, now: number): void {
    const { task, target, estimate } = outstanding
    const succeeded = outcome === TaskOutcome.Succeeded
    const expected = this.#estimates.predict(task.tenant, task.service, task.runMilliseconds)
    this.#fleet.noteOutcome(target, !succeeded, Math.max(1, run) / Math.max(1, expected), now)
    if (!succeeded) return
    this.#estimates.learn(task.tenant, task.service, task.runMilliseconds, run)
    this.#queue.charge(task.tenant, run - estimate, this.#quotas.weight(task.tenant))
  }

  #noteNotStarted (outstanding: OutstandingTask, name: string, now: number): void {
    const { task, target, estimate } = outstanding
    this.#retries.noteRefusal(name)
    this.#queue.charge(task.tenant, -estimate, this.#quotas.weight(task.tenant))
    target.fullUntil = now + FULL_MILLISECONDS
  }

  #holdTenant (tenant: string, now: number): void {
    this.#queue.hold(tenant, true)
    this.#heldTenants.set(tenant, this.#quotas.nextStart(tenant, now) ?? Infinity)
  }

  #releaseTenant (tenant: string, now: number): void {
    if (!this.#heldTenants.has(tenant) || !this.#quotas.mayStart(tenant, now)) return
    this.#heldTenants.delete(tenant)
    this.#queue.hold(tenant, false)
  }

  #releaseTenants (): void {
    for (const tenant of [...this.#heldTenants.values()]) {
      this.#heldTenants.delete(tenant)
      this.#queue.hold(tenant, false)
    }
  }

  /** Slots that this entry can count on: its part, or what it holds now when others use less. */
  #slots (pools: Iterable<Pool> = this.#fleet.pools()): number {
    let usable = 0
    for (const pool of pools) usable += pool.usableSlots
    return Math.min(usable, Math.max(usable / this.#entries, this.#outstanding.size))
  }

  /**
   * Refuses what fits no target, live or known before. A service whose targets have not all
   * announced themselves yet is refused with when to come back instead: nothing is proven.
   */
  #refuseUnfit (tasks: readonly SchedulableTask[]): Admission | undefined {
    for (const task of tasks) {
      const shares = this.#shares.get(task.service)?.providers() ?? []
      const pools = this.#poolsFor(task.service, task.needs)
      if (shares.some(provider => pools.has(provider))) continue
      if (this.#awaitsTargets(shares)) {
        return refuse(Cause.NotReady, 'targets of the service have not announced themselves yet: come back later', retryAfter(1000))
      }
      return refuse(Cause.NeverRunnable, `no target that serves ${task.service} could run task ${task.index}: ask for less, or have the operators add one`, 0)
    }
    return undefined
  }

  #awaitsTargets (providers: readonly string[]): boolean {
    for (const provider of providers) {
      let usable = 0
      for (const pool of this.#fleet.pools()) {
        if (pool.provider === provider) usable += pool.usable
      }
      if (usable < (this.#configuration.providers[provider]?.expectedTargets ?? 0)) return true
    }
    return false
  }

  #admitByTime (tasks: readonly SchedulableTask[], now: number): Admission {
    const { tenant, service, deadline } = tasks[0] as SchedulableTask
    let work = 0
    let longest = 0
    for (const task of tasks) {
      const estimate = this.#estimates.predict(tenant, service, task.runMilliseconds)
      work += estimate
      longest = Math.max(longest, estimate)
    }
    const pools = [...this.#poolsFor(service, { accelerators: 0, memoryMegabytes: 0 }).entries()]
    const shares = this.#shares.get(service)?.providers() ?? []
    const slots = this.#slots(pools.filter(([provider]) => shares.includes(provider)).flatMap(([, same]) => same))
    return decideAdmission({
      remaining: deadline - now,
      work,
      longest,
      queuedWork: this.#queue.work,
      tenantWork: this.#queue.workOf(tenant),
      tenantPart: this.#tenantPart(tenant),
      slots,
      quotaSlots: this.#quotas.slots(tenant),
      rateWait: this.#quotas.rateWait(tenant, tasks.length, now)
    }, this.#random())
  }

  #tenantPart (tenant: string): number {
    const own = this.#quotas.weight(tenant)
    let sum = own
    for (const other of this.#queue.waitingTenants()) {
      if (other !== tenant) sum += this.#quotas.weight(other)
    }
    return own / sum
  }
}
