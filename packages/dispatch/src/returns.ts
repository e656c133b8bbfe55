/**
 * When refused callers are asked to come back, and which of those that come are let in first.
 *
 * A return is booked for a second in which its kind's share has room for it. Who comes back as told goes before those that
 * arrive first, once; who comes sooner gets nothing by it. The other entries hear of each booking, since a caller comes back
 * through any of them. All of this is soft: who is not known counts as one that arrives first.
 */
import type { ReturnNotice } from './peermessages.ts'
import {
  EARLY_RETURN_MILLISECONDS, LATE_RETURN_MILLISECONDS, LONGEST_RETURN_MILLISECONDS, REFUSALS_BEFORE_PRECEDENCE,
  RETRY_STEP_MILLISECONDS, RETURN_ID_LIMIT, RETURN_SHARE, RETURN_SLOT_MILLISECONDS, RETURNS_REMEMBERED, RETURNS_TOLD
} from './admissiondefaults.ts'

/** How a caller comes. */
export enum Arrival {
  First = 'first',
  /** It was told to come later. */
  Early = 'early',
  /** It was told to come now, and goes first. */
  AsTold = 'asTold'
}

interface Told {
  /** When it is to come. */
  due: number
  /** How often it was refused. */
  refusals: number
  /** Room is kept for it. */
  booked: boolean
}

/** Slots in the time over which the room for returns is counted. */
const SLOTS_PER_STEP = RETRY_STEP_MILLISECONDS / RETURN_SLOT_MILLISECONDS

export class Returns {
  readonly #told = new Map<string, Told>()
  /** Returns booked by kind and slot of time. */
  readonly #booked = new Map<string, Map<number, number>>()
  /** Of one message at most. */
  #news: Array<{ id: string, told: Told }> = []

  arrival (id: string, now: number): Arrival {
    const told = this.#told.get(id)
    if (told === undefined || now > told.due + LATE_RETURN_MILLISECONDS) return Arrival.First
    if (now < told.due - EARLY_RETURN_MILLISECONDS) return Arrival.Early
    return told.booked || told.refusals >= REFUSALS_BEFORE_PRECEDENCE ? Arrival.AsTold : Arrival.First
  }

  /** The caller is let in, and has no claim any more. */
  served (id: string): void {
    this.#told.delete(id)
  }

  /**
   * A job is refused. How long its caller is to stay away, in milliseconds and whole seconds.
   *
   * @param perSecond jobs of the kind that are let in here
   */
  refused (id: string, kind: string, perSecond: number, now: number): number {
    const before = this.#told.get(id)
    if (before !== undefined && this.arrival(id, now) === Arrival.Early) return wholeSteps(before.due - now)
    const { pause, booked } = this.#book(kind, perSecond, now)
    const told = { due: now + pause, refusals: Math.min(REFUSALS_BEFORE_PRECEDENCE, (before?.refusals ?? 0) + 1), booked }
    this.#remember(id, told)
    this.#news.push({ id, told })
    if (this.#news.length > RETURNS_TOLD) this.#news.shift()
    return told.due - now
  }

  /** What another entry has told its refused callers; what makes no sense is left out. */
  heard (notices: unknown, now: number): void {
    if (!Array.isArray(notices)) return
    for (const notice of notices.slice(0, RETURNS_TOLD)) if (isNotice(notice)) this.#remember(notice.id, { due: now + notice.within, refusals: notice.refusals, booked: notice.booked })
  }

  /** Refused callers of which the other entries are still to hear. */
  get newsSize (): number {
    return this.#news.length
  }

  /** What was told to refused callers since the last call, for the other entries. */
  takeNews (now: number): ReturnNotice[] {
    const news = this.#news.map(({ id, told: { due, refusals, booked } }) => ({ id, within: Math.round(due - now), refusals, booked }))
    this.#news = []
    return news
  }

  /** The first whole second ahead with room; without any, the one with the fewest returns. */
  #book (kind: string, perSecond: number, now: number): { pause: number, booked: boolean } {
    const slots = this.#slotsOf(kind, now)
    let emptiest = { pause: LONGEST_RETURN_MILLISECONDS, booked: false }
    let fewest = Infinity
    for (let pause = RETRY_STEP_MILLISECONDS; pause <= LONGEST_RETURN_MILLISECONDS; pause += RETRY_STEP_MILLISECONDS) {
      const slot = Math.floor((now + pause) / RETURN_SLOT_MILLISECONDS)
      const around = returnsAround(slots, slot)
      if (around < Math.max(1, Math.floor(perSecond * RETURN_SHARE)) && (slots.get(slot) ?? 0) < Math.ceil(perSecond / SLOTS_PER_STEP)) {
        emptiest = { pause, booked: true }
        break
      }
      if (around >= fewest) continue
      fewest = around
      emptiest = { pause, booked: false }
    }
    const slot = Math.floor((now + emptiest.pause) / RETURN_SLOT_MILLISECONDS)
    slots.set(slot, (slots.get(slot) ?? 0) + 1)
    return emptiest
  }

  #slotsOf (kind: string, now: number): Map<number, number> {
    let slots = this.#booked.get(kind)
    if (slots === undefined) {
      slots = new Map()
      this.#booked.set(kind, slots)
    }
    const past = Math.floor(now / RETURN_SLOT_MILLISECONDS) - SLOTS_PER_STEP
    for (const slot of slots.keys()) if (slot < past) slots.delete(slot)
    return slots
  }

  #remember (id: string, told: Told): void {
    this.#told.delete(id)
    this.#told.set(id, told)
    if (this.#told.size <= RETURNS_REMEMBERED) return
    const oldest = this.#told.keys().next().value
    if (oldest !== undefined) this.#told.delete(oldest)
  }
}

/** Returns in the step of time that ends with a slot, and in the one that begins with it, whichever are more. */
function returnsAround (slots: ReadonlyMap<number, number>, slot: number): number {
  let before = 0
  let after = 0
  for (let distance = 0; distance < SLOTS_PER_STEP; distance += 1) {
    before += slots.get(slot - distance) ?? 0
    after += slots.get(slot + distance) ?? 0
  }
  return Math.max(before, after)
}

function wholeSteps (milliseconds: number): number {
  return Math.ceil(milliseconds / RETRY_STEP_MILLISECONDS) * RETRY_STEP_MILLISECONDS
}

function isNotice (notice: unknown): notice is ReturnNotice {
  if (typeof notice !== 'object' || notice === null) return false
  const { id, within, refusals, booked } = notice as Partial<Record<keyof ReturnNotice, unknown>>
  return typeof id === 'string' && id.length <= RETURN_ID_LIMIT && isBetween(within, 0, LONGEST_RETURN_MILLISECONDS) && isBetween(refusals, 1, REFUSALS_BEFORE_PRECEDENCE) && typeof booked === 'boolean'
}

function isBetween (value: unknown, least: number, most: number): value is number {
  return typeof value === 'number' && value >= least && value <= most
}
