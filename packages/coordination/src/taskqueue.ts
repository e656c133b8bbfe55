/**
 * The queue of one entry. Tenants share it by weight (start-time fair queueing over expected run
 * time), so that the burst of one does not hold up the others; a tenant that is far ahead of its
 * part comes after all that are not. Within a tenant a job may be
 * overtaken by shorter ones that came later, but only for a multiple of its own shortest duration:
 * the key is a point in time, so nothing waits for ever. Within a job the longest task goes first.
 */
import { IndexedHeap } from './heap.ts'
import type { JobKey, TaskNeeds } from './messages.ts'
import { ESTIMATE_RATE, EXCESS_ALLOWED_MILLISECONDS, LONGEST_EXCESS_MILLISECONDS, ORDER_FACTOR, ORDER_SLACK, ORDER_WITHIN_JOB } from './schedulingdefaults.ts'
import type { QueuePlace } from './retries.ts'
import type { SchedulableTask } from './scheduling.ts'

/** Larger than any sum of run times that a tenant is charged. */
const BEHIND = 1e13

/** Leads of tenants are compared in steps of this many milliseconds. */
const EXCESS_STEP = 500

/** A task and what was worked out about it when it was queued. */
export interface QueuedTask {
  task: SchedulableTask
  name: string
  /** Expected run time in milliseconds. */
  estimate: number
  enqueuedAt: number
  /** Instant that orders it among the tasks of all tenants that are served alike: lowest first. */
  key: number
  lane: Lane
}

/** Tasks of one service with the same needs: where the first cannot go, none can. */
export class Lane {
  readonly key: string
  readonly service: string
  readonly needs: TaskNeeds
  /** Tenants with tasks here, the one served least first. */
  readonly tenants = new IndexedHeap<TenantQueue>()
  work = 0

  constructor (key: string, service: string, needs: TaskNeeds) {
    this.key = key
    this.service = service
    this.needs = needs
  }
}

/** What one tenant has in one lane. */
interface TenantQueue {
  account: TenantAccount
  tasks: IndexedHeap<QueuedTask>
}

interface TenantAccount {
  tenant: string
  /** Instant at which its part of the slots, used from its first task on, would be done with all that came. */
  paidUntil: number
  /** Expected run time served so far over the weight. */
  served: number
  work: number
  queues: Map<Lane, TenantQueue>
  /** A quota keeps it out of every lane. */
  held: boolean
}

/** What the queue needs to know beside the tasks. */
export interface AddOptions {
  /** Expected run time of a task in milliseconds. */
  estimate: (task: SchedulableTask) => number
  /** Slots of the whole fleet. */
  slots: number
  /** The tenant's part of this entry's slots; infinite while no other tenant is about. */
  tenantSlots: number
}

/** Name of a task within this entry. */
export function taskName (job: JobKey, index: number): string {
  return `${job}#${index}`
}

function excessOf (account: TenantAccount, now: number): number {
  return Math.max(0, account.paidUntil - now - EXCESS_ALLOWED_MILLISECONDS)
}

/** Tenants that are least ahead of their part first, those that are alike by what they were served. */
function tenantKey (account: TenantAccount, now: number): number {
  return Math.ceil(excessOf(account, now) / EXCESS_STEP) * BEHIND + account.served
}

/**
 * How long a job may be overtaken by those that come later, in milliseconds: a multiple of its
 * shortest possible duration, but never so long that it could no longer be done in the time left.
 */
export function orderPatience (shortest: number, remaining: number): number {
  return Math.min(ORDER_FACTOR * shortest, Math.max(0, remaining - ORDER_SLACK * shortest))
}

/** Holds every task that waits here. */
export class TaskQueue {
  readonly #lanes = new Map<string, Lane>()
  readonly #ready = new IndexedHeap<Lane>()
  readonly #accounts = new Map<string, TenantAccount>()
  readonly #jobs = new Map<JobKey, Set<QueuedTask>>()
  readonly #delayed = new IndexedHeap<QueuedTask>()
  #served = 0
  size = 0
  work = 0
  #patienceSum = 0
  #patienceWork = 0

