/**
 * Links between processes. A link delivers in order while it is up. Cuts in one or both directions happen
 * at any moment and are detected early, late or never. Copies of some messages arrive again later: out of
 * order, after their link is closed, and at the new incarnation of the receiving process.
 */
import type { Instance } from '../src/messages.ts'
import type { SeededRandom } from './seededrandom.ts'
import type { Timeline } from './timeline.ts'
import { idOf as computeIdOf } from '../src/view.ts'

const MAX_FAST_LATENCY = 3
const MAX_SLOW_LATENCY = 900
const MAX_QUICK_DETECTION = 40
const MAX_LATE_DETECTION = 4000
const LATE_DETECTION_PROBABILITY = 0.4
const LATE_DELIVERY_PROBABILITY = 0.4
const MAX_REPEAT_DELAY = 5000

/** Messages that may arrive twice and out of order. All others are delivered on their own link only. */
const REPEATABLE_MESSAGES = new Set(['dispatch', 'result', 'submit', 'submitted', 'answer', 'cancel', 'receipt', 'receiptKept', 'recall', 'recalled', 'transfer', 'acknowledge'])

/** Any message of the internal protocol. */
export interface AnyMessage {
  case: string
  value: unknown
}

interface Envelope {
  from: Instance
  to: Instance
  message: AnyMessage
}

interface LinkEnd {
  instance: Instance
  open: boolean
  /** Instant at which the last message to this end arrives. */
  lastArrival: number
  /** Messages to this end that a cut holds back. */
  held: Envelope[]
}

interface Link {
  ends: [LinkEnd, LinkEnd]
}

/** The processes, as the network queries and notifies them. */
export interface NetworkHost {
  alive: (instance: Instance) => boolean
  /** The running process with this id, if any. */
  current: (id: string) => Instance | undefined
  deliver: (to: Instance, from: Instance, message: AnyMessage) => void
  linkUp: (at: Instance, with_: Instance) => void
  linkDown: (at: Instance, with_: Instance) => void
}

const ids = new Map<Instance, string>()

/** Id of a process without its incarnation; cached, because it is needed for each message. */
function idOf (instance: Instance): string {
  const known = ids.get(instance)
  if (known !== undefined) return known
  const id = computeIdOf(instance)
  ids.set(instance, id)
  return id
}

function pairOf (left: Instance, right: Instance): string {
  return left < right ? `${left}|${right}` : `${right}|${left}`
}

/** The simulated network between entries and agents. */
export class Network {
  readonly #timeline: Timeline
  readonly #chance: SeededRandom
  readonly #host: NetworkHost
  readonly #links = new Map<string, Link>()
  /** Cut directions, as `from>to` by id, with the instant at which each one heals. */
  readonly #cuts = new Map<string, number>()
  #slowUntil = 0
  #repeatUntil = 0
  #repeatProbability = 0.02

  constructor (timeline: Timeline, chance: SeededRandom, host: NetworkHost) {
    this.#timeline = timeline
    this.#chance = chance
    this.#host = host
  }

  slow (duration: number): void {
    this.#slowUntil = this.#timeline.now + duration
  }

  /** For this duration, half of all repeatable messages are delivered a second time. */
  repeat (duration: number): void {
    this.#repeatUntil = this.#timeline.now + duration
  }

