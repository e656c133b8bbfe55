/**
 * The key-value service as the view sees it: one linearizable value with compare-and-swap. It can
 * be down, slow, or answer too late, in which case the effect may have happened all the same.
 */
import type { Instance, View } from '../src/messages.ts'
import type { Chance } from './chance.ts'
import type { Timeline } from './timeline.ts'
import { EMPTY_VIEW, isMember } from '../src/view.ts'

const TIMEOUT = 1000
const FAST_LEG = 4
const SLOW_LEG = 2500

/** What a caller of the store learns; `unknown` when no answer came in time. */
export type ReadOutcome = { view: View, revision: number } | undefined
export type WriteOutcome = 'applied' | 'conflict' | 'unknown'

/** Whether the way to the store, and the way back, is open at this moment. */
export interface StorePath {
  there: () => boolean
  back: () => boolean
}

export class FakeStore {
  readonly #timeline: Timeline
  readonly #chance: Chance
  readonly #removedAt = new Map<Instance, number>()
  #view: View = EMPTY_VIEW
  #revision = 0
  #onTheWay = 0
  #downUntil = 0
  #slowUntil = 0
  #lossyUntil = 0

  constructor (timeline: Timeline, chance: Chance) {
    this.#timeline = timeline
    this.#chance = chance
  }

  get view (): View {
    return this.#view
  }

  /** Whether no call is on its way that may still have an effect. */
  get quiet (): boolean {
    return this.#onTheWay === 0
  }

  /** When an entry was removed from the view, undefined if it was not. */
  removedAt (instance: Instance): number | undefined {
    return this.#removedAt.get(instance)
  }

  goDown (duration: number): void {
    this.#downUntil = Math.max(this.#downUntil, this.#timeline.now + duration)
  }

  goSlow (duration: number): void {
    this.#slowUntil = Math.max(this.#slowUntil, this.#timeline.now + duration)
  }

  /** Answers get lost after the effect. */
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
    this.#onTheWay += 1
    this.#timeline.after(this.#leg(), () => {
      this.#onTheWay -= 1
      if (this.#timeline.now < this.#downUntil || !path.there()) return
      const outcome = effect()
      const lost = this.#timeline.now < this.#lossyUntil && this.#chance.happens(0.6)
      if (lost) return
      this.#timeline.after(this.#leg(), () => {
        if (path.back()) end(outcome)
      })
    })
  }

  #leg (): number {
    const slow = this.#timeline.now < this.#slowUntil
    return this.#chance.between(1, slow ? SLOW_LEG : FAST_LEG)
  }
}
