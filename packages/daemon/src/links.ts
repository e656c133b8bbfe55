/** The live links to other processes, at most one for each instance. */
import type { Instance } from '@amaranthmast/coordination/messages'
import { PROCESS_PAUSE_MILLISECONDS, MIN_SWEEP_INTERVAL_MILLISECONDS } from './defaults.ts'
import { Outbox } from './outbox.ts'

/** Callbacks to the owner of the links. */
export interface LinkEvents<In> {
  connected: (peer: Instance) => void
  message: (peer: Instance, message: In) => void
  /** Called exactly once for each connected link; no message of that link follows. */
  disconnected: (peer: Instance) => void
}

/** One stream to one instance. */
export class Link<In, Out, Frame> {
  readonly peer: Instance
  readonly outbox: Outbox<Out, Frame>
  /** Settles when the link is closed. */
  readonly closed: Promise<void>
  readonly #events: LinkEvents<In>
  readonly #resetStream: () => void
  readonly #remove: () => void
  #settle: () => void = () => {}
  #open = true
  /** Whether anything has been received since the last check. */
  #receivedSinceCheck = true
  #lastReceivedAt = 0

  /** @internal */
  constructor (peer: Instance, outbox: Outbox<Out, Frame>, events: LinkEvents<In>, resetStream: () => void, remove: (link: Link<In, Out, Frame>) => void) {
    this.peer = peer
    this.outbox = outbox
    this.#events = events
    this.#resetStream = resetStream
    this.#remove = () => remove(this)
    this.closed = new Promise(resolve => { this.#settle = resolve })
  }

  /** Passes received messages on, unless the link has been reported as disconnected. */
  receive (messages: readonly In[]): void {
    if (!this.#open) return
    this.#receivedSinceCheck = true
    for (const message of messages) this.#events.message(this.peer, message)
  }

  /** Restarts the timeout as if something had been received. */
  markActive (): void {
    this.#receivedSinceCheck = true
  }

  /** Returns the time of the last receipt, to the precision of the checks: `now` when something has been received since the last check. */
  checkActivity (now: number): number {
    if (this.#receivedSinceCheck) this.#lastReceivedAt = now
    this.#receivedSinceCheck = false
    return this.#lastReceivedAt
  }

  /** Closes the link and resets its stream. Further calls do nothing. */
  close (): void {
    if (!this.#open) return
    this.#open = false
    this.outbox.end()
    this.#remove()
    this.#events.disconnected(this.peer)
    this.#settle()
    this.#resetStream()
  }
}

/** All links of one message protocol. */
export class Links<In, Out, Frame> {
  readonly #links = new Map<Instance, Link<In, Out, Frame>>()
  readonly #events: LinkEvents<In>
  readonly #toFrame: (messages: readonly Out[]) => Frame
  #lastSweep = Number.NEGATIVE_INFINITY

  constructor (events: LinkEvents<In>, toFrame: (messages: readonly Out[]) => Frame) {
    this.#events = events
    this.#toFrame = toFrame
  }

  /** Creates the outbox of a link that is still being established. */
  newOutbox (): Outbox<Out, Frame> {
    return new Outbox(this.#toFrame)
  }

  /**
   * Registers an established stream. A peer whose connection broke may dial again before the loss
   * is detected here; its old stream is closed first, so that messages of the two never mix.
   *
   * @param resetStream resets the stream
   */
  open (peer: Instance, outbox: Outbox<Out, Frame>, resetStream: () => void): Link<In, Out, Frame> {
    this.#links.get(peer)?.close()
    const link = new Link(peer, outbox, this.#events, resetStream, closed => this.#remove(closed))
    this.#links.set(peer, link)
    this.#events.connected(peer)
    return link
  }

  /**
   * Sends a message; it is dropped when there is no link, as it would be on a broken one.
   *
   * @param urgent false for a message that may be delayed until the next message or `flush`
   */
  send (peer: Instance, message: Out, urgent = true): void {
    const link = this.#links.get(peer)
    if (link === undefined || link.outbox.push(message, urgent)) return
    link.close()
  }

  /** Sends the delayed messages that are not urgent. */
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
   * Closes links on which nothing has been received for a while. When a network drops packets,
   * neither end gets an error, and the operating system reports the loss only after many minutes.
   * Every link carries heartbeats, so a link without traffic is lost. After a pause of this process
   * itself no link is closed, because data that arrived meanwhile has not been read yet.
   *
   * @param timeout maximum time without receipt, in milliseconds
   */
  sweep (now: number, timeout: number): void {
    if (now - this.#lastSweep < MIN_SWEEP_INTERVAL_MILLISECONDS) return
    const paused = now - this.#lastSweep > PROCESS_PAUSE_MILLISECONDS
    this.#lastSweep = now
    for (const link of [...this.#links.values()]) {
      if (paused) link.markActive()
      if (now - link.checkActivity(now) > timeout) link.close()
    }
  }

  /** Sends the pending messages and ends the streams in order. */
  finish (): void {
    for (const link of this.#links.values()) link.outbox.end()
  }

  #remove (link: Link<In, Out, Frame>): void {
    if (this.#links.get(link.peer) === link) this.#links.delete(link.peer)
  }
}