  cut (from: string, to: string, duration: number): void {
    const until = this.#timeline.now + duration
    this.#cuts.set(`${from}>${to}`, Math.max(until, this.#cuts.get(`${from}>${to}`) ?? 0))
    this.#timeline.after(duration + 0.001, () => this.#release())
    for (const link of this.#links.values()) {
      const joined = link.ends.map(end => idOf(end.instance))
      if (!joined.includes(from) || !joined.includes(to) || !this.#chance.happens(0.7)) continue
      this.#breakLater(link)
    }
  }

  isolated (left: string, right: string): boolean {
    return this.isCut(left, right) || this.isCut(right, left)
  }

  isCut (from: string, to: string): boolean {
    if (this.#cuts.size === 0) return false
    return (this.#cuts.get(`${from}>${to}`) ?? 0) > this.#timeline.now
  }

  heal (): void {
    this.#cuts.clear()
    this.#slowUntil = 0
    this.#repeatUntil = 0
    this.#repeatProbability = 0
    this.#release()
  }

  linked (left: Instance, right: Instance): boolean {
    const link = this.#links.get(pairOf(left, right))
    return link !== undefined && link.ends.every(end => end.open)
  }

  /** Whether no process considers a link open that the other end has lost. */
  settled (): boolean {
    for (const { ends: [left, right] } of this.#links.values()) {
      if (left.open === right.open) continue
      if (this.#host.alive(left.open ? left.instance : right.instance)) return false
    }
    return [...this.#links.values()].every(({ ends }) => !ends[0].open || ends.every(end => this.#host.alive(end.instance)))
  }

  connect (left: Instance, right: Instance): void {
    const old = this.#links.get(pairOf(left, right))
    if (old !== undefined) for (const end of old.ends) this.#closeEnd(old, end)
    const link: Link = { ends: [this.#createEnd(left), this.#createEnd(right)] }
    this.#links.set(pairOf(left, right), link)
    this.#host.linkUp(left, right)
    this.#host.linkUp(right, left)
  }

  /** Closes a link cleanly, at the request of one end. */
  close (left: Instance, right: Instance): void {
    const link = this.#links.get(pairOf(left, right))
    if (link !== undefined) for (const end of link.ends) this.#timeline.after(this.#latency(), () => this.#closeEnd(link, end))
  }

  /** Breaks the links of an ended process; the other ends detect it after a delay. */
  ended (instance: Instance): void {
    for (const link of this.#links.values()) {
      const [left, right] = link.ends
      if (left.instance !== instance && right.instance !== instance) continue
      this.#breakLater(link)
    }
  }

  breakLink (left: Instance, right: Instance): void {
    const link = this.#links.get(pairOf(left, right))
    if (link !== undefined) this.#breakLater(link)
  }

  send (from: Instance, to: Instance, message: AnyMessage): void {
    const link = this.#links.get(pairOf(from, to))
    const end = link?.ends.find(candidate => candidate.instance === to)
    if (link === undefined || end === undefined) return
    const envelope = { from, to, message }
    if (REPEATABLE_MESSAGES.has(message.case)) this.#repeatByChance(envelope)
    if (this.isCut(idOf(from), idOf(to)) || end.held.length > 0) {
      end.held.push(envelope)
      return
    }
    this.#transmit(end, envelope)
  }

  #transmit (end: LinkEnd, envelope: Envelope): void {
    const arrival = Math.max(end.lastArrival, this.#timeline.now + this.#latency())
    end.lastArrival = arrival
    this.#timeline.after(arrival - this.#timeline.now, () => this.#arrive(end, envelope))
  }

  #arrive (end: LinkEnd, envelope: Envelope): void {
    if (this.isCut(idOf(envelope.from), idOf(envelope.to))) {
      end.held.push(envelope)
      return
    }
    if (end.open) {
      this.#host.deliver(envelope.to, envelope.from, envelope.message)
      return
    }
    if (REPEATABLE_MESSAGES.has(envelope.message.case) && this.#chance.happens(LATE_DELIVERY_PROBABILITY)) this.#deliverLate(envelope)
  }

  #repeatByChance (envelope: Envelope): void {
    const probability = this.#timeline.now < this.#repeatUntil ? 0.5 : this.#repeatProbability
    if (!this.#chance.happens(probability)) return
    this.#timeline.after(this.#chance.between(0, MAX_REPEAT_DELAY), () => this.#deliverLate(envelope))
  }

  /**
   * Delivers a copy outside of any link: to the process it was sent to or, for a dispatch, to its new
   * incarnation.
   */
  #deliverLate (envelope: Envelope): void {
    if (this.isCut(idOf(envelope.from), idOf(envelope.to))) return
    const current = this.#host.current(idOf(envelope.to))
    if (current === envelope.to || (current !== undefined && envelope.message.case === 'dispatch')) {
      this.#host.deliver(current, envelope.from, envelope.message)
    }
  }

  #release (): void {
    for (const link of this.#links.values()) {
      for (const end of link.ends) {
        const first = end.held[0]
        if (first === undefined || this.isCut(idOf(first.from), idOf(first.to))) continue
        const held = end.held.splice(0)
        for (const envelope of held) this.#transmit(end, envelope)
      }
    }
  }

  #breakLater (link: Link): void {
    for (const end of link.ends) {
      const late = this.#chance.happens(LATE_DETECTION_PROBABILITY)
      this.#timeline.after(this.#chance.between(0, late ? MAX_LATE_DETECTION : MAX_QUICK_DETECTION), () => this.#closeEnd(link, end))
    }
  }

  #closeEnd (link: Link, end: LinkEnd): void {
    if (!end.open) return
    end.open = false
    const other = link.ends[0] === end ? link.ends[1] : link.ends[0]
    if (this.#host.alive(end.instance)) this.#host.linkDown(end.instance, other.instance)
  }

  #createEnd (instance: Instance): LinkEnd {
    return { instance, open: true, lastArrival: 0, held: [] }
  }

  #latency (): number {
    const slow = this.#timeline.now < this.#slowUntil && this.#chance.happens(0.5)
    return this.#chance.between(0.3, slow ? MAX_SLOW_LATENCY : MAX_FAST_LATENCY)
  }
}
