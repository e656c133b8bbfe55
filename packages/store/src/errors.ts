/** Errors of the key-value service client. */

/** Error codes, for lookup tables and logs. */
export enum StoreErrorCode {
  Unavailable = 'STORE_UNAVAILABLE',
  TimedOut = 'STORE_TIMED_OUT',
  Rejected = 'STORE_REJECTED'
}

/** Base class of the client's errors. */
abstract class StoreFailure extends Error {
  abstract readonly code: StoreErrorCode
  /** Whether the failed call may still have changed the store. */
  abstract readonly mayHaveTakenEffect: boolean
}

/**
 * The call did not take effect: no endpoint could be reached, or the service reported that it
 * changed nothing. The call can be retried.
 */
export class StoreUnavailable extends StoreFailure {
  override readonly name = 'StoreUnavailable'
  readonly code = StoreErrorCode.Unavailable
  readonly mayHaveTakenEffect = false

  constructor (detail: string, cause?: unknown) {
    super(`the key-value service is not available (${detail}); nothing was changed, try again later`, { cause })
  }
}

/**
 * No response was received. A write may have been applied or may still be applied later: read the
 * key back before writing again. A read has no effect and can be retried.
 */
export class StoreTimedOut extends StoreFailure {
  override readonly name = 'StoreTimedOut'
  readonly code = StoreErrorCode.TimedOut
  readonly mayHaveTakenEffect: boolean

  constructor (detail: string, mayHaveTakenEffect: boolean, cause?: unknown) {
    const advice = mayHaveTakenEffect
      ? 'the write may have taken effect, read the key back before writing again'
      : 'nothing was changed, try again'
    super(`the key-value service did not answer (${detail}); ${advice}`, { cause })
    this.mayHaveTakenEffect = mayHaveTakenEffect
  }
}

/** The call is invalid and did not take effect. Retrying it unchanged cannot succeed. */
export class StoreRejected extends StoreFailure {
  override readonly name = 'StoreRejected'
  readonly code = StoreErrorCode.Rejected
  readonly mayHaveTakenEffect = false

  constructor (detail: string, cause?: unknown) {
    super(`the key-value service cannot accept this call: ${detail}; change the call before sending it again`, { cause })
  }
}

/** Any error of the client. */
export type StoreError = StoreUnavailable | StoreTimedOut | StoreRejected
