/** What can happen to a call on its way to an emulated target and back. */
import type { SeededRandom } from '@amaranthmast/standins/random'
import type { Timeline } from './timeline.ts'

/** A call on the same machine takes this long one way, in milliseconds. */
const MIN_TRAVEL = 0.2
const TRAVEL_RANGE = 2

/** An order that is carried out late is so by this much, in milliseconds. */
const MIN_ORDER_DELAY = 2000
const ORDER_DELAY_RANGE = 10_000

/** A slow answer takes this much longer, in milliseconds. */
const MIN_ANSWER_DELAY = 50
const ANSWER_DELAY_RANGE = 350

/** Part of the orders under way that are carried out though their connections break. */
const EXECUTED_FRACTION = 0.5

/** A share of the calls until a time. */
interface ActivePeriod {
  until: number
  share: number
}

/** How one call fares. Durations in milliseconds. */
export interface CallOutcome {
  /** It waits inside the target, and is carried out late. */
  late: boolean
  /** Its answer is lost. */
  lost: boolean
  /** Until the order arrives. */
  order: number
  /** How much later than usual its answer leaves. */
  answer: number
}

export class CallTroubles {
  readonly #timeline: Timeline
  readonly #random: SeededRandom
  /** Orders that are lost to the caller and carried out late. */
  #lateOrders: ActivePeriod = { until: 0, share: 0 }
  /** Answers are lost until then, while orders are carried out. */
  #lostAnswers: ActivePeriod = { until: 0, share: 0 }
  #slowUntil = 0
  #stopsLostUntil = 0
  #refusesUntil = 0

  constructor (timeline: Timeline, random: SeededRandom) {
    this.#timeline = timeline
    this.#random = random
  }

  executeLate (milliseconds: number, share: number): void {
    this.#lateOrders = { until: this.#timeline.now + milliseconds, share }
  }

  loseAnswers (milliseconds: number, share: number): void {
    this.#lostAnswers = { until: this.#timeline.now + milliseconds, share }
  }

  answerSlowly (milliseconds: number): void {
    this.#slowUntil = this.#timeline.now + milliseconds
  }

  loseStops (milliseconds: number): void {
    this.#stopsLostUntil = this.#timeline.now + milliseconds
  }

  refuse (milliseconds: number): void {
    this.#refusesUntil = Math.max(this.#refusesUntil, this.#timeline.now + milliseconds)
  }

  /** Another life listens. */
  acceptCalls (): void {
    this.#refusesUntil = 0
  }

  get refuses (): boolean {
    return this.#timeline.now < this.#refusesUntil
  }

  /** Orders to stop are not carried out, and not answered. */
  get losesStops (): boolean {
    return this.#timeline.now < this.#stopsLostUntil
  }

  /** Draws how the next call fares. */
  next (): CallOutcome {
    const { now } = this.#timeline
    const late = now < this.#lateOrders.until && this.#random.next() < this.#lateOrders.share
    const lost = late || this.#losesAnswer()
    if (late) return { late, lost, order: MIN_ORDER_DELAY + this.#random.next() * ORDER_DELAY_RANGE, answer: 0 }
    const slowness = now < this.#slowUntil ? MIN_ANSWER_DELAY + this.#random.next() * ANSWER_DELAY_RANGE : 0
    const order = slowness === 0 ? 0 : slowness * this.#random.next()
    return { late, lost, order: order + this.travelTime(), answer: slowness - order }
  }

  /** Time of a call one way, in milliseconds. */
  travelTime (): number {
    return MIN_TRAVEL + this.#random.next() * TRAVEL_RANGE
  }

  /** Whether an order whose connection broke under way is carried out nevertheless. */
  executesDespiteDisconnect (): boolean {
    return this.#random.next() < EXECUTED_FRACTION
  }

  #losesAnswer (): boolean {
    if (this.#timeline.now >= this.#lostAnswers.until) return false
    return this.#lostAnswers.share === 1 || this.#random.next() < this.#lostAnswers.share
  }
}
