/** Virtual time: actions run in order of their instant, and time stands still while one runs. */

interface Planned {
  at: number
  sequence: number
  action: () => void
}

function before (left: Planned, right: Planned): boolean {
  return left.at < right.at || (left.at === right.at && left.sequence < right.sequence)
}

/** A clock with a queue of actions. Instants are in milliseconds since the start of the world. */
export class Timeline {
  readonly #heap: Planned[] = []
  #now = 0
  #sequence = 0

  get now (): number {
    return this.#now
  }

  after (delay: number, action: () => void): void {
    this.#sequence += 1
    this.#push({ at: this.#now + Math.max(0, delay), sequence: this.#sequence, action })
  }

  /** Runs every action due within `duration`; `afterEach` runs after every one. */
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

  #push (planned: Planned): void {
    const heap = this.#heap
    let index = heap.length
    heap.push(planned)
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!before(planned, heap[parent] as Planned)) break
      heap[index] = heap[parent] as Planned
      index = parent
    }
    heap[index] = planned
  }

  #pop (): void {
    const heap = this.#heap
    const last = heap.pop() as Planned
    if (heap.length === 0) return
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && before(heap[child + 1] as Planned, heap[child] as Planned)) child += 1
      if (!before(heap[child] as Planned, last)) break
      heap[index] = heap[child] as Planned
      index = child
    }
    heap[index] = last
  }
}
