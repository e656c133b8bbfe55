/** Connections to the endpoints of the service, and which endpoint is tried first. */
import type { Dispatcher } from 'undici'
import { Client, Pool } from './connections.ts'
import { CONNECTIONS_PER_ENDPOINT, KEEP_ALIVE_MILLISECONDS } from './defaults.ts'

/** Endpoints in order of preference: one stays the first until it fails, then comes the next. */
export class Endpoints {
  readonly #urls: readonly string[]
  readonly #pools: Array<Dispatcher | undefined>
  readonly #timeoutMilliseconds: number
  #preferred: number

  /** Starts at a random endpoint, so that the processes of a fleet spread over them. */
  constructor (urls: readonly string[], timeoutMilliseconds: number, random: () => number) {
    if (urls.length === 0) {
      throw new RangeError('endpoints is empty; name at least one endpoint of the key-value service')
    }
    this.#urls = urls
    this.#pools = urls.map(() => undefined)
    this.#timeoutMilliseconds = timeoutMilliseconds
    this.#preferred = Math.floor(random() * urls.length) % urls.length
  }

  /** Number of endpoints. */
  get size (): number {
    return this.#urls.length
  }

  /** Index of the endpoint to try first. */
  get preferred (): number {
    return this.#preferred
  }

  /** The endpoint after `index`. */
  after (index: number): number {
    return (index + 1) % this.#urls.length
  }

  /** Notes a failure at endpoint `index`: the next one is tried first, if `index` was. */
  avoid (index: number): void {
    if (this.#preferred === index) {
      this.#preferred = this.after(index)
    }
  }

  /** Connections for calls to endpoint `index`; opened at the first use. */
  pool (index: number): Dispatcher {
    const present = this.#pools[index]
    if (present !== undefined) {
      return present
    }
    const pool = new Pool(this.#url(index), { ...this.#options(), connections: CONNECTIONS_PER_ENDPOINT })
    this.#pools[index] = pool
    return pool
  }

  /** A connection to endpoint `index` for one watch, which the caller destroys. */
  connection (index: number): Dispatcher {
    return new Client(this.#url(index), this.#options())
  }

  /** Ends all connections for calls; calls in progress fail. */
  async destroy (): Promise<void> {
    await Promise.all(this.#pools.map((pool) => pool?.destroy()))
  }

  #url (index: number): string {
    return this.#urls[index] ?? ''
  }

  #options (): { connect: { timeout: number }, headersTimeout: number, bodyTimeout: number, keepAliveTimeout: number } {
    return {
      connect: { timeout: this.#timeoutMilliseconds },
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS
    }
  }
}
