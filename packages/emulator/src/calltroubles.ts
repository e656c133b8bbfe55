/** What can happen to a call on its way to an emulated target and back. */
import type { SeededRandom } from '@amaranthmast/standins/random'
import type { Timeline } from './timeline.ts'

/** A call on the same machine takes this long one way, in milliseconds. */
const FASTEST_CALL = 0.2
const CALL_SPREAD = 2

/** An order that is carried out late is so by this much, in milliseconds. */
const LATE_LEAST = 2000
const LATE_SPREAD = 10_000

/** A slow answer takes this much longer, in milliseconds. */
const SLOW_LEAST = 50
const SLOW_SPREAD = 350

/** Part of the orders under way that are carried out though their connections break. */
const ARRIVED_SHARE = 0.5

/** A share of the calls until a time. */
interface Spell {
  until: number
  share: number
}

/** How one call fares. Durations in milliseconds. */
export interface CallFate {
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
  #late: Spell = { until: 0, share: 0 }
  /** Answers are lost until then, while orders are carried out. */
  #deaf: Spell = { until: 0, share: 0 }
  #slowUntil = 0
  #stopsLostUntil = 0
  #refusesUntil = 0

  constructor (timeline: Timeline, random: SeededRandom) {
    this.#timeline = timeline
    this.#random = random
  }

  carryOutLate (milliseconds: number, share: number): void {
    this.#late = { until: this.#timeline.now + milliseconds, share }
  }

  loseAnswers (milliseconds: number, share: number): void {
    this.#deaf = { until: this.#timeline.now + milliseconds, share }
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
  listenAgain (): void {
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
  next (): CallFate {
    const { now } = this.#timeline
    const late = now < this.#late.until && this.#random.next() < this.#late.share
    const lost = late || this.#isDeaf()
    if (late) return { late, lost, order: LATE_LEAST + this.#random.next() * LATE_SPREAD, answer: 0 }
    const slowness = now < this.#slowUntil ? SLOW_LEAST + this.#random.next() * SLOW_SPREAD : 0
    const order = slowness === 0 ? 0 : slowness * this.#random.next()
    return { late, lost, order: order + this.travel(), answer: slowness - order }
  }

  /** Time of a call one way, in milliseconds. */
  travel (): number {
    return FASTEST_CALL + this.#random.next() * CALL_SPREAD
  }

  /** Whether an order whose connection broke under way is carried out nevertheless. */
  arrivesBroken (): boolean {
    return this.#random.next() < ARRIVED_SHARE
  }

  #isDeaf (): boolean {
    if (this.#timeline.now >= this.#deaf.until) return false
    return this.#deaf.share === 1 || this.#random.next() < this.#deaf.share
  }
}
