/** Free ports on the loopback. */
import { createServer } from 'node:net'

import { FIRST_PORT, LAST_PORT, LOOPBACK } from './defaults.ts'

/** No port of the range is free. */
export class NoFreePortError extends Error {
  readonly code = 'NO_FREE_PORT'

  constructor () {
    super(`no port from ${FIRST_PORT} to ${LAST_PORT} is free on ${LOOPBACK}: end the processes that hold them`)
    this.name = 'NoFreePortError'
  }
}

/**
 * Hands out ports that were free when asked for, each once. They lie below the range from which
 * the operating system picks ports for connections, so that no connection takes one before the
 * process that it is meant for listens.
 */
export class PortPicker {
  #next = FIRST_PORT + (process.pid * 97) % (LAST_PORT - FIRST_PORT)
  #tried = 0

  /** The next free port. */
  async pick (): Promise<number> {
    while (this.#tried++ < LAST_PORT - FIRST_PORT) {
      const port = this.#next
      this.#next = port >= LAST_PORT ? FIRST_PORT : port + 1
      if (await isFree(port)) return port
    }
    throw new NoFreePortError()
  }
}

function isFree (port: number): Promise<boolean> {
  return new Promise(resolve => {
    const probe = createServer()
    probe.once('error', () => resolve(false))
    probe.listen(port, LOOPBACK, () => probe.close(() => resolve(true)))
  })
}
