/**
 * The queue of one entry. Tenants share it by weight (start-time fair queueing over expected run
 * time), so that the burst of one does not hold up the others. Within a tenant a job may be
 * overtaken by shorter ones that came later, but only for a multiple of its own shortest duration:
 * the key is a point in time, so nothing waits for ever. Within a job the longest task goes first.
 */
import { IndexedHeap } from './heap.ts'
import type { JobKey, TaskNeeds } from './messages.ts'
import { ORDER_FACTOR, ORDER_WITHIN_JOB } from './schedulingdefaults.ts'
import type { SchedulableTask } from './scheduling.ts'

/** A task and what was worked out about it when it was queued. */
export interface QueuedTask {
  task: SchedulableTask
  name: string
  /** Expected run time in milliseconds. */
  estimate: number
  enqueuedAt: number
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
  /** Expected run time served so far over the weight. */
  served: number
  work: number
  queues: Map<Lane, TenantQueue>
  /** A quota keeps it out of every lane. */
  held: boolean
}

/** Name of a task within this entry. */
export function taskName (job: JobKey, index: number): string {
  return `${job}#${index}`
}

/** Holds every task that waits here. */
export class TaskQueue {
  readonly #lanes = new Map<string, Lane>()
  readonly #ready = new IndexedHeap<Lane>()
  readonly #accounts = new Map<string, TenantAccount>()
  readonly #jobs = new Map<JobKey, Set<QueuedTask>>()
  readonly #delayed = new IndexedHeap<QueuedTask>()
  readonly #keys = new Map<QueuedTask, number>()
  #served = 0
  size = 0
  work = 0

  /**
   * Queues tasks of one job. `shortest` is the job's shortest possible duration in milliseconds,
   * `delay` the time before a task may go.
   */
  add (tasks: readonly SchedulableTask[], estimate: (task: SchedulableTask) => number, delay: (name: string) => number, slots: number, now: number): void {
    const queued = tasks.map(task => this.#describe(task, estimate(task), now))
    let longest = 0
    let work = 0
    for (const item of queued) {
      longest = Math.max(longest, item.estimate)
      work += item.estimate
    }
    const key = now + ORDER_FACTOR * Math.max(longest, work / Math.max(1, slots))
    for (const item of queued) {
      this.#remember(item)
      this.#keys.set(item, key - ORDER_WITHIN_JOB * item.estimate)
      const wait = delay(item.name)
      if (wait > 0) this.#delayed.set(item, now + wait)
      else this.#insert(item)
    }
  }

  /** Takes out every queued task of the job. */
  remove (job: JobKey): QueuedTask[] {
    const items = [...this.#jobs.get(job) ?? []]
    for (const item of items) this.#delete(item)
    return items
  }

  /** Takes out a task that is being dispatched, and charges its tenant. */
  take (item: QueuedTask, weight: number): void {
    this.#delete(item)
    const account = this.#account(item.task.tenant)
    this.#served = Math.max(this.#served, account.served)
    this.charge(item.task.tenant, item.estimate, weight)
  }

  /** Corrects what a tenant was charged, once the true run time is known. */
  charge (tenant: string, milliseconds: number, weight: number): void {
    const account = this.#accounts.get(tenant)
    if (account === undefined) return
    account.served += milliseconds / weight
    this.#reorder(account)
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
  hold (tenant: string, held: boolean): void {
    const account = this.#accounts.get(tenant)
    if (account === undefined || account.held === held) return
    account.held = held
    for (const [lane, queue] of account.queues) {
      if (held) lane.tenants.delete(queue)
      else lane.tenants.set(queue, account.served)
      this.#rank(lane)
    }
  }

  /** Lets in the tasks whose delay is over. */
  advance (now: number): void {
    while ((this.#delayed.peekKey() ?? Infinity) <= now) this.#insert(this.#delayed.pop() as QueuedTask)
  }

  nextChange (): number | undefined {
    return this.#delayed.peekKey()
  }

  /** Expected run time of what the tenant has queued, in milliseconds. */
  workOf (tenant: string): number {
    return this.#accounts.get(tenant)?.work ?? 0
  }

  /** Tenants that have tasks queued. */
  * waitingTenants (): IterableIterator<string> {
    for (const account of this.#accounts.values()) {
      if (account.queues.size > 0) yield account.tenant
    }
  }

  #describe (task: SchedulableTask, estimate: number, now: number): QueuedTask {
    const lane = this.#lane(task.service, task.needs)
    return { task, name: taskName(task.job, task.index), estimate, enqueuedAt: now, lane }
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

  #insert (item: QueuedTask): void {
    const { lane } = item
    const account = this.#account(item.task.tenant)
    if (account.queues.size === 0) account.served = Math.max(account.served, this.#served)
    let queue = account.queues.get(lane)
    if (queue === undefined) {
      queue = { account, tasks: new IndexedHeap() }
      account.queues.set(lane, queue)
    }
    queue.tasks.set(item, this.#keys.get(item) as number)
    if (!account.held) lane.tenants.set(queue, account.served)
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
    if (account.queues.size === 0 && account.work <= 0 && account.served <= this.#served) this.#accounts.delete(account.tenant)
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
    this.#keys.delete(item)
    this.size -= 1
    this.work -= item.estimate
    item.lane.work -= item.estimate
    account.work -= item.estimate
  }

  #reorder (account: TenantAccount): void {
    if (account.held) return
    for (const [lane, queue] of account.queues) {
      lane.tenants.set(queue, account.served)
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
      account = { tenant, served: this.#served, work: 0, queues: new Map(), held: false }
      this.#accounts.set(tenant, account)
    }
    return account
  }
}
