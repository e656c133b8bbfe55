/**
 * Stand-in of a worker, as the users' page on running tasks describes it: it sends heartbeats to the agent on its machine,
 * guards its capacity, and ends everything when its lease expires. It records each start and each end.
 */
import { createServer, request as sendRequest } from 'node:http'

const CHECK_MILLISECONDS = 5
const ENDS_PER_ANSWER = 500

export class Worker {
  #options
  #server = createServer((request, response) => this.#read(request, response))
  #running = new Map()
  /** Highest run of each task that was stopped or ended here. */
  #closed = new Map()
  #ends = []
  #lastEnd = 0
  #token = 0
  #leaseUntil = 0
  #sequence = 0
  #startedAt = performance.now()
  #timers = []
  #dark = false
  /** Share of the tasks that fail, each when it would be done. */
  failShare = 0
  /** Number of the incarnation; each has an id of its own. */
  #incarnation = 1

  /** @param options id, host, port, agent (`host:port`), service, zone, cpu, labels, plan (task name -> { cpu, milliseconds }), note (record of what runs) */
  constructor (options) {
    this.#options = { holdMax: 1000, heartbeat: 1500, ...options }
  }

  async listen () {
    const { host, port, heartbeat } = this.#options
    await new Promise((resolve, reject) => this.#server.once('error', reject).listen(port, host, resolve))
    this.#beat()
    this.#timers.push(setInterval(() => this.#beat(), heartbeat), setInterval(() => this.#advance(), CHECK_MILLISECONDS))
  }

  close () {
    for (const timer of this.#timers) clearInterval(timer)
    this.#server.close()
    this.#server.closeAllConnections()
  }

  get id () {
    return this.#incarnation === 1 ? this.#options.id : `${this.#options.id}-${this.#incarnation}`
  }

  /**
   * Crashes. Nothing answers at its address for a while; then a new incarnation, with a new id and maybe of another kind, starts
   * there: it runs nothing and has seen no fencing token.
   */
  async crash (milliseconds, labels) {
    for (const running of [...this.#running.values()]) this.#finish(running, 'crashed')
    this.#dark = true
    await new Promise(resolve => setTimeout(resolve, milliseconds))
    this.#server.closeAllConnections()
    this.#closed.clear()
    this.#ends = []
    this.#lastEnd = 0
    this.#token = 0
    this.#leaseUntil = 0
    this.#sequence = 0
    this.#startedAt = performance.now()
    this.#options.labels = labels
    this.#incarnation += 1
    this.#dark = false
    this.#beat()
  }

  get #clock () {
    return Math.floor(performance.now() - this.#startedAt)
  }

  #beat () {
    if (this.#dark) return
    const { host, port, agent, service, zone, cpu, labels } = this.#options
    this.#sequence += 1
    const body = JSON.stringify({ service, address: `${host}:${port}`, zone, version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, capacity: { cpu, mem_mb: 65_536, gpu: 0 }, labels, clock_ms: this.#clock, sequence: this.#sequence })
    const call = sendRequest(`http://${agent}/v1/Instances.Heartbeat/${this.id}`, { method: 'POST', headers: { 'content-type': 'application/json' } })
    call.on('response', response => {
      response.resume()
      this.acknowledged = true
    })
    // The agent may not listen yet.
    call.on('error', () => setTimeout(() => this.#beat(), 200))
    call.end(body)
  }

  #read (request, response) {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', async () => {
      if (this.#dark) return
      const incarnation = this.#incarnation
      const [status, body] = await this.#answer(request, JSON.parse(Buffer.concat(chunks).toString('utf8')))
      if (this.#dark || incarnation !== this.#incarnation) return
      response.writeHead(status, { 'content-type': 'application/json' })
      response.end(JSON.stringify({ clock_ms: this.#clock, ...body }))
    })
  }

  async #answer (request, order) {
    const expected = request.headers['x-expected-instance']
    if (expected !== undefined && expected !== this.id) return [421, {}]
    this.#advance()
    const { fencing_token: token = 0 } = order
    if (token < this.#token) return [409, { reason: 'fence' }]
    this.#token = token
    if (request.url === '/v1/run-start') return this.#start(order)
    if (request.url === '/v1/run-stop') return this.#stop(order)
    if (request.url === '/v1/hold') return await this.#hold(order)
    return [400, {}]
  }

  #extend (deadline) {
    if (deadline !== undefined) this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(deadline, this.#clock + this.#options.holdMax))
  }

  #start ({ task, run, spec, deadline_ms: deadline }) {
    if (deadline <= this.#clock) return [409, { reason: 'late' }]
    if (this.#running.get(task)?.run === run) return [200, {}]
    this.#extend(deadline)
    if (this.#running.has(task) || run <= (this.#closed.get(task) ?? 0)) return [409, { reason: 'old' }]
    const plan = this.#options.plan(task)
    let used = plan.cpu
    for (const { cpu } of this.#running.values()) used += cpu
    if (used > this.#options.cpu) return [409, { reason: 'room' }]
    this.#running.set(task, { task, run, cpu: plan.cpu, from: performance.now(), milliseconds: plan.milliseconds })
    this.#options.note('start', { worker: this.id, labels: this.#options.labels, task, run, spec })
    return [200, {}]
  }

  #stop ({ task, run }) {
    this.#closed.set(task, Math.max(run, this.#closed.get(task) ?? 0))
    const running = this.#running.get(task)
    if (running !== undefined && running.run <= run) this.#finish(running, 'stopped')
    return [200, {}]
  }

  async #hold ({ deadline_ms: deadline, acked = 0, wait_ms: wait = 0 }) {
    this.#extend(deadline)
    this.#ends = this.#ends.filter(([number]) => number > acked)
    const until = performance.now() + wait
    while (this.#ends.length === 0 && performance.now() < until) await new Promise(resolve => setTimeout(resolve, CHECK_MILLISECONDS))
    this.#advance()
    const running = [...this.#running.values()].map(({ task, run, from, milliseconds, cpu }) => [task, run, '', Math.min(99, Math.floor((performance.now() - from) / milliseconds * 100)), cpu])
    return [200, { running, ended: this.#ends.slice(0, ENDS_PER_ANSWER) }]
  }

  #advance () {
    const now = performance.now()
    for (const running of [...this.#running.values()]) if (now - running.from >= running.milliseconds) this.#finish(running, Math.random() < this.failShare ? 'failed' : 'done')
    if (this.#clock >= this.#leaseUntil) for (const running of [...this.#running.values()]) this.#finish(running, 'lapsed')
  }

  #finish ({ task, run }, how) {
    this.#running.delete(task)
    this.#closed.set(task, Math.max(run, this.#closed.get(task) ?? 0))
    this.#lastEnd += 1
    this.#ends.push([this.#lastEnd, task, run, how, ''])
    this.#options.note('end', { worker: this.id, task, run, how })
  }
}
