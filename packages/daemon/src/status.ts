/** The status port of both roles: health, readiness, metrics, and the state for the command-line tool. */
import type { ResultAsync } from 'neverthrow'
import type { Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import { EXPOSITION_TYPE } from './exposition.ts'
import type { HealthCheck } from './health.ts'
import { respondToHealth } from './health.ts'
import type { ListenError } from './listen.ts'
import { listen } from './listen.ts'

/** Source of the pages of the status port. */
export interface StatusSource extends HealthCheck {
  /** Metrics in the text format that monitoring systems scrape. */
  metrics: () => string
  /** State for the command-line tool; any JSON value. */
  status: () => unknown
}

type PageHandler = (source: StatusSource, response: ServerResponse) => void

const PAGES: Record<string, PageHandler> = {
  '/metrics': (source, response) => respond(response, 200, EXPOSITION_TYPE, source.metrics()),
  '/status': (source, response) => respond(response, 200, 'application/json', JSON.stringify(source.status()))
}

export class StatusPort {
  readonly #server: Server

  constructor (source: StatusSource) {
    this.#server = createServer((request, response) => {
      const path = request.url ?? '/'
      if (respondToHealth(path, source, response)) return
      const page = PAGES[path]
      if (page !== undefined) return page(source, response)
      respond(response, 404, 'text/plain', 'pages: /healthz /readyz /metrics /status\n')
    })
  }

  /** Starts to listen and returns the port. */
  listen (host: string, port: number): ResultAsync<number, ListenError> {
    return listen(this.#server, host, port)
  }

  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}

function respond (response: ServerResponse, status: number, type: string, body: string): void {
  response.writeHead(status, { 'content-type': type })
  response.end(body)
}
