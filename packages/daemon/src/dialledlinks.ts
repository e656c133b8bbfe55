/** Links to a set of instances that this process dials and keeps. */
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

  /** Keeps a link to each of these instances and to no other. */
  connect (destinations: readonly Destination[]): void {
    this.#links.retain(new Set(destinations.map(({ instance }) => instance)))
    this.#dialer.setDestinations(destinations)
  }

  /** Sends a message; dropped when the instance has no link. */
  send (instance: Instance, message: Out): void {
    this.#links.send(instance, message)
  }

  /** Instances with a link. */
  get size (): number {
    return this.#links.size
  }

  /** Closes links that have been silent for longer than `silence`, in milliseconds. */
  sweep (now: number, timeout: number): void {
    this.#links.sweep(now, timeout)
  }

  /** Lets what waits leave and ends the streams in order. */
  finish (): void {
    this.#dialer.setDestinations([])
    this.#links.finish()
  }

  /** Dials once and keeps the link until it ends; tells whether it was up. */
  protected abstract attempt (destination: Destination, signal: AbortSignal): Promise<boolean>
}
