/**
 * The slots of one target, managed by its agent: which task may start, which waits in the local queue, and
 * how many unfinished tasks each entry may have here.
 *
 * The queue is ordered by the position that each entry assigned to its tasks, so all entries share one
 * order at each target without exchanging messages: a short job that arrives late at one entry goes before
 * a long one that another entry sent earlier. Credits overlap on purpose: an entry may use what the others
 * have not used recently, so that one large job can use all slots while the rest of the fleet is idle. A
 * task that finds the queue full is refused as not started.
 */
import type { Instance, TaskNeeds } from './messages.ts'
import { CREDIT_PER_SLOT, DEMAND_SMOOTHING, REPORT_HYSTERESIS, REPORTS_PER_OFFER, MAX_SAVED_REPORTS } from './schedulingdefaults.ts'

/** The properties of a task that decide when it may start. */
export interface SlotTask {
  /** Number of the task, unique at its agent. */
  id: number
  entry: Instance
  needs: TaskNeeds
  /** Declared run time in milliseconds; 0 when none. */
  runMilliseconds: number
  /**
   * How long later tasks may overtake this one, in milliseconds from now; negative when it has already
   * waited longer than that.
   * @default 0
   */
  patienceMilliseconds?: number
}

/** Capacity of the target and of its queue. */
export interface SlotsOptions {
  slots: number
  accelerators: number
  memoryMegabytes: number
  /** Tasks that may wait here at one time. */
  queueLimit: number
}

/** Load as reported to one entry. */
export interface SlotsLoad {
  running: number
  queued: number
  credit: number
}

interface WaitingTask {
  task: SlotTask
  /** Instant that orders the queue, lowest first. */
  key: number
}

interface EntryAccount {
  running: number
  /** Tasks of the entry that wait here. */
  waiting: number
  /** Moving average of its unfinished tasks here. */
  demand: number
  /** Credit reported to the entry last; undefined before the first report. */
  reported: number | undefined
}

/**
 * Whether a task may bypass the queue when a slot is free. Tasks that wait beside a free slot wait for
 * accelerators or memory, and a task that needs neither takes nothing from them. A task that does need them
 * is queued, because otherwise a large task could starve behind small ones.
 */
function hasNoNeeds (needs: TaskNeeds): boolean {
  return needs.accelerators === 0 && needs.memoryMegabytes === 0
}

/** Assigns the slots of one target. */
export class Slots {
  readonly #options: SlotsOptions
  readonly #accounts = new Map<Instance, EntryAccount>()
  readonly #running = new Map<number, SlotTask>()
  readonly #waiting = new Map<number, WaitingTask>()
  #entries: readonly Instance[] = []
  #acceleratorsUsed = 0
  #memoryUsed = 0
  #reportsLeft = MAX_SAVED_REPORTS

  constructor (options: SlotsOptions) {
    this.#options = options
  }

  /** Sets the entries of the current view, which share the credits. */
  setEntries (entries: readonly Instance[]): void {
    this.#entries = [...entries]
    for (const [entry, account] of this.#accounts) {
      if (entries.includes(entry)) continue
      account.demand = 0
      if (account.running + account.waiting === 0) this.#accounts.delete(entry)
    }
  }

