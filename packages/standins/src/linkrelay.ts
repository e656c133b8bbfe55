/**
 * A loopback TCP relay between two processes, to cut, silence and restore the link between them.
 * A silence shorter than TCP's own patience loses nothing: bytes and closings are held and go on
 * afterwards, as retransmission would bring them.
 */
import { createServer, connect } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'

import { LOOPBACK } from './defaults.ts'

/** What a link does with traffic. */
export enum LinkState {
  Open = 'open',
  /** Connections are reset, new ones too. */
  Cut = 'cut',
  /** Nothing that the dialling side sends arrives. */
  StalledToServer = 'silentToServer',
  /** Nothing that the listening side sends arrives. */
  StalledToClient = 'silentToClient',
  /** Nothing arrives either way. */
  Stalled = 'silent'
}

/** A link's rate, shared by all relays that stand for connections over that link. */
export class LinkRate {
  readonly #bytesPerSecond: number
  #freeAt = 0

  constructor (bytesPerSecond: number) {
    this.#bytesPerSecond = bytesPerSecond
  }

  /** Milliseconds until these bytes have passed. */
  delay (bytes: number): number {
    const now = performance.now()
    this.#freeAt = Math.max(now, this.#freeAt) + bytes / this.#bytesPerSecond * MILLISECONDS_PER_SECOND
    return this.#freeAt - now
  }
}

const MILLISECONDS_PER_SECOND = 1000

/** One of the two directions of a relayed connection. */
interface Pipe {
  from: Socket
  to: Socket
  /** States in which this direction is silent. */
  stalledIn: ReadonlySet<LinkState>
  /** How `from` closed while the direction was silent; passed on when it is no more. */
  heldClose?: () => void
  /** Bytes are on their way over a link with a rate. */
  busy?: boolean
  /** It carries nothing any more, though newer connections do. */
  stalled?: boolean
}

const STALLED_TO_SERVER: ReadonlySet<LinkState> = new Set([LinkState.Stalled, LinkState.StalledToServer])
const STALLED_TO_CLIENT: ReadonlySet<LinkState> = new Set([LinkState.Stalled, LinkState.StalledToClient])

/** A relay from a port of its own to a port on the loopback. */
export class LinkRelay {
  readonly #upstreamPort: number
  readonly #server: Server
  readonly #pipes = new Set<Pipe>()
  #state = LinkState.Open
  #accepted = 0
  #relayedBytes = 0
  readonly #rate: LinkRate | undefined

  /** @param rate of the link on which the dialling side receives; any without it */
  constructor (upstreamPort: number, rate?: LinkRate) {
    this.#upstreamPort = upstreamPort
    this.#rate = rate
    this.#server = createServer({ allowHalfOpen: true, pauseOnConnect: true }, client => this.#accept(client))
  }

  get state (): LinkState {
    return this.#state
  }

  get isListening (): boolean {
    return this.#server.listening
  }

  /** Port on which it listens; 0 while it does not. */
  get port (): number {
    return (this.#server.address() as AddressInfo | null)?.port ?? 0
  }

  /** Connections accepted so far, those that were reset at once included. */
  get accepted (): number {
    return this.#accepted
  }

  /** Bytes passed on to the dialling side so far. */
  get relayedBytes (): number {
    return this.#relayedBytes
  }

  /** Starts listening, again after {@link close}; port 0 lets the system pick one. Resolves to the port. */
  listen (port = 0): Promise<number> {
    this.#state = LinkState.Open
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, LOOPBACK, () => {
        this.#server.off('error', reject)
        resolve((this.#server.address() as AddressInfo).port)
      })
    })
  }

  /** Resets every connection, and each new one until {@link restore}. */
  cut (): void {
    this.#state = LinkState.Cut
    for (const pipe of this.#pipes) pipe.from.resetAndDestroy()
    this.#pipes.clear()
  }

  /** Lets nothing through in the given directions; connections stay open. */
  stall (state: LinkState.Stalled | LinkState.StalledToServer | LinkState.StalledToClient = LinkState.Stalled): void {
    this.#state = state
    for (const pipe of this.#pipes) this.#apply(pipe)
  }

  /** Connections that are open now carry nothing any more, without any sign; new ones work. */
  stallOpenConnections (): void {
    for (const pipe of this.#pipes) {
      pipe.stalled = true
      this.#apply(pipe)
    }
  }

  /** Lets everything through again, what was held first. */
  restore (): void {
    this.#state = LinkState.Open
    for (const pipe of this.#pipes) this.#apply(pipe)
  }

  /** Stops listening, so that connections are refused, and resets every open one. */
  close (): Promise<void> {
    this.cut()
    if (!this.#server.listening) return Promise.resolve()
    return new Promise(resolve => this.#server.close(() => resolve()))
  }

  #accept (client: Socket): void {
    this.#accepted++
    if (this.#state === LinkState.Cut) {
      client.on('error', ignore)
      client.resetAndDestroy()
      return
    }
    const server = connect({ host: LOOPBACK, port: this.#upstreamPort, allowHalfOpen: true, noDelay: true })
    client.setNoDelay(true)
    this.#relay({ from: client, to: server, stalledIn: STALLED_TO_SERVER })
    this.#relay({ from: server, to: client, stalledIn: STALLED_TO_CLIENT })
  }

  #relay (pipe: Pipe): void {
    const { from, to } = pipe
    this.#pipes.add(pipe)
    from.on('data', bytes => this.#forwardBytes(pipe, bytes))
    to.on('drain', () => this.#apply(pipe))
    from.on('end', () => this.#forwardClose(pipe, () => to.end()))
    from.on('error', () => this.#forwardClose(pipe, () => to.resetAndDestroy()))
    from.on('close', () => this.#forwardClose(pipe, () => this.#removePipe(pipe)))
    this.#apply(pipe)
  }

  #forwardBytes (pipe: Pipe, bytes: Buffer): void {
    const { from, to, stalledIn: silentIn } = pipe
    const toClient = silentIn === STALLED_TO_CLIENT
    if (toClient) this.#relayedBytes += bytes.length
    if (!toClient || this.#rate === undefined) {
      if (!to.write(bytes)) from.pause()
      return
    }
    pipe.busy = true
    from.pause()
    setTimeout(() => {
      pipe.busy = false
      if (to.write(bytes)) this.#apply(pipe)
    }, this.#rate.delay(bytes.length))
  }

  /** Carries a closing out, or holds it while the direction is silent. */
  #forwardClose (pipe: Pipe, close: () => void): void {
    if (!this.#isStalled(pipe)) return close()
    const earlierClose = pipe.heldClose
    pipe.heldClose = () => {
      earlierClose?.()
      close()
    }
  }

  #removePipe (pipe: Pipe): void {
    this.#pipes.delete(pipe)
    if (pipe.from.destroyed && !pipe.to.writableEnded) pipe.to.destroySoon()
  }

  #apply (pipe: Pipe): void {
    if (this.#isStalled(pipe)) {
      pipe.from.pause()
      return
    }
    pipe.heldClose?.()
    delete pipe.heldClose
    if (pipe.busy !== true) pipe.from.resume()
  }

  #isStalled (pipe: Pipe): boolean {
    return pipe.stalled === true || pipe.stalledIn.has(this.#state)
  }
}

function ignore (): void {}
