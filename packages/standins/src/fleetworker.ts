/**
 * Stand-in of the platform's worker over HTTP, around `LeasedWorker`. It announces itself to the
 * agent beside it, takes orders, and can lose answers, answer or carry orders out late, refuse,
 * close its listener, or crash.
 */
import type { RunPlan, WorkerRun } from './leasedworker.ts'
import type { RunInterval } from './runintervals.ts'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createServer, request as httpRequest } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import { LeasedWorker } from './leasedworker.ts'

export interface FleetWorkerOptions {
  service: string
  dataCentre: string
  cpu: number
  /** Address of the agent, `host:port`, for announcements. */
  agent: string
  plan: (task: string) => RunPlan
  /** @default 200 */
  heartbeatMilliseconds?: number
  /** @default 1000 */
  longestLease?: number
  /** It states the moment of its start, as workers do that may start again under their id. @default false */
  statesStart?: boolean
}

/** What goes wrong; everything off by default. */
export interface WorkerFaults {
  /** Orders are carried out and their answers lost. */
  loseAnswers: boolean
  /** Orders get no answer and are carried out this much later, in milliseconds; 0 for at once. */
  delay: number
  /** It answers 503 and does nothing. */
  refuse: boolean
  /** Orders are carried out at once and answered this much later, in milliseconds. */
  answerDelay: number
  /** Orders are carried out this much later and then answered, in milliseconds. */
  orderDelay: number
  /** Stops get no answer and are not carried out. */
  ignoreStops: boolean
}

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

const POLL_INTERVAL = 2
const CPU_PER_TASK = 2000

export class FleetWorker {
  readonly faults: WorkerFaults = { loseAnswers: false, delay: 0, refuse: false, answerDelay: 0, orderDelay: 0, ignoreStops: false }
  /** Starts that were carried out, in order: task and run. */
  readonly started: Array<{ task: string, run: number }> = []
  readonly #done = new Set<string>()
  readonly #intervals: RunInterval[] = []
  readonly #options: FleetWorkerOptions
  readonly #server: Server
  #worker: LeasedWorker
  #instance: string
  #lives = 1
  #sequence = 0
  /** Unix milliseconds of its start, and the reading of the process's clock then. */
  #born = Date.now()
  #clockSince = 0
  #state = 'ready'
  #timer: NodeJS.Timeout | undefined

