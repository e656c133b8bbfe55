/** Helpers for the HTTP listeners of the stand-ins. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

import { LOOPBACK } from './defaults.ts'

/** A request body exceeded the limit. */
export class BodyTooLargeError extends Error {
  readonly code = 'BODY_TOO_LARGE'

  constructor (limit: number) {
    super(`the request body is larger than ${limit} bytes: send a smaller one`)
    this.name = 'BodyTooLargeError'
  }
}

/** Reads a body of at most `limit` bytes as JSON. An empty body is `{}`. Throws on invalid JSON. */
export async function readJson (request: IncomingMessage, limit: number): Promise<unknown> {
  const chunks: Buffer[] = []
  let length = 0
  for await (const chunk of request) {
    const bytes = chunk as Buffer
    length += bytes.length
    if (length > limit) throw new BodyTooLargeError(limit)
    chunks.push(bytes)
  }
  const text = Buffer.concat(chunks).toString('utf8')
  return text === '' ? {} : JSON.parse(text)
}

/** Answers with a JSON body. */
export function sendJson (response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(text)
}

/** Starts listening on the loopback interface. Port 0 lets the system pick one. Resolves to the port. */
export function listen (server: Server, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, LOOPBACK, () => {
      server.off('error', reject)
      resolve((server.address() as AddressInfo).port)
    })
  })
}

/** Stops listening and closes every open connection. */
export function closeServer (server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}
