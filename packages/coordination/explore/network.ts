/**
 * Links between processes: first in, first out while they last, cut one way or both ways at any
 * moment, noticed early, late or never. Copies of some messages arrive again later, out of order,
 * over links that are long gone, and at the successor of the process that they were meant for.
 */
import type { Instance } from '../src/messages.ts'
import type { Chance } from './chance.ts'
import type { Timeline } from './timeline.ts'
import { idOf as computeIdOf } from '../src/view.ts'

const FAST_LEG = 3
const SLOW_LEG = 900
const QUICK_NOTICE = 40
const SLOW_NOTICE = 4000
const LATE_NOTICE_PROBABILITY = 0.4
const SURVIVES_LINK_PROBABILITY = 0.4
const LONGEST_LATENESS = 5000

/** Messages that may arrive twice and out of order. The others belong to their link. */
const REPEATABLE_MESSAGES = new Set(['dispatch', 'result', 'submit', 'submitted', 'answer', 'cancel', 'receipt', 'receiptKept', 'recall', 'recalled', 'transfer', 'acknowledge'])

/** Any message of the inner protocol. */
export interface AnyMessage {
  case: string
  value: unknown
}

interface Parcel {
  from: Instance
  to: Instance
  message: AnyMessage
}

interface End {
  instance: Instance
  open: boolean
  /** Instant at which the last message towards this end arrives. */
  lastArrival: number
  /** Messages towards this end that a cut holds back. */
  held: Parcel[]
}

interface Link {
  ends: [End, End]
}

/** What the network does to processes. */
export interface NetworkHost {
  alive: (instance: Instance) => boolean
  /** The process that has this id now, if any. */
  current: (id: string) => Instance | undefined
  deliver: (to: Instance, from: Instance, message: AnyMessage) => void
  linkUp: (at: Instance, with_: Instance) => void
  linkDown: (at: Instance, with_: Instance) => void
}

const ids = new Map<Instance, string>()

/** Id of a process without its incarnation; looked up, because the network asks for each message. */
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

export class Network {
  readonly #timeline: Timeline
  readonly #chance: Chance
  readonly #host: NetworkHost
  readonly #links = new Map<string, Link>()
  /** Cut directions, `from>to` by id, with the instant at which each heals. */
  readonly #cuts = new Map<string, number>()
  #slowUntil = 0
  #repeatUntil = 0
  #repeatProbability = 0.02

  constructor (timeline: Timeline, chance: Chance, host: NetworkHost) {
    this.#timeline = timeline
    this.#chance = chance
    this.#host = host
  }

  slow (duration: number): void {
    this.#slowUntil = this.#timeline.now + duration
  }

  /** For a while, half of all messages that may arrive again do. */
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

  /** Whether nobody holds a link for open that the other end has lost. */
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
    const link: Link = { ends: [this.#newEnd(left), this.#newEnd(right)] }
    this.#links.set(pairOf(left, right), link)
    this.#host.linkUp(left, right)
    this.#host.linkUp(right, left)
  }

  /** One end closes the link in good order. */
  close (left: Instance, right: Instance): void {
    const link = this.#links.get(pairOf(left, right))
    if (link !== undefined) for (const end of link.ends) this.#timeline.after(this.#leg(), () => this.#closeEnd(link, end))
  }

  /** A process has ended: its links break, and the other ends notice when the way is open. */
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
    const parcel = { from, to, message }
    if (REPEATABLE_MESSAGES.has(message.case)) this.#maybeRepeat(parcel)
    if (this.isCut(idOf(from), idOf(to)) || end.held.length > 0) {
      end.held.push(parcel)
      return
    }
    this.#transmit(end, parcel)
  }

  #transmit (end: End, parcel: Parcel): void {
    const arrival = Math.max(end.lastArrival, this.#timeline.now + this.#leg())
    end.lastArrival = arrival
    this.#timeline.after(arrival - this.#timeline.now, () => this.#arrive(end, parcel))
  }

  #arrive (end: End, parcel: Parcel): void {
    if (this.isCut(idOf(parcel.from), idOf(parcel.to))) {
      end.held.push(parcel)
      return
    }
    if (end.open) {
      this.#host.deliver(parcel.to, parcel.from, parcel.message)
      return
    }
    if (REPEATABLE_MESSAGES.has(parcel.message.case) && this.#chance.happens(SURVIVES_LINK_PROBABILITY)) this.#deliverLate(parcel)
  }

  #maybeRepeat (parcel: Parcel): void {
    const probability = this.#timeline.now < this.#repeatUntil ? 0.5 : this.#repeatProbability
    if (!this.#chance.happens(probability)) return
    this.#timeline.after(this.#chance.between(0, LONGEST_LATENESS), () => this.#deliverLate(parcel))
  }

  /** A copy without a link: at the process that it was meant for or, for a dispatch, its successor. */
  #deliverLate (parcel: Parcel): void {
    if (this.isCut(idOf(parcel.from), idOf(parcel.to))) return
    const current = this.#host.current(idOf(parcel.to))
    if (current === parcel.to || (current !== undefined && parcel.message.case === 'dispatch')) {
      this.#host.deliver(current, parcel.from, parcel.message)
    }
  }

  #release (): void {
    for (const link of this.#links.values()) {
      for (const end of link.ends) {
        const first = end.held[0]
        if (first === undefined || this.isCut(idOf(first.from), idOf(first.to))) continue
        const held = end.held.splice(0)
        for (const parcel of held) this.#transmit(end, parcel)
      }
    }
  }

  #breakLater (link: Link): void {
    for (const end of link.ends) {
      const late = this.#chance.happens(LATE_NOTICE_PROBABILITY)
      this.#timeline.after(this.#chance.between(0, late ? SLOW_NOTICE : QUICK_NOTICE), () => this.#closeEnd(link, end))
    }
  }

  #closeEnd (link: Link, end: End): void {
    if (!end.open) return
    end.open = false
    const other = link.ends[0] === end ? link.ends[1] : link.ends[0]
    if (this.#host.alive(end.instance)) this.#host.linkDown(end.instance, other.instance)
  }

  #newEnd (instance: Instance): End {
    return { instance, open: true, lastArrival: 0, held: [] }
  }

  #leg (): number {
    const slow = this.#timeline.now < this.#slowUntil && this.#chance.happens(0.5)
    return this.#chance.between(0.3, slow ? SLOW_LEG : FAST_LEG)
  }
}
