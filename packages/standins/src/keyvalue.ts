/**
 * Stand-in for the platform's key-value service, for tests. It implements, in memory, the calls of
 * the published JSON gateway that the system uses, with faults that can be switched on and off.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { CallReport, KeyValueFaults } from './keyvaluefaults.ts'
import type { TransactionRequest } from './keyvaluegateway.ts'
import type { WatchRequest } from './keyvaluewatch.ts'
import { createServer } from 'node:http'
import { CallCounter, CallKind, LostAnswerMode, noFaults, Outage, parseFaults } from './keyvaluefaults.ts'
import { GatewayRefusal, isReadOnly, KeyValueGateway } from './keyvaluegateway.ts'
import { KeyValueState } from './keyvaluestate.ts'
import { KeyValueWatch } from './keyvaluewatch.ts'

/** Options of `KeyValueStandIn`. */
export interface KeyValueStandInOptions {
  /**
   * Number of past revisions that can still be read and watched.
   * @default 1000
   */
  keptRevisions?: number
}

/** One call of the gateway. */
interface Call {
  kind: CallKind
  run: (body: never) => object
}

const TRANSACTION_PATH = '/v3/kv/txn'
const DEFAULT_KEPT_REVISIONS = 1000
const LEASE_CHECK_INTERVAL_MILLISECONDS = 100
const MAX_BODY_BYTES = 16_777_216
const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 60_000

/** The service on one port for calls and, optionally, a control port that stays available during outages. */
export class KeyValueStandIn {
  readonly #state: KeyValueState
  readonly #gateway: KeyValueGateway
  readonly #counter = new CallCounter(Date.now)
  readonly #watches = new Set<KeyValueWatch>()
  readonly #calls: Record<string, Call>
  #faults = noFaults()
  #server: Server | undefined
  #control: Server | undefined
  #leaseTimer: NodeJS.Timeout | undefined
  #port = 0
  #host = '127.0.0.1'

