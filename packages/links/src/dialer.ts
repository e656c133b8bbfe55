/** Keeps links to a set of destinations: dials each one again with exponential backoff until it expires. */
import type { Greeting } from './greeting.ts'
import { connect } from 'node:net'
import { DESTINATION_EXPIRY_MILLISECONDS, MIN_REDIAL_PAUSE_MILLISECONDS, MAX_REDIAL_PAUSE_MILLISECONDS } from './defaults.ts'
import { Link } from './link.ts'

export interface DialerEvents {
  linked: (peer: Greeting, address: string) => void
  received: (peer: Greeting, message: unknown) => void
  unlinked: (peer: Greeting, reason: string) => void
}

interface Destination {
  readonly address: string
  link: Link | undefined
  pause: number
  timer: NodeJS.Timeout | undefined
  /** When the destination was last linked or added. */
  lastSeenAt: number
}

/** Dials destinations by address and reports their links by the name of the peer. */
export class Dialer {
  readonly #own: Greeting
  readonly #events: DialerEvents
  readonly #now: () => number
  readonly #destinations = new Map<string, Destination>()
  readonly #linked = new Map<string, Destination>()
  #stopped = false

  constructor (own: Greeting, events: DialerEvents, now: () => number) {
    this.#own = own
    this.#events = events
    this.#now = now
  }

  /** Addresses of all destinations, linked or not. */
  get addresses (): string[] {
    return [...this.#destinations.keys()]
  }

  /** Names of the linked processes. */
  get linked (): string[] {
    return [...this.#linked.keys()]
  }

  /**
   * Adds a destination, or extends the expiry of a known one. The address of this process itself is ignored: the process
   * would accept its own link, dial the linked address in turn, and so on without end.
   */
  add (address: string): void {
    if (address === this.#own.address) return
    const known = this.#destinations.get(address)
    if (known !== undefined) {
      known.lastSeenAt = this.#now()
      return
    }
    const destination: Destination = { address, link: undefined, pause: MIN_REDIAL_PAUSE_MILLISECONDS, timer: undefined, lastSeenAt: this.#now() }
    this.#destinations.set(address, destination)
    this.#dial(destination)
  }

  send (name: string, message: unknown): void {
    this.#linked.get(name)?.link?.send(message)
  }

  sendAll (message: unknown): void {
    for (const destination of this.#linked.values()) destination.link?.send(message)
  }

  /** Sends the messages of this turn at once. */
  flush (): void {
    for (const destination of this.#linked.values()) destination.link?.flush()
  }

  /** Closes a link and dials its destination again after the initial pause. */
  reconnect (name: string): void {
    this.#linked.get(name)?.link?.close('renewed')
  }

  /** Sends the pending messages and closes all links. */
  close (): void {
    this.#stopped = true
    this.flush()
    for (const { link, timer } of this.#destinations.values()) {
      clearTimeout(timer)
      link?.close('process is stopping')
    }
  }

  #dial (destination: Destination): void {
    destination.timer = undefined
    const [host = '', port = ''] = destination.address.split(':')
    const link = new Link(connect({ host, port: Number(port) }), this.#own, {
      greeted: greeted => this.#greeted(destination, greeted),
      received: (from, message) => { if (destination.link === from) this.#events.received(from.peer as Greeting, message) },
      closed: (closed, reason) => this.#closed(destination, closed, reason)
    })
    destination.link = link
  }

  #greeted (destination: Destination, link: Link): void {
    const peer = link.peer as Greeting
    if (peer.name === this.#own.name) {
      this.#destinations.delete(destination.address)
      link.close('own address')
      return
    }
    destination.pause = MIN_REDIAL_PAUSE_MILLISECONDS
    destination.lastSeenAt = this.#now()
    this.#linked.set(peer.name, destination)
    this.#events.linked(peer, destination.address)
  }

  #closed (destination: Destination, link: Link, reason: string): void {
    if (destination.link !== link) return
    destination.link = undefined
    const { peer } = link
    if (peer !== undefined && this.#linked.get(peer.name) === destination) {
      this.#linked.delete(peer.name)
      this.#events.unlinked(peer, reason)
    }
    this.#redial(destination)
  }

  #redial (destination: Destination): void {
    if (this.#stopped || !this.#destinations.has(destination.address)) return
    if (this.#now() - destination.lastSeenAt > DESTINATION_EXPIRY_MILLISECONDS) {
      this.#destinations.delete(destination.address)
      return
    }
    destination.timer = setTimeout(() => this.#dial(destination), destination.pause)
    destination.pause = Math.min(MAX_REDIAL_PAUSE_MILLISECONDS, destination.pause * 2)
  }
}
