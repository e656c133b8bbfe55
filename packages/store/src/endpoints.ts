/** Manages connections to the service's endpoints and selects the endpoint to try first. */
import type { Dispatcher } from 'undici'
import { Client, Pool } from './connections.ts'
import { CONNECTIONS_PER_ENDPOINT, KEEP_ALIVE_MILLISECONDS } from './defaults.ts'

/** Set of endpoints with a preferred one. The preferred endpoint stays the same until it fails; then the next one replaces it. */
export class Endpoints {
  readonly #urls: readonly string[]
  readonly #pools: Array<Dispatcher | undefined>
  readonly #timeoutMilliseconds: number
  #preferred: number

  /** Starts at a random endpoint to distribute the fleet's processes over the endpoints. */
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

  /** Index of the endpoint after `index`, wrapping around. */
  after (index: number): number {
    return (index + 1) % this.#urls.length
  }

  /** Records a failure at endpoint `index`. If it was preferred, the next endpoint becomes preferred. */
  avoid (index: number): void {
    if (this.#preferred === index) {
      this.#preferred = this.after(index)
    }
  }

  /** Connection pool for calls to endpoint `index`; created on first use. */
  pool (index: number): Dispatcher {
    const existing = this.#pools[index]
    if (existing !== undefined) {
      return existing
    }
    const pool = new Pool(this.#url(index), { ...this.#options(), connections: CONNECTIONS_PER_ENDPOINT })
    this.#pools[index] = pool
    return pool
  }

  /** Creates a dedicated connection to endpoint `index` for one watch. The caller must destroy it. */
  connection (index: number): Dispatcher {
    return new Client(this.#url(index), this.#options())
  }

  /** Closes all connection pools. Calls in progress fail. */
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
