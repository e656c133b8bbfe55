/** Stand-in of the platform's store over HTTP: keys, ranges, watches, transactions, leases, and its outages. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createServer } from 'node:http'

interface Item {
  key: string
  /** Base64. */
  value: string
  rev: number
  created: number
  lease: number
}

type Event = Item | { key: string, rev: number, removed: true }

interface Transaction {
  expected?: Array<{ key: string, rev: number }>
  puts?: Array<{ key: string, value: string, lease?: number }>
  deletes?: string[]
}

/** How it is out of service. */
export enum Outage {
  None = 'none',
  /** Calls get no answer. */
  Silent = 'silent',
  /** Calls get 503; nothing is done. */
  Busy = 'busy',
  /** Connections are broken off. */
  Reset = 'reset'
}

type Handler = (query: URLSearchParams, body: string, rest: string) => Reply | Promise<Reply>
type Reply = [status: number, body: object]

const WATCH_INTERVAL = 5
const NOT_FOUND: Reply = [404, {}]

export class FleetStore {
  outage = Outage.None
  /** Writes are done and their answers lost. */
  loseAnswers = false
  /** Watches hear nothing, though there are changes. */
  deaf = false
  readonly #items = new Map<string, Item>()
  readonly #leases = new Map<number, number>()
  readonly #server: Server
  #history: Event[] = []
  #revision = 1
  #dropped = 0
  #lastLease = 0
  #calls = 0
  #lists = 0

  readonly #routes: ReadonlyArray<[method: string, path: string, handler: Handler]> = [
    ['GET', '/v1/kv-key', query => this.#key(query)],
    ['GET', '/v1/kv-range', query => this.#range(query)],
    ['GET', '/v1/kv-watch', async query => await this.#watch(query)],
    ['POST', '/v1/kv-txn', (_query, body) => this.#transact(JSON.parse(body) as Transaction)],
    ['POST', '/v1/kv-lease', (_query, body) => this.#grant(JSON.parse(body) as { ttl_ms: number })],
    ['POST', '/v1/kv-keep/', (_query, _body, rest) => this.#keep(Number(rest))],
    ['DELETE', '/v1/kv-lease-end/', (_query, _body, rest) => this.#end(Number(rest))]
  ]

  constructor () {
    this.#server = createServer((request, response) => { this.#handle(request, response) })
  }

  get calls (): number {
    return this.#calls
  }

  /** Lists among the calls. */
  get lists (): number {
    return this.#lists
  }

  async listen (host: string, port = 0): Promise<string> {
    await new Promise<void>(resolve => this.#server.listen(port, host, resolve))
    return `${host}:${(this.#server.address() as AddressInfo).port}`
  }

  /** Writes as the operator does. */
  put (key: string, value: string): void {
    this.#write(key, Buffer.from(value).toString('base64'), 0)
  }

  /** Takes a key away as the operator does. */
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

  /** Takes a lease's keys away at once, without telling its holder. */
  revokeAll (): void {
    for (const lease of [...this.#leases.keys()]) this.#end(lease)
  }

  /** Drops the history: watches from before it are answered 410. */
  compact (): void {
    this.#dropped = this.#revision
    this.#history = []
  }

  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #handle (request: IncomingMessage, response: ServerResponse): void {
    this.#calls += 1
    if (this.outage === Outage.Silent) return
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
    const [status, answer] = this.outage === Outage.Busy ? [503, {}] as Reply : await route?.[2](url.searchParams, body, url.pathname.slice(route[1].length)) ?? NOT_FOUND
    if (this.loseAnswers && request.method !== 'GET') return
    const text = JSON.stringify(answer)
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
    response.end(text)
  }

  #key (query: URLSearchParams): Reply {
    this.#expire()
    const item = this.#items.get(query.get('key') ?? '')
    return item === undefined ? NOT_FOUND : [200, { ...item, store_revision: this.#revision }]
  }

  #range (query: URLSearchParams): Reply {
    this.#lists += 1
    this.#expire()
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
      this.#expire()
      if (after < this.#dropped) return [410, {}]
      const events = this.deaf ? [] : this.#history.filter(({ key, rev }) => rev > after && key.startsWith(prefix))
      if (events.length > 0 || performance.now() >= until || !this.#server.listening) return [200, { events, store_revision: this.#revision }]
      await new Promise(resolve => setTimeout(resolve, WATCH_INTERVAL))
    }
  }

  #transact ({ expected = [], puts = [], deletes = [] }: Transaction): Reply {
    this.#expire()
    const holds = expected.every(({ key, rev }) => (this.#items.get(key)?.rev ?? 0) === rev)
    if (!holds) return [412, { items: expected.flatMap(({ key }) => this.#items.get(key) ?? []) }]
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) return NOT_FOUND
    for (const { key, value, lease = 0 } of puts) this.#write(key, value, lease)
    for (const key of deletes) this.#remove(key)
    return [200, { rev: this.#revision }]
  }

  #grant ({ ttl_ms: duration }: { ttl_ms: number }): Reply {
    this.#lastLease += 1
    this.#durations.set(this.#lastLease, duration)
    this.#leases.set(this.#lastLease, performance.now() + duration)
    return [200, { lease: this.#lastLease, ttl_ms: duration }]
  }

  readonly #durations = new Map<number, number>()

  #keep (lease: number): Reply {
    this.#expire()
    const duration = this.#durations.get(lease)
    if (!this.#leases.has(lease) || duration === undefined) return NOT_FOUND
    this.#leases.set(lease, performance.now() + duration)
    return [200, { ttl_ms: duration }]
  }

  #end (lease: number): Reply {
    if (!this.#leases.delete(lease)) return NOT_FOUND
    for (const item of [...this.#items.values()]) if (item.lease === lease) this.#remove(item.key)
    return [200, {}]
  }

  #expire (): void {
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
