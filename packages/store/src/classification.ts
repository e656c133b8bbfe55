/** Classifies failed exchanges by whether the call may have taken effect and can be retried. */
import type { ExchangeResult } from './exchange.ts'
import type { WireError } from './gateway.ts'
import type { StoreError } from './errors.ts'
import { ExchangeOutcome } from './exchange.ts'
import { StoreRejected, StoreTimedOut, StoreUnavailable } from './errors.ts'

/** Error messages that the service sends only before it applies a write. */
const NOT_APPLIED_MESSAGES = ['etcdserver: no leader', 'etcdserver: too many requests', 'etcdserver: not capable']

const STATUS_OK = 200
const STATUS_TOO_MANY_REQUESTS = 429
const STATUS_SERVER_ERROR = 500

/** Statuses below 500 for timeouts and cancellations. The write may still have been applied. */
const UNCERTAIN_STATUSES = [408, 499]

/** Returns the error message of a response body, or the start of the body if it is not a gateway error. */
function extractErrorMessage (body: string): string {
  const parsed = parseJsonObject<WireError>(body)
  return parsed?.message ?? parsed?.error ?? body.slice(0, 200)
}

/** Parses a body as a JSON object; undefined if it is not one. */
export function parseJsonObject<Body extends object> (body: string): Body | undefined {
  try {
    const parsed: unknown = JSON.parse(body)
    return typeof parsed === 'object' && parsed !== null ? parsed as Body : undefined
  } catch {
    return undefined
  }
}

/**
 * Returns the error for a status other than 200. After a 5xx status, the outcome of a write is unknown:
 * the service also responds with 503 when its commit timed out or its leader changed, and the write may
 * be applied afterwards. The exception is a message that the service sends only before it applies a write.
 */
export function classifyStatus (status: number, body: string, isWrite: boolean): StoreError {
  const message = extractErrorMessage(body)
  const detail = `status ${status}, ${message}`
  const notApplied = NOT_APPLIED_MESSAGES.some((known) => message.includes(known))
  if (status === STATUS_TOO_MANY_REQUESTS || notApplied) {
    return new StoreUnavailable(detail)
  }
  if (status >= STATUS_SERVER_ERROR || UNCERTAIN_STATUSES.includes(status)) {
    return isWrite ? new StoreTimedOut(detail, true) : new StoreUnavailable(detail)
  }
  return new StoreRejected(detail)
}

/** Returns the body of a successful exchange, or the error for a failed one. */
export function classifyExchange<Body extends object> (result: ExchangeResult, isWrite: boolean): Body | StoreError {
  if (result.outcome !== ExchangeOutcome.Answered) {
    return result.outcome === ExchangeOutcome.NotSent
      ? new StoreUnavailable(result.detail, result.cause)
      : new StoreTimedOut(result.detail, isWrite, result.cause)
  }
  if (result.status !== STATUS_OK) {
    return classifyStatus(result.status, result.body, isWrite)
  }
  return parseJsonObject<Body>(result.body) ?? new StoreTimedOut('the answer is not JSON', isWrite)
}
