/**
 * Decides when refused callers are asked to retry, and which of the returning callers are admitted first.
 *
 * A return is booked for a second in which its queue's share has capacity for it. A caller that returns on time takes
 * precedence over first arrivals, once; returning earlier gains nothing. Each booking is sent to the other entries,
 * since a caller may return through any of them. All of this is soft state: an unknown caller counts as a first
 * arrival.
 */
import type { ReturnNotice } from './peermessages.ts'
import {
  EARLY_RETURN_MILLISECONDS, LATE_RETURN_MILLISECONDS, MAX_RETURN_MILLISECONDS, REFUSALS_BEFORE_PRECEDENCE,
  RETRY_STEP_MILLISECONDS, MAX_RETURN_ID_LENGTH, RETURN_SHARE, RETURN_SLOT_MILLISECONDS, MAX_RETURNS, MAX_RETURNS_PER_REPORT
} from './admissiondefaults.ts'

/** How a caller arrives. */
export enum Arrival {
  First = 'first',
  /** Before the time that it was asked to return. */
  Early = 'early',
  /** At the time that it was asked to return, with precedence over first arrivals. */
  OnTime = 'asTold'
}

interface ExpectedReturn {
  /** When the caller is asked to return. */
  due: number
  /** Refusals of the job so far, up to the number that gives precedence. */
  refusals: number
  /** Whether capacity is reserved for it. */
  booked: boolean
}

/** Slots in the period over which the capacity for returns is counted. */
const SLOTS_PER_STEP = RETRY_STEP_MILLISECONDS / RETURN_SLOT_MILLISECONDS

export class Returns {
  readonly #expected = new Map<string, ExpectedReturn>()
  /** Number of returns booked, by queue and time slot. */
  readonly #booked = new Map<string, Map<number, number>>()
  /** Expected returns that have not been sent to the other entries; at most as many as fit in one message. */
  #unsent: Array<{ id: string, told: ExpectedReturn }> = []

  arrival (id: string, now: number): Arrival {
    const expected = this.#expected.get(id)
    if (expected === undefined || now > expected.due + LATE_RETURN_MILLISECONDS) return Arrival.First
    if (now < expected.due - EARLY_RETURN_MILLISECONDS) return Arrival.Early
    return expected.booked || expected.refusals >= REFUSALS_BEFORE_PRECEDENCE ? Arrival.OnTime : Arrival.First
  }

  /** Records that a caller is admitted; its precedence is used up. */
  noteAdmitted (id: string): void {
    this.#expected.delete(id)
  }

  /**
   * Records a refusal and returns how long the caller should wait before it returns, in milliseconds (whole seconds).
   *
   * @param perSecond jobs of the queue admitted here each second
   */
  refused (id: string, queue: string, perSecond: number, now: number): number {
    const before = this.#expected.get(id)
    if (before !== undefined && this.arrival(id, now) === Arrival.Early) return wholeSteps(before.due - now)
    const { pause, booked } = this.#book(queue, perSecond, now)
    const expected = { due: now + pause, refusals: Math.min(REFUSALS_BEFORE_PRECEDENCE, (before?.refusals ?? 0) + 1), booked }
    this.#remember(id, expected)
    this.#unsent.push({ id, told: expected })
    if (this.#unsent.length > MAX_RETURNS_PER_REPORT) this.#unsent.shift()
    return expected.due - now
  }

  /** Records the expected returns sent by another entry; malformed notices are ignored. */
  receive (notices: unknown, now: number): void {
    if (!Array.isArray(notices)) return
    for (const notice of notices.slice(0, MAX_RETURNS_PER_REPORT)) if (isNotice(notice)) this.#remember(notice.id, { due: now + notice.within, refusals: notice.refusals, booked: notice.booked })
  }

  /** Number of expected returns that have not been sent to the other entries. */
  get newsSize (): number {
    return this.#unsent.length
  }

  /** Returns the expected returns recorded since the last call, for sending to the other entries. */
  takeNews (now: number): ReturnNotice[] {
    const notices = this.#unsent.map(({ id, told: { due, refusals, booked } }) => ({ id, within: Math.round(due - now), refusals, booked }))
    this.#unsent = []
    return notices
  }

  /** Books the first whole second from now with capacity; if there is none, the one with the fewest returns. */
  #book (queue: string, perSecond: number, now: number): { pause: number, booked: boolean } {
    const slots = this.#slotsOf(queue, now)
    let chosen = { pause: MAX_RETURN_MILLISECONDS, booked: false }
    let fewest = Infinity
    for (let pause = RETRY_STEP_MILLISECONDS; pause <= MAX_RETURN_MILLISECONDS; pause += RETRY_STEP_MILLISECONDS) {
      const slot = Math.floor((now + pause) / RETURN_SLOT_MILLISECONDS)
      const around = returnsAround(slots, slot)
      if (around < Math.max(1, Math.floor(perSecond * RETURN_SHARE)) && (slots.get(slot) ?? 0) < Math.ceil(perSecond / SLOTS_PER_STEP)) {
        chosen = { pause, booked: true }
        break
      }
      if (around >= fewest) continue
      fewest = around
      chosen = { pause, booked: false }
    }
    const slot = Math.floor((now + chosen.pause) / RETURN_SLOT_MILLISECONDS)
    slots.set(slot, (slots.get(slot) ?? 0) + 1)
    return chosen
  }

  #slotsOf (queue: string, now: number): Map<number, number> {
    let slots = this.#booked.get(queue)
    if (slots === undefined) {
      slots = new Map()
      this.#booked.set(queue, slots)
    }
    const past = Math.floor(now / RETURN_SLOT_MILLISECONDS) - SLOTS_PER_STEP
    for (const slot of slots.keys()) if (slot < past) slots.delete(slot)
    return slots
  }

  #remember (id: string, expected: ExpectedReturn): void {
    this.#expected.delete(id)
    this.#expected.set(id, expected)
    if (this.#expected.size <= MAX_RETURNS) return
    const oldest = this.#expected.keys().next().value
    if (oldest !== undefined) this.#expected.delete(oldest)
  }
}

/** Returns in the period that ends with the slot, or in the one that begins with it, whichever is larger. */
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
  return typeof id === 'string' && id.length <= MAX_RETURN_ID_LENGTH && isBetween(within, 0, MAX_RETURN_MILLISECONDS) && isBetween(refusals, 1, REFUSALS_BEFORE_PRECEDENCE) && typeof booked === 'boolean'
}

function isBetween (value: unknown, min: number, max: number): value is number {
  return typeof value === 'number' && value >= min && value <= max
}
