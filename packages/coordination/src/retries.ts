/**
 * Repetition of tasks that provably did not start. A few go at once; beyond the budget each waits
 * longer every time, with jitter, so that a fleet that refuses everything is not asked ever faster.
 */
import { LONGEST_RETRY_DELAY_MILLISECONDS, RETRIES_PER_DISPATCH, RETRIES_REMEMBERED, RETRIES_SAVED, RETRY_DELAY_MILLISECONDS } from './schedulingdefaults.ts'

/** Where a task stood in the queue when it first came. */
export interface QueuePlace {
  enqueuedAt: number
  /** Instant that orders it: lowest first. */
  key: number
}

interface Refusals {
  count: number
  place: QueuePlace
}

/** Budget of repetitions at one entry. */
export class RetryBudget {
  readonly #random: () => number
  readonly #refusals = new Map<string, Refusals>()
  #budget = RETRIES_SAVED

  constructor (random: () => number) {
    this.#random = random
  }

  noteDispatch (): void {
    this.#budget = Math.min(RETRIES_SAVED, this.#budget + RETRIES_PER_DISPATCH)
  }

  noteRefusal (task: string, place: QueuePlace): void {
    const count = (this.#refusals.get(task)?.count ?? 0) + 1
    this.#refusals.delete(task)
    this.#refusals.set(task, { count, place })
    if (this.#refusals.size <= RETRIES_REMEMBERED) return
    const oldest = this.#refusals.keys().next()
    if (oldest.done !== true) this.#refusals.delete(oldest.value)
  }

  /** The first place of a task that was refused. */
  place (task: string): QueuePlace | undefined {
    return this.#refusals.get(task)?.place
  }

  /** Delay in milliseconds before the task may be dispatched; 0 for one that was never refused. */
  delay (task: string): number {
    if (this.#refusals.size === 0) return 0
    const refusals = this.#refusals.get(task)?.count
    if (refusals === undefined) return 0
    if (this.#budget >= 1) {
      this.#budget -= 1
      return 0
    }
    const longest = Math.min(LONGEST_RETRY_DELAY_MILLISECONDS, RETRY_DELAY_MILLISECONDS * 2 ** refusals)
    return longest * (0.5 + 0.5 * this.#random())
  }

  /** The task has started or is gone. */
  forget (task: string): void {
    this.#refusals.delete(task)
  }
}