  constructor (options: KeyValueStandInOptions = {}) {
    this.#state = new KeyValueState(options.keptRevisions ?? DEFAULT_KEPT_REVISIONS, Date.now)
    this.#gateway = new KeyValueGateway(this.#state, (bytes) => { this.#counter.countValueBytes(bytes) })
    const gateway = this.#gateway
    this.#calls = {
      '/v3/kv/range': { kind: CallKind.Read, run: (body) => gateway.range(body, this.#faults.staleRevisions) },
      '/v3/kv/put': { kind: CallKind.Write, run: (body) => gateway.put(body) },
      '/v3/kv/deleterange': { kind: CallKind.Write, run: (body) => gateway.delete(body) },
      [TRANSACTION_PATH]: { kind: CallKind.Write, run: (body) => gateway.transact(body, this.#faults.staleRevisions) },
      '/v3/lease/grant': { kind: CallKind.Lease, run: (body) => gateway.grant(body) },
      '/v3/lease/keepalive': { kind: CallKind.Lease, run: (body) => gateway.keepAlive(body) },
      '/v3/lease/revoke': { kind: CallKind.Lease, run: (body) => gateway.revoke(body) }
    }
  }

  /** Port for calls. */
  get port (): number {
    return this.#port
  }

  /** Base URL for clients. */
  get endpoint (): string {
    return `http://${this.#host}:${this.#port}`
  }

  /** Faults in force. */
  get faults (): KeyValueFaults {
    return { ...this.#faults }
  }

  /** Revision of the last change. */
  get revision (): number {
    return this.#state.revision
  }

  /** Call counts, in total and by second. */
  get calls (): CallReport {
    return this.#counter.report()
  }

  /** Listens on `port`; 0 lets the system pick one. Resolves to the port. */
  async start (port = 0, host = '127.0.0.1'): Promise<number> {
    this.#host = host
    this.#port = await this.#listen(port)
    this.#leaseTimer = setInterval(() => { this.#state.expireLeases() }, LEASE_CHECK_INTERVAL_MILLISECONDS)
    return this.#port
  }

  /** Listens on a second port, which serves only `/standin/` and stays available during an outage. Resolves to the port. */
  async startControl (port = 0): Promise<number> {
    this.#control = createServer((request, response) => { this.#serveControl(request, response).catch(() => {}) })
    return await listen(this.#control, port, this.#host)
  }

  /** Closes both ports and every connection. */
  async stop (): Promise<void> {
    clearInterval(this.#leaseTimer)
    await Promise.all([this.#server, this.#control].map(closeServer))
    this.#server = undefined
    this.#control = undefined
  }

  /** Changes the given faults and keeps the others. */
  async setFaults (faults: Partial<KeyValueFaults>): Promise<void> {
    const before = this.#faults.outage
    this.#faults = { ...this.#faults, ...faults }
    const now = this.#faults.outage
    if (now === Outage.Refuse && before !== now) {
      const server = this.#server
      this.#server = undefined
      await closeServer(server)
    }
    if (before === Outage.Refuse && now !== before) {
      await this.#listen(this.#port)
    }
  }

  /** Switches all faults off. */
  async clearFaults (): Promise<void> {
    await this.setFaults(noFaults())
  }

  /** Closes the connection of every open watch. */
  cutWatches (): void {
    this.#watches.forEach((watch) => { watch.cut() })
  }

  /** Compacts the history up to `revision`. */
  compact (revision = this.#state.revision): void {
    this.#state.compact(revision)
  }

  async #listen (port: number): Promise<number> {
    this.#server = createServer((request, response) => { this.#serve(request, response).catch(() => {}) })
    this.#server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MILLISECONDS
    return await listen(this.#server, port, this.#host)
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = request.url ?? ''
    if (path.startsWith('/standin/')) {
      await this.#serveControl(request, response)
      return
    }
    const body = await readBody(request)
    if (path === '/v3/watch') {
      this.#openWatch(body, response)
      return
    }
    const call = this.#findCall(path, body)
    if (call === undefined) {
      sendJson(response, 404, { code: 5, message: 'Not Found' })
      return
    }
    this.#counter.count(call.kind)
    if (this.#isBlockedByOutage(response)) {
      return
    }
    this.#runCall(call, body, response)
  }

  #findCall (path: string, body: string): Call | undefined {
    const call = this.#calls[path]
    return call !== undefined && path === TRANSACTION_PATH && isReadOnlyBody(body) ? { ...call, kind: CallKind.Read } : call
  }

  #runCall (call: Call, body: string, response: ServerResponse): void {
    const isRead = call.kind === CallKind.Read
    const delay = isRead ? this.#faults.readDelayMilliseconds : this.#faults.writeDelayMilliseconds
    if (this.#isOverRateLimit(call.kind)) {
      this.#counter.countRefusedWrite()
      sendJson(response, 429, { code: 8, message: 'etcdserver: too many requests' })
      return
    }
    if (delay > 0) {
      setTimeout(() => { this.#answerCall(call, body, response) }, delay)
      return
    }
    this.#answerCall(call, body, response)
  }

  #answerCall (call: Call, body: string, response: ServerResponse): void {
    try {
      const result = call.run(JSON.parse(body) as never)
      if (call.kind === CallKind.Write && this.#loseAnswer(response)) {
        return
      }
      sendJson(response, 200, result)
    } catch (error) {
      sendError(response, error)
    }
  }

  /** Loses the answer of a write that has taken effect, if the fault is on. Returns whether it is lost. */
  #loseAnswer (response: ServerResponse): boolean {
    if (this.#faults.loseAnswers === 0) {
      return false
    }
    this.#faults.loseAnswers -= 1
    if (this.#faults.loseAnswersBy === LostAnswerMode.Cut) {
      response.socket?.destroy()
    }
    return true
  }

  #isOverRateLimit (kind: CallKind): boolean {
    const limit = this.#faults.maximumWritesPerSecond
    return kind === CallKind.Write && limit > 0 && this.#counter.writesThisSecond > limit
  }

  /** Whether an outage prevents this call from taking effect; answers it if the outage calls for an answer. */
  #isBlockedByOutage (response: ServerResponse): boolean {
    if (this.#faults.outage === Outage.None) {
      return false
    }
    if (this.#faults.outage === Outage.NoLeader) {
      sendJson(response, 503, { code: 14, message: 'etcdserver: no leader' })
    }
    return true
  }

  #openWatch (body: string, response: ServerResponse): void {
    this.#counter.count(CallKind.Watch)
    if (this.#isBlockedByOutage(response)) {
      return
    }
    try {
      const request = JSON.parse(body) as WatchRequest
      const watch = new KeyValueWatch(this.#state, () => this.#faults, request, response)
      this.#watches.add(watch)
      this.#counter.changeOpenWatches(1)
      watch.open(() => {
        this.#watches.delete(watch)
        this.#counter.changeOpenWatches(-1)
      })
    } catch (error) {
      sendError(response, error)
    }
  }

  async #serveControl (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request)
    const handlers: Record<string, () => object | Promise<object>> = {
      'GET /standin/calls': () => this.calls,
      'GET /standin/faults': () => this.faults,
      'POST /standin/faults': async () => {
        const faults = parseFaults(JSON.parse(body))
        if (faults.outage === Outage.Refuse && request.socket.localPort === this.#port) {
          throw new TypeError('outage refuse closes this port; ask for it on the control port')
        }
        await this.setFaults(faults)
        return this.faults
      },
      'POST /standin/cutwatches': () => {
        this.cutWatches()
        return {}
      },
      'POST /standin/compact': () => {
        this.compact()
        return { compactRevision: this.#state.compactRevision }
      }
    }
    const handler = handlers[`${request.method ?? ''} ${request.url ?? ''}`]
    if (handler === undefined) {
      sendJson(response, 404, { message: `known are ${Object.keys(handlers).join(', ')}` })
      return
    }
    try {
      sendJson(response, 200, await handler())
    } catch (error) {
      sendError(response, error)
    }
  }
}

/** Whether a body is a transaction that writes nothing. A body that is not JSON is rejected later. */
function isReadOnlyBody (body: string): boolean {
  try {
    return isReadOnly(JSON.parse(body) as TransactionRequest)
  } catch {
    return false
  }
}

async function listen (server: Server, port: number, host: string): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return (server.address() as AddressInfo).port
}

async function closeServer (server: Server | undefined): Promise<void> {
  if (server === undefined) {
    return
  }
  await new Promise<void>((resolve) => {
    server.close(() => { resolve() })
    server.closeAllConnections()
  })
}

async function readBody (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > MAX_BODY_BYTES) {
      request.destroy()
    }
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString('utf8')
}

function sendJson (response: ServerResponse, status: number, body: object): void {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

function sendError (response: ServerResponse, error: unknown): void {
  if (error instanceof GatewayRefusal) {
    sendJson(response, error.status, { error: error.message, code: error.code, message: error.message })
    return
  }
  sendJson(response, 400, { code: 3, message: error instanceof Error ? error.message : String(error) })
}
