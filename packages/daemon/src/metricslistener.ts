/** HTTP listener for the metrics. */
import type { Logger } from 'pino'
import type { Server } from 'node:http'
import { createServer } from 'node:http'
import { EXPOSITION_TYPE } from './exposition.ts'

export class MetricsListener {
  readonly #server: Server
  readonly #log: Logger

  constructor (text: () => string, log: Logger) {
    this.#log = log
    this.#server = createServer((_request, response) => {
      response.writeHead(200, { 'content-type': EXPOSITION_TYPE })
      response.end(text())
    })
  }

  /** Starts to listen. A failure is only logged, as the process can serve without metrics. */
  listen (host: string, port: number): void {
    this.#server.on('error', error => this.#log.error({ host, port, reason: error.message }, 'no metrics listener'))
    this.#server.listen(port, host)
  }

  close (): void {
    this.#server.close()
  }
}
