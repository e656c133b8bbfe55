/**
 * Loopback TCP relay between two processes that can reset, stall and restore the link between them.
 * A stall loses nothing: bytes and the end of a connection are held back and forwarded afterwards.
 * This matches a real outage that is shorter than TCP's retransmission timeout.
 */
import { createServer, connect } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'

import { LOOPBACK } from './defaults.ts'

/** How a relay treats traffic. */
export enum LinkState {
  Open = 'open',
  /** Connections are reset, new ones too. */
  Cut = 'cut',
  /** Data from the connecting side is held back. */
  StalledToServer = 'silentToServer',
  /** Data from the listening side is held back. */
  StalledToClient = 'silentToClient',
  /** Data is held back in both directions. */
  Stalled = 'silent'
}

/** Bandwidth of a link, shared by all relays whose connections use that link. */
export class LinkRate {
  readonly #bytesPerSecond: number
  #freeAt = 0

  constructor (bytesPerSecond: number) {
    this.#bytesPerSecond = bytesPerSecond
  }

  /** Reserves bandwidth for the given number of bytes. Returns the milliseconds until they have been transferred. */
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
  /** States in which this direction is stalled. */
  stalledIn: ReadonlySet<LinkState>
  /** Forwards the close of `from`, which happened during a stall, once the stall ends. */
  heldClose?: () => void
  /** Bytes are in transfer over a link with limited bandwidth. */
  busy?: boolean
  /** This connection is stalled for good, whatever the state of the relay. */
  stalled?: boolean
}

const STALLED_TO_SERVER: ReadonlySet<LinkState> = new Set([LinkState.Stalled, LinkState.StalledToServer])
const STALLED_TO_CLIENT: ReadonlySet<LinkState> = new Set([LinkState.Stalled, LinkState.StalledToClient])

/** A relay from its own port to a port on the loopback interface. */
export class LinkRelay {
  readonly #upstreamPort: number
  readonly #server: Server
  readonly #pipes = new Set<Pipe>()
  #state = LinkState.Open
  #accepted = 0
  #relayedBytes = 0
  readonly #rate: LinkRate | undefined

  /** @param rate bandwidth towards the connecting side; unlimited when omitted */
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

  /** Port on which the relay listens; 0 when it does not listen. */
  get port (): number {
    return (this.#server.address() as AddressInfo | null)?.port ?? 0
  }

  /** Connections accepted so far, including those that were reset immediately. */
  get accepted (): number {
    return this.#accepted
  }

  /** Bytes received for the connecting side so far. */
  get relayedBytes (): number {
    return this.#relayedBytes
  }

  /** Starts listening, also again after {@link close}. Port 0 lets the system pick one. Resolves to the port. */
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

  /** Resets every open connection, and each new one until {@link restore}. */
  cut (): void {
    this.#state = LinkState.Cut
    for (const pipe of this.#pipes) pipe.from.resetAndDestroy()
    this.#pipes.clear()
  }

  /** Holds data back in the given directions until {@link restore}. Connections stay open. */
  stall (state: LinkState.Stalled | LinkState.StalledToServer | LinkState.StalledToClient = LinkState.Stalled): void {
    this.#state = state
    for (const pipe of this.#pipes) this.#apply(pipe)
  }

  /** Stalls the connections that are open now for good, without closing them. New connections work. */
  stallOpenConnections (): void {
    for (const pipe of this.#pipes) {
      pipe.stalled = true
      this.#apply(pipe)
    }
  }

  /** Forwards everything again, starting with what was held back. Connections of {@link stallOpenConnections} stay stalled. */
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
    const { from, to, stalledIn } = pipe
    const toClient = stalledIn === STALLED_TO_CLIENT
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

  /** Forwards a close, or holds it back while the direction is stalled. */
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

  /** Pauses or resumes reading as the state requires, and forwards a close that was held back. */
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
