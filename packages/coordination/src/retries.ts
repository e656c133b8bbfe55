/**
 * Retries of tasks that provably did not start. A limited number is retried at once; beyond that budget the
 * delay doubles with each refusal, with jitter, so that a fleet that refuses everything does not receive a
 * growing rate of retries.
 */
import { MAX_RETRY_DELAY_MILLISECONDS, RETRIES_PER_DISPATCH, MAX_TRACKED_REFUSALS, MAX_SAVED_RETRIES, RETRY_DELAY_MILLISECONDS } from './schedulingdefaults.ts'

/** Original position of a task in the queue. */
export interface QueuePosition {
  enqueuedAt: number
  /** Instant that orders the task, lowest first. */
  key: number
}

interface RefusalRecord {
  count: number
  position: QueuePosition
}

/** Retry budget of one entry, and its refused tasks. */
export class RetryBudget {
  readonly #random: () => number
  readonly #refusals = new Map<string, RefusalRecord>()
  #budget = MAX_SAVED_RETRIES

  constructor (random: () => number) {
    this.#random = random
  }

  recordDispatch (): void {
    this.#budget = Math.min(MAX_SAVED_RETRIES, this.#budget + RETRIES_PER_DISPATCH)
  }

  recordRefusal (task: string, position: QueuePosition): void {
    const count = (this.#refusals.get(task)?.count ?? 0) + 1
    this.#refusals.delete(task)
    this.#refusals.set(task, { count, position })
    if (this.#refusals.size <= MAX_TRACKED_REFUSALS) return
    const oldest = this.#refusals.keys().next()
    if (oldest.done !== true) this.#refusals.delete(oldest.value)
  }

  /** The original position of a refused task; undefined when it was never refused. */
  position (task: string): QueuePosition | undefined {
    return this.#refusals.get(task)?.position
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
    const maximum = Math.min(MAX_RETRY_DELAY_MILLISECONDS, RETRY_DELAY_MILLISECONDS * 2 ** refusals)
    return maximum * (0.5 + 0.5 * this.#random())
  }

  /** Removes a task that has started or no longer exists. */
  remove (task: string): void {
    this.#refusals.delete(task)
  }
}
