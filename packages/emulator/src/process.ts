/** A process that can be frozen, killed and started again, around one of the decision cores. */
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

const FREE = { event: () => 0, effect: () => 0 }

export class Process<Event, Effect> {
  readonly name: string
  readonly #timeline: Timeline
  readonly #make: () => Core<Event, Effect>
  readonly #carryOut: (effect: Effect) => void
  readonly #costs: Costs<Event, Effect>
  /** Processor time used so far, in milliseconds. */
  used = 0
  readonly #tickEvent: Event
  #core: Core<Event, Effect> | undefined
  #incarnation = 0
  #frozen = false
  #waiting: Event[] = []
  /** The processor is busy with earlier events until then. */
  #busyUntil = 0

  constructor (name: string, timeline: Timeline, make: () => Core<Event, Effect>, tick: Event, carryOut: (effect: Effect) => void, costs: Costs<Event, Effect> = FREE) {
    this.name = name
    this.#timeline = timeline
    this.#make = make
    this.#tickEvent = tick
    this.#carryOut = carryOut
    this.#costs = costs
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
    this.#waiting = []
    this.#busyUntil = 0
    this.#tick(this.#incarnation)
  }

  kill (): void {
    this.#core = undefined
    this.#waiting = []
  }

  freeze (milliseconds: number): void {
    if (this.#core === undefined || this.#frozen) return
    this.#frozen = true
    const incarnation = this.#incarnation
    this.#timeline.after(milliseconds, () => { if (incarnation === this.#incarnation) this.#thaw() })
  }

  /** Hands an event over; a frozen process finds it when it wakes, a dead one never. */
  post (event: Event): void {
    if (this.#core === undefined) return
    if (this.#frozen) {
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

  #spend (milliseconds: number): void {
    this.used += milliseconds
    this.#busyUntil = Math.max(this.#timeline.now, this.#busyUntil) + milliseconds
  }

  #thaw (): void {
    this.#frozen = false
    const events = this.#waiting
    this.#waiting = []
    for (const event of events) this.post(event)
  }

  #tick (incarnation: number): void {
    if (incarnation !== this.#incarnation || this.#core === undefined) return
    if (!this.#frozen) this.post(this.#tickEvent)
    this.#timeline.after(TICK, () => this.#tick(incarnation))
  }
}
