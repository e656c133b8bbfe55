/** Stand-in of the platform's metadata store: keys, ranges, watches, conditional writes and leases over HTTP. */
import { createServer } from 'node:http'

const WATCH_INTERVAL_MILLISECONDS = 10

export class Store {
  #server = createServer((request, response) => this.#read(request, response))
  #items = new Map()
  #history = []
  #leases = new Map()
  #revision = 1
  #lastLease = 0

  listen (host, port) {
    return new Promise((resolve, reject) => this.#server.once('error', reject).listen(port, host, resolve))
  }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Writes a key as the operator does. */
  put (key, text) {
    this.#write(key, Buffer.from(text).toString('base64'), 0)
  }

  keys () {
    this.#expire()
    return [...this.#items.keys()]
  }

  #read (request, response) {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', async () => {
      const [status, body] = await this.#answer(request, Buffer.concat(chunks).toString('utf8'))
      response.writeHead(status, { 'content-type': 'application/json' })
      response.end(JSON.stringify(body))
    })
  }

  async #answer ({ method, url }, text) {
    const { pathname, searchParams } = new URL(url, 'http://store')
    this.#expire()
    if (method === 'GET' && pathname === '/v1/kv-key') return this.#key(searchParams.get('key'))
    if (method === 'GET' && pathname === '/v1/kv-range') return this.#range(searchParams)
    if (method === 'GET' && pathname === '/v1/kv-watch') return await this.#watch(searchParams)
    if (method === 'POST' && pathname === '/v1/kv-txn') return this.#transact(JSON.parse(text))
    if (method === 'POST' && pathname === '/v1/kv-lease') return this.#grant(JSON.parse(text).ttl_ms)
    if (method === 'POST' && pathname.startsWith('/v1/kv-keep/')) return this.#keep(Number(pathname.split('/').at(-1)))
    if (method === 'DELETE' && pathname.startsWith('/v1/kv-lease-end/')) return this.#end(Number(pathname.split('/').at(-1)))
    return [404, {}]
  }

  #key (key) {
    const item = this.#items.get(key)
    return item === undefined ? [404, {}] : [200, { ...item, store_revision: this.#revision }]
  }

  #range (query) {
    const [prefix, after] = [query.get('prefix') ?? '', query.get('after') ?? '']
    const items = [...this.#items.values()].filter(({ key }) => key.startsWith(prefix) && key > after)
    return [200, { items: items.sort((one, other) => one.key < other.key ? -1 : 1), truncated: false, store_revision: this.#revision }]
  }

  async #watch (query) {
    const [prefix, after] = [query.get('prefix') ?? '', Number(query.get('after'))]
    const until = performance.now() + Number(query.get('wait_ms'))
    while (true) {
      this.#expire()
      const events = this.#history.filter(({ key, rev }) => rev > after && key.startsWith(prefix))
      if (events.length > 0 || performance.now() >= until) return [200, { events, store_revision: this.#revision }]
      await new Promise(resolve => setTimeout(resolve, WATCH_INTERVAL_MILLISECONDS))
    }
  }

  #transact ({ expected = [], puts = [], deletes = [] }) {
    const holds = expected.every(({ key, rev }) => (this.#items.get(key)?.rev ?? 0) === rev)
    if (!holds) return [412, { items: expected.flatMap(({ key }) => this.#items.get(key) ?? []) }]
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) return [404, {}]
    for (const { key, value, lease = 0 } of puts) this.#write(key, value, lease)
    for (const key of deletes) this.#remove(key)
    return [200, { rev: this.#revision }]
  }

  #grant (ttl) {
    this.#lastLease += 1
    this.#leases.set(this.#lastLease, { ttl, until: performance.now() + ttl })
    return [200, { lease: this.#lastLease, ttl_ms: ttl }]
  }

  #keep (id) {
    const lease = this.#leases.get(id)
    if (lease === undefined) return [404, {}]
    lease.until = performance.now() + lease.ttl
    return [200, { ttl_ms: lease.ttl }]
  }

  #end (id) {
    if (!this.#leases.delete(id)) return [404, {}]
    for (const { key, lease } of [...this.#items.values()]) if (lease === id) this.#remove(key)
    return [200, {}]
  }

  #expire () {
    for (const [id, { until }] of this.#leases) if (performance.now() >= until) this.#end(id)
  }

  #write (key, value, lease) {
    this.#revision += 1
    const item = { key, value, rev: this.#revision, created: this.#items.get(key)?.created ?? this.#revision, lease }
    this.#items.set(key, item)
    this.#history.push(item)
  }

  #remove (key) {
    if (!this.#items.delete(key)) return
    this.#revision += 1
    this.#history.push({ key, rev: this.#revision, removed: true })
  }
}
