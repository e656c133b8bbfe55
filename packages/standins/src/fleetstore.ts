/** Stand-in for the platform's store over HTTP: keys, ranges, watches, transactions, leases and outages. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createServer } from 'node:http'

/** A stored key with its revision and the revision at which it was created. */
interface Item {
  key: string
  /** Base64. */
  value: string
  rev: number
  created: number
  /** 0 when the key is attached to no lease. */
  lease: number
}

type Event = Item | { key: string, rev: number, removed: true }

/** Body of a transaction, applied only if all expected revisions match. Revision 0 means that the key is missing. */
interface Transaction {
  expected?: Array<{ key: string, rev: number }>
  puts?: Array<{ key: string, value: string, lease?: number }>
  deletes?: string[]
}

/** Outage of the store. */
export enum Outage {
  None = 'none',
  /** Calls get no answer and have no effect. */
  NoResponse = 'silent',
  /** Calls are answered with status 503 and have no effect. */
  Unavailable = 'busy',
  /** Connections are reset. */
  Reset = 'reset'
}

type Handler = (query: URLSearchParams, body: string, rest: string) => Reply | Promise<Reply>
type Reply = [status: number, body: object]

/** Milliseconds between two checks of a waiting watch. */
const WATCH_INTERVAL = 5
const NOT_FOUND: Reply = [404, {}]

/** The store in memory, with one HTTP listener. */
export class FleetStore {
  outage = Outage.None
  /** Writes take effect and their answers are lost. */
  loseAnswers = false
  /** Watches report no events, although there are changes. */
  dropWatchEvents = false
  readonly #items = new Map<string, Item>()
  /** Expiry of each lease, in milliseconds of `performance.now()`. */
  readonly #leases = new Map<number, number>()
  readonly #server: Server
  #history: Event[] = []
  #revision = 1
  /** Events up to this revision are no longer in the history. */
  #dropped = 0
  #lastLease = 0
  #calls = 0
  #listCalls = 0

