/** The streams between entries: one for each pair, opened by the greater instance. */
import type { EntryEvent } from '@amaranthmast/coordination/entrytypes'
import type { Instance, PeerMessage } from '@amaranthmast/coordination/messages'
import { peerFrame, peerMessages } from '@amaranthmast/protocol/codec'
import type { PeerFrame } from '@amaranthmast/protocol/inner_pb'
import type { HandlerContext } from '@connectrpc/connect'
import type { Destination } from './dialer.ts'
import { Dialer } from './dialer.ts'
import type { Environment } from './environment.ts'
import type { LinkDial } from './innerclient.ts'
import { dialLink, probe } from './innerclient.ts'
import { serveLink } from './innerlistener.ts'
import { Links } from './links.ts'

export class Peers {
  readonly #own: Instance
  readonly #post: (event: EntryEvent) => void
  readonly #links: Links<PeerMessage, PeerMessage, PeerFrame>
  readonly #dial: LinkDial<PeerMessage, PeerMessage, PeerFrame, PeerFrame>
  readonly #dialer: Dialer

  /** @param post takes the events of all peers */
  constructor ({ instance: own, log, random, now }: Environment, post: (event: EntryEvent) => void) {
    this.#own = own
    this.#post = post
    this.#links = new Links<PeerMessage, PeerMessage, PeerFrame>({
      connected: peer => post({ type: 'peerConnected', peer }),
      message: (peer, message) => post({ type: 'peerMessage', peer, message }),
      disconnected: peer => post({ type: 'peerDisconnected', peer, refused: false })
    }, peerFrame)
    this.#dial = {
      links: this.#links,
      own,
      open: (client, frames, options) => client.peer(frames, options),
      messagesOf: peerMessages,
      log
    }
    this.#dialer = new Dialer((destination, signal) => this.#attempt(destination, signal), random, now)
  }

  /** Serves the stream of a peer that has dialled. */
  serve (frames: AsyncIterable<PeerFrame>, context: HandlerContext): AsyncIterable<PeerFrame> {
    return serveLink(this.#links, this.#own, frames, context, peerMessages)
  }

  /** Keeps a link to each of these entries and to no other. */
  connect (peers: readonly Destination[]): void {
    const others = peers.filter(({ instance }) => instance !== this.#own)
    this.#links.retain(new Set(others.map(({ instance }) => instance)))
    this.#dialer.want(others)
  }

  /** Sends a message; dropped when the peer has no link. */
  send (peer: Instance, message: PeerMessage): void {
    this.#links.send(peer, message)
  }

  /** Peers with a link. */
  get size (): number {
    return this.#links.size
  }

  /** Closes links that have been silent for longer than `silence`, in milliseconds. */
  sweep (now: number, silence: number): void {
    this.#links.sweep(now, silence)
  }

  /** Lets what waits leave and ends the streams in order. */
  finish (): void {
    this.#dialer.want([])
    this.#links.finish()
  }

  async #attempt (destination: Destination, signal: AbortSignal): Promise<boolean> {
    if (this.#own > destination.instance) return await this.#open(destination, signal)
    return await this.#watch(destination, signal)
  }

  async #open (destination: Destination, signal: AbortSignal): Promise<boolean> {
    const { wasUp, refused } = await dialLink(this.#dial, destination, signal)
    if (refused) this.#reportRefused(destination.instance)
    return wasUp
  }

  /**
   * The end that is dialled learns of a dead peer only by a broken stream, which proves nothing:
   * it asks at the peer's own address, so that a refusal there is known at both ends.
   */
  async #watch (destination: Destination, signal: AbortSignal): Promise<boolean> {
    const link = this.#links.get(destination.instance)
    if (link !== undefined) await Promise.race([link.closed, aborted(signal)])
    const { wasUp, refused } = await probe(this.#dial, destination, signal)
    if (refused) this.#reportRefused(destination.instance)
    return wasUp && link !== undefined
  }

  #reportRefused (peer: Instance): void {
    this.#post({ type: 'peerDisconnected', peer, refused: true })
  }
}

function aborted (signal: AbortSignal): Promise<void> {
  return new Promise(resolve => signal.addEventListener('abort', () => resolve(), { once: true }))
}
