/**
 * The slots of one target as its agent holds them: which task may start, which waits in the local
 * queue, and how many unfinished tasks each entry may have here.
 *
 * The queue is ordered by the place that each entry gave its tasks, so that all entries together
 * have one order at each target without a message between them: a short job that comes late at
 * one entry goes before the long one that another entry sent earlier. Credits overlap on purpose:
 * an entry may use what the others have not used lately, so that one large job finds all slots when
 * the rest of the fleet is quiet. What finds the queue full is refused as not started.
 */
import type { Instance, TaskNeeds } from './messages.ts'
import { CREDIT_PER_SLOT, DEMAND_RATE, REPORT_HYSTERESIS, REPORTS_PER_OFFER, REPORTS_SAVED } from './schedulingdefaults.ts'

/** A task as the slots need to know it. */
export interface SlotTask {
  /** Number of the task at its agent. */
  id: number
  entry: Instance
  needs: TaskNeeds
  /** Declared run time in milliseconds; 0 when none. */
  runMilliseconds: number
  /**
   * How long other tasks may overtake this one, in milliseconds from now; negative when it has
   * waited for longer than that already.
   * @default 0
   */
  patienceMilliseconds?: number
}

/** What the slots can carry. */
export interface SlotsOptions {
  slots: number
  accelerators: number
  memoryMegabytes: number
  /** Tasks that may wait here at one time. */
  queueLimit: number
}

/** Load as one entry is told it. */
export interface SlotsLoad {
  running: number
  queued: number
  credit: number
}

interface WaitingTask {
  task: SlotTask
  /** Instant that orders the queue: lowest first. */
  key: number
}

interface EntryAccount {
  running: number
  /** Tasks of the entry that wait here. */
  waiting: number
  /** Average of its unfinished tasks here. */
  demand: number
  /** Credit that the entry was told last; undefined before the first report. */
  reported: number | undefined
}

/**
 * Where a slot is free and tasks wait, they wait for accelerators or memory: a task that needs
 * neither takes nothing from them. One that does need them stands behind, or a large task would
 * wait for ever while small ones pass it.
 */
function needsNothing (needs: TaskNeeds): boolean {
  return needs.accelerators === 0 && needs.memoryMegabytes === 0
}

/** Holds a target's slots. */
export class Slots {
  readonly #options: SlotsOptions
  readonly #accounts = new Map<Instance, EntryAccount>()
  readonly #running = new Map<number, SlotTask>()
  readonly #waiting = new Map<number, WaitingTask>()
  #entries: readonly Instance[] = []
  #acceleratorsUsed = 0
  #memoryUsed = 0
  #reportsLeft = REPORTS_SAVED

  constructor (options: SlotsOptions) {
    this.#options = options
  }

  /** The entries of the current view: the credits are divided among these. */
  setEntries (entries: readonly Instance[]): void {
    this.#entries = [...entries]
    for (const [entry, account] of this.#accounts) {
      if (entries.includes(entry)) continue
      account.demand = 0
      if (account.running + account.waiting === 0) this.#accounts.delete(entry)
    }
  }

  /**
   * Takes a task: `full` means that it was not taken and must be refused as not started. `now` is
   * a reading of the agent's clock in milliseconds.
   */
  offer (task: SlotTask, now = 0): 'start' | 'queue' | 'full' {
    this.#noteOffer(task.entry)
    if (this.#fits(task) && (this.#waiting.size === 0 || needsNothing(task.needs))) {
      this.#start(task)
      return 'start'
    }
    if (this.#waiting.size >= this.#options.queueLimit && this.#held(task.entry) >= this.#floor()) return 'full'
    this.#waiting.set(task.id, { task, key: now + (task.patienceMilliseconds ?? 0) })
    this.#account(task.entry).waiting += 1
    return 'queue'
  }

  /** A started task has ended. Returns the ids of waiting tasks that may start now. */
  release (id: number): number[] {
    const task = this.#running.get(id)
    if (task === undefined) return []
    this.#running.delete(id)
    this.#account(task.entry).running -= 1
    this.#acceleratorsUsed -= task.needs.accelerators
    this.#memoryUsed -= task.needs.memoryMegabytes
    return this.#startWaiting()
  }

  /** Takes back a task that still waits; false when it does not wait here. */
  withdraw (id: number): boolean {
    const waiting = this.#waiting.get(id)
    if (waiting === undefined) return false
    this.#waiting.delete(id)
    this.#account(waiting.task.entry).waiting -= 1
    return true
  }

  load (entry: Instance): SlotsLoad {
    const account = this.#account(entry)
    account.reported ??= this.#credit(entry)
    return { running: this.#running.size, queued: this.#waiting.size, credit: this.#credit(entry) }
  }

  /**
   * Entries whose credit has changed by so much since they were last told that a message is worth
   * it. The number of reports is bounded by the number of tasks offered, so that reports stay a
   * small part of the messages at any load.
   */
  changedReports (): Instance[] {
    const changed: Instance[] = []
    const threshold = Math.max(1, this.#options.slots * REPORT_HYSTERESIS)
    for (const entry of this.#entries) {
      if (this.#reportsLeft < 1) return changed
      const account = this.#account(entry)
      const credit = this.#credit(entry)
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
      this.withdraw(task.id)
      this.#start(task)
      started.push(task.id)
    }
    return started
  }

  /** The first in order that fits, and the oldest of those with the same place. */
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

  /** What the other entries have not used lately, and never less than an equal part. */
  #credit (entry: Instance): number {
    const { slots, queueLimit } = this.#options
    let others = 0
    for (const [other, account] of this.#accounts) {
      if (other !== entry) others += account.demand
    }
    const unused = Math.floor(slots + queueLimit - others)
    return Math.max(this.#floor(), Math.min(CREDIT_PER_SLOT * slots, unused))
  }

  /**
   * What every entry may have here at any time. It is taken even when the queue is full, so that
   * an entry that came first cannot keep the others out; the queue is bounded all the same, by
   * twice its limit.
   */
  #floor (): number {
    const { slots, queueLimit } = this.#options
    return Math.max(1, Math.floor((slots + queueLimit) / Math.max(1, this.#entries.length)))
  }

  #held (entry: Instance): number {
    const account = this.#account(entry)
    return account.running + account.waiting
  }

  #noteOffer (entry: Instance): void {
    this.#reportsLeft = Math.min(REPORTS_SAVED, this.#reportsLeft + REPORTS_PER_OFFER)
    this.#account(entry)
    for (const account of this.#accounts.values()) {
      const held = account.running + account.waiting
      account.demand += (held - account.demand) * DEMAND_RATE
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
