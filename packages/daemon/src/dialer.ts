/** Keeps a connection to each of a set of instances; reconnects with exponential backoff. */
import type { Instance } from '@amaranthmast/coordination/messages'
import { setTimeout as pause } from 'node:timers/promises'
import { RECONNECT_BASE_PAUSE_MILLISECONDS, MAX_RECONNECT_PAUSE_MILLISECONDS } from './defaults.ts'

/** An instance and the address at which it listens. */
export interface Destination {
  instance: Instance
  address: string
}

/**
 * One connection attempt: settles when the connection has failed or ended, and never rejects.
 *
 * @returns whether the connection was established
 */
export type ConnectionAttempt = (destination: Destination, signal: AbortSignal) => Promise<boolean>

/** Dials each destination, and again when its connection fails or ends. */
export class Dialer {
  readonly #attempt: ConnectionAttempt
  readonly #random: () => number
  readonly #now: () => number
  readonly #destinations = new Map<Instance, AbortController>()

  constructor (attempt: ConnectionAttempt, random: () => number, now: () => number) {
    this.#attempt = attempt
    this.#random = random
    this.#now = now
  }

  /** Starts dialling the destinations that are new in the list and stops dialling those that are no longer in it. */
  setDestinations (destinations: readonly Destination[]): void {
    const instances = new Set(destinations.map(({ instance }) => instance))
    for (const [instance, controller] of this.#destinations) {
      if (instances.has(instance)) continue
      this.#destinations.delete(instance)
      controller.abort()
    }
    for (const destination of destinations) {
      if (this.#destinations.has(destination.instance)) continue
      const controller = new AbortController()
      this.#destinations.set(destination.instance, controller)
      this.#keepConnected(destination, controller.signal)
    }
  }

  async #keepConnected (destination: Destination, signal: AbortSignal): Promise<void> {
    let failures = 0
    while (!signal.aborted) {
      const started = this.#now()
      const wasUp = await this.#attempt(destination, signal)
      // A connection that breaks soon after it was established counts as a failure, or it would be dialled without backoff.
      const lasted = this.#now() - started >= MAX_RECONNECT_PAUSE_MILLISECONDS
      failures = wasUp && lasted ? 0 : failures + 1
      await pause(this.#backoff(failures), undefined, { signal }).catch(() => {})
    }
  }

  /** Returns the pause in milliseconds. Half of it is random, so that processes which lost the same peer do not reconnect at the same time. */
  #backoff (failures: number): number {
    const longest = Math.min(RECONNECT_BASE_PAUSE_MILLISECONDS * 2 ** failures, MAX_RECONNECT_PAUSE_MILLISECONDS)
    return longest * (0.5 + this.#random() / 2)
  }
}
