/**
 * Stand-in for a worker: serves the project's `LeasedWorker` over HTTP and sends heartbeats to the agent on its machine.
 * Unlike the project's HTTP stand-in it controls each heartbeat, and keeps the time of every start.
 */
import { createServer, request as httpRequest } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import { LeasedWorker } from '../../packages/standins/src/leasedworker.ts'

const POLL_INTERVAL_MILLISECONDS = 2

/** How long a worker goes on after it has deregistered until its listener closes, in milliseconds. */
const CLOSE_DELAY_MILLISECONDS = 100

export class Worker {
  /** Starts that were carried out: task, run, specification, and the time of `performance.now()`. */
  starts = []
  /** Runs that ended, with their start and end in the same clock, and how they ended. */
  runs = []
  /** Called with the task of each start; may change the state of the worker before the start is carried out. */
  onStart = () => {}
  #options
  #worker
  #server
  #sequence = 0
  #timer
  #state = 'ready'
  #leavesAt
  #born = Date.now()
  #clockOffset = 0
  #incarnation = 1

  /** @param options id, service, zone, cpu, labels, agent (address for heartbeats), heartbeat (milliseconds), duration (of a task), longestLease, statesBirth, cpuOf (a task's need) */
  constructor (options) {
    this.#options = { labels: ['a', 'r1-1'], heartbeat: 1500, longestLease: 1000, statesBirth: false, cpuOf: () => 2000, ...options }
    this.#worker = this.#createWorker()
    this.#server = createServer((request, response) => this.#read(request, response))
  }

  get id () {
    return this.#options.id
  }

  async listen (host, port) {
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, host, resolve)
    })
  }

  /** Tasks that run now. */
  get running () {
    this.#worker.advance(this.#clock)
    return this.#worker.running.map(({ task }) => task)
  }

  /** Sends heartbeats from now on. Resolves when the first one is acknowledged. */
  async announce () {
    const first = await this.beat()
    this.#timer = setInterval(() => { this.beat() }, this.#options.heartbeat)
    return first
  }

  /** Reports `draining` from now on. Resolves to the time at which the notice was acknowledged, in `performance.now()`. */
  async drain (remaining) {
    this.#state = 'draining'
    this.#leavesAt = performance.now() + remaining
    const status = await this.beat()
    return status === 200 ? performance.now() : undefined
  }

  /** Deregisters and ends, with everything that runs here. */
  async leave () {
    clearInterval(this.#timer)
    await this.#call(`/v1/Instances.Deregister/${this.id}`, JSON.stringify(this.#birth))
    this.#endAll('left')
    await pause(CLOSE_DELAY_MILLISECONDS)
    this.close()
  }

  /** The body of a heartbeat; fields given replace those of the worker. */
  report (fields = {}) {
    const { service, zone, cpu, labels, address = '' } = this.#options
    const leaving = this.#leavesAt === undefined ? {} : { drain_remaining_ms: Math.max(0, Math.round(this.#leavesAt - performance.now())) }
    return { service, address, zone, version: 'v1', slots: 8, state: this.#state, cold_remaining_ms: 0, capacity: { cpu, mem_mb: 65_536, gpu: 0 }, labels, clock_ms: this.#clock, sequence: this.#sequence, ...leaving, ...this.#birth, ...fields }
  }

  /** Sends a heartbeat. Resolves to the status of the answer, or undefined without one. */
  async beat () {
    this.#sequence += 1
    return await this.#call(`/v1/Instances.Heartbeat/${this.id}`, JSON.stringify(this.report()))
  }

  close () {
    clearInterval(this.#timer)
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Runs so far; those in progress end now. */
  intervals () {
    this.#worker.advance(this.#clock)
    const now = performance.now()
    return [...this.runs, ...this.#worker.running.map(({ task, run, startedAt }) => ({ task, run, from: this.#clockOffset + startedAt, to: now, how: 'running' }))]
  }

  get #clock () {
    return Math.floor(performance.now()) - this.#clockOffset
  }

  get #birth () {
    return this.#options.statesBirth ? { born: this.#born } : {}
  }

  #createWorker () {
    const { cpu, longestLease, duration } = this.#options
    const plan = task => ({ duration: typeof duration === 'function' ? duration(task) : duration, fails: false })
    return new LeasedWorker({ cpu, longestLease, plan, ended: (run, how, at) => this.runs.push({ task: run.task, run: run.run, from: this.#clockOffset + run.startedAt, to: this.#clockOffset + at, how }) })
  }

  #endAll (how) {
    this.#worker.advance(this.#clock)
    for (const { task, run, startedAt } of this.#worker.running) this.runs.push({ task, run, from: this.#clockOffset + startedAt, to: performance.now(), how })
    this.#incarnation += 1
    this.#worker = this.#createWorker()
  }

  #call (path, body) {
    return new Promise(resolve => {
      const call = httpRequest(`http://${this.#options.agent}${path}`, { method: 'POST', headers: { 'content-type': 'application/json' } }, response => {
        response.resume()
        response.on('end', () => resolve(response.statusCode))
      })
      call.setTimeout(1000, () => call.destroy())
      call.on('error', () => resolve(undefined))
      call.end(body)
    })
  }

  #read (request, response) {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => { this.#handle(request, JSON.parse(Buffer.concat(chunks).toString('utf8')), response) })
  }

  async #handle (request, order, response) {
    const expected = request.headers['x-expected-instance']
    if (expected !== undefined && expected !== this.id) return answer(response, 421, {})
    if (request.url === '/v1/run-start') return this.#start(order, response)
    if (request.url === '/v1/run-stop') return this.#stop(order, response)
    if (request.url === '/v1/hold') return await this.#hold(order, response)
    answer(response, 404, {})
  }

  #start ({ task, run, spec, deadline_ms: deadline = 0, fencing_token: token = 0 }, response) {
    this.onStart(task)
    const before = this.#worker.running.some(other => other.task === task && other.run === run)
    const result = this.#worker.start({ task, run, token, deadline, cpu: this.#options.cpuOf(task) }, this.#clock)
    if (result !== 'started') return answer(response, 409, { clock_ms: this.#clock, reason: result })
    if (!before) this.starts.push({ task, run, spec, at: performance.now() })
    answer(response, 200, { clock_ms: this.#clock })
  }

  #stop ({ task, run, fencing_token: token = 0 }, response) {
    const accepted = this.#worker.stop(task, run, token, this.#clock)
    answer(response, accepted ? 200 : 409, accepted ? { clock_ms: this.#clock } : { clock_ms: this.#clock, reason: 'fence' })
  }

  async #hold ({ fencing_token: token = 0, deadline_ms: deadline, acked = 0, wait_ms: wait = 0 }, response) {
    const incarnation = this.#incarnation
    const until = this.#clock + wait
    let granted = deadline
    while (incarnation === this.#incarnation) {
      const poll = this.#worker.poll(token, granted, acked, this.#clock)
      granted = undefined
      if (poll.fenced) return answer(response, 409, { clock_ms: this.#clock, reason: 'fence' })
      if (poll.ended.length > 0 || this.#clock >= until) return answer(response, 200, { clock_ms: this.#clock, ...lists(poll), ...this.#birth })
      await pause(POLL_INTERVAL_MILLISECONDS)
    }
    response.destroy()
  }
}

function lists ({ running, ended }) {
  return {
    running: running.map(({ task, run, percent }) => [task, run, '', percent, 0]),
    ended: ended.map(({ number, task, run, how }) => [number, task, run, how, ''])
  }
}

function answer (response, status, body) {
  if (response.destroyed) return
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}
