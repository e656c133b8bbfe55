/** The live links to other processes, at most one for each instance. */
import type { Instance } from '@amaranthmast/coordination/messages'
import { OWN_PAUSE_MILLISECONDS, SWEEP_MILLISECONDS } from './defaults.ts'
import { Outbox } from './outbox.ts'

/** What the owner of the links is told. */
export interface LinkEvents<In> {
  connected: (peer: Instance) => void
  message: (peer: Instance, message: In) => void
  /** Exactly once for each link that was connected; none of its messages follows. */
  disconnected: (peer: Instance) => void
}

/** One stream to one instance. */
export class Link<In, Out, Frame> {
  readonly peer: Instance
  readonly outbox: Outbox<Out, Frame>
  /** Settles when the link is closed. */
  readonly closed: Promise<void>
  readonly #events: LinkEvents<In>
  readonly #breakOff: () => void
  readonly #forget: () => void
  #settle: () => void = () => {}
  #open = true
  /** Whether anything arrived since the last look. */
  #heard = true
  #lastHeard = 0

  /** @internal */
  constructor (peer: Instance, outbox: Outbox<Out, Frame>, events: LinkEvents<In>, breakOff: () => void, forget: (link: Link<In, Out, Frame>) => void) {
    this.peer = peer
    this.outbox = outbox
    this.#events = events
    this.#breakOff = breakOff
    this.#forget = () => forget(this)
    this.closed = new Promise(resolve => { this.#settle = resolve })
  }

  /** Hands received messages on, unless the link has been reported as disconnected. */
  receive (messages: readonly In[]): void {
    if (!this.#open) return
    this.#heard = true
    for (const message of messages) this.#events.message(this.peer, message)
  }

  /** Counts as heard: silence begins anew. */
  touch (): void {
    this.#heard = true
  }

  /** Instant since when nothing has arrived, as far as the looks tell; `now` when something has. */
  look (now: number): number {
    if (this.#heard) this.#lastHeard = now
    this.#heard = false
    return this.#lastHeard
  }

  /** Closes the link and breaks its stream off. Further calls do nothing. */
  close (): void {
    if (!this.#open) return
    this.#open = false
    this.outbox.end()
    this.#forget()
    this.#events.disconnected(this.peer)
    this.#settle()
    this.#breakOff()
  }
}

/** The links of one kind. */
export class Links<In, Out, Frame> {
  readonly #links = new Map<Instance, Link<In, Out, Frame>>()
  readonly #events: LinkEvents<In>
  readonly #toFrame: (messages: readonly Out[]) => Frame
  #lastSweep = Number.NEGATIVE_INFINITY

  constructor (events: LinkEvents<In>, toFrame: (messages: readonly Out[]) => Frame) {
    this.#events = events
    this.#toFrame = toFrame
  }

  /** Outbox for a link that is still being dialled. */
  newOutbox (): Outbox<Out, Frame> {
    return new Outbox(this.#toFrame)
  }

  /**
   * Registers a stream that is up. A peer whose connection broke unnoticed dials again while its
   * old stream still stands here; the old one is closed first, so that the two never mix.
   *
   * @param breakOff resets the stream
   */
  open (peer: Instance, outbox: Outbox<Out, Frame>, breakOff: () => void): Link<In, Out, Frame> {
    this.#links.get(peer)?.close()
    const link = new Link(peer, outbox, this.#events, breakOff, closed => this.#forget(closed))
    this.#links.set(peer, link)
    this.#events.connected(peer)
    return link
  }

  /**
   * Sends a message; without a link it is dropped, as a broken link would drop it.
   *
   * @param urgent false for one that may wait for the next message or `flush`
   */
  send (peer: Instance, message: Out, urgent = true): void {
    const link = this.#links.get(peer)
    if (link === undefined || link.outbox.push(message, urgent)) return
    link.close()
  }

  /** Sends what is not urgent and still waits. */
  flush (): void {
    for (const link of this.#links.values()) link.outbox.flush()
  }

  get (peer: Instance): Link<In, Out, Frame> | undefined {
    return this.#links.get(peer)
  }

  /** Number of live links. */
  get size (): number {
    return this.#links.size
  }

  /** Closes every link to an instance that is not among `peers`. */
  retain (peers: ReadonlySet<Instance>): void {
    for (const link of [...this.#links.values()]) {
      if (!peers.has(link.peer)) link.close()
    }
  }

  /**
   * Closes links on which nothing has arrived for a while. A network that swallows packets leaves
   * both ends silent without an error, and the operating system notices only after many minutes;
   * every link carries heartbeats, so that silence means loss. After a pause of this process
   * itself nothing is concluded, as what arrived meanwhile has not been read yet.
   *
   * @param silence longest silence in milliseconds
   */
  sweep (now: number, silence: number): void {
    if (now - this.#lastSweep < SWEEP_MILLISECONDS) return
    const paused = now - this.#lastSweep > OWN_PAUSE_MILLISECONDS
    this.#lastSweep = now
    for (const link of [...this.#links.values()]) {
      if (paused) link.touch()
      if (now - link.look(now) > silence) link.close()
    }
  }

  /** Lets what waits leave and ends the streams in order. */
  finish (): void {
    for (const link of this.#links.values()) link.outbox.end()
  }

  #forget (link: Link<In, Out, Frame>): void {
    if (this.#links.get(link.peer) === link) this.#links.delete(link.peer)
  }
}
