/** A connection between two processes that exchange greetings first and messages afterwards. */
import type { Greeting } from './greeting.ts'
import type { Socket } from 'node:net'
import { GREETING_TIMEOUT_MILLISECONDS } from './defaults.ts'
import { isGreeting } from './greeting.ts'
import { MessageSocket } from './messagesocket.ts'

export interface LinkEvents {
  /** The greeting of the other end has been received. */
  greeted: (link: Link) => void
  received: (link: Link, message: unknown) => void
  /** Called once, also when no greeting was received. */
  closed: (link: Link, reason: string) => void
}

/** Sends its own greeting first; closes when the other end's first message is not a greeting or does not arrive in time. */
export class Link {
  readonly #socket: MessageSocket
  readonly #events: LinkEvents
  readonly #timer: NodeJS.Timeout
  /** Greeting of the other end; undefined until it has been received. */
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

  /** Sends the messages of this turn at once. */
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
