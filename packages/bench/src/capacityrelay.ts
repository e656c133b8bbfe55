/** A TCP relay on the loopback interface that counts the bytes in both directions. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'

const LOOPBACK = '127.0.0.1'

/** Relays connections from its own port to another port on the loopback interface. */
export class CountingRelay {
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  #bytes = 0

  constructor (port: number) {
    this.#server = createServer({ noDelay: true }, client => this.#relay(client, connect({ host: LOOPBACK, port, noDelay: true })))
  }

  /** Bytes relayed so far in both directions, without the headers of TCP and IP. */
  get bytes (): number {
    return this.#bytes
  }

  /** Starts listening on a free port and resolves to it. */
  listen (): Promise<number> {
    return new Promise(resolve => {
      this.#server.listen(0, LOOPBACK, () => resolve((this.#server.address() as AddressInfo).port))
    })
  }

  /** Stops listening and closes all connections. */
  close (): void {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #relay (client: Socket, server: Socket): void {
    this.#forward(client, server)
    this.#forward(server, client)
  }

  #forward (from: Socket, to: Socket): void {
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
