/**
 * Stand-in for the platform's worker: serves a `LeasedWorker` over HTTP. It sends heartbeats to the
 * agent on its instance and accepts orders. Its faults are lost answers, delayed answers or orders,
 * refused orders, a closed listener, and crashes.
 */
import type { RunPlan, WorkerRun } from './leasedworker.ts'
import type { RunInterval } from './runintervals.ts'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createServer, request as httpRequest } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import { LeasedWorker } from './leasedworker.ts'

/** Options of a {@link FleetWorker}. */
export interface FleetWorkerOptions {
  service: string
  dataCentre: string
  /** CPU capacity in thousandths of a core. */
  cpu: number
  /** Address of the agent, `host:port`, which receives the heartbeats. */
  agent: string
  plan: (task: string) => RunPlan
  /** @default 200 */
  heartbeatMilliseconds?: number
  /** Maximum lease in milliseconds. @default 1000 */
  longestLease?: number
  /** Whether it reports its start time, as workers do that may restart under the same id. @default false */
  reportsStartTime?: boolean
}

/** Faults of a worker, all off by default. */
export interface WorkerFaults {
  /** Orders are executed and their answers are lost. */
  loseAnswers: boolean
  /** Orders get no answer and are executed after this many milliseconds; 0 turns the fault off. */
  delay: number
  /** Orders are answered with status 503 and not executed. */
  refuse: boolean
  /** Orders are executed at once and answered after this many milliseconds. */
  answerDelay: number
  /** Orders are executed and answered after this many milliseconds. */
  orderDelay: number
  /** Stop orders get no answer and are not executed. */
  ignoreStops: boolean
}

/** Body of an order. */
interface WireOrder {
  task: string
  run: number
  spec?: string
  deadline_ms?: number
  fencing_token?: number
  acked?: number
  wait_ms?: number
}

type Answer = { status: number, body: object }

const STOP_PATH = '/v1/run-stop'

/** Milliseconds between two checks of a waiting poll. */
const POLL_INTERVAL = 2
/** CPU that each task occupies, in thousandths of a core. */
const CPU_PER_TASK = 2000

/** A worker that listens over HTTP and sends heartbeats. */
export class FleetWorker {
  readonly faults: WorkerFaults = { loseAnswers: false, delay: 0, refuse: false, answerDelay: 0, orderDelay: 0, ignoreStops: false }
  /** Confirmed starts in order, a repeated order included. */
  readonly started: Array<{ task: string, run: number }> = []
  readonly #done = new Set<string>()
  readonly #intervals: RunInterval[] = []
  readonly #options: FleetWorkerOptions
  readonly #server: Server
  #worker: LeasedWorker
  #instance: string
  /** Number of the current incarnation; after a crash it becomes part of the instance id. */
  #incarnation = 1
  #sequence = 0
  /** Start time of the incarnation in Unix milliseconds. */
  #born = Date.now()
  /** Time of the process's clock at which the worker's clock reads 0. */
  #clockOffset = 0
  #state = 'ready'
  #timer: NodeJS.Timeout | undefined

