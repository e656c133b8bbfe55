/** A process that can be frozen, late, killed and started again, around one of the decision cores. */
import type { Timeline } from './timeline.ts'

interface Core<Event, Effect> {
  handle: (event: Event, now: number) => Effect[]
}

/** Interval of the event that carries time to a core, in milliseconds. */
const TICK = 50

/** Processor time in milliseconds, in which nothing else is handled; 0 for at once. */
export interface Costs<Event, Effect> {
  event: (event: Event) => number
  effect: (effect: Effect) => number
}

export interface ProcessOptions<Event, Effect> {
  /** @default none */
  costs?: Costs<Event, Effect>
  /** What one turn handles of the events that it finds, and in which order. @default all, in the order of their arrival */
  arrange?: (events: readonly Event[]) => readonly Event[]
}

const FREE = { event: () => 0, effect: () => 0 }

export class Process<Event, Effect> {
  readonly name: string
  readonly #timeline: Timeline
  readonly #make: () => Core<Event, Effect>
  readonly #carryOut: (effect: Effect) => void
  readonly #costs: Costs<Event, Effect>
  readonly #arrange: (events: readonly Event[]) => readonly Event[]
  /** Processor time used so far, in milliseconds. */
  used = 0
  readonly #tickEvent: Event
  #core: Core<Event, Effect> | undefined
  #incarnation = 0
  #frozen = false
  #waiting: Event[] = []
  /** Turns are taken only now and again until then. */
  #lateUntil = 0
  #late = false
  /** A tick is due at the next turn. */
  #tickDue = false
  /** Timers of this process that have run out since the last turn. */
  #expired: Array<() => void> = []
  /** The processor is busy with earlier events until then. */
  #busyUntil = 0

  constructor (name: string, timeline: Timeline, make: () => Core<Event, Effect>, tick: Event, carryOut: (effect: Effect) => void, { costs = FREE, arrange = events => events }: ProcessOptions<Event, Effect> = {}) {
    this.name = name
    this.#timeline = timeline
    this.#make = make
    this.#tickEvent = tick
    this.#carryOut = carryOut
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
    this.#core = this.#make()
    this.#frozen = false
    this.#late = false
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
   * For a while it takes turns only now and again: each finds all that has reached the process since the one before.
   *
   * @param pause time to the next turn, in milliseconds
   */
  delay (milliseconds: number, pause: () => number): void {
    if (this.#core === undefined) return
    this.#lateUntil = Math.max(this.#lateUntil, this.#timeline.now + milliseconds)
    if (this.#late) return
    this.#late = true
    this.#takeTurnsLate(this.#incarnation, pause)
  }

  /** A timer of the process: one that is late finds it when it takes its turn, after what has reached it until then. */
  after (milliseconds: number, run: () => void): void {
    const incarnation = this.#incarnation
    this.#timeline.after(milliseconds, () => {
      if (this.#core === undefined || incarnation !== this.#incarnation) return
      if (this.#frozen || this.#late) this.#expired.push(run)
      else run()
    })
  }

  /** Hands an event over; a frozen process finds it when it wakes, a late one with its next turn, a dead one never. */
  post (event: Event): void {
    if (this.#core === undefined) return
    if (this.#frozen || this.#late) {
      this.#waiting.push(event)
      return
    }
    const cost = this.#costs.event(event)
    const { now } = this.#timeline
    if (cost === 0 && now >= this.#busyUntil) return this.#handle(event)
    const incarnation = this.#incarnation
    this.#spend(cost)
    this.#timeline.after(this.#busyUntil - now, () => { if (incarnation === this.#incarnation) this.#handle(event) })
  }

  #handle (event: Event): void {
    if (this.#core === undefined) return
    if (this.#frozen) {
      this.#waiting.push(event)
      return
    }
    for (const effect of this.#core.handle(event, this.#timeline.now)) {
      this.#spend(this.#costs.effect(effect))
      this.#carryOut(effect)
    }
  }

  #takeTurnsLate (incarnation: number, pause: () => number): void {
    this.#timeline.after(pause(), () => {
      if (incarnation !== this.#incarnation || this.#core === undefined) return
      const ends = this.#timeline.now >= this.#lateUntil
      if (!this.#frozen) this.#takeTurn()
      if (ends) this.#late = false
      else this.#takeTurnsLate(incarnation, pause)
    })
  }

  /** Everything that has arrived is handled before any effect is carried out, as the daemons' loops do. */
  #takeTurn (): void {
    this.#handleAll(this.#arrived())
    const expired = this.#expired
    this.#expired = []
    for (const run of expired) run()
    this.#handleAll(this.#arrived())
  }

  /** What has arrived since the last turn; timers run before anything is read. */
  #arrived (): readonly Event[] {
    const events = this.#tickDue ? [this.#tickEvent, ...this.#waiting] : this.#waiting
    this.#waiting = []
    this.#tickDue = false
    return this.#arrange(events)
  }

  #handleAll (events: readonly Event[]): void {
    const effects = events.flatMap(event => {
      this.#spend(this.#costs.event(event))
      return this.#core?.handle(event, this.#timeline.now) ?? []
    })
    for (const effect of effects) {
      this.#spend(this.#costs.effect(effect))
      this.#carryOut(effect)
    }
  }

  #clear (): void {
    this.#waiting = []
    this.#expired = []
    this.#tickDue = false
  }

  #spend (milliseconds: number): void {
    this.used += milliseconds
    this.#busyUntil = Math.max(this.#timeline.now, this.#busyUntil) + milliseconds
  }

  #thaw (): void {
    this.#frozen = false
    if (this.#late) return this.#takeTurn()
    const events = this.#arrived()
    const expired = this.#expired
    this.#expired = []
    for (const event of events) this.post(event)
    for (const run of expired) run()
  }

  #tick (incarnation: number): void {
    if (incarnation !== this.#incarnation || this.#core === undefined) return
    if (this.#late) this.#tickDue = true
    else if (!this.#frozen) this.post(this.#tickEvent)
    this.#timeline.after(TICK, () => this.#tick(incarnation))
  }
}
