/** Virtual time: actions run in order of their instant, and time does not advance while one runs. */

interface ScheduledAction {
  at: number
  sequence: number
  action: () => void
}

function before (left: ScheduledAction, right: ScheduledAction): boolean {
  return left.at < right.at || (left.at === right.at && left.sequence < right.sequence)
}

/** A clock with a queue of actions. Instants are in milliseconds since the start of the simulation. */
export class Timeline {
  readonly #heap: ScheduledAction[] = []
  #now = 0
  #sequence = 0

  get now (): number {
    return this.#now
  }

  after (delay: number, action: () => void): void {
    this.#sequence += 1
    this.#insert({ at: this.#now + Math.max(0, delay), sequence: this.#sequence, action })
  }

  /**
   * Runs every action due within `duration`. `afterEach` is called after each one and stops the run by
   * returning true.
   */
  advance (duration: number, afterEach: () => boolean): void {
    const end = this.#now + duration
    for (let next = this.#heap[0]; next !== undefined && next.at <= end; next = this.#heap[0]) {
      this.#pop()
      this.#now = next.at
      next.action()
      if (afterEach()) return
    }
    this.#now = end
  }

  #insert (added: ScheduledAction): void {
    const heap = this.#heap
    let index = heap.length
    heap.push(added)
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!before(added, heap[parent] as ScheduledAction)) break
      heap[index] = heap[parent] as ScheduledAction
      index = parent
    }
    heap[index] = added
  }

  #pop (): void {
    const heap = this.#heap
    const last = heap.pop() as ScheduledAction
    if (heap.length === 0) return
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && before(heap[child + 1] as ScheduledAction, heap[child] as ScheduledAction)) child += 1
      if (!before(heap[child] as ScheduledAction, last)) break
      heap[index] = heap[child] as ScheduledAction
      index = child
    }
    heap[index] = last
  }
}
