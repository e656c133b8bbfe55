/** Single watch: a request whose response is a stream of JSON lines. */
import type { Dispatcher } from 'undici'
import type { WatchEnd, WatchEvent } from './entries.ts'
import type { WireWatch } from './gateway.ts'
import { StringDecoder } from 'node:string_decoder'
import { WatchEndKind } from './entries.ts'
import { MAX_LINE_CHARACTERS } from './defaults.ts'
import { describeNetworkError, REQUEST_HEADERS } from './exchange.ts'
import { decodeEvent, decodeInteger, encodeBase64, GatewayPath } from './gateway.ts'
import { StoreUnavailable } from './errors.ts'
import { classifyStatus, parseJsonObject } from './classification.ts'

/** Parameters and callbacks of a watch. */
export interface WatchRequest {
  key: string
  /** First revision to report. */
  fromRevision: number
  /** Timeout for the service to confirm the watch, in milliseconds. There is no timeout afterwards. */
  timeoutMilliseconds: number
  onEvent: (event: WatchEvent) => void
  /** Called exactly once, also after `cancel`. */
  onEnd: (end: WatchEnd) => void
}

const STATUS_OK = 200

/** Reads the response stream of one watch and reports its end exactly once. */
export class WatchStream implements Dispatcher.DispatchHandler {
  readonly #request: WatchRequest
  readonly #connection: Dispatcher
  readonly #decoder = new StringDecoder('utf8')
  readonly #timer: NodeJS.Timeout
  #status = 0
  #buffer = ''
  #ended = false

  /** @param connection dedicated to this watch; destroyed when the watch ends */
  constructor (connection: Dispatcher, request: WatchRequest) {
    this.#connection = connection
    this.#request = request
    this.#timer = setTimeout(() => {
      this.#cut(`watch not confirmed within ${request.timeoutMilliseconds} ms`)
    }, request.timeoutMilliseconds)
  }

  /** Sends the request. */
  open (): void {
    const body = JSON.stringify({
      create_request: { key: encodeBase64(this.#request.key), start_revision: String(this.#request.fromRevision) }
    })
    this.#connection.dispatch({ path: GatewayPath.Watch, method: 'POST', headers: REQUEST_HEADERS, body }, this)
  }

  /** Ends the watch; no event is reported afterwards. */
  cancel (): void {
    this.#cut('cancelled')
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    if (this.#ended) {
      controller.abort(new Error('the watch has ended'))
    }
  }

  onResponseStart (_controller: Dispatcher.DispatchController, statusCode: number): void {
    this.#status = statusCode
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#buffer += this.#decoder.write(chunk)
    if (this.#buffer.length > MAX_LINE_CHARACTERS) {
      this.#cut('the watch stream holds a line that is too long')
      return
    }
    if (this.#status === STATUS_OK) {
      this.#processLines()
    }
  }

  onResponseEnd (): void {
    if (this.#status === STATUS_OK) {
      this.#cut('the watch stream ended')
      return
    }
    this.#end({ kind: WatchEndKind.Cut, error: classifyStatus(this.#status, this.#buffer, false) })
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    this.#cut(describeNetworkError(error), error)
  }

  #processLines (): void {
    const lines = this.#buffer.split('\n')
    this.#buffer = lines.pop() ?? ''
    for (const line of lines) {
      if (this.#ended) {
        return
      }
      if (line.trim() !== '') {
        this.#processLine(line)
      }
    }
  }

  #processLine (line: string): void {
    const message = parseJsonObject<WireWatch>(line)
    if (message === undefined || message.error !== undefined) {
      this.#cut(message?.error?.message ?? 'a line of the watch stream is not JSON')
      return
    }
    const result = message.result
    if (result?.canceled === true) {
      this.#handleCancellation(decodeInteger(result.compact_revision), result.cancel_reason)
      return
    }
    clearTimeout(this.#timer)
    for (const event of result?.events ?? []) {
      this.#request.onEvent(decodeEvent(event))
    }
  }

  #handleCancellation (compactRevision: number, reason: string | undefined): void {
    if (compactRevision > 0) {
      this.#end({ kind: WatchEndKind.Compacted, compactRevision })
      return
    }
    this.#cut(reason ?? 'the service ended the watch')
  }

  #cut (detail: string, cause?: unknown): void {
    this.#end({ kind: WatchEndKind.Cut, error: new StoreUnavailable(detail, cause) })
  }

  #end (end: WatchEnd): void {
    if (this.#ended) {
      return
    }
    this.#ended = true
    this.#buffer = ''
    clearTimeout(this.#timer)
    // Destroying a connection that is already closed rejects.
    this.#connection.destroy().catch(() => {})
    this.#request.onEnd(end)
  }
}
