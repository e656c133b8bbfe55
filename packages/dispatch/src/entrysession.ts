/** What an agent keeps for one run of an entry: until when its tasks may run, and ends it has not received. */
import type { Resources } from './resources.ts'
import type { EntryMessage, TaskEnd } from './messages.ts'
import { RoomRole } from './messages.ts'
import { NO_RESOURCES } from './resources.ts'

export class EntrySession {
  /** Run of the entry, `name#incarnation`. */
  readonly entry: string
  connected = false
  /** Resources that its tasks hold at the target. */
  readonly used: Resources = { ...NO_RESOURCES }
  tasks = 0
  /** Processors of other entries' tasks, as the entry was told last. */
  toldOthers = 0
  toldAt = Number.NEGATIVE_INFINITY
  /** It has tasks without room. */
  waiting = false
  role = RoomRole.Chooses
  /** Starts that arrived out of contact: they wait for the echo of a ping. */
  held: Array<Extract<EntryMessage, { type: 'start' }>> = []
  heldSince = 0
  /** Starts of other entries that it has not been told of. */
  taken: string[] = []
  /** Revision of the evacuations that the entry is known to have heard of. */
  evacuationsKnown = 0
  /** Whether the entry has read the store lately, so that what it tells of evacuations is fresh. */
  confirmsEvacuations = true
  /** A start of another entry has ended since it was told last, or keeps the whole target. */
  freed = false
  pingedAt = Number.NEGATIVE_INFINITY
  disconnectedAt = 0
  #contactUntil = Number.NEGATIVE_INFINITY
  #validFrom = Number.NEGATIVE_INFINITY
  #firstUnacknowledged = 1
  #unacknowledged: TaskEnd[] = []

  constructor (entry: string) {
    this.entry = entry
  }

  get allocates (): boolean {
    return this.role === RoomRole.Allocates
  }

  /** Until when the entry has proven that it lives and is heard. */
  get contactUntil (): number {
    return this.#contactUntil
  }

  /** Whether the entry has proven lately that it lives and is heard. */
  inContact (now: number): boolean {
    return now < this.#contactUntil
  }

  /** Ends the contact; only an echo of a later ping renews it. */
  loseContact (now: number): void {
    this.#contactUntil = Number.NEGATIVE_INFINITY
    this.#validFrom = now
  }

  /**
   * Takes an echo in. Contact counts from the moment at which the ping was *sent*: an echo that was
   * held up for seconds by a partition then extends nothing.
   */
  echoed (sent: number, received: number, contact: number): void {
    if (sent >= this.#validFrom) this.#contactUntil = Math.max(this.#contactUntil, sent + contact)
    const acknowledged = received - this.#firstUnacknowledged + 1
    if (acknowledged <= 0) return
    this.#unacknowledged.splice(0, acknowledged)
    this.#firstUnacknowledged = received + 1
  }

  /** Remembers an end until the entry has received it; gives its number. */
  remember (end: TaskEnd): number {
    this.#unacknowledged.push(end)
    return this.#firstUnacknowledged + this.#unacknowledged.length - 1
  }

  /** Ends that the entry may not have received, and the number of the first. */
  unacknowledged (): { first: number, ends: TaskEnd[] } {
    return { first: this.#firstUnacknowledged, ends: [...this.#unacknowledged] }
  }
}

/** Name of the entry without its incarnation. */
export function nameOf (instance: string): string {
  return instance.slice(0, instance.lastIndexOf('#'))
}
