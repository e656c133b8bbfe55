/** Performs one HTTP exchange with one endpoint and reports whether a failed request may have been sent. */
import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'

/** How an exchange ended. */
export enum ExchangeOutcome {
  /** A complete response was received. */
  Answered = 'answered',
  /** No byte of the request was sent. */
  NotSent = 'notSent',
  /** The request was sent, at least partly, and no complete response was received. */
  Unanswered = 'unanswered',
  /** The response exceeded the size limit and was aborted. */
  TooLarge = 'tooLarge'
}

/** Result of one exchange. */
export type ExchangeResult =
  | { outcome: ExchangeOutcome.Answered, status: number, body: string }
  | { outcome: Exclude<ExchangeOutcome, ExchangeOutcome.Answered>, detail: string, cause: unknown }

/** Default request headers. */
export const REQUEST_HEADERS = { 'content-type': 'application/json' } as const

/** Formats a network error as its code and message. */
export function describeNetworkError (error: unknown): string {
  if (!(error instanceof Error)) {
    return String(error)
  }
  const code = (error as NodeJS.ErrnoException).code
  return code === undefined ? error.message : `${code} ${error.message}`.trim()
}

/** Limits of an exchange. Times are in milliseconds. */
export interface ExchangeLimits {
  /** Timeout for the complete response. If `pause` is set, timeout for the response headers. */
  answer: number
  /** Idle timeout between chunks of the response body. Large responses over slow links then have no total time limit. */
  pause?: number
  /** Maximum body size in bytes. A larger response is aborted as soon as its size is known. */
  size?: number
  /** Called when the response headers are received. */
  begun?: () => void
}

/** Collects one response and settles exactly once. */
class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly #settle: (result: ExchangeResult) => void
  readonly #limits: ExchangeLimits
  #timer: NodeJS.Timeout
  readonly #chunks: Buffer[] = []
  #controller: Dispatcher.DispatchController | undefined
  #timeout: Error | undefined
  #settled = false
  #status = 0
  #size = 0

  constructor (limits: ExchangeLimits, settle: (result: ExchangeResult) => void) {
    this.#settle = settle
    this.#limits = limits
    this.#timer = this.#startTimer(limits.answer)
  }

  /**
   * Called just before the first byte is written. A request that timed out while waiting for a
   * connection was reported as not sent. Without this abort it would still be sent later, and a write
   * that the caller considers not applied would take effect.
   */
  onRequestStart (controller: Dispatcher.DispatchController): void {
    if (this.#timeout !== undefined) {
      controller.abort(this.#timeout)
      return
    }
    this.#controller = controller
  }

  onResponseStart (_controller: Dispatcher.DispatchController, statusCode: number, headers: IncomingHttpHeaders): void {
    this.#status = statusCode
    this.#limits.begun?.()
    this.#checkSize(Number(headers['content-length'] ?? 0))
    const { pause } = this.#limits
    if (pause === undefined || this.#settled) return
    clearTimeout(this.#timer)
    this.#timer = this.#startTimer(pause)
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#chunks.push(chunk)
    this.#size += chunk.length
    this.#checkSize(this.#size)
    if (this.#limits.pause !== undefined && !this.#settled) this.#timer.refresh()
  }

  onResponseEnd (): void {
    const body = Buffer.concat(this.#chunks).toString('utf8')
    this.#finish({ outcome: ExchangeOutcome.Answered, status: this.#status, body })
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    this.#fail(describeNetworkError(error), error)
  }

  #checkSize (size: number): void {
    if (this.#settled || size <= (this.#limits.size ?? Infinity)) return
    const error = new Error(`response of at least ${size} bytes exceeds the size limit`)
    this.#finish({ outcome: ExchangeOutcome.TooLarge, detail: error.message, cause: error })
    this.#controller?.abort(error)
  }

  /**
   * After the process was stalled, the event loop runs the expired timer before it reads a response that was received
   * in the meantime. `setImmediate` lets pending data be read before the timeout applies.
   */
  #startTimer (milliseconds: number): NodeJS.Timeout {
    return setTimeout(() => {
      const received = this.#chunks.length
      setImmediate(() => {
        const isReceiving = this.#limits.pause !== undefined && this.#chunks.length > received
        if (!isReceiving) this.#handleTimeout(milliseconds)
      })
    }, milliseconds)
  }

  #handleTimeout (timeoutMilliseconds: number): void {
    if (this.#settled) return
    this.#timeout = new Error(`no response within ${timeoutMilliseconds} ms`)
    this.#fail(this.#timeout.message, this.#timeout)
    this.#controller?.abort(this.#timeout)
  }

  #fail (detail: string, cause: unknown): void {
    const outcome = this.#controller === undefined ? ExchangeOutcome.NotSent : ExchangeOutcome.Unanswered
    this.#finish({ outcome, detail, cause })
  }

  #finish (result: ExchangeResult): void {
    if (this.#settled) {
      return
    }
    this.#settled = true
    clearTimeout(this.#timer)
    this.#settle(result)
  }
}

/** Request with a method, path and headers of its own. */
export interface ExchangeRequest {
  method: 'GET' | 'POST' | 'DELETE'
  path: string
  headers?: Readonly<Record<string, string>>
  body?: string
}

/** Sends a POST request with the JSON text `body` to one endpoint. The promise never rejects. */
export function postJson (dispatcher: Dispatcher, path: string, body: string, timeoutMilliseconds: number): Promise<ExchangeResult> {
  return sendRequest(dispatcher, { method: 'POST', path, body }, timeoutMilliseconds)
}

/**
 * Sends a request to one endpoint. The promise never rejects.
 *
 * @param limits timeout for the complete response in milliseconds, or several limits
 */
export function sendRequest (dispatcher: Dispatcher, request: ExchangeRequest, limits: number | ExchangeLimits): Promise<ExchangeResult> {
  return new Promise((resolve) => {
    const handler = new ExchangeHandler(typeof limits === 'number' ? { answer: limits } : limits, resolve)
    const { method, path, headers = REQUEST_HEADERS, body = null } = request
    dispatcher.dispatch({ method, path, headers, body }, handler)
  })
}