  /**
   * Offers a task: `start` means that it runs now, `queue` that it waits, and `full` that it must be
   * refused as not started. `now` is a reading of the agent's clock in milliseconds.
   */
  offer (task: SlotTask, now = 0): 'start' | 'queue' | 'full' {
    this.#recordOffer(task.entry)
    if (this.#fits(task) && (this.#waiting.size === 0 || hasNoNeeds(task.needs))) {
      this.#start(task)
      return 'start'
    }
    if (this.#waiting.size >= this.#options.queueLimit && this.#held(task.entry) >= this.#minimumCredit()) return 'full'
    this.#waiting.set(task.id, { task, key: now + (task.patienceMilliseconds ?? 0) })
    this.#account(task.entry).waiting += 1
    return 'queue'
  }

  /** Frees the slot of a task that has ended. Returns the ids of the waiting tasks that may start now. */
  release (id: number): number[] {
    const task = this.#running.get(id)
    if (task === undefined) return []
    this.#running.delete(id)
    this.#account(task.entry).running -= 1
    this.#acceleratorsUsed -= task.needs.accelerators
    this.#memoryUsed -= task.needs.memoryMegabytes
    return this.#startWaiting()
  }

  /** Removes a waiting task; returns false when it does not wait here. */
  cancelWaiting (id: number): boolean {
    const waiting = this.#waiting.get(id)
    if (waiting === undefined) return false
    this.#waiting.delete(id)
    this.#account(waiting.task.entry).waiting -= 1
    return true
  }

  load (entry: Instance): SlotsLoad {
    const account = this.#account(entry)
    account.reported ??= this.#creditOf(entry)
    return { running: this.#running.size, queued: this.#waiting.size, credit: this.#creditOf(entry) }
  }

  /**
   * Returns the entries whose credit has changed enough since their last report to justify a message. The
   * number of reports is bounded by the number of tasks offered, so reports stay a small fraction of the
   * messages at any load.
   */
  entriesToReport (): Instance[] {
    const changed: Instance[] = []
    const threshold = Math.max(1, this.#options.slots * REPORT_HYSTERESIS)
    for (const entry of this.#entries) {
      if (this.#reportsLeft < 1) return changed
      const account = this.#account(entry)
      const credit = this.#creditOf(entry)
      if (account.reported !== undefined && Math.abs(credit - account.reported) < threshold) continue
      account.reported = credit
      this.#reportsLeft -= 1
      changed.push(entry)
    }
    return changed
  }

  #startWaiting (): number[] {
    const started: number[] = []
    while (this.#running.size < this.#options.slots) {
      const task = this.#nextWaiting()
      if (task === undefined) return started
      this.cancelWaiting(task.id)
      this.#start(task)
      started.push(task.id)
    }
    return started
  }

  /** The first waiting task in order that fits; the oldest among those with the same position. */
  #nextWaiting (): SlotTask | undefined {
    let best: WaitingTask | undefined
    for (const waiting of this.#waiting.values()) {
      if (best !== undefined && waiting.key >= best.key) continue
      if (this.#fits(waiting.task)) best = waiting
    }
    return best?.task
  }

  #start (task: SlotTask): void {
    this.#running.set(task.id, task)
    this.#account(task.entry).running += 1
    this.#acceleratorsUsed += task.needs.accelerators
    this.#memoryUsed += task.needs.memoryMegabytes
  }

  #fits (task: SlotTask): boolean {
    const { slots, accelerators, memoryMegabytes } = this.#options
    if (this.#running.size >= slots) return false
    if (task.needs.accelerators > 0 && this.#acceleratorsUsed + task.needs.accelerators > accelerators) return false
    return task.needs.memoryMegabytes === 0 || this.#memoryUsed + task.needs.memoryMegabytes <= memoryMegabytes
  }

  /**
   * Slots and queue places that the other entries have not used recently, but never less than an equal
   * fraction.
   */
  #creditOf (entry: Instance): number {
    const { slots, queueLimit } = this.#options
    let others = 0
    for (const [other, account] of this.#accounts) {
      if (other !== entry) others += account.demand
    }
    const unused = Math.floor(slots + queueLimit - others)
    return Math.max(this.#minimumCredit(), Math.min(CREDIT_PER_SLOT * slots, unused))
  }

  /**
   * Number of unfinished tasks that every entry may have here at any time. It is granted even when the
   * queue is full, so that an entry that came first cannot exclude the others. The queue stays bounded by
   * twice its limit.
   */
  #minimumCredit (): number {
    const { slots, queueLimit } = this.#options
    return Math.max(1, Math.floor((slots + queueLimit) / Math.max(1, this.#entries.length)))
  }

  #held (entry: Instance): number {
    const account = this.#account(entry)
    return account.running + account.waiting
  }

  #recordOffer (entry: Instance): void {
    this.#reportsLeft = Math.min(MAX_SAVED_REPORTS, this.#reportsLeft + REPORTS_PER_OFFER)
    this.#account(entry)
    for (const account of this.#accounts.values()) {
      const held = account.running + account.waiting
      account.demand += (held - account.demand) * DEMAND_SMOOTHING
    }
  }

  #account (entry: Instance): EntryAccount {
    let account = this.#accounts.get(entry)
    if (account === undefined) {
      account = { running: 0, waiting: 0, demand: 0, reported: undefined }
      this.#accounts.set(entry, account)
    }
    return account
  }
}