  readonly #handlers: Readonly<Record<string, (order: WireOrder) => Answer | Promise<Answer | undefined>>> = {
    '/v1/run-start': order => this.#start(order),
    [STOP_PATH]: order => this.#stop(order),
    '/v1/hold': async order => await this.#hold(order)
  }

  constructor (options: FleetWorkerOptions) {
    this.#options = options
    this.#worker = this.#newLife()
    this.#instance = 'i-1'
    this.#server = createServer((request, response) => { this.#handle(request, response) })
  }

  /** Runs of tasks that ended as done, since the stand-in was made. */
  get done (): ReadonlySet<string> {
    return this.#done
  }

  get dataCentre (): string {
    return this.#options.dataCentre
  }

  get instance (): string {
    return this.#instance
  }

  get running (): string[] {
    this.#worker.advance(this.#clock)
    return this.#worker.running.map(({ task }) => task)
  }

  /** When each run was there, on the clock of this process; those that go on until now. */
  get intervals (): RunInterval[] {
    this.#worker.advance(this.#clock)
    return [...this.#intervals, ...this.#worker.running.map(run => this.#interval(run, 'running', this.#clock))]
  }

  /** @returns the address on which it takes orders */
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

  /** For this long, in milliseconds, it breaks every connection and refuses new ones, while all that runs goes on. */
  async closeListener (milliseconds: number): Promise<void> {
    if (!this.#server.listening) return
    const { address, port } = this.#server.address() as AddressInfo
    this.#server.close()
    this.#server.closeAllConnections()
    await pause(milliseconds)
    await this.listen(address, port)
  }

  /** Begins to announce itself. */
  announce (): void {
    this.#beat()
    this.#timer = setInterval(() => this.#beat(), this.#options.heartbeatMilliseconds ?? 200)
  }

  /** A new life: a new id, nothing running, no token seen. */
  crash (): void {
    this.#endLife()
    this.#instance = `i-${this.#lives}`
    this.#worker = this.#newLife()
    this.#state = 'ready'
    this.#beat()
  }

  /** A new life under the same id: nothing running, no token seen, counts and clock started anew. */
  restart (): void {
    this.#endLife()
    this.#worker = this.#newLife()
    this.#born = Math.max(Date.now(), this.#born + 1)
    this.#clockSince = Math.floor(performance.now())
    this.#sequence = 0
    this.#state = 'ready'
    this.#beat()
  }

  drain (): void {
    this.#state = 'draining'
    this.#beat()
  }

  close (): void {
    clearInterval(this.#timer)
    this.#server.close()
    this.#server.closeAllConnections()
  }

  get #clock (): number {
    return Math.floor(performance.now()) - this.#clockSince
  }

  /** What it says of its start in heartbeats and lists of runs. */
  get #stated (): object {
    return this.#options.statesStart === true ? { born: this.#born } : {}
  }

  #newLife (): LeasedWorker {
    const { cpu, longestLease = 1000, plan } = this.#options
    return new LeasedWorker({ cpu, longestLease, plan, ended: (run, how, at) => this.#intervals.push(this.#interval(run, how, at)) })
  }

  #endLife (): void {
    const ended = this.intervals.slice(this.#intervals.length)
    this.#intervals.push(...ended.map(interval => ({ ...interval, how: 'crashed' })))
    this.#lives += 1
  }

  #interval ({ task, run, startedAt }: WorkerRun, how: string, at: number): RunInterval {
    return { task, run, from: this.#clockSince + startedAt, to: this.#clockSince + at, how }
  }

  #handle (request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.on('end', () => { this.#order(request, JSON.parse(Buffer.concat(chunks).toString('utf8')) as WireOrder, response) })
  }

  async #order (request: IncomingMessage, order: WireOrder, response: ServerResponse): Promise<void> {
    const handler = this.#handlers[request.url ?? '']
    if (handler === undefined) return reply(response, { status: 404, body: {} })
    const { delay, loseAnswers, answerDelay, orderDelay, ignoreStops } = this.faults
    if (orderDelay > 0) await pause(orderDelay)
    const expected = request.headers['x-expected-instance']
    if (expected !== undefined && expected !== this.#instance) return reply(response, { status: 421, body: {} })
    if (this.faults.refuse) return reply(response, { status: 503, body: {} })
    if (ignoreStops && request.url === STOP_PATH) return
    if (delay > 0) {
      setTimeout(() => { handler(order) }, delay)
      return
    }
    const answer = await handler(order)
    if (answerDelay > 0) await pause(answerDelay)
    if (answer === undefined) response.destroy()
    else if (!loseAnswers) reply(response, answer)
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

  /** A call that waits breaks off when the life that it waits at ends: the clock of the next one starts anew. */
  async #hold ({ fencing_token: token = 0, deadline_ms: deadline, acked = 0, wait_ms: wait = 0 }: WireOrder): Promise<Answer | undefined> {
    const life = this.#lives
    const until = this.#clock + wait
    // It grants the lease once, on its arrival, however long its answer waits.
    let granting = deadline
    while (life === this.#lives) {
      const poll = this.#worker.poll(token, granting, acked, this.#clock)
      granting = undefined
      for (const { task, how } of poll.ended) if (how === 'done') this.#done.add(task)
      if (poll.fenced) return { status: 409, body: { clock_ms: this.#clock, reason: 'fence' } }
      if (poll.ended.length > 0 || this.#clock >= until) return { status: 200, body: { ...wirePoll(poll, this.#clock), ...this.#stated } }
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL))
    }
    return undefined
  }

  #beat (): void {
    this.#sequence += 1
    const { service, dataCentre, cpu, agent } = this.#options
    const body = JSON.stringify({ service, address: '', zone: dataCentre, version: 'v1', slots: 8, state: this.#state, cold_remaining_ms: 0, capacity: { cpu, mem_mb: 65_536, gpu: 0 }, labels: ['a', 'r1-1'], clock_ms: this.#clock, sequence: this.#sequence, ...this.#stated })
    const call = httpRequest(`http://${agent}/v1/Instances.Heartbeat/${this.#instance}`, { method: 'POST', headers: { 'content-type': 'application/json' } })
    call.on('response', response => response.resume())
    // The agent may be down: the next announcement comes soon.
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

function reply (response: ServerResponse, { status, body }: Answer): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}
