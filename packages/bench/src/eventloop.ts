/** Event loop with virtual time. Events at the same instant run in the order in which they were scheduled. */

interface TimedEvent {
  at: number
  sequence: number
  run: () => void
}

function precedes (one: TimedEvent, other: TimedEvent): boolean {
  return one.at < other.at || (one.at === other.at && one.sequence < other.sequence)
}

/** Runs events under virtual time, in milliseconds from 0. */
export class EventLoop {
  readonly #events: TimedEvent[] = []
  #sequence = 0
  now = 0

  /** Schedules `run` for the given instant, or for the current one when that has passed. */
  at (instant: number, run: () => void): void {
    const event = { at: Math.max(this.now, instant), sequence: this.#sequence, run }
    this.#sequence += 1
    this.#events.push(event)
    this.#siftUp(this.#events.length - 1)
  }

  /** Schedules `run` to run after a delay. */
  after (milliseconds: number, run: () => void): void {
    this.at(this.now + milliseconds, run)
  }

  /** Runs all events up to and including the instant `until`. */
  run (until: number): void {
    while (true) {
      const event = this.#events[0]
      if (event === undefined || event.at > until) return
      this.#removeFirst()
      this.now = event.at
      event.run()
    }
  }

  #removeFirst (): void {
    const last = this.#events.pop() as TimedEvent
    if (this.#events.length === 0) return
    this.#events[0] = last
    this.#siftDown()
  }

  #siftUp (start: number): void {
    const event = this.#events[start] as TimedEvent
    let position = start
    while (position > 0) {
      const parent = (position - 1) >> 1
      if (!precedes(event, this.#events[parent] as TimedEvent)) break
      this.#events[position] = this.#events[parent] as TimedEvent
      position = parent
    }
    this.#events[position] = event
  }

  #siftDown (): void {
    const event = this.#events[0] as TimedEvent
    const size = this.#events.length
    let position = 0
    while (true) {
      let child = 2 * position + 1
      if (child >= size) break
      if (child + 1 < size && precedes(this.#events[child + 1] as TimedEvent, this.#events[child] as TimedEvent)) child += 1
      if (!precedes(this.#events[child] as TimedEvent, event)) break
      this.#events[position] = this.#events[child] as TimedEvent
      position = child
    }
    this.#events[position] = event
  }
}
