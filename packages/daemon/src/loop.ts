/**
 * The daemon's event queue. Events of all adapters are batched per turn of Node's event loop and
 * emitted as a stream, which `runLoop` feeds through the decision logic.
 */
import type { Disposable, Scheduler, Sink } from 'most'
import { Stream } from 'most'

/** Batches events and emits those of one turn together: urgent ones first, then the others in order. */
export class Loop<Event> {
  /** Events that are handled before the others of their turn. */
  #urgent: Event[] = []
  #pending: Event[] = []
  /** Events that are handled one turn later. */
  #deferred: Event[] = []
  #scheduled = false
  #sink: Sink<Event[]> | undefined
  #scheduler: Scheduler | undefined

  /** Adds an event. It is handled in a later phase of this turn, never synchronously. */
  post (event: Event): void {
    this.#pending.push(event)
    this.#schedule()
  }

  /** Adds an event that is handled before all others of its turn, regardless of the order in which they were read. */
  postUrgent (event: Event): void {
    this.#urgent.push(event)
    this.#schedule()
  }

  /**
   * Adds an event that is handled in the turn after the current one, once everything that has arrived by now has been read.
   * Node reads each connection at most once per turn, and reads the end of a connection only after the data before it.
   */
  postDeferred (event: Event): void {
    this.#deferred.push(event)
    this.#schedule()
  }

  /** Removes matching events that have not been handled yet, and returns them. */
  withdraw (matches: (event: Event) => boolean): Event[] {
    const withdrawn = [...this.#pending, ...this.#deferred].filter(matches)
    if (withdrawn.length === 0) return withdrawn
    this.#pending = this.#pending.filter(event => !withdrawn.includes(event))
    this.#deferred = this.#deferred.filter(event => !withdrawn.includes(event))
    return withdrawn
  }

  /** Stream of the events of each turn. Supports one observer at a time, which also receives events posted before it subscribed. */
  turns (): Stream<Event[]> {
    return new Stream({ run: (sink, scheduler) => this.#observe(sink, scheduler) })
  }

  /** Ends the stream and discards all events that have not been handled. */
  end (): void {
    const sink = this.#sink
    this.#sink = undefined
    this.#urgent = []
    this.#pending = []
    this.#deferred = []
    sink?.end(this.#time())
  }

  #observe (sink: Sink<Event[]>, scheduler: Scheduler): Disposable<Event[]> {
    this.#sink = sink
    this.#scheduler = scheduler
    if (this.#urgent.length + this.#pending.length + this.#deferred.length > 0) this.#schedule()
    return { dispose: () => { this.#sink = undefined } }
  }

  #schedule (): void {
    if (this.#scheduled || this.#sink === undefined) return
    this.#scheduled = true
    setImmediate(() => this.#turn())
  }

  #turn (): void {
    this.#scheduled = false
    const sink = this.#sink
    if (sink === undefined) return
    const events = this.#urgent.length === 0 ? this.#pending : [...this.#urgent, ...this.#pending]
    this.#urgent = []
    this.#pending = this.#deferred
    this.#deferred = []
    if (events.length > 0) this.#emit(sink, events)
    if (this.#pending.length > 0) this.#schedule()
  }

  #emit (sink: Sink<Event[]>, events: Event[]): void {
    try {
      sink.event(this.#time(), events)
    } catch (error) {
      sink.error(this.#time(), error as Error)
    }
  }

  #time (): number {
    return this.#scheduler?.now() ?? 0
  }
}

/** Decision logic that the loop can run: returns the effects of each event. */
export interface DecisionLogic<Event, Effect> {
  handle: (event: Event, now: number) => Effect[]
}

/** One handler for each type of effect. */
export type EffectHandlers<Effect extends { type: string }> = {
  [Type in Effect['type']]: (effect: Extract<Effect, { type: Type }>) => void
}

/**
 * Feeds the events of a loop through the decision logic and executes the resulting effects.
 *
 * @param now monotonic clock of the process in milliseconds
 * @returns settles when the loop ends; rejects with the error that the logic or a handler threw
 */
export async function runLoop<Event, Effect extends { type: string }> (
  loop: Loop<Event>, core: DecisionLogic<Event, Effect>, handlers: EffectHandlers<Effect>, now: () => number
): Promise<void> {
  const table = handlers as unknown as Record<string, (effect: Effect) => void>
  await loop.turns()
    .scan<Effect[]>((_previous, events) => effectsOf(core, events, now()), [])
    .observe(effects => {
      for (const effect of effects) table[effect.type]?.(effect)
    })
}

function effectsOf<Event, Effect> (core: DecisionLogic<Event, Effect>, events: Event[], now: number): Effect[] {
  return events.flatMap(event => core.handle(event, now))
}
