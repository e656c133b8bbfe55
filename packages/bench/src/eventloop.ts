/** Virtual time: a queue of events in order of their instant, and of their making where that is equal. */

interface TimedEvent {
  at: number
  order: number
  run: () => void
}

function before (one: TimedEvent, other: TimedEvent): boolean {
  return one.at < other.at || (one.at === other.at && one.order < other.order)
}

/** Runs events under virtual time, in milliseconds from 0. */
export class EventLoop {
  readonly #events: TimedEvent[] = []
  #order = 0
  now = 0

  /** Runs `run` at the given instant, or now when that has passed. */
  at (instant: number, run: () => void): void {
    const event = { at: Math.max(this.now, instant), order: this.#order, run }
    this.#order += 1
    this.#events.push(event)
    this.#rise(this.#events.length - 1)
  }

  after (milliseconds: number, run: () => void): void {
    this.at(this.now + milliseconds, run)
  }

  /** Runs until no event is left or the instant is reached. */
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
    this.#sink()
  }

  #rise (start: number): void {
    const event = this.#events[start] as TimedEvent
    let position = start
    while (position > 0) {
      const parent = (position - 1) >> 1
      if (!before(event, this.#events[parent] as TimedEvent)) break
      this.#events[position] = this.#events[parent] as TimedEvent
      position = parent
    }
    this.#events[position] = event
  }

  #sink (): void {
    const event = this.#events[0] as TimedEvent
    const size = this.#events.length
    let position = 0
    while (true) {
      let child = 2 * position + 1
      if (child >= size) break
      if (child + 1 < size && before(this.#events[child + 1] as TimedEvent, this.#events[child] as TimedEvent)) child += 1
      if (!before(this.#events[child] as TimedEvent, event)) break
      this.#events[position] = this.#events[child] as TimedEvent
      position = child
    }
    this.#events[position] = event
  }
}