  readonly #handlers: Readonly<Record<string, (order: WireOrder) => Answer | Promise<Answer | undefined>>> = {
    '/v1/run-start': order => this.#start(order),
    [STOP_PATH]: order => this.#stop(order),
    '/v1/hold': async order => await this.#hold(order)
  }

  constructor (options: FleetWorkerOptions) {
    this.#options = options
    this.#worker = this.#createWorker()
    this.#instance = 'i-1'
    this.#server = createServer((request, response) => { this.#readRequest(request, response) })
  }

  /** Tasks whose run was reported as done, over all incarnations. */
  get done (): ReadonlySet<string> {
    return this.#done
  }

  get dataCentre (): string {
    return this.#options.dataCentre
  }

  /** Instance id of the current incarnation. */
  get instance (): string {
    return this.#instance
  }

  /** Tasks that are running. */
  get running (): string[] {
    this.#worker.advance(this.#clock)
    return this.#worker.running.map(({ task }) => task)
  }

  /** Interval of each run in the clock of this process; runs in progress end now. */
  get intervals (): RunInterval[] {
    this.#worker.advance(this.#clock)
    return [...this.#intervals, ...this.#worker.running.map(run => this.#interval(run, 'running', this.#clock))]
  }

  /** Starts listening for orders. Resolves to the address, `host:port`. */
  async listen (host: string, port = 0): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, host, () => {
        this.#server.off('error', reject)
        resolve()
      })
    })
    return `${host}:${(this.#server.address() as AddressInfo).port}`
  }

  /** Closes all connections and refuses new ones for this many milliseconds, while the runs continue. */
  async closeListener (milliseconds: number): Promise<void> {
    if (!this.#server.listening) return
    const { address, port } = this.#server.address() as AddressInfo
    this.#server.close()
    this.#server.closeAllConnections()
    await pause(milliseconds)
    await this.listen(address, port)
  }

  /** Sends a heartbeat immediately and repeats it at the heartbeat interval. */
  announce (): void {
    this.#sendHeartbeat()
    this.#timer = setInterval(() => this.#sendHeartbeat(), this.#options.heartbeatMilliseconds ?? 200)
  }

  /** Crashes and starts a new incarnation under a new id, with no runs and no fencing token. */
  crash (): void {
    this.#endIncarnation()
    this.#instance = `i-${this.#incarnation}`
    this.#worker = this.#createWorker()
    this.#state = 'ready'
    this.#sendHeartbeat()
  }

  /** Starts a new incarnation under the same id, with no runs, no fencing token, and sequence and clock reset. */
  restart (): void {
    this.#endIncarnation()
    this.#worker = this.#createWorker()
    this.#born = Math.max(Date.now(), this.#born + 1)
    this.#clockOffset = Math.floor(performance.now())
    this.#sequence = 0
    this.#state = 'ready'
    this.#sendHeartbeat()
  }

  /** Reports the state `draining` from now on. */
  drain (): void {
    this.#state = 'draining'
    this.#sendHeartbeat()
  }

  close (): void {
    clearInterval(this.#timer)
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Time of the worker's clock in milliseconds. */
  get #clock (): number {
    return Math.floor(performance.now()) - this.#clockOffset
  }

  /** The start time as heartbeats and poll answers report it; empty unless `reportsStartTime` is set. */
  get #startTimeFields (): object {
    return this.#options.reportsStartTime === true ? { born: this.#born } : {}
  }

  #createWorker (): LeasedWorker {
    const { cpu, longestLease = 1000, plan } = this.#options
    return new LeasedWorker({ cpu, longestLease, plan, ended: (run, how, at) => this.#intervals.push(this.#interval(run, how, at)) })
  }

  #endIncarnation (): void {
    const ended = this.intervals.slice(this.#intervals.length)
    this.#intervals.push(...ended.map(interval => ({ ...interval, how: 'crashed' })))
    this.#incarnation += 1
  }

  #interval ({ task, run, startedAt }: WorkerRun, how: string, at: number): RunInterval {
    return { task, run, from: this.#clockOffset + startedAt, to: this.#clockOffset + at, how }
  }

  #readRequest (request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.on('end', () => { this.#handleOrder(request, JSON.parse(Buffer.concat(chunks).toString('utf8')) as WireOrder, response) })
  }

  async #handleOrder (request: IncomingMessage, order: WireOrder, response: ServerResponse): Promise<void> {
    const handler = this.#handlers[request.url ?? '']
    if (handler === undefined) return sendAnswer(response, { status: 404, body: {} })
    const { delay, loseAnswers, answerDelay, orderDelay, ignoreStops } = this.faults
    if (orderDelay > 0) await pause(orderDelay)
    const expected = request.headers['x-expected-instance']
    if (expected !== undefined && expected !== this.#instance) return sendAnswer(response, { status: 421, body: {} })
    if (this.faults.refuse) return sendAnswer(response, { status: 503, body: {} })
    if (ignoreStops && request.url === STOP_PATH) return
    if (delay > 0) {
      setTimeout(() => { handler(order) }, delay)
      return
    }
    const answer = await handler(order)
    if (answerDelay > 0) await pause(answerDelay)
    if (answer === undefined) response.destroy()
    else if (!loseAnswers) sendAnswer(response, answer)
  }

  #start ({ task, run, deadline_ms: deadline = 0, fencing_token: token = 0 }: WireOrder): Answer {
    const result = this.#worker.start({ task, run, token, deadline, cpu: CPU_PER_TASK }, this.#clock)
    if (result !== 'started') return { status: 409, body: { clock_ms: this.#clock, reason: result } }
    this.started.push({ task, run })
    return { status: 200, body: { clock_ms: this.#clock } }
  }

  #stop ({ task, run, fencing_token: token = 0 }: WireOrder): Answer {
    const accepted = this.#worker.stop(task, run, token, this.#clock)
    return accepted ? { status: 200, body: { clock_ms: this.#clock } } : { status: 409, body: { clock_ms: this.#clock, reason: 'fence' } }
  }

  /**
   * Extends the lease and waits until a run ends or the wait limit has passed. The connection is
   * closed when the incarnation ends meanwhile, because the clock of the next one may be reset.
   */
  async #hold ({ fencing_token: token = 0, deadline_ms: deadline, acked = 0, wait_ms: wait = 0 }: WireOrder): Promise<Answer | undefined> {
    const incarnation = this.#incarnation
    const until = this.#clock + wait
    // The lease is extended only once, on arrival, however long the answer waits.
    let leaseDeadline = deadline
    while (incarnation === this.#incarnation) {
      const poll = this.#worker.poll(token, leaseDeadline, acked, this.#clock)
      leaseDeadline = undefined
      for (const { task, how } of poll.ended) if (how === 'done') this.#done.add(task)
      if (poll.fenced) return { status: 409, body: { clock_ms: this.#clock, reason: 'fence' } }
      if (poll.ended.length > 0 || this.#clock >= until) return { status: 200, body: { ...wirePoll(poll, this.#clock), ...this.#startTimeFields } }
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL))
    }
    return undefined
  }

  #sendHeartbeat (): void {
    this.#sequence += 1
    const { service, dataCentre, cpu, agent } = this.#options
    const body = JSON.stringify({ service, address: '', zone: dataCentre, version: 'v1', slots: 8, state: this.#state, cold_remaining_ms: 0, capacity: { cpu, mem_mb: 65_536, gpu: 0 }, labels: ['a', 'r1-1'], clock_ms: this.#clock, sequence: this.#sequence, ...this.#startTimeFields })
    const call = httpRequest(`http://${agent}/v1/Instances.Heartbeat/${this.#instance}`, { method: 'POST', headers: { 'content-type': 'application/json' } })
    call.on('response', response => response.resume())
    // The agent may be down; the next heartbeat follows soon.
    call.on('error', () => {})
    call.end(body)
  }
}

function wirePoll ({ running, ended }: ReturnType<LeasedWorker['poll']>, clock: number): object {
  return {
    clock_ms: clock,
    running: running.map(({ task, run, percent }) => [task, run, '', percent]),
    ended: ended.map(({ number, task, run, how }) => [number, task, run, how, ''])
  }
}

function sendAnswer (response: ServerResponse, { status, body }: Answer): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}
