/** Starts a listener and returns a result instead of emitting events. */
import { ResultAsync } from 'neverthrow'
import type { AddressInfo, Server } from 'node:net'

/** The listener could not be started. */
export class ListenError extends Error {
  readonly code = 'cannotListen'

  constructor (host: string, port: number, reason: unknown) {
    super(`cannot listen on ${host}:${port} (${reasonCode(reason)}): choose a free port and an address of this machine in the settings`)
    this.name = 'ListenError'
  }
}

/**
 * Starts to listen.
 *
 * @param port 0 for any free port
 * @returns the port that the server listens on
 */
export function listen (server: Server, host: string, port: number): ResultAsync<number, ListenError> {
  return ResultAsync.fromPromise(listening(server, host, port), reason => new ListenError(host, port, reason))
}

function listening (server: Server, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.off('error', reject)
      resolve((server.address() as AddressInfo).port)
    })
  })
}

function reasonCode (reason: unknown): string {
  return reason instanceof Error && 'code' in reason ? String(reason.code) : String(reason)
}
