/**
 * The slots of one target as its agent holds them: which task may start, which waits in the small
 * local queue, and how many unfinished tasks each entry may have here.
 *
 * Credits overlap on purpose: an entry may use what the others have not used lately, so that one
 * large job finds all slots when the rest of the fleet is quiet. What collides waits in the local
 * queue, or is refused as not started when that is full.
 */
import type { Instance, TaskNeeds } from './messages.ts'
import { DEMAND_DECAY, REPORT_HYSTERESIS, REPORTS_PER_OFFER, REPORTS_SAVED } from './schedulingdefaults.ts'

/** A task as the slots need to know it. */
export interface SlotTask {
  /** Number of the task at its agent. */
  id: number
  entry: Instance
  needs: TaskNeeds
  /** Declared run time in milliseconds; 0 when none. */
  runMilliseconds: number
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

interface EntryAccount {
  running: number
  /** Tasks of the entry that wait here, oldest first. */
  waiting: Map<number, SlotTask>
  /** Recent peak of its unfinished tasks here. */
  demand: number
  /** Credit that the entry was told last; undefined before the first report. */
  reported: number | undefined
}

/** Holds a target's slots. */
export class Slots {
  readonly #options: SlotsOptions
  readonly #accounts = new Map<Instance, EntryAccount>()
  readonly #running = new Map<number, SlotTask>()
  readonly #waiting = new Map<number, SlotTask>()
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
      if (account.running + account.waiting.size === 0) this.#accounts.delete(entry)
    }
  }

  /** Takes a task: `full` means that it was not taken and must be refused as not started. */
  offer (task: SlotTask): 'start' | 'queue' | 'full' {
    this.#noteOffer(task.entry)
    if (this.#waiting.size === 0 && this.#fits(task)) {
      this.#start(task)
      this.#noteDemand(task.entry)
      return 'start'
    }
    if (this.#waiting.size >= this.#options.queueLimit) return 'full'
    this.#waiting.set(task.id, task)
    this.#account(task.entry).waiting.set(task.id, task)
    this.#noteDemand(task.entry)
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
    const task = this.#waiting.get(id)
    if (task === undefined) return false
    this.#waiting.delete(id)
    this.#account(task.entry).waiting.delete(id)
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

  /** The oldest waiting task that fits, of the entry that runs least here. */
  #nextWaiting (): SlotTask | undefined {
    let best: SlotTask | undefined
    let fewest = Infinity
    for (const task of this.#waiting.values()) {
      const { running } = this.#account(task.entry)
      if (running >= fewest || !this.#fits(task)) continue
      best = task
      fewest = running
    }
    return best
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

  /** What the other entries have not used lately, and never less than an equal part of the slots. */
  #credit (entry: Instance): number {
    const { slots, queueLimit } = this.#options
    let others = 0
    for (const [other, account] of this.#accounts) {
      if (other !== entry) others += account.demand
    }
    const floor = Math.max(1, Math.floor(slots / Math.max(1, this.#entries.length)))
    return Math.max(floor, Math.min(slots, Math.round(slots + queueLimit - others)))
  }

  #noteOffer (entry: Instance): void {
    this.#reportsLeft = Math.min(REPORTS_SAVED, this.#reportsLeft + REPORTS_PER_OFFER)
    this.#account(entry)
    for (const account of this.#accounts.values()) {
      const held = account.running + account.waiting.size
      account.demand += (held - account.demand) * DEMAND_DECAY
    }
  }

  #noteDemand (entry: Instance): void {
    const account = this.#account(entry)
    account.demand = Math.max(account.demand, account.running + account.waiting.size)
  }

  #account (entry: Instance): EntryAccount {
    let account = this.#accounts.get(entry)
    if (account === undefined) {
      account = { running: 0, waiting: new Map(), demand: 0, reported: undefined }
      this.#accounts.set(entry, account)
    }
    return account
  }
}
