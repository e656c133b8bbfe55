/** Faults of calls to an emulated target: delayed execution, lost answers, slow answers, lost stops and refused connections. */
import type { SeededRandom } from '@amaranthmast/standins/random'
import type { Timeline } from './timeline.ts'

/** Minimum and range of the one-way travel time of a call on the same machine, in milliseconds. */
const MIN_TRAVEL = 0.2
const TRAVEL_RANGE = 2

/** Minimum and range of the delay of an order that is executed late, in milliseconds. */
const MIN_ORDER_DELAY = 2000
const ORDER_DELAY_RANGE = 10_000

/** Minimum and range of the additional time of a slow answer, in milliseconds. */
const MIN_ANSWER_DELAY = 50
const ANSWER_DELAY_RANGE = 350

/** Fraction of the orders in transit that are executed although their connections break. */
const EXECUTED_FRACTION = 0.5

/** A fault that affects a share of the calls until a time. */
interface ActivePeriod {
  until: number
  share: number
}

/** Faults of one call. Durations in milliseconds. */
export interface CallOutcome {
  /** Whether it waits inside the target and is executed late. */
  late: boolean
  /** Whether its answer is lost. */
  lost: boolean
  /** Time until the order arrives. */
  order: number
  /** Additional time before its answer is sent. */
  answer: number
}

/** Current faults of the calls to one target. */
export class CallTroubles {
  readonly #timeline: Timeline
  readonly #random: SeededRandom
  /** Orders that are executed late, with no response to the caller. */
  #lateOrders: ActivePeriod = { until: 0, share: 0 }
  /** Orders that are executed and whose answers are lost. */
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

  /** Ends a refusal of connections: a new incarnation accepts calls. */
  acceptCalls (): void {
    this.#refusesUntil = 0
  }

  get refuses (): boolean {
    return this.#timeline.now < this.#refusesUntil
  }

  /** Whether stop calls are neither executed nor answered. */
  get losesStops (): boolean {
    return this.#timeline.now < this.#stopsLostUntil
  }

  /** Draws the faults of the next call. */
  next (): CallOutcome {
    const { now } = this.#timeline
    const late = now < this.#lateOrders.until && this.#random.next() < this.#lateOrders.share
    const lost = late || this.#losesAnswer()
    if (late) return { late, lost, order: MIN_ORDER_DELAY + this.#random.next() * ORDER_DELAY_RANGE, answer: 0 }
    const slowness = now < this.#slowUntil ? MIN_ANSWER_DELAY + this.#random.next() * ANSWER_DELAY_RANGE : 0
    const order = slowness === 0 ? 0 : slowness * this.#random.next()
    return { late, lost, order: order + this.travelTime(), answer: slowness - order }
  }

  /** Draws the one-way travel time of a call, in milliseconds. */
  travelTime (): number {
    return MIN_TRAVEL + this.#random.next() * TRAVEL_RANGE
  }

  /** Draws whether an order is executed although its connection broke in transit. */
  executesDespiteDisconnect (): boolean {
    return this.#random.next() < EXECUTED_FRACTION
  }

  #losesAnswer (): boolean {
    if (this.#timeline.now >= this.#lostAnswers.until) return false
    return this.#lostAnswers.share === 1 || this.#random.next() < this.#lostAnswers.share
  }
}
