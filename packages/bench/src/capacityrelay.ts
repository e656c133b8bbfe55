/** A loopback TCP relay that counts the bytes of both directions. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'

const LOOPBACK = '127.0.0.1'

/** Relays from a port of its own to a port on the loopback. */
export class CountingRelay {
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  #bytes = 0

  constructor (port: number) {
    this.#server = createServer({ noDelay: true }, client => this.#relay(client, connect({ host: LOOPBACK, port, noDelay: true })))
  }

  /** Bytes relayed so far, both directions together, without the headers of TCP and IP. */
  get bytes (): number {
    return this.#bytes
  }

  /** Starts listening. Resolves to the port. */
  listen (): Promise<number> {
    return new Promise(resolve => {
      this.#server.listen(0, LOOPBACK, () => resolve((this.#server.address() as AddressInfo).port))
    })
  }

  close (): void {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #relay (client: Socket, server: Socket): void {
    this.#pass(client, server)
    this.#pass(server, client)
  }

  #pass (from: Socket, to: Socket): void {
    this.#sockets.add(from)
    from.on('data', bytes => { this.#bytes += bytes.length })
    from.on('error', () => to.destroy())
    from.on('close', () => {
      this.#sockets.delete(from)
      to.destroy()
    })
    from.pipe(to)
  }
}
