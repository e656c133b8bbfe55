/** Free ports on the loopback interface. */
import { once } from 'node:events'
import type { Server } from 'node:net'
import { createServer } from 'node:net'

import { FIRST_PORT, LAST_PORT, LOOPBACK, PORT_BLOCK } from './defaults.ts'

/** No port in the range is free. */
export class NoFreePortError extends Error {
  readonly code = 'NO_FREE_PORT'

  constructor () {
    super(`no port from ${FIRST_PORT} to ${LAST_PORT} is free on ${LOOPBACK}: end the processes that hold them`)
    this.name = 'NoFreePortError'
  }
}

/**
 * Hands out free ports, each once. They lie below the range from which the operating system picks
 * ports for connections, so that no connection takes a port before its process listens on it.
 *
 * Test files run in parallel, and a port that was free when it was picked may be taken by the daemon
 * of another test file before the intended process listens on it. Therefore ports come in blocks. A
 * picker claims a block by listening on its first port until its process ends, and other pickers
 * skip that block.
 */
export class PortPicker {
  readonly #blockClaims: Server[] = []
  #nextBlock = process.pid % blockCount()
  #blocksTried = 0
  #next = 0
  #end = 0

  /** The next free port. */
  async pick (): Promise<number> {
    while (true) {
      while (this.#next < this.#end) {
        const port = this.#next++
        if (await isFree(port)) return port
      }
      await this.#claimBlock()
    }
  }

  async #claimBlock (): Promise<void> {
    while (this.#blocksTried++ < blockCount()) {
      const first = FIRST_PORT + this.#nextBlock * PORT_BLOCK
      this.#nextBlock = (this.#nextBlock + 1) % blockCount()
      const claim = await listenOn(first)
      if (claim === undefined) continue
      claim.unref()
      this.#blockClaims.push(claim)
      this.#next = first + 1
      this.#end = first + PORT_BLOCK
      return
    }
    throw new NoFreePortError()
  }
}

function blockCount (): number {
  return Math.floor((LAST_PORT - FIRST_PORT) / PORT_BLOCK)
}

/** Resolves to a server that listens on the port, or to undefined when the port is taken. */
function listenOn (port: number): Promise<Server | undefined> {
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(undefined))
    server.listen(port, LOOPBACK, () => resolve(server))
  })
}

async function isFree (port: number): Promise<boolean> {
  const probe = await listenOn(port)
  if (probe === undefined) return false
  probe.close()
  await once(probe, 'close')
  return true
}
