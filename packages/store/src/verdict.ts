/** What a failed exchange means for the caller: whether the call took effect and may be repeated. */
import type { Exchange } from './exchange.ts'
import type { WireError } from './gateway.ts'
import type { StoreError } from './errors.ts'
import { ExchangeOutcome } from './exchange.ts'
import { StoreRejected, StoreTimedOut, StoreUnavailable } from './errors.ts'

/** Messages of the service that are sent only before anything is written. */
const NOT_STARTED_MESSAGES = ['etcdserver: no leader', 'etcdserver: too many requests', 'etcdserver: not capable']

const STATUS_OK = 200
const STATUS_TOO_MANY_REQUESTS = 429
const STATUS_SERVER_ERROR = 500

/** Time-outs and cancellations that are not 5xx, and prove as little. */
const UNCERTAIN_STATUSES = [408, 499]

/** Message of a failed call, or the start of a body that is not of the gateway. */
function errorMessage (body: string): string {
  const parsed = parseBody<WireError>(body)
  return parsed?.message ?? parsed?.error ?? body.slice(0, 200)
}

/** Body as an object; undefined when it is not one. */
export function parseBody<Body extends object> (body: string): Body | undefined {
  try {
    const parsed: unknown = JSON.parse(body)
    return typeof parsed === 'object' && parsed !== null ? parsed as Body : undefined
  } catch {
    return undefined
  }
}

/**
 * Error of a status other than 200. A 5xx proves nothing about a write: the service answers 503 also
 * when its own commit timed out or its leader changed, and the write may be applied afterwards. Only
 * the messages that are known to come before the write make it provably not applied.
 */
export function judgeStatus (status: number, body: string, isWrite: boolean): StoreError {
  const message = errorMessage(body)
  const detail = `status ${status}, ${message}`
  const notStarted = NOT_STARTED_MESSAGES.some((known) => message.includes(known))
  if (status === STATUS_TOO_MANY_REQUESTS || notStarted) {
    return new StoreUnavailable(detail)
  }
  if (status >= STATUS_SERVER_ERROR || UNCERTAIN_STATUSES.includes(status)) {
    return isWrite ? new StoreTimedOut(detail, true) : new StoreUnavailable(detail)
  }
  return new StoreRejected(detail)
}

/** Body of a successful exchange, or the error that the exchange amounts to. */
export function judge<Body extends object> (result: Exchange, isWrite: boolean): Body | StoreError {
  if (result.outcome !== ExchangeOutcome.Answered) {
    return result.outcome === ExchangeOutcome.NotSent
      ? new StoreUnavailable(result.detail, result.cause)
      : new StoreTimedOut(result.detail, isWrite, result.cause)
  }
  if (result.status !== STATUS_OK) {
    return judgeStatus(result.status, result.body, isWrite)
  }
  return parseBody<Body>(result.body) ?? new StoreTimedOut('the answer is not JSON', isWrite)
}
