/** An emulated process around an entry or agent core. It can be frozen, delayed, killed and restarted. */
import type { Timeline } from './timeline.ts'

interface Core<Event, Effect> {
  handle: (event: Event, now: number) => Effect[]
}

/** Interval of the event that carries time to a core, in milliseconds. */
const TICK_INTERVAL = 50

/** Processor time of an event or effect, in milliseconds. Later events wait that long; 0 handles an event at once. */
export interface Costs<Event, Effect> {
  event: (event: Event) => number
  effect: (effect: Effect) => number
}

export interface ProcessOptions<Event, Effect> {
  /** @default none */
  costs?: Costs<Event, Effect>
  /** Selects the pending events that a turn handles, and their order. @default all, in the order of their arrival */
  arrange?: (events: readonly Event[]) => readonly Event[]
}

const NO_COSTS = { event: () => 0, effect: () => 0 }

/**
 * Passes events to a core and executes its effects. Each start creates a new core and begins a new incarnation; the timers and
 * pending events of the previous one are dropped.
 */
export class Process<Event, Effect> {
  readonly name: string
  readonly #timeline: Timeline
  readonly #createCore: () => Core<Event, Effect>
  readonly #executeEffect: (effect: Effect) => void
  readonly #costs: Costs<Event, Effect>
  readonly #arrange: (events: readonly Event[]) => readonly Event[]
  /** Processor time used so far, in milliseconds. */
  used = 0
  readonly #tickEvent: Event
  #core: Core<Event, Effect> | undefined
  #incarnation = 0
  #frozen = false
  #pendingEvents: Event[] = []
  /** End of the period in which the process runs only occasional turns, on the timeline. */
  #delayedUntil = 0
  #delayed = false
  /** Whether the next turn starts with a tick. Several missed ticks count as one. */
  #tickDue = false
  /** Timers that came due while the process was frozen or delayed. */
  #dueTimers: Array<() => void> = []
  /** When the processor has finished the earlier events, on the timeline. */
  #busyUntil = 0

  constructor (name: string, timeline: Timeline, createCore: () => Core<Event, Effect>, tick: Event, executeEffect: (effect: Effect) => void, { costs = NO_COSTS, arrange = events => events }: ProcessOptions<Event, Effect> = {}) {
    this.name = name
    this.#timeline = timeline
    this.#createCore = createCore
    this.#tickEvent = tick
    this.#executeEffect = executeEffect
    this.#costs = costs
    this.#arrange = arrange
  }

  get incarnation (): number {
    return this.#incarnation
  }

  get alive (): boolean {
    return this.#core !== undefined
  }

  get frozen (): boolean {
    return this.#frozen
  }

  start (): void {
    this.#incarnation += 1
    this.#core = this.#createCore()
    this.#frozen = false
    this.#delayed = false
    this.#clear()
    this.#busyUntil = 0
    this.#tick(this.#incarnation)
  }

  kill (): void {
    this.#core = undefined
    this.#clear()
  }

  freeze (milliseconds: number): void {
    if (this.#core === undefined || this.#frozen) return
    this.#frozen = true
    const incarnation = this.#incarnation
    this.#timeline.after(milliseconds, () => { if (incarnation === this.#incarnation) this.#thaw() })
  }

  /**
   * For a while the process runs only occasional turns. Each handles everything that has arrived since the previous one.
   *
   * @param interval returns the time to the next turn, in milliseconds
   */
  delay (milliseconds: number, interval: () => number): void {
    if (this.#core === undefined) return
    this.#delayedUntil = Math.max(this.#delayedUntil, this.#timeline.now + milliseconds)
    if (this.#delayed) return
    this.#delayed = true
    this.#scheduleTurns(this.#incarnation, interval)
  }

  /** Starts a timer of the process. While the process is delayed, a due timer runs in the next turn, after the events that arrived before it. */
  after (milliseconds: number, run: () => void): void {
    const incarnation = this.#incarnation
    this.#timeline.after(milliseconds, () => {
      if (this.#core === undefined || incarnation !== this.#incarnation) return
      if (this.#frozen || this.#delayed) this.#dueTimers.push(run)
      else run()
    })
  }

  /** Delivers an event. A frozen process handles it on waking, a delayed one in its next turn; a dead one drops it. */
  post (event: Event): void {
    if (this.#core === undefined) return
    if (this.#frozen || this.#delayed) {
      this.#pendingEvents.push(event)
      return
    }
    const cost = this.#costs.event(event)
    const { now } = this.#timeline
    if (cost === 0 && now >= this.#busyUntil) return this.#handle(event)
    const incarnation = this.#incarnation
    this.#useProcessor(cost)
    this.#timeline.after(this.#busyUntil - now, () => { if (incarnation === this.#incarnation) this.#handle(event) })
  }

  #handle (event: Event): void {
    if (this.#core === undefined) return
    if (this.#frozen) {
      this.#pendingEvents.push(event)
      return
    }
    for (const effect of this.#core.handle(event, this.#timeline.now)) {
      this.#useProcessor(this.#costs.effect(effect))
      this.#executeEffect(effect)
    }
  }

  #scheduleTurns (incarnation: number, interval: () => number): void {
    this.#timeline.after(interval(), () => {
      if (incarnation !== this.#incarnation || this.#core === undefined) return
      const isLast = this.#timeline.now >= this.#delayedUntil
      if (!this.#frozen) this.#runTurn()
      if (isLast) this.#delayed = false
      else this.#scheduleTurns(incarnation, interval)
    })
  }

  /** Handles all pending events before executing any of their effects, as the event loops of the daemons do. */
  #runTurn (): void {
    this.#handleAll(this.#takePendingEvents())
    const timers = this.#dueTimers
    this.#dueTimers = []
    for (const run of timers) run()
    this.#handleAll(this.#takePendingEvents())
  }

  /** Events since the last turn. The tick comes first, because an event loop runs its timers before it reads its sockets. */
  #takePendingEvents (): readonly Event[] {
    const events = this.#tickDue ? [this.#tickEvent, ...this.#pendingEvents] : this.#pendingEvents
    this.#pendingEvents = []
    this.#tickDue = false
    return this.#arrange(events)
  }

  #handleAll (events: readonly Event[]): void {
    const effects = events.flatMap(event => {
      this.#useProcessor(this.#costs.event(event))
      return this.#core?.handle(event, this.#timeline.now) ?? []
    })
    for (const effect of effects) {
      this.#useProcessor(this.#costs.effect(effect))
      this.#executeEffect(effect)
    }
  }

  #clear (): void {
    this.#pendingEvents = []
    this.#dueTimers = []
    this.#tickDue = false
  }

  #useProcessor (milliseconds: number): void {
    this.used += milliseconds
    this.#busyUntil = Math.max(this.#timeline.now, this.#busyUntil) + milliseconds
  }

  #thaw (): void {
    this.#frozen = false
    if (this.#delayed) return this.#runTurn()
    const events = this.#takePendingEvents()
    const timers = this.#dueTimers
    this.#dueTimers = []
    for (const event of events) this.post(event)
    for (const run of timers) run()
  }

  #tick (incarnation: number): void {
    if (incarnation !== this.#incarnation || this.#core === undefined) return
    if (this.#delayed) this.#tickDue = true
    else if (!this.#frozen) this.post(this.#tickEvent)
    this.#timeline.after(TICK_INTERVAL, () => this.#tick(incarnation))
  }
}
