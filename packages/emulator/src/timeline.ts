/** Virtual time. Actions run in the order of their times; actions of the same time run in the order in which they were scheduled. */
import { IndexedHeap } from '@amaranthmast/coordination/heap'

type Action = () => void

/** A virtual clock with scheduled actions. Times in milliseconds. */
export class Timeline {
  readonly #actions = new IndexedHeap<{ run: Action }>()
  #now = 0
  #count = 0

  get now (): number {
    return this.#now
  }

  after (milliseconds: number, run: Action): void {
    this.#count += 1
    this.#actions.set({ run }, this.#now + milliseconds, this.#count)
  }

  /** Runs all actions that are due by `end`, and sets the clock to it. */
  runUntil (end: number): void {
    while ((this.#actions.peekKey() ?? Infinity) <= end) {
      this.#now = this.#actions.peekKey() as number
      this.#actions.pop()?.run()
    }
    this.#now = end
  }
}
