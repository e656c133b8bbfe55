/** The streams between entries: one for each pair, opened by the instance with the greater name. */
import type { EntryEvent } from '@amaranthmast/coordination/entrytypes'
import type { Instance, PeerMessage } from '@amaranthmast/coordination/messages'
import { encodePeerFrame, decodePeerFrame } from '@amaranthmast/protocol/codec'
import type { PeerFrame } from '@amaranthmast/protocol/inner_pb'
import type { HandlerContext } from '@connectrpc/connect'
import type { Destination } from './dialer.ts'
import { DialledLinks } from './dialledlinks.ts'
import type { Environment } from './environment.ts'
import type { LinkDial } from './innerclient.ts'
import { dialLink, probe } from './innerclient.ts'
import { serveLink } from './innerlistener.ts'
import { Links } from './links.ts'

export class Peers extends DialledLinks<PeerMessage, PeerMessage, PeerFrame> {
  readonly #own: Instance
  readonly #post: (event: EntryEvent) => void
  readonly #links: Links<PeerMessage, PeerMessage, PeerFrame>
  readonly #dial: LinkDial<PeerMessage, PeerMessage, PeerFrame, PeerFrame>

  /** @param post receives the events of all peers */
  constructor (environment: Environment, post: (event: EntryEvent) => void) {
    const links = new Links<PeerMessage, PeerMessage, PeerFrame>({
      connected: peer => post({ type: 'peerConnected', peer }),
      message: (peer, message) => post({ type: 'peerMessage', peer, message }),
      disconnected: peer => post({ type: 'peerDisconnected', peer, refused: false })
    }, encodePeerFrame)
    super(links, environment)
    const { instance: own, log } = environment
    this.#own = own
    this.#post = post
    this.#links = links
    this.#dial = { links, own, open: (client, frames, options) => client.peer(frames, options), messagesOf: decodePeerFrame, log }
  }

  /** Serves a stream that a peer has opened. */
  serve (frames: AsyncIterable<PeerFrame>, context: HandlerContext): AsyncIterable<PeerFrame> {
    return serveLink(this.#links, this.#own, frames, context, decodePeerFrame)
  }

  override connect (peers: readonly Destination[]): void {
    super.connect(peers.filter(({ instance }) => instance !== this.#own))
  }

  protected override async attempt (destination: Destination, signal: AbortSignal): Promise<boolean> {
    if (this.#own > destination.instance) return await this.#dialPeer(destination, signal)
    return await this.#probeAfterLoss(destination, signal)
  }

  async #dialPeer (destination: Destination, signal: AbortSignal): Promise<boolean> {
    const { wasUp, refused } = await dialLink(this.#dial, destination, signal)
    if (refused) this.#reportRefused(destination.instance)
    return wasUp
  }

  /**
   * Waits until the peer's link is closed, then probes the peer's address. A broken stream does not
   * prove that the peer has ended; only a refusal at its address does, and the end that does not
   * dial detects it by the probe.
   */
  async #probeAfterLoss (destination: Destination, signal: AbortSignal): Promise<boolean> {
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
