/** A greeted connection between two processes. */
import type { Greeting } from './greeting.ts'
import type { Socket } from 'node:net'
import { GREETING_TIMEOUT_MILLISECONDS } from './defaults.ts'
import { isGreeting } from './greeting.ts'
import { MessageSocket } from './messagesocket.ts'

export interface LinkEvents {
  /** The other end has said who it is. */
  greeted: (link: Link) => void
  received: (link: Link, message: unknown) => void
  /** Called once, also when no greeting ever came. */
  closed: (link: Link, reason: string) => void
}

export class Link {
  readonly #socket: MessageSocket
  readonly #events: LinkEvents
  readonly #timer: NodeJS.Timeout
  /** Who is at the other end; undefined before its greeting. */
  peer: Greeting | undefined

  constructor (socket: Socket, own: Greeting, events: LinkEvents) {
    this.#events = events
    this.#socket = new MessageSocket(socket, {
      received: message => this.#received(message),
      closed: reason => this.#closed(reason)
    })
    this.#timer = setTimeout(() => this.close('no greeting'), GREETING_TIMEOUT_MILLISECONDS)
    this.#socket.send(own)
  }

  send (message: unknown): void {
    this.#socket.send(message)
  }

  /** Sends at once what waits for the end of the turn. */
  flush (): void {
    this.#socket.flush()
  }

  close (reason: string): void {
    this.#socket.destroy(reason)
  }

  #received (message: unknown): void {
    if (this.peer !== undefined) return this.#events.received(this, message)
    if (!isGreeting(message)) return this.close('no greeting')
    clearTimeout(this.#timer)
    this.peer = message
    this.#events.greeted(this)
  }

  #closed (reason: string): void {
    clearTimeout(this.#timer)
    this.#events.closed(this, reason)
  }
}
