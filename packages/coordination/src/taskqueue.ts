/**
 * The queue of one entry. Tenants share it by weight (start-time fair queueing over expected run time), so
 * the burst of one does not delay the others; a tenant far above its fair share is served after all that
 * are not. Within a tenant, shorter jobs that arrive later may overtake a job, but only for a multiple of
 * its own shortest duration. The order key is an instant, so no job can starve. Within a job the longest
 * task goes first.
 */
import { IndexedHeap } from './heap.ts'
import type { JobKey, TaskNeeds } from './messages.ts'
import { ESTIMATE_SMOOTHING, EXCESS_ALLOWANCE_MILLISECONDS, MAX_EXCESS_MILLISECONDS, OVERTAKING_FACTOR, OVERTAKING_SLACK, WITHIN_JOB_WEIGHT } from './schedulingdefaults.ts'
import type { QueuePosition } from './retries.ts'
import type { SchedulableTask } from './scheduling.ts'

/** Weight of one excess step in the tenant order; larger than any sum of run times charged to a tenant. */
const EXCESS_STEP_WEIGHT = 1e13

/** Excesses of tenants are compared in steps of this many milliseconds. */
const EXCESS_STEP_MILLISECONDS = 500

/** A queued task with its estimate and its position. */
export interface QueuedTask {
  task: SchedulableTask
  name: string
  /** Expected run time in milliseconds. */
  estimate: number
  enqueuedAt: number
  /** Instant that orders it among the tasks of equally ranked tenants, lowest first. */
  key: number
  lane: Lane
}

/** Queued tasks of one service with the same needs: when the first cannot be placed, none of them can. */
export class Lane {
  readonly key: string
  readonly service: string
  readonly needs: TaskNeeds
  /** Tenants with tasks in this lane, the least served first. */
  readonly tenants = new IndexedHeap<TenantQueue>()
  work = 0

  constructor (key: string, service: string, needs: TaskNeeds) {
    this.key = key
    this.service = service
    this.needs = needs
  }
}

/** Tasks of one tenant in one lane. */
interface TenantQueue {
  account: TenantAccount
  tasks: IndexedHeap<QueuedTask>
}

interface TenantAccount {
  tenant: string
  /**
   * Virtual finish time: when the tenant's fair share of the slots, used from its first task on, would have
   * completed all its work.
   */
  virtualFinish: number
  /** Expected run time dispatched so far, divided by the tenant's weight. */
  servedWork: number
  work: number
  queues: Map<Lane, TenantQueue>
  /** Whether a quota currently blocks the tenant in every lane. */
  held: boolean
}

/** Estimates and capacities used to order the tasks of a job. */
export interface EnqueueOptions {
  /** Expected run time of a task in milliseconds. */
  estimate: (task: SchedulableTask) => number
  /** Slots of the whole fleet. */
  slots: number
  /** The tenant's fair share of this entry's slots; infinite while no other tenant is active. */
  fairShareSlots: number
}

/** Unique name of a task within this entry. */
export function taskName (job: JobKey, index: number): string {
  return `${job}#${index}`
}

function excessOf (account: TenantAccount, now: number): number {
  return Math.max(0, account.virtualFinish - now - EXCESS_ALLOWANCE_MILLISECONDS)
}

/** Sort key of a tenant: smallest excess over the fair share first, then least served. */
function tenantKey (account: TenantAccount, now: number): number {
  return Math.ceil(excessOf(account, now) / EXCESS_STEP_MILLISECONDS) * EXCESS_STEP_WEIGHT + account.servedWork
}

/**
 * How long later jobs may overtake a job, in milliseconds: a multiple of its shortest possible duration,
 * limited so that it can still finish in the time left.
 */
export function overtakingLimit (shortest: number, remaining: number): number {
  return Math.min(OVERTAKING_FACTOR * shortest, Math.max(0, remaining - OVERTAKING_SLACK * shortest))
}

/** All tasks that are queued at this entry. */
export class TaskQueue {
  readonly #lanes = new Map<string, Lane>()
  readonly #ready = new IndexedHeap<Lane>()
  readonly #accounts = new Map<string, TenantAccount>()
  readonly #jobs = new Map<JobKey, Set<QueuedTask>>()
  readonly #delayed = new IndexedHeap<QueuedTask>()
  #virtualTime = 0
  size = 0
  work = 0
  #weightedLimitSum = 0
  #limitWork = 0

