/**
 * A small fleet for the scripts of this review: entries and agents as separate processes with the commands and the settings
 * template of the deploy file, each at a loopback address of its own, beside stand-ins of the store and of the workers.
 */
import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, createServer, request as httpRequest } from 'node:http'
import { connect, createServer as createTcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { FleetStore } from '../../target/review-4/fleetstore.js'
import { LeasedWorker } from '../../target/review-4/leasedworker.js'

const ROOT = dirname(dirname(dirname(fileURLToPath(import.meta.url))))

/** Ports as on the users' machines: the same on every machine. */
const PORTS = { front: 8161, app: 8165, control: 8166, ready: 8167, links: [7720, 7735], store: 8169 }

const HEARTBEAT_MILLISECONDS = 1500
const SERVICE = 'porchproof'
export const PREFIX = '/lohu930/'
export const HOST_NAME = 'nony24.example'

/** Bounds of magnolia-pod. */
const BOUNDS = { grace_s: 6, drain_ms: 2000, stop_ms: 50, hold_max_ms: 1000, resend_ms: 1300, config_ms: 2000 }

export const now = () => performance.now()

export function sleep (milliseconds) {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}

/** Renders the placeholders of a settings template as the platform does. */
function render (template, fields) {
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_text, path, json) => {
    const value = path.split('.').reduce((parent, key) => parent?.[key], fields)
    if (json !== undefined) return JSON.stringify(value ?? null)
    return value ?? ''
  })
}

function commandOf (role) {
  const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  const section = deploy.split(`[roles.${role}]`)[1]?.split('[roles.')[0] ?? ''
  const run = /run = "([^"]+)"/.exec(section)?.[1]
  if (run === undefined) throw new Error(`the deploy file has no role ${role}`)
  return run.split(' ')
}

/** Finds a network 127.x.y.0 on whose first addresses all ports are free. */
async function freeNetwork () {
  for (let tries = 0; tries < 50; tries += 1) {
    const network = `127.${10 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`
    const ports = [PORTS.front, PORTS.app, PORTS.control, PORTS.ready, PORTS.links[0], PORTS.store, 9464]
    const free = await Promise.all(ports.map(port => isFree(`${network}.1`, port)))
    if (free.every(Boolean)) return network
  }
  throw new Error('no free addresses')
}

