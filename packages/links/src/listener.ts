/** Accepts links. A new link of a process replaces its earlier one; messages on the earlier link are ignored from then on. */
import type { Greeting } from './greeting.ts'
import type { LinkEvents } from './link.ts'
import { createServer } from 'node:net'
import { Link } from './link.ts'

export interface ListenerEvents {
  linked: (link: Link, peer: Greeting) => void
  received: (peer: Greeting, message: unknown) => void
  unlinked: (peer: Greeting, reason: string) => void
}

export class Listener {
  readonly #own: Greeting
  readonly #events: ListenerEvents
  readonly #links = new Map<string, Link>()
  readonly #open = new Set<Link>()
  readonly #server = createServer(socket => this.#accept(socket))

  readonly #linkEvents: LinkEvents = {
    greeted: link => this.#greeted(link),
    received: (link, message) => {
      const { peer } = link
      if (peer !== undefined && this.#links.get(peer.name) === link) this.#events.received(peer, message)
    },
    closed: (link, reason) => this.#closed(link, reason)
  }

  constructor (own: Greeting, events: ListenerEvents) {
    this.#own = own
    this.#events = events
  }

  /** @returns settles when the server listens; rejects when the address is not available */
  listen (host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, host, () => {
        this.#server.off('error', reject)
        resolve()
      })
    })
  }

  /** Returns the link of the process with this name, if there is one. */
  link (name: string): Link | undefined {
    return this.#links.get(name)
  }

  close (): void {
    this.#server.close()
    for (const link of [...this.#open]) link.close('process is stopping')
  }

  #accept (socket: ConstructorParameters<typeof Link>[0]): void {
    this.#open.add(new Link(socket, this.#own, this.#linkEvents))
  }

  #greeted (link: Link): void {
    const peer = link.peer as Greeting
    if (peer.name === this.#own.name) return link.close('link from this process itself')
    const earlier = this.#links.get(peer.name)
    if (earlier !== undefined) earlier.close('replaced by a new link')
    this.#links.set(peer.name, link)
    this.#events.linked(link, peer)
  }

  #closed (link: Link, reason: string): void {
    this.#open.delete(link)
    const { peer } = link
    if (peer === undefined || this.#links.get(peer.name) !== link) return
    this.#links.delete(peer.name)
    this.#events.unlinked(peer, reason)
  }
}