  /** Queues tasks of one job. All of them share one order key, apart from a tiny offset by run time. */
  add (tasks: readonly SchedulableTask[], options: EnqueueOptions, now: number): void {
    const { estimate, slots } = options
    const queued = tasks.map(task => this.#createItem(task, estimate(task), now))
    let longest = 0
    let work = 0
    for (const item of queued) {
      longest = Math.max(longest, item.estimate)
      work += item.estimate
    }
    const shortest = Math.max(longest, work / Math.max(1, slots))
    const remaining = (queued[0]?.task.deadline ?? now) - now
    const limit = overtakingLimit(shortest, remaining)
    this.#recordOvertakingLimit(limit, work)
    if (queued[0] !== undefined) this.#extendVirtualFinish(queued[0].task.tenant, work, options.fairShareSlots, now)
    for (const item of queued) {
      item.key = now + limit - WITHIN_JOB_WEIGHT * item.estimate
      this.#track(item)
      this.#insert(item, now)
    }
  }

  /**
   * Returns a task that was not started to the queue, at its original position. `wait` is the delay in milliseconds
   * before it may be dispatched.
   */
  requeue (task: SchedulableTask, estimate: number, position: QueuePosition, wait: number, now: number): void {
    const item = { ...this.#createItem(task, estimate, now), ...position }
    this.#track(item)
    if (wait > 0) this.#delayed.set(item, now + wait)
    else this.#insert(item, now)
  }

  /** Mean overtaking limit of recent work, weighted by run time, in milliseconds. */
  get meanPatience (): number {
    return this.#limitWork === 0 ? 0 : this.#weightedLimitSum / this.#limitWork
  }

  /** Removes and returns every queued task of the job. */
  remove (job: JobKey): QueuedTask[] {
    const items = [...this.#jobs.get(job) ?? []]
    for (const item of items) this.#delete(item)
    return items
  }

  /** Removes a task that is being dispatched and charges its tenant for it. */
  dequeue (item: QueuedTask, weight: number, now: number): void {
    this.#delete(item)
    const account = this.#account(item.task.tenant)
    this.#virtualTime = Math.max(this.#virtualTime, account.servedWork)
    this.charge(item.task.tenant, item.estimate, weight, now)
  }

  /**
   * How far the tenant exceeds its fair share of the slots, beyond what every tenant is allowed, in
   * milliseconds; 0 for a tenant within its fair share.
   */
  excess (tenant: string, now: number): number {
    const account = this.#accounts.get(tenant)
    return account === undefined ? 0 : excessOf(account, now)
  }

  /** Adjusts the work charged to a tenant, for instance once the true run time is known. */
  charge (tenant: string, milliseconds: number, weight: number, now: number): void {
    const account = this.#accounts.get(tenant)
    if (account === undefined) return
    account.servedWork += milliseconds / weight
    this.#updateTenantOrder(account, now)
  }

  /** The lane with the next task; undefined when none is ready. */
  nextLane (): Lane | undefined {
    return this.#ready.peek()
  }

  /** The next task of the lane. */
  head (lane: Lane): QueuedTask | undefined {
    return lane.tenants.peek()?.tasks.peek()
  }

  /** Excludes a lane from `nextLane` while none of its tasks can be placed. */
  suspend (lane: Lane): void {
    this.#ready.delete(lane)
  }

  /** Includes a suspended lane again. */
  resume (lane: Lane): void {
    this.#updateLaneOrder(lane)
  }

  /** Blocks a tenant in every lane, or unblocks it. */
  hold (tenant: string, held: boolean, now: number): void {
    const account = this.#accounts.get(tenant)
    if (account === undefined || account.held === held) return
    account.held = held
    for (const [lane, queue] of account.queues) {
      if (held) lane.tenants.delete(queue)
      else lane.tenants.set(queue, tenantKey(account, now))
      this.#updateLaneOrder(lane)
    }
  }

  /** Makes tasks ready whose delay has ended. */
  advance (now: number): void {
    while ((this.#delayed.peekKey() ?? Infinity) <= now) this.#insert(this.#delayed.pop() as QueuedTask, now)
  }

  nextChange (): number | undefined {
    return this.#delayed.peekKey()
  }

  /** Expected run time of the tenant's queued tasks, in milliseconds. */
  workOf (tenant: string): number {
    return this.#accounts.get(tenant)?.work ?? 0
  }

  #createItem (task: SchedulableTask, estimate: number, now: number): QueuedTask {
    const lane = this.#lane(task.service, task.needs)
    return { task, name: taskName(task.job, task.index), estimate, enqueuedAt: now, key: now, lane }
  }

  #track (item: QueuedTask): void {
    let items = this.#jobs.get(item.task.job)
    if (items === undefined) {
      items = new Set()
      this.#jobs.set(item.task.job, items)
    }
    items.add(item)
    this.size += 1
    this.work += item.estimate
    item.lane.work += item.estimate
    this.#account(item.task.tenant).work += item.estimate
  }

  #insert (item: QueuedTask, now: number): void {
    const { lane } = item
    const account = this.#account(item.task.tenant)
    if (account.queues.size === 0) account.servedWork = Math.max(account.servedWork, this.#virtualTime)
    let queue = account.queues.get(lane)
    if (queue === undefined) {
      queue = { account, tasks: new IndexedHeap() }
      account.queues.set(lane, queue)
    }
    queue.tasks.set(item, item.key)
    if (!account.held) lane.tenants.set(queue, tenantKey(account, now))
    this.#updateLaneOrder(lane)
  }

  #delete (item: QueuedTask): void {
    const { lane, task } = item
    const account = this.#account(task.tenant)
    this.#untrack(item, account)
    if (this.#delayed.delete(item)) return
    const queue = account.queues.get(lane)
    if (queue === undefined) return
    queue.tasks.delete(item)
    if (queue.tasks.size > 0) return
    account.queues.delete(lane)
    lane.tenants.delete(queue)
    this.#updateLaneOrder(lane)
    if (lane.tenants.size === 0) this.#dropLane(lane)
    if (account.queues.size === 0 && account.work <= 0 && account.servedWork <= this.#virtualTime && account.virtualFinish === -Infinity) this.#accounts.delete(account.tenant)
  }

  /**
   * Removes an empty lane. Needs are chosen by callers, so lanes for every value ever seen would
   * accumulate.
   */
  #dropLane (lane: Lane): void {
    for (const account of this.#accounts.values()) {
      if (account.held && account.queues.has(lane)) return
    }
    this.#lanes.delete(lane.key)
  }

  #untrack (item: QueuedTask, account: TenantAccount): void {
    const items = this.#jobs.get(item.task.job)
    items?.delete(item)
    if (items?.size === 0) this.#jobs.delete(item.task.job)
    this.size -= 1
    this.work -= item.estimate
    item.lane.work -= item.estimate
    account.work -= item.estimate
  }

  /**
   * Advances the tenant's virtual finish time, which runs ahead of the clock when work arrives faster than
   * its fair share of the slots can process it. The lead is bounded, so that a tenant that used idle slots
   * of others is not delayed for long when they return.
   */
  #extendVirtualFinish (tenant: string, work: number, fairShareSlots: number, now: number): void {
    const account = this.#account(tenant)
    const extended = Math.max(now, account.virtualFinish) + work / fairShareSlots
    account.virtualFinish = Math.min(extended, now + EXCESS_ALLOWANCE_MILLISECONDS + MAX_EXCESS_MILLISECONDS)
  }

  #recordOvertakingLimit (limit: number, work: number): void {
    this.#weightedLimitSum += work * limit - this.#weightedLimitSum * ESTIMATE_SMOOTHING
    this.#limitWork += work - this.#limitWork * ESTIMATE_SMOOTHING
  }

  #updateTenantOrder (account: TenantAccount, now: number): void {
    if (account.held) return
    for (const [lane, queue] of account.queues) {
      lane.tenants.set(queue, tenantKey(account, now))
      if (this.#ready.has(lane)) this.#updateLaneOrder(lane)
    }
  }

  #updateLaneOrder (lane: Lane): void {
    const order = lane.tenants.peekKey()
    if (order === undefined) this.#ready.delete(lane)
    else this.#ready.set(lane, order, lane.tenants.peek()?.tasks.peekKey())
  }

  #lane (service: string, needs: TaskNeeds): Lane {
    const key = `${service}/${needs.accelerators}/${needs.memoryMegabytes}`
    let lane = this.#lanes.get(key)
    if (lane === undefined) {
      lane = new Lane(key, service, needs)
      this.#lanes.set(key, lane)
    }
    return lane
  }

  #account (tenant: string): TenantAccount {
    let account = this.#accounts.get(tenant)
    if (account === undefined) {
      account = { tenant, virtualFinish: -Infinity, servedWork: this.#virtualTime, work: 0, queues: new Map(), held: false }
      this.#accounts.set(tenant, account)
    }
    return account
  }
}