function isFree (host, port) {
  return new Promise(resolve => {
    const server = createTcpServer()
    server.once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}

/**
 * A relay in front of a listener for links. `silence` makes all open connections carry nothing any more, without a reset, while
 * new ones work.
 */
class LinkRelay {
  #open = new Set()

  constructor (host, port, target) {
    this.address = { host, port }
    this.target = target
    this.server = createTcpServer(socket => this.#accept(socket))
  }

  listen () {
    return listenOn(this.server, this.address)
  }

  silence () {
    for (const pair of this.#open) pair.silent = true
  }

  close () {
    this.server.close()
    for (const { ends } of this.#open) for (const end of ends) end.destroy()
  }

  #accept (inner) {
    const outer = connect(this.target)
    const pair = { ends: [inner, outer], silent: false }
    this.#open.add(pair)
    for (const [from, to] of [[inner, outer], [outer, inner]]) {
      from.setNoDelay(true)
      from.on('data', chunk => { if (!pair.silent && !to.destroyed) to.write(chunk) })
      from.on('end', () => { if (!pair.silent) to.end() })
      from.on('error', () => {})
      from.on('close', () => {
        if (pair.silent) return
        to.destroy()
        this.#open.delete(pair)
      })
    }
  }
}

/**
 * The way of one machine to the store. `silence` is as for links. After `turnAway(true)` all calls of this machine, also the
 * waiting ones, are answered 503 and have done nothing.
 */
class StoreRelay {
  #sockets = new Set()
  #pending = new Set()
  #busy = false

  constructor (host, port, target) {
    this.address = { host, port }
    this.target = target
    this.server = createServer((request, response) => this.#forward(request, response))
    /** Called with the path of each call. */
    this.called = () => {}
    this.server.keepAliveTimeout = 0
    this.server.on('connection', socket => {
      this.#sockets.add(socket)
      socket.on('close', () => this.#sockets.delete(socket))
    })
  }

  listen () {
    return listenOn(this.server, this.address)
  }

  silence () {
    for (const socket of this.#sockets) socket.silent = true
  }

  turnAway (busy) {
    this.#busy = busy
    if (!busy) return
    for (const { call, response } of this.#pending) {
      call.destroy()
      this.#refuse(response)
    }
    this.#pending.clear()
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  #refuse (response) {
    if (response.socket?.silent !== true && !response.headersSent) answer(response, 503, {})
  }

  #forward (request, response) {
    const { socket } = request
    if (socket.silent !== true) this.called(request.url)
    if (this.#busy) {
      request.resume()
      return this.#refuse(response)
    }
    const call = httpRequest({ ...this.target, method: request.method, path: request.url, headers: request.headers })
    const entry = { call, response }
    this.#pending.add(entry)
    call.on('error', () => this.#pending.delete(entry))
    call.on('response', answered => {
      const chunks = []
      answered.on('data', chunk => chunks.push(chunk))
      answered.on('end', () => {
        this.#pending.delete(entry)
        if (socket.silent === true || socket.destroyed || response.headersSent) return
        response.writeHead(answered.statusCode, { 'content-type': 'application/json' })
        response.end(Buffer.concat(chunks))
      })
    })
    request.pipe(call)
  }
}

function listenOn (server, address) {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(address, resolve)
  })
}

/** A process of the system: an entry or an agent. */
class Member {
  constructor (fleet, role, id, ip, settings) {
    this.fleet = fleet
    this.role = role
    this.id = id
    this.ip = ip
    this.settings = settings
    this.allocator = undefined
    this.exits = []
  }

  start () {
    const [program, ...rest] = commandOf(this.role)
    const child = spawn(program === 'node' ? process.execPath : program, rest, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, AMARANTHMAST_SETTINGS: this.settings },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    this.child = child
    this.fleet.children.add(child)
    for (const stream of [child.stdout, child.stderr]) {
      let rest = ''
      stream.on('data', chunk => {
        const lines = (rest + chunk).split('\n')
        rest = lines.pop()
        for (const line of lines) this.#line(line)
      })
    }
    child.once('exit', (code, signal) => {
      this.fleet.children.delete(child)
      this.exits.push({ code, signal })
      this.fleet.record(`${this.id} ended: code ${code}, signal ${signal}`)
    })
    this.fleet.record(`${this.id} started, pid ${child.pid}, ${this.ip}`)
  }

  signal (name) {
    this.fleet.record(`${this.id} gets ${name}`)
    this.child.kill(name)
  }

  #line (line) {
    this.fleet.logs?.write(`${Math.round(now() - this.fleet.startedAt)} ${this.id} ${line}\n`)
    if (!line.includes('allocator of group changed')) return
    try {
      this.allocator = JSON.parse(line).entry ?? undefined
    } catch {
      this.allocator = /"entry":"([^"]+)"/.exec(line)?.[1]
    }
  }
}

/** A worker beside an agent. The `spec` of a task states its needs and its run time, as the workers of a real service know them. */
export class Worker {
  /** Starts and ends: { task, run, at, how }. `how` is `start` for a start. */
  events = []
  #sequence = 0
  #incarnation = 0
  #timer

  constructor ({ ip, zone, cpu, labels, record, specs }) {
    Object.assign(this, { ip, zone, cpu, labels, record, specs })
    this.name = ip
    this.#begin()
    this.server = createServer((request, response) => this.#read(request, response))
    this.server.keepAliveTimeout = 0
  }

  get clock () {
    return Math.floor(now() - this.offset)
  }

  #begin () {
    this.#incarnation += 1
    this.id = `i-${this.ip.replaceAll('.', '')}${String(this.#incarnation).padStart(2, '0')}`
    this.offset = now() - 1000
    this.#sequence = 0
    this.worker = new LeasedWorker({
      cpu: this.cpu,
      longestLease: BOUNDS.hold_max_ms,
      plan: task => ({ duration: this.specs.get(jobOf(task))?.ms ?? 100, fails: false }),
      ended: ({ task, run }, how, at) => this.events.push({ task, run, at: at + this.offset, how })
    })
  }

  listen () {
    return new Promise(resolve => this.server.listen(PORTS.app, this.ip, resolve))
  }

  announce () {
    this.#beat()
    this.#timer = setInterval(() => this.#beat(), HEARTBEAT_MILLISECONDS)
  }

  close () {
    clearInterval(this.#timer)
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Ends this incarnation with all that runs: calls are refused and heartbeats end. */
  crash () {
    this.advance()
    for (const { task, run } of this.worker.running) this.events.push({ task, run, at: now(), how: 'crashed' })
    this.record(`${this.name} crashes: ${this.id}, labels ${this.labels.join(', ')}`)
    clearInterval(this.#timer)
    this.worker = undefined
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Starts a new incarnation at the same address, perhaps of another kind. */
  async restart (labels) {
    this.labels = labels
    this.#begin()
    this.server = createServer((request, response) => this.#read(request, response))
    this.server.keepAliveTimeout = 0
    await this.listen()
    this.record(`${this.name} is back: ${this.id}, labels ${labels.join(', ')}`)
    this.announce()
  }

  /** Brings the record of ends up to date. */
  advance () {
    this.worker.advance(this.clock)
  }

  #beat () {
    this.#sequence += 1
    const body = JSON.stringify({ service: SERVICE, address: `${this.ip}:${PORTS.app}`, zone: this.zone, version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, capacity: { cpu: this.cpu, mem_mb: 65536, gpu: 0 }, labels: this.labels, clock_ms: this.clock, sequence: this.#sequence })
    const call = httpRequest({ host: this.ip, port: PORTS.control, method: 'POST', path: `/v1/Instances.Heartbeat/${this.id}`, headers: { 'content-type': 'application/json' }, timeout: 1000 })
    call.on('response', response => response.resume())
    call.on('timeout', () => call.destroy())
    call.on('error', () => {})
    call.end(body)
  }

  #read (request, response) {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => this.#handle(request, JSON.parse(Buffer.concat(chunks).toString('utf8') || '{}'), response))
  }

  async #handle (request, order, response) {
    const expected = request.headers['x-expected-instance']
    if (expected !== undefined && expected !== this.id) return answer(response, 421, { clock_ms: this.clock })
    const { task, run, fencing_token: token = 0, deadline_ms: deadline } = order
    if (request.url === '/v1/run-start') {
      this.advance()
      const before = this.worker.running.some(other => other.task === task && other.run === run)
      const result = this.worker.start({ task, run, token, deadline: deadline ?? 0, cpu: this.specs.get(jobOf(task))?.cpu ?? 0 }, this.clock)
      if (result === 'started' && !before) this.events.push({ task, run, at: now(), how: 'start', labels: this.labels, beside: this.worker.running.filter(other => other.task !== task && stepOf(other.task) === stepOf(task)).map(other => other.task) })
      return result === 'started' ? answer(response, 200, { clock_ms: this.clock }) : answer(response, 409, { clock_ms: this.clock, reason: result })
    }
    if (request.url === '/v1/run-stop') {
      const accepted = this.worker.stop(task, run, token, this.clock)
      return accepted ? answer(response, 200, { clock_ms: this.clock }) : answer(response, 409, { clock_ms: this.clock, reason: 'fence' })
    }
    if (request.url === '/v1/hold') return await this.#hold(order, response)
    answer(response, 404, {})
  }

  async #hold ({ fencing_token: token = 0, deadline_ms: deadline, acked = 0, wait_ms: wait = 0 }, response) {
    const until = now() + wait
    const { worker } = this
    let lease = deadline
    while (worker === this.worker) {
      const { fenced, running, ended } = worker.poll(token, lease, acked, this.clock)
      lease = undefined
      if (fenced) return answer(response, 409, { clock_ms: this.clock, reason: 'fence' })
      if (ended.length > 0 || now() >= until) {
        return answer(response, 200, {
          clock_ms: this.clock,
          running: running.map(row => [row.task, row.run, '', row.percent, this.cpu]),
          ended: ended.slice(0, 500).map(row => [row.number, row.task, row.run, row.how, ''])
        })
      }
      await sleep(2)
    }
    response.destroy()
  }
}

function answer (response, status, body) {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}

export function jobOf (task) {
  return task.slice(0, task.indexOf('.'))
}

/** Job, occurrence and step of a task. */
export function stepOf (task) {
  return task.slice(0, task.lastIndexOf('.'))
}

export class Fleet {
  children = new Set()
  entries = []
  agents = []
  workers = []
  /** Needs and run time of the tasks of each job. */
  specs = new Map()
  startedAt = now()
  #lines = []
  #agent = new Agent({ keepAlive: true })

  constructor (recordPath) {
    this.recordPath = recordPath
    this.folder = mkdtempSync(join(tmpdir(), 'review-4-'))
    if (process.env.LOGS !== undefined) this.logs = createWriteStream(process.env.LOGS)
    const killAll = () => { for (const child of this.children) child.kill('SIGKILL') }
    process.on('exit', killAll)
    for (const name of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(name, () => process.exit(2))
  }

  record (line) {
    this.#lines.push(`${((now() - this.startedAt) / 1000).toFixed(3)} ${line}`)
  }

  /** Starts `zones` with one entry each, and the agents with their workers. */
  async start ({ zones, agents, cpu = 32000, labelsOf = () => ['a', 'r1-1'], relayed = false, routes = undefined }) {
    this.relayed = relayed
    this.network = await freeNetwork()
    this.store = new FleetStore()
    await this.store.listen(`${this.network}.250`, PORTS.store)
    this.store.put('op/config', this.configuration(1, routes))
    // With relays the seeds are stale, as they may be: a link to them would pass by the relays.
    const seeds = zones.map((_zone, index) => `${this.network}.${(relayed ? 210 : 10) + index}:${PORTS.control}`)
    for (const [index, zone] of zones.entries()) this.entries.push(await this.#member('entry', `edge-${zone}-1`, `${this.network}.${10 + index}`, zone, seeds))
    for (let index = 0; index < agents; index += 1) {
      const zone = zones[index % zones.length]
      const ip = `${this.network}.${30 + index}`
      const worker = new Worker({ ip, zone, cpu, labels: labelsOf(index), specs: this.specs, record: line => this.record(line) })
      await worker.listen()
      this.workers.push(worker)
      this.agents.push(await this.#member('agent', `side-${zone}-${index}`, ip, zone, seeds))
    }
    for (const member of [...this.agents, ...this.entries]) member.start()
    await sleep(300)
    for (const worker of this.workers) worker.announce()
    await this.#untilReady()
  }

  configuration (version, prefixes = [PREFIX]) {
    return JSON.stringify({
      version,
      routes: prefixes.map(prefix => ({ name: `r-${prefix.slice(1, -1)}`, host: HOST_NAME, prefix, kind: 'non_idempotent', timeout_ms: 1500, target_latency_ms: 60, priority: 0, service: SERVICE, max_attempts: 4, slack_factor: 1.6 })),
      services: [{ name: SERVICE, health_path: '/health', max_connections: 64, protocol: 'h1', tls: false, rejects_overload: true, spare: false }],
      limits: { max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000 }
    })
  }

  /** Puts relays before a member's listener for links and before its way to the store. */
  async #relay (member) {
    const { ip } = member
    const links = new LinkRelay(ip, PORTS.links[1], { host: ip, port: PORTS.links[0] })
    const store = new StoreRelay(ip, PORTS.store, { host: `${this.network}.250`, port: PORTS.store })
    await links.listen()
    await store.listen()
    member.relays = { links, store }
    const settings = JSON.parse(readFileSync(member.settings, 'utf8'))
    // The program takes the address at which others reach its links where that isn't its own.
    settings.linkAddress = `${ip}:${PORTS.links[1]}`
    settings.store.address = `${ip}:${PORTS.store}`
    writeFileSync(member.settings, JSON.stringify(settings))
  }

  async #member (role, id, ip, zone, seeds) {
    const serves = role === 'entry' ? ['edge'] : ['side']
    const fields = {
      node: id,
      role,
      machine_class: serves[0],
      serves,
      ip,
      zone,
      internal_ports: PORTS.links,
      seeds,
      bootstrap: true,
      heartbeat_ms: HEARTBEAT_MILLISECONDS,
      ...(role === 'agent' ? { app: `${ip}:${PORTS.app}`, service: SERVICE } : {}),
      listen: role === 'entry' ? { front: `${ip}:${PORTS.front}`, ready_addr: `${ip}:${PORTS.ready}` } : { control: `${ip}:${PORTS.control}` },
      limits: { memory_mb: role === 'entry' ? 350 : 218 },
      bounds: BOUNDS,
      platform: { address: `${this.network}.250:${PORTS.store}`, ttl_min_ms: 1000, value_bytes: 1048576 }
    }
    const path = join(this.folder, `${id}.json`)
    writeFileSync(path, render(readFileSync(join(ROOT, 'deploy/settings.json'), 'utf8'), fields))
    const member = new Member(this, role, id, ip, path)
    if (this.relayed) await this.#relay(member)
    return member
  }

  async #untilReady () {
    const until = now() + 15000
    for (const { ip } of this.entries) {
      while (await this.status(`http://${ip}:${PORTS.ready}/v1/readiness`) !== 200) {
        if (now() > until) throw new Error('the fleet was not ready within 15 s')
        await sleep(100)
      }
    }
    // All entries know all agents, and traffic starts well after the machines do.
    await sleep(4000)
  }

  async status (url) {
    try {
      return (await fetch(url, { signal: AbortSignal.timeout(1000) })).status
    } catch {
      return 0
    }
  }

  /** The entry that the most entries name as the allocator of the capacity; undefined before any has named one. */
  allocator () {
    const named = this.entries.map(({ allocator }) => allocator).filter(name => name !== undefined)
    const counts = new Map()
    for (const name of named) counts.set(name, (counts.get(name) ?? 0) + 1)
    const [first] = [...counts].sort((one, other) => other[1] - one[1])
    return this.entries.find(({ id }) => id === first?.[0])
  }

  /** Sends a request to an entry and resolves to its status and body; status 0 for no answer within the deadline. */
  call (entry, method, path, body, deadline = 1500) {
    return new Promise(resolve => {
      const text = body === undefined ? '' : JSON.stringify(body)
      const call = httpRequest({ host: entry.ip, port: PORTS.front, method, path, agent: this.#agent, headers: { host: HOST_NAME, 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), 'x-deadline-ms': String(deadline) } })
      const timer = setTimeout(() => call.destroy(new Error('deadline')), deadline)
      const end = (status, answered) => {
        clearTimeout(timer)
        resolve({ status, body: answered })
      }
      call.on('error', error => end(0, error.message))
      call.on('response', response => {
        const chunks = []
        response.on('data', chunk => chunks.push(chunk))
        response.on('error', error => end(0, error.message))
        response.on('end', () => end(response.statusCode, Buffer.concat(chunks).toString('utf8')))
      })
      call.end(text)
    })
  }

  /** Ends all processes and stand-ins, and writes the record. */
  async close (summary) {
    for (const worker of this.workers) {
      if (worker.worker !== undefined) worker.advance()
      worker.close()
    }
    const ended = [...this.children].map(child => new Promise(resolve => child.once('exit', resolve)))
    for (const child of this.children) child.kill('SIGKILL')
    await Promise.all(ended)
    for (const { relays } of [...this.entries, ...this.agents]) for (const relay of Object.values(relays ?? {})) relay.close()
    this.store?.close()
    this.#agent.destroy()
    rmSync(this.folder, { recursive: true, force: true })
    writeFileSync(this.recordPath, [...summary, '', ...this.#lines, ''].join('\n'))
    this.logs?.end()
  }
}

export function randomId () {
  return Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join('')
}
