/** One HTTP exchange with one endpoint, and what can be said for certain when it fails. */
import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'

/** How an exchange ended. */
export enum ExchangeOutcome {
  /** An answer arrived whole. */
  Answered = 'answered',
  /** No byte of the request left this process. */
  NotSent = 'notSent',
  /** The request was sent, in part or whole, and no whole answer arrived. */
  Unanswered = 'unanswered',
  /** The answer is larger than was asked for, and was given up. */
  TooLarge = 'tooLarge'
}

/** Result of one exchange. */
export type Exchange =
  | { outcome: ExchangeOutcome.Answered, status: number, body: string }
  | { outcome: Exclude<ExchangeOutcome, ExchangeOutcome.Answered>, detail: string, cause: unknown }

/** Headers of every request. */
export const REQUEST_HEADERS = { 'content-type': 'application/json' } as const

/** Short description of a failure of the network. */
export function describeFailure (error: unknown): string {
  if (!(error instanceof Error)) {
    return String(error)
  }
  const code = (error as NodeJS.ErrnoException).code
  return code === undefined ? error.message : `${code} ${error.message}`.trim()
}

/** Time limits of an exchange, in milliseconds. */
export interface ExchangeLimits {
  /** Until the whole answer is there; with `pause`, until it begins. */
  answer: number
  /** Longest pause within an answer that has begun: a large one on a small link is whole when it is whole. */
  pause?: number
  /** Largest body that is read, in bytes: a larger one is given up as soon as its size is known. */
  size?: number
  /** Called when the answer begins. */
  begun?: () => void
}

/** Collects one answer and settles once. */
class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly #settle: (exchange: Exchange) => void
  readonly #limits: ExchangeLimits
  #timer: NodeJS.Timeout
  readonly #chunks: Buffer[] = []
  #controller: Dispatcher.DispatchController | undefined
  #timeout: Error | undefined
  #settled = false
  #status = 0
  #size = 0

  constructor (limits: ExchangeLimits, settle: (exchange: Exchange) => void) {
    this.#settle = settle
    this.#limits = limits
    this.#timer = this.#limit(limits.answer)
  }

  /**
   * Called just before the first byte is written. A request that waited for a connection beyond its
   * time limit was reported as not sent; without this abort it would still be written later, and a
   * write that the caller has given up as harmless would take effect.
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
    this.#timer = this.#limit(pause)
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
    this.#fail(describeFailure(error), error)
  }

  #checkSize (size: number): void {
    if (this.#settled || size <= (this.#limits.size ?? Infinity)) return
    const error = new Error(`an answer of ${size} bytes or more`)
    this.#finish({ outcome: ExchangeOutcome.TooLarge, detail: error.message, cause: error })
    this.#controller?.abort(error)
  }

  /** A process that stood still finds the timer before the answer that came meanwhile: what has arrived is read first. */
  #limit (milliseconds: number): NodeJS.Timeout {
    return setTimeout(() => {
      const received = this.#chunks.length
      setImmediate(() => {
        const goesOn = this.#limits.pause !== undefined && this.#chunks.length > received
        if (!goesOn) this.#expire(milliseconds)
      })
    }, milliseconds)
  }

  #expire (timeoutMilliseconds: number): void {
    if (this.#settled) return
    this.#timeout = new Error(`no answer within ${timeoutMilliseconds} ms`)
    this.#fail(this.#timeout.message, this.#timeout)
    this.#controller?.abort(this.#timeout)
  }

  #fail (detail: string, cause: unknown): void {
    const outcome = this.#controller === undefined ? ExchangeOutcome.NotSent : ExchangeOutcome.Unanswered
    this.#finish({ outcome, detail, cause })
  }

  #finish (exchange: Exchange): void {
    if (this.#settled) {
      return
    }
    this.#settled = true
    clearTimeout(this.#timer)
    this.#settle(exchange)
  }
}

/** A request other than a plain post. */
export interface ExchangeRequest {
  method: 'GET' | 'POST' | 'DELETE'
  path: string
  headers?: Readonly<Record<string, string>>
  body?: string
}

/** Posts `body` to one endpoint; the promise is never rejected. */
export function exchange (dispatcher: Dispatcher, path: string, body: string, timeoutMilliseconds: number): Promise<Exchange> {
  return exchangeRequest(dispatcher, { method: 'POST', path, body }, timeoutMilliseconds)
}

/**
 * Sends a request to one endpoint; the promise is never rejected.
 *
 * @param limits milliseconds until the whole answer is there, or more than one limit
 */
export function exchangeRequest (dispatcher: Dispatcher, request: ExchangeRequest, limits: number | ExchangeLimits): Promise<Exchange> {
  return new Promise((resolve) => {
    const handler = new ExchangeHandler(typeof limits === 'number' ? { answer: limits } : limits, resolve)
    const { method, path, headers = REQUEST_HEADERS, body = null } = request
    dispatcher.dispatch({ method, path, headers, body }, handler)
  })
}
