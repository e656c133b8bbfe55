/** Simulates the exchanges of several entries in virtual time. Each entry has its own link. */
import type { ConfigurationMessage } from '../src/messages.ts'
import type { ExchangeEvent } from '../src/exchange.ts'
import { ConfigurationExchange } from '../src/exchange.ts'

export interface Configuration {
  version: number
  text: string
}

/** Interval of each entry's ticks, in milliseconds. */
const TICK_MILLISECONDS = 50

/** One-way latency between two entries, in milliseconds. */
const DELAY_MILLISECONDS = 1

interface Delivery {
  at: number
  from: string
  to: string
  message: ConfigurationMessage
}

export interface MeshEntry {
  readonly exchange: ConfigurationExchange<Configuration>
  /** Inbound capacity of its link, in characters per millisecond. */
  readonly rate: number
  /** Whether it is frozen: it neither handles nor sends anything. */
  frozen: boolean
  version: number
  adoptedAt: number
  /** Characters sent to it. */
  received: number
  linkFreeAt: number
}

/** Document of a version, with at least `size` characters of text. */
export function documentOf (version: number, size = 100): string {
  return JSON.stringify({ version, text: randomText(version, size) })
}

/** Pseudo-random text that compresses as poorly as queue names. */
function randomText (seed: number, size: number): string {
  let state = seed + 1
  let text = ''
  while (text.length < size) {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648
    text += `{"name":"${state.toString(36)}","service":"checks","timeout":1500}`
  }
  return text
}

/** Parses a document; undefined if it is not JSON. */
export function read (document: string): Configuration | undefined {
  try {
    return JSON.parse(document) as Configuration
  } catch {
    return undefined
  }
}

/** Entries, the links between them and the messages in transit. */
export class Mesh {
  readonly entries = new Map<string, MeshEntry>()
  readonly notes: string[] = []
  /** Drops the messages for which it returns true. */
  drops: (delivery: Omit<Delivery, 'at'>) => boolean = () => false
  now = 0
  #deliveries: Delivery[] = []

  /** Adds an entry and links it to all others. */
  add (name: string, rate = Infinity): MeshEntry {
    const entry: MeshEntry = { exchange: new ConfigurationExchange<Configuration>({ read }), rate, frozen: false, version: 0, adoptedAt: 0, received: 0, linkFreeAt: 0 }
    const others = [...this.entries.keys()]
    this.entries.set(name, entry)
    for (const other of others) this.link(name, other)
    return entry
  }

  link (one: string, other: string): void {
    this.handle(one, { type: 'peerLinked', peer: other })
    this.handle(other, { type: 'peerLinked', peer: one })
  }

  unlink (one: string, other: string): void {
    this.handle(one, { type: 'peerUnlinked', peer: other })
    this.handle(other, { type: 'peerUnlinked', peer: one })
  }

  /** Lets an entry read a version from the store. */
  store (name: string, version: number, size?: number): void {
    const document = documentOf(version, size)
    this.handle(name, { type: 'stored', configuration: read(document) as Configuration, document })
    this.handle(name, { type: 'confirmed', at: this.now })
  }

  /** Passes an event to an entry and carries out the effects. */
  handle (name: string, event: ExchangeEvent<Configuration>): void {
    const entry = this.entries.get(name)
    if (entry === undefined || entry.frozen) return
    for (const effect of entry.exchange.handle(event, this.now)) {
      if (effect.type === 'tell') this.#send({ from: name, to: effect.peer, message: effect.message })
      else if (effect.type === 'note') this.notes.push(effect.what)
      else {
        entry.version = effect.configuration.version
        entry.adoptedAt = this.now
      }
    }
  }

  /** Advances the clock; `onTick` is called before every tick. */
  run (milliseconds: number, onTick: () => void = () => {}): void {
    const until = this.now + milliseconds
    while (this.now < until) {
      this.now += 1
      const due = this.#deliveries.filter(({ at }) => at <= this.now)
      this.#deliveries = this.#deliveries.filter(({ at }) => at > this.now)
      for (const { from, to, message } of due) this.handle(to, { type: 'received', peer: from, message })
      if (this.now % TICK_MILLISECONDS !== 0) continue
      onTick()
      for (const name of this.entries.keys()) this.handle(name, { type: 'tick' })
    }
  }

  #send (delivery: Omit<Delivery, 'at'>): void {
    const to = this.entries.get(delivery.to)
    if (to === undefined || this.drops(delivery)) return
    const size = JSON.stringify(delivery.message).length
    to.received += size
    to.linkFreeAt = Math.max(this.now, to.linkFreeAt) + size / to.rate
    this.#deliveries.push({ ...delivery, at: to.linkFreeAt + DELAY_MILLISECONDS })
  }
}
