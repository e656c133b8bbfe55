/** Waiting for a condition with a timeout. */
import { setTimeout as delay } from 'node:timers/promises'

/** A condition was not met in time. `cause` is the latest error of the check, if any. */
export class WaitTimeoutError extends Error {
  readonly code = 'WAIT_TIMEOUT'

  constructor (what: string, timeout: number, cause: unknown) {
    super(`waited ${timeout} ms for ${what}: timed out`, { cause })
    this.name = 'WaitTimeoutError'
  }
}

/** Checks every `interval` ms until `condition` resolves to true. A rejection counts as false. */
export async function waitFor (
  what: string, timeout: number, interval: number, condition: () => Promise<boolean> | boolean
): Promise<void> {
  const timeoutAt = performance.now() + timeout
  let failure: unknown
  while (performance.now() < timeoutAt) {
    try {
      if (await condition()) return
    } catch (error) {
      failure = error
    }
    await delay(interval)
  }
  throw new WaitTimeoutError(what, timeout, failure)
}
