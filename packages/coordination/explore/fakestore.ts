/**
 * The key-value store of the view, simulated as one linearizable value with compare-and-swap. It can be
 * down or slow, or its answer can be late or lost although the effect has taken place.
 */
import type { Instance, View } from '../src/messages.ts'
import type { SeededRandom } from './seededrandom.ts'
import type { Timeline } from './timeline.ts'
import { EMPTY_VIEW, isMember } from '../src/view.ts'

const TIMEOUT = 1000
const MAX_FAST_LATENCY = 4
const MAX_SLOW_LATENCY = 2500

/** Result of a call; `undefined` or `unknown` when no answer came in time. */
export type ReadOutcome = { view: View, revision: number } | undefined
export type WriteOutcome = 'applied' | 'conflict' | 'unknown'

/** Whether requests to the store, and responses from it, pass at this moment. */
export interface StorePath {
  requestPasses: () => boolean
  responsePasses: () => boolean
}

/** The simulated store, shared by all processes. */
export class FakeStore {
  readonly #timeline: Timeline
  readonly #chance: SeededRandom
  readonly #removedAt = new Map<Instance, number>()
  #view: View = EMPTY_VIEW
  #revision = 0
  #callsInFlight = 0
  #downUntil = 0
  #slowUntil = 0
  #lossyUntil = 0

  constructor (timeline: Timeline, chance: SeededRandom) {
    this.#timeline = timeline
    this.#chance = chance
  }

  get view (): View {
    return this.#view
  }

  /** Whether no call is in flight that may still take effect. */
  get idle (): boolean {
    return this.#callsInFlight === 0
  }

  /** Instant at which an entry was removed from the view; undefined if it was not. */
  removedAt (instance: Instance): number | undefined {
    return this.#removedAt.get(instance)
  }

  goDown (duration: number): void {
    this.#downUntil = Math.max(this.#downUntil, this.#timeline.now + duration)
  }

  goSlow (duration: number): void {
    this.#slowUntil = Math.max(this.#slowUntil, this.#timeline.now + duration)
  }

  /** For this duration, answers may be lost after the effect. */
  loseAnswers (duration: number): void {
    this.#lossyUntil = Math.max(this.#lossyUntil, this.#timeline.now + duration)
  }

  heal (): void {
    this.#downUntil = 0
    this.#slowUntil = 0
    this.#lossyUntil = 0
  }

  read (path: StorePath, done: (outcome: ReadOutcome) => void): void {
    this.#call(path, () => ({ view: this.#view, revision: this.#revision }), done)
  }

  write (path: StorePath, view: View, expectedRevision: number, done: (outcome: WriteOutcome) => void): void {
    this.#call(path, () => this.#compareAndSwap(view, expectedRevision), outcome => done(outcome ?? 'unknown'))
  }

  #compareAndSwap (view: View, expectedRevision: number): WriteOutcome {
    if (this.#revision !== expectedRevision) return 'conflict'
    for (const { instance } of this.#view.members) {
      if (!isMember(view, instance)) this.#removedAt.set(instance, this.#timeline.now)
    }
    this.#view = view
    this.#revision += 1
    return 'applied'
  }

  #call<Outcome> (path: StorePath, effect: () => Outcome, done: (outcome: Outcome | undefined) => void): void {
    let ended = false
    const end = (outcome: Outcome | undefined): void => {
      if (ended) return
      ended = true
      done(outcome)
    }
    this.#timeline.after(TIMEOUT, () => end(undefined))
    this.#callsInFlight += 1
    this.#timeline.after(this.#latency(), () => {
      this.#callsInFlight -= 1
      if (this.#timeline.now < this.#downUntil || !path.requestPasses()) return
      const outcome = effect()
      const lost = this.#timeline.now < this.#lossyUntil && this.#chance.happens(0.6)
      if (lost) return
      this.#timeline.after(this.#latency(), () => {
        if (path.responsePasses()) end(outcome)
      })
    })
  }

  #latency (): number {
    const slow = this.#timeline.now < this.#slowUntil
    return this.#chance.between(1, slow ? MAX_SLOW_LATENCY : MAX_FAST_LATENCY)
  }
}
