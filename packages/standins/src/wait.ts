/** Waiting for a condition, with a bound. */
import { setTimeout as delay } from 'node:timers/promises'

/** A condition did not come true in time. */
export class WaitTimeoutError extends Error {
  readonly code = 'WAIT_TIMEOUT'

  constructor (what: string, timeout: number, cause: unknown) {
    super(`waited ${timeout} ms for ${what} in vain`, { cause })
    this.name = 'WaitTimeoutError'
  }
}

/** Looks every `interval` ms until `isTrue` resolves to true; a rejection counts as false. */
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
