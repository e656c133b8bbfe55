/**
 * The daemon's one loop: events from all edges, gathered per turn of Node's event loop, as a
 * stream that is scanned through the decision logic.
 */
import type { Disposable, Scheduler, Sink } from 'most'
import { Stream } from 'most'

/** Gathers events and hands them out all of one turn together, in order but for those that go first. */
export class Loop<Event> {
  /** Events that go before the others of their turn. */
  #first: Event[] = []
  #waiting: Event[] = []
  /** Events that wait for one more turn. */
  #later: Event[] = []
  #scheduled = false
  #sink: Sink<Event[]> | undefined
  #scheduler: Scheduler | undefined

  /** Adds an event; it is handled in a later phase of this turn, never inside this call. */
  post (event: Event): void {
    this.#waiting.push(event)
    this.#schedule()
  }

  /** Adds an event that is handled before all others of its turn, whichever was read first. */
  postFirst (event: Event): void {
    this.#first.push(event)
    this.#schedule()
  }

  /**
   * Adds an event that is handled once everything has been read that had arrived by now: in the turn after the present one.
   * Node reads each connection at most once in a turn, and reads one's end only after what came before it.
   */
  postLater (event: Event): void {
    this.#later.push(event)
    this.#schedule()
  }

  /** Takes events back that are not handled yet; gives them. */
  withdraw (matches: (event: Event) => boolean): Event[] {
    const withdrawn = [...this.#waiting, ...this.#later].filter(matches)
    if (withdrawn.length === 0) return withdrawn
    this.#waiting = this.#waiting.filter(event => !withdrawn.includes(event))
    this.#later = this.#later.filter(event => !withdrawn.includes(event))
    return withdrawn
  }

  /** The stream of turns. One observer at a time; it starts with what was posted before. */
  turns (): Stream<Event[]> {
    return new Stream({ run: (sink, scheduler) => this.#observe(sink, scheduler) })
  }

  /** Ends the stream: what was not handled by now never is. */
  end (): void {
    const sink = this.#sink
    this.#sink = undefined
    this.#first = []
    this.#waiting = []
    this.#later = []
    sink?.end(this.#time())
  }

  #observe (sink: Sink<Event[]>, scheduler: Scheduler): Disposable<Event[]> {
    this.#sink = sink
    this.#scheduler = scheduler
    if (this.#first.length + this.#waiting.length + this.#later.length > 0) this.#schedule()
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
    const events = this.#first.length === 0 ? this.#waiting : [...this.#first, ...this.#waiting]
    this.#first = []
    this.#waiting = this.#later
    this.#later = []
    if (events.length > 0) this.#handOut(sink, events)
    if (this.#waiting.length > 0) this.#schedule()
  }

  #handOut (sink: Sink<Event[]>, events: Event[]): void {
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

/** The decision logic as the loop sees it. */
export interface Core<Event, Effect> {
  handle: (event: Event, now: number) => Effect[]
}

/** One handler for each kind of effect. */
export type EffectHandlers<Effect extends { type: string }> = {
  [Type in Effect['type']]: (effect: Extract<Effect, { type: Type }>) => void
}

/**
 * Scans the events of a loop through the decision logic and carries out its effects.
 *
 * @param now clock of the process in milliseconds, never set back
 * @returns settles when the loop ends; rejects with what the logic or a handler threw
 */
export async function runLoop<Event, Effect extends { type: string }> (
  loop: Loop<Event>, core: Core<Event, Effect>, handlers: EffectHandlers<Effect>, now: () => number
): Promise<void> {
  const table = handlers as unknown as Record<string, (effect: Effect) => void>
  await loop.turns()
    .scan<Effect[]>((_previous, events) => effectsOf(core, events, now()), [])
    .observe(effects => {
      for (const effect of effects) table[effect.type]?.(effect)
    })
}

function effectsOf<Event, Effect> (core: Core<Event, Effect>, events: Event[], now: number): Effect[] {
  return events.flatMap(event => core.handle(event, now))
}
