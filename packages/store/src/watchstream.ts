/** One watch: a request whose answer is a stream of JSON lines. */
import type { Dispatcher } from 'undici'
import type { WatchEnd, WatchEvent } from './entries.ts'
import type { WireWatch } from './gateway.ts'
import { StringDecoder } from 'node:string_decoder'
import { WatchEndKind } from './entries.ts'
import { MAXIMUM_LINE_CHARACTERS } from './defaults.ts'
import { describeFailure, REQUEST_HEADERS } from './exchange.ts'
import { decodeEvent, decodeInteger, encodeText, GatewayPath } from './gateway.ts'
import { StoreUnavailable } from './errors.ts'
import { judgeStatus, parseBody } from './verdict.ts'

/** What a watch asks for and where its events go. */
export interface WatchRequest {
  key: string
  /** First revision of interest. */
  fromRevision: number
  /** Time limit for the service to confirm the watch, in milliseconds; none afterwards. */
  timeoutMilliseconds: number
  onEvent: (event: WatchEvent) => void
  /** Called once, also after `cancel`. */
  onEnd: (end: WatchEnd) => void
}

const STATUS_OK = 200

/** Reads the stream of one watch until it ends, and ends once. */
export class WatchStream implements Dispatcher.DispatchHandler {
  readonly #request: WatchRequest
  readonly #connection: Dispatcher
  readonly #decoder = new StringDecoder('utf8')
  readonly #timer: NodeJS.Timeout
  #status = 0
  #buffer = ''
  #ended = false

  /** @param connection used for this watch alone; destroyed when it ends. */
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
      create_request: { key: encodeText(this.#request.key), start_revision: String(this.#request.fromRevision) }
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
    if (this.#buffer.length > MAXIMUM_LINE_CHARACTERS) {
      this.#cut('the watch stream holds a line that is too long')
      return
    }
    if (this.#status === STATUS_OK) {
      this.#takeLines()
    }
  }

  onResponseEnd (): void {
    if (this.#status === STATUS_OK) {
      this.#cut('the watch stream ended')
      return
    }
    this.#end({ kind: WatchEndKind.Cut, error: judgeStatus(this.#status, this.#buffer, false) })
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    this.#cut(describeFailure(error), error)
  }

  #takeLines (): void {
    const lines = this.#buffer.split('\n')
    this.#buffer = lines.pop() ?? ''
    for (const line of lines) {
      if (this.#ended) {
        return
      }
      if (line.trim() !== '') {
        this.#take(line)
      }
    }
  }

  #take (line: string): void {
    const message = parseBody<WireWatch>(line)
    if (message === undefined || message.error !== undefined) {
      this.#cut(message?.error?.message ?? 'a line of the watch stream is not JSON')
      return
    }
    const result = message.result
    if (result?.canceled === true) {
      this.#endCancelled(decodeInteger(result.compact_revision), result.cancel_reason)
      return
    }
    clearTimeout(this.#timer)
    for (const event of result?.events ?? []) {
      this.#request.onEvent(decodeEvent(event))
    }
  }

  #endCancelled (compactRevision: number, reason: string | undefined): void {
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
    // The rejection is that of a connection which is gone already.
    this.#connection.destroy().catch(() => {})
    this.#request.onEnd(end)
  }
}
