/** State that an agent keeps for one incarnation of an entry: its contact, its resources and the ends it has not acknowledged. */
import type { Resources } from './resources.ts'
import type { EntryMessage, TaskEnd } from './messages.ts'
import { AllocationRole } from './messages.ts'
import { NO_RESOURCES } from './resources.ts'

export class EntrySession {
  /** Id of the entry, `name#incarnation`. */
  readonly entry: string
  connected = false
  /** Resources that the entry's tasks use at the target. */
  readonly used: Resources = { ...NO_RESOURCES }
  tasks = 0
  /** CPU used by the tasks of other entries, as last sent to this entry. */
  toldOthers = 0
  toldAt = Number.NEGATIVE_INFINITY
  /** Whether the entry has tasks that wait for capacity. */
  waiting = false
  role = AllocationRole.Chooses
  /** Starts that arrived without fresh contact. They wait for the echo of a ping. */
  held: Array<Extract<EntryMessage, { type: 'start' }>> = []
  heldSince = 0
  /** Tasks started by other entries that have not been reported to this one yet. */
  taken: string[] = []
  /** Last revision of the evacuations that the entry is known to have. */
  evacuationsKnown = 0
  /** Whether the entry has read the store recently, so that the evacuations it reports are up to date. */
  confirmsEvacuations = true
  /** Whether, since the last load sent to the entry, a task of another one has ended or one that runs alone has arrived. */
  freed = false
  pingedAt = Number.NEGATIVE_INFINITY
  disconnectedAt = 0
  #contactUntil = Number.NEGATIVE_INFINITY
  #echoesValidFrom = Number.NEGATIVE_INFINITY
  #firstUnacknowledged = 1
  #unacknowledged: TaskEnd[] = []

  constructor (entry: string) {
    this.entry = entry
  }

  get allocates (): boolean {
    return this.role === AllocationRole.Allocates
  }

  /** Time until which the entry counts as alive and reachable. */
  get contactUntil (): number {
    return this.#contactUntil
  }

  /** Whether a recent echo shows that the entry is alive and reachable. */
  inContact (now: number): boolean {
    return now < this.#contactUntil
  }

  /** Ends the contact. Only the echo of a ping sent after `now` renews it. */
  loseContact (now: number): void {
    this.#contactUntil = Number.NEGATIVE_INFINITY
    this.#echoesValidFrom = now
  }

  /**
   * Processes an echo. Contact counts from the time when the ping was *sent*, so an echo that a
   * partition delayed for seconds extends nothing.
   */
  echoed (sent: number, received: number, contact: number): void {
    if (sent >= this.#echoesValidFrom) this.#contactUntil = Math.max(this.#contactUntil, sent + contact)
    const acknowledged = received - this.#firstUnacknowledged + 1
    if (acknowledged <= 0) return
    this.#unacknowledged.splice(0, acknowledged)
    this.#firstUnacknowledged = received + 1
  }

  /** Keeps an end until the entry has acknowledged it. Returns its number. */
  remember (end: TaskEnd): number {
    this.#unacknowledged.push(end)
    return this.#firstUnacknowledged + this.#unacknowledged.length - 1
  }

  /** Ends that the entry has not acknowledged, and the number of the first. */
  unacknowledged (): { first: number, ends: TaskEnd[] } {
    return { first: this.#firstUnacknowledged, ends: [...this.#unacknowledged] }
  }
}

/** Name of the entry without its incarnation. */
export function entryNameOf (instance: string): string {
  return instance.slice(0, instance.lastIndexOf('#'))
}