  /**
   * Queues tasks of one job.
   */
  add (tasks: readonly SchedulableTask[], options: AddOptions, now: number): void {
    const { estimate, slots } = options
    const queued = tasks.map(task => this.#describe(task, estimate(task), now))
    let longest = 0
    let work = 0
    for (const item of queued) {
      longest = Math.max(longest, item.estimate)
      work += item.estimate
    }
    const shortest = Math.max(longest, work / Math.max(1, slots))
    const remaining = (queued[0]?.task.deadline ?? now) - now
    const patience = orderPatience(shortest, remaining)
    this.#notePatience(patience, work)
    if (queued[0] !== undefined) this.#pay(queued[0].task.tenant, work, options.tenantSlots, now)
    for (const item of queued) {
      item.key = now + patience - ORDER_WITHIN_JOB * item.estimate
      this.#remember(item)
      this.#insert(item, now)
    }
  }

  /** Queues a task again that was not started, at its first place. `wait` is the time before it may go. */
  addAgain (task: SchedulableTask, estimate: number, place: QueuePlace, wait: number, now: number): void {
    const item = { ...this.#describe(task, estimate, now), ...place }
    this.#remember(item)
    if (wait > 0) this.#delayed.set(item, now + wait)
    else this.#insert(item, now)
  }

  /** Mean of the patience of the work that came lately, in milliseconds. */
  get meanPatience (): number {
    return this.#patienceWork === 0 ? 0 : this.#patienceSum / this.#patienceWork
  }

  /** Takes out every queued task of the job. */
  remove (job: JobKey): QueuedTask[] {
    const items = [...this.#jobs.get(job) ?? []]
    for (const item of items) this.#delete(item)
    return items
  }

  /** Takes out a task that is being dispatched, and charges its tenant. */
  take (item: QueuedTask, weight: number, now: number): void {
    this.#delete(item)
    const account = this.#account(item.task.tenant)
    this.#served = Math.max(this.#served, account.served)
    this.charge(item.task.tenant, item.estimate, weight, now)
  }

  /**
   * By how much the tenant is ahead of its part of the slots, beyond what every tenant is allowed,
   * in milliseconds; 0 for a tenant that keeps within its part.
   */
  excess (tenant: string, now: number): number {
    const account = this.#accounts.get(tenant)
    return account === undefined ? 0 : excessOf(account, now)
  }

  /** Corrects what a tenant was charged, once the true run time is known. */
  charge (tenant: string, milliseconds: number, weight: number, now: number): void {
    const account = this.#accounts.get(tenant)
    if (account === undefined) return
    account.served += milliseconds / weight
    this.#reorder(account, now)
  }

  /** The lane to be served next; undefined when nothing is ready. */
  nextLane (): Lane | undefined {
    return this.#ready.peek()
  }

  /** The task to be served next in the lane. */
  head (lane: Lane): QueuedTask | undefined {
    return lane.tenants.peek()?.tasks.peek()
  }

  /** Sets a lane aside while nothing of it can go. */
  setAside (lane: Lane): void {
    this.#ready.delete(lane)
  }

  /** Puts a lane back that was set aside. */
  putBack (lane: Lane): void {
    this.#rank(lane)
  }

  /** Keeps a tenant out of every lane, or lets it in again. */
  hold (tenant: string, held: boolean, now: number): void {
    const account = this.#accounts.get(tenant)
    if (account === undefined || account.held === held) return
    account.held = held
    for (const [lane, queue] of account.queues) {
      if (held) lane.tenants.delete(queue)
      else lane.tenants.set(queue, tenantKey(account, now))
      this.#rank(lane)
    }
  }

  /** Lets in the tasks whose delay is over. */
  advance (now: number): void {
    while ((this.#delayed.peekKey() ?? Infinity) <= now) this.#insert(this.#delayed.pop() as QueuedTask, now)
  }

  nextChange (): number | undefined {
    return this.#delayed.peekKey()
  }

  /** Expected run time of what the tenant has queued, in milliseconds. */
  workOf (tenant: string): number {
    return this.#accounts.get(tenant)?.work ?? 0
  }

  #describe (task: SchedulableTask, estimate: number, now: number): QueuedTask {
    const lane = this.#lane(task.service, task.needs)
    return { task, name: taskName(task.job, task.index), estimate, enqueuedAt: now, key: now, lane }
  }

  #remember (item: QueuedTask): void {
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
    if (account.queues.size === 0) account.served = Math.max(account.served, this.#served)
    let queue = account.queues.get(lane)
    if (queue === undefined) {
      queue = { account, tasks: new IndexedHeap() }
      account.queues.set(lane, queue)
    }
    queue.tasks.set(item, item.key)
    if (!account.held) lane.tenants.set(queue, tenantKey(account, now))
    this.#rank(lane)
  }

  #delete (item: QueuedTask): void {
    const { lane, task } = item
    const account = this.#account(task.tenant)
    this.#forget(item, account)
    if (this.#delayed.delete(item)) return
    const queue = account.queues.get(lane)
    if (queue === undefined) return
    queue.tasks.delete(item)
    if (queue.tasks.size > 0) return
    account.queues.delete(lane)
    lane.tenants.delete(queue)
    this.#rank(lane)
    if (lane.tenants.size === 0) this.#dropLane(lane)
    if (account.queues.size === 0 && account.work <= 0 && account.served <= this.#served && account.paidUntil === -Infinity) this.#accounts.delete(account.tenant)
  }

  /** Needs come from callers: a lane for every value ever seen would pile up. */
  #dropLane (lane: Lane): void {
    for (const account of this.#accounts.values()) {
      if (account.held && account.queues.has(lane)) return
    }
    this.#lanes.delete(lane.key)
  }

  #forget (item: QueuedTask, account: TenantAccount): void {
    const items = this.#jobs.get(item.task.job)
    items?.delete(item)
    if (items?.size === 0) this.#jobs.delete(item.task.job)
    this.size -= 1
    this.work -= item.estimate
    item.lane.work -= item.estimate
    account.work -= item.estimate
  }

  /**
   * A virtual clock: what comes faster than the tenant's part of the slots can do moves it ahead of
   * the true time. The lead is bounded, so that a tenant that used what others left idle is not
   * made to wait for long when they return.
   */
  #pay (tenant: string, work: number, tenantSlots: number, now: number): void {
    const account = this.#account(tenant)
    const paid = Math.max(now, account.paidUntil) + work / tenantSlots
    account.paidUntil = Math.min(paid, now + EXCESS_ALLOWED_MILLISECONDS + LONGEST_EXCESS_MILLISECONDS)
  }

  #notePatience (patience: number, work: number): void {
    this.#patienceSum += work * patience - this.#patienceSum * ESTIMATE_RATE
    this.#patienceWork += work - this.#patienceWork * ESTIMATE_RATE
  }

  #reorder (account: TenantAccount, now: number): void {
    if (account.held) return
    for (const [lane, queue] of account.queues) {
      lane.tenants.set(queue, tenantKey(account, now))
      if (this.#ready.has(lane)) this.#rank(lane)
    }
  }

  #rank (lane: Lane): void {
    const served = lane.tenants.peekKey()
    if (served === undefined) this.#ready.delete(lane)
    else this.#ready.set(lane, served, lane.tenants.peek()?.tasks.peekKey())
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
      account = { tenant, paidUntil: -Infinity, served: this.#served, work: 0, queues: new Map(), held: false }
      this.#accounts.set(tenant, account)
    }
    return account
  }
}
