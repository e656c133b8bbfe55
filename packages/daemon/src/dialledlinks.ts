/** Links to a set of instances that this process dials. */
import type { Instance } from '@amaranthmast/coordination/messages'
import type { Destination } from './dialer.ts'
import type { Environment } from './environment.ts'
import type { Links } from './links.ts'
import { Dialer } from './dialer.ts'

export abstract class DialledLinks<In, Out, OutFrame> {
  readonly #links: Links<In, Out, OutFrame>
  readonly #dialer: Dialer

  constructor (links: Links<In, Out, OutFrame>, { random, now }: Environment) {
    this.#links = links
    this.#dialer = new Dialer((destination, signal) => this.attempt(destination, signal), random, now)
  }

  /** Keeps a link to each of these instances and closes all others. */
  connect (destinations: readonly Destination[]): void {
    this.#links.retain(new Set(destinations.map(({ instance }) => instance)))
    this.#dialer.setDestinations(destinations)
  }

  /** Sends a message; it is dropped when the instance has no link. */
  send (instance: Instance, message: Out): void {
    this.#links.send(instance, message)
  }

  /** Number of linked instances. */
  get size (): number {
    return this.#links.size
  }

  /** Closes links on which nothing has been received for longer than `timeout` milliseconds. */
  sweep (now: number, timeout: number): void {
    this.#links.sweep(now, timeout)
  }

  /** Sends the pending messages and ends the streams in order. */
  finish (): void {
    this.#dialer.setDestinations([])
    this.#links.finish()
  }

  /** Dials once and runs the link until it ends; returns whether it was established. */
  protected abstract attempt (destination: Destination, signal: AbortSignal): Promise<boolean>
}
