/** Errors of the client of the key-value service. */

/** Names of the errors, for lookup tables and logs. */
export enum StoreErrorCode {
  Unavailable = 'STORE_UNAVAILABLE',
  TimedOut = 'STORE_TIMED_OUT',
  Rejected = 'STORE_REJECTED'
}

/** What every error of this layer has. */
abstract class StoreFailure extends Error {
  abstract readonly code: StoreErrorCode
  /** Whether the call may have changed the store although it failed. */
  abstract readonly mayHaveTakenEffect: boolean
}

/**
 * The call did not take effect: no endpoint could be reached, or the service said that it did
 * nothing. The call may be repeated.
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
 * The answer did not arrive. A write may have taken effect, now or later: read the key back before
 * writing again. A read has no effect and may be repeated.
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

/** The call can never succeed as it is, and did not take effect. Repeating it does not help. */
export class StoreRejected extends StoreFailure {
  override readonly name = 'StoreRejected'
  readonly code = StoreErrorCode.Rejected
  readonly mayHaveTakenEffect = false

  constructor (detail: string, cause?: unknown) {
    super(`the key-value service cannot accept this call: ${detail}; change the call before sending it again`, { cause })
  }
}

/** Any error of this layer. */
export type StoreError = StoreUnavailable | StoreTimedOut | StoreRejected