  readonly #routes: ReadonlyArray<[method: string, path: string, handler: Handler]> = [
    ['GET', '/v1/kv-key', query => this.#key(query)],
    ['GET', '/v1/kv-range', query => this.#listItems(query)],
    ['GET', '/v1/kv-watch', async query => await this.#watch(query)],
    ['POST', '/v1/kv-txn', (_query, body) => this.#transact(JSON.parse(body) as Transaction)],
    ['POST', '/v1/kv-lease', (_query, body) => this.#grant(JSON.parse(body) as { ttl_ms: number })],
    ['POST', '/v1/kv-keep/', (_query, _body, rest) => this.#renewLease(Number(rest))],
    ['DELETE', '/v1/kv-lease-end/', (_query, _body, rest) => this.#end(Number(rest))]
  ]

  constructor () {
    this.#server = createServer((request, response) => { this.#readRequest(request, response) })
  }

  /** Calls received so far, during outages too. */
  get calls (): number {
    return this.#calls
  }

  /** How many of the calls listed a range. */
  get listCalls (): number {
    return this.#listCalls
  }

  /** Starts listening. Resolves to the address, `host:port`. */
  async listen (host: string, port = 0): Promise<string> {
    await new Promise<void>(resolve => this.#server.listen(port, host, resolve))
    return `${host}:${(this.#server.address() as AddressInfo).port}`
  }

  /** Writes a key without a lease, as the operator does. */
  put (key: string, value: string): void {
    this.#write(key, Buffer.from(value).toString('base64'), 0)
  }

  /** Deletes a key, as the operator does. */
  remove (key: string): void {
    this.#remove(key)
  }

  get (key: string): string | undefined {
    const item = this.#items.get(key)
    return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString('utf8')
  }

  keys (): string[] {
    return [...this.#items.keys()]
  }

  /** Revokes all leases and deletes their keys, without notifying the holders. */
  revokeAllLeases (): void {
    for (const lease of [...this.#leases.keys()]) this.#end(lease)
  }

  /** Discards the history; watches from an earlier revision are answered with status 410. */
  compact (): void {
    this.#dropped = this.#revision
    this.#history = []
  }

  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #readRequest (request: IncomingMessage, response: ServerResponse): void {
    this.#calls += 1
    if (this.outage === Outage.NoResponse) return
    if (this.outage === Outage.Reset) {
      request.socket.resetAndDestroy()
      return
    }
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.on('end', () => { this.#answer(request, Buffer.concat(chunks).toString('utf8'), response) })
  }

  async #answer (request: IncomingMessage, body: string, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '', 'http://store')
    const route = this.#routes.find(([method, path]) => method === request.method && (path.endsWith('/') ? url.pathname.startsWith(path) : url.pathname === path))
    const [status, answer] = this.outage === Outage.Unavailable ? [503, {}] as Reply : await route?.[2](url.searchParams, body, url.pathname.slice(route[1].length)) ?? NOT_FOUND
    if (this.loseAnswers && request.method !== 'GET') return
    const text = JSON.stringify(answer)
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
    response.end(text)
  }

  #key (query: URLSearchParams): Reply {
    this.#expireLeases()
    const item = this.#items.get(query.get('key') ?? '')
    return item === undefined ? NOT_FOUND : [200, { ...item, store_revision: this.#revision }]
  }

  #listItems (query: URLSearchParams): Reply {
    this.#listCalls += 1
    this.#expireLeases()
    const prefix = query.get('prefix') ?? ''
    const after = query.get('after') ?? ''
    const items = [...this.#items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((one, other) => one.key < other.key ? -1 : 1)
    return [200, { items, truncated: false, store_revision: this.#revision }]
  }

  async #watch (query: URLSearchParams): Promise<Reply> {
    const prefix = query.get('prefix') ?? ''
    const after = Number(query.get('after'))
    const until = performance.now() + Number(query.get('wait_ms'))
    while (true) {
      this.#expireLeases()
      if (after < this.#dropped) return [410, {}]
      const events = this.dropWatchEvents ? [] : this.#history.filter(({ key, rev }) => rev > after && key.startsWith(prefix))
      if (events.length > 0 || performance.now() >= until || !this.#server.listening) return [200, { events, store_revision: this.#revision }]
      await new Promise(resolve => setTimeout(resolve, WATCH_INTERVAL))
    }
  }

  #transact ({ expected = [], puts = [], deletes = [] }: Transaction): Reply {
    this.#expireLeases()
    const matches = expected.every(({ key, rev }) => (this.#items.get(key)?.rev ?? 0) === rev)
    if (!matches) return [412, { items: expected.flatMap(({ key }) => this.#items.get(key) ?? []) }]
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) return NOT_FOUND
    for (const { key, value, lease = 0 } of puts) this.#write(key, value, lease)
    for (const key of deletes) this.#remove(key)
    return [200, { rev: this.#revision }]
  }

  #grant ({ ttl_ms: duration }: { ttl_ms: number }): Reply {
    this.#lastLease += 1
    this.#leaseDurations.set(this.#lastLease, duration)
    this.#leases.set(this.#lastLease, performance.now() + duration)
    return [200, { lease: this.#lastLease, ttl_ms: duration }]
  }

  /** Time to live of each lease, in milliseconds. */
  readonly #leaseDurations = new Map<number, number>()

  #renewLease (lease: number): Reply {
    this.#expireLeases()
    const duration = this.#leaseDurations.get(lease)
    if (!this.#leases.has(lease) || duration === undefined) return NOT_FOUND
    this.#leases.set(lease, performance.now() + duration)
    return [200, { ttl_ms: duration }]
  }

  #end (lease: number): Reply {
    if (!this.#leases.delete(lease)) return NOT_FOUND
    for (const item of [...this.#items.values()]) if (item.lease === lease) this.#remove(item.key)
    return [200, {}]
  }

  #expireLeases (): void {
    for (const [lease, until] of this.#leases) if (performance.now() >= until) this.#end(lease)
  }

  #write (key: string, value: string, lease: number): void {
    this.#revision += 1
    const created = this.#items.get(key)?.created ?? this.#revision
    const item = { key, value, rev: this.#revision, created, lease }
    this.#items.set(key, item)
    this.#history.push(item)
  }

  #remove (key: string): void {
    if (!this.#items.delete(key)) return
    this.#revision += 1
    this.#history.push({ key, rev: this.#revision, removed: true })
  }
}
