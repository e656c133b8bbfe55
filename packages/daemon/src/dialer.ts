/** Keeps a connection to each wanted instance, with growing pauses between failures. */
import type { Instance } from '@amaranthmast/coordination/messages'
import { setTimeout as pause } from 'node:timers/promises'
import { MIN_RECONNECT_PAUSE_MILLISECONDS, MAX_RECONNECT_PAUSE_MILLISECONDS } from './defaults.ts'

/** Where an instance listens. */
export interface Destination {
  instance: Instance
  address: string
}

/**
 * One attempt: settles when the connection has failed or ended, and never rejects.
 *
 * @returns whether the connection had been up
 */
export type ConnectionAttempt = (destination: Destination, signal: AbortSignal) => Promise<boolean>

/** Dials what is wanted, and again when it fails or ends. */
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

  /** Starts dialling what is new in the list and stops what is no longer in it. */
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
      // A link that breaks as soon as it is up is a failure too, or it would be dialled without pause.
      const lasted = this.#now() - started >= MAX_RECONNECT_PAUSE_MILLISECONDS
      failures = wasUp && lasted ? 0 : failures + 1
      await pause(this.#backoff(failures), undefined, { signal }).catch(() => {})
    }
  }

  /** Half of the pause is random, so that those who lost the same peer do not come back together. */
  #backoff (failures: number): number {
    const longest = Math.min(MIN_RECONNECT_PAUSE_MILLISECONDS * 2 ** failures, MAX_RECONNECT_PAUSE_MILLISECONDS)
    return longest * (0.5 + this.#random() / 2)
  }
}
