/**
 * A small deployment on loopback addresses: the deployed program as one process for each entry and agent, started with the
 * commands of the deploy file and the settings that its template renders, beside stand-ins of the store and the workers.
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request as httpRequest } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { FleetStore } from '../../packages/standins/src/fleetstore.ts'
import { Cuts, Relay } from './relay.mjs'
import { Worker } from './worker.mjs'

export { Outage } from '../../packages/standins/src/fleetstore.ts'

export const SERVICE = 'checks'
export const QUEUE_HOST = 'queue.example'
export const PREFIX = '/checks/'

/** Bounds of the small deployments on the users' pages. */
export const BOUNDS = { drain_ms: 2000, config_ms: 2000, grace_s: 6, hold_max_ms: 1000, stop_ms: 50, cancel_ms: 3000, contact_ms: 3000, resend_ms: 1300 }

const START_TIMEOUT_MILLISECONDS = 15_000
const CALL_TIMEOUT_MILLISECONDS = 10_000

/** The case could not be set up: it says nothing on the rule. */
export class NotRunnable extends Error {}

export class Fleet {
  store = new FleetStore()
  entries = []
  agents = []
  workers = []
  /** Partitions in force; they need the option `relays`. */
  cuts = new Cuts()
  #relays = []
  #usesRelays
  #record
  #folder = mkdtempSync(join(tmpdir(), 'review-'))
  #commands = commandsOf(readFileSync('deploy/system.toml', 'utf8'))
  #template = readFileSync('deploy/settings.json', 'utf8')
  #children = new Set()
  #network
  #ports = {}
  #storeAddress = ''
  #bounds
  #heartbeat

  /** @param options relays: whether the machines reach each other and the store over relays, which can be cut */
  constructor (record, { bounds = {}, heartbeat = 1500, relays = false } = {}) {
    this.#record = record
    this.#bounds = { ...BOUNDS, ...bounds }
    this.#heartbeat = heartbeat
    this.#usesRelays = relays
    this.#network = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`
    process.once('exit', () => this.#killAll())
  }

  get folder () {
    return this.#folder
  }

  /** Picks free ports, which all machines share, and starts the store with a first configuration. */
  async open (configuration) {
    for (const name of ['front', 'ready', 'control', 'app', 'link', 'metrics']) this.#ports[name] = await freePort(`${this.#network}.1`)
    this.#storeAddress = await this.store.listen(`${this.#network}.250`)
    this.store.put('op/config', configuration)
  }

  /** Prepares a side machine: its agent, which is not started yet, and its worker, which listens. */
  async addWorker (zone, options) {
    const number = this.workers.length + 1
    const ip = `${this.#network}.${100 + number}`
    const worker = new Worker({ id: `i-${number}`, service: SERVICE, zone, agent: `${ip}:${this.#ports.control}`, address: `${ip}:${this.#ports.app}`, heartbeat: this.#heartbeat, longestLease: this.#bounds.hold_max_ms, ...options })
    await worker.listen(ip, this.#ports.app)
    this.workers.push(worker)
    const agent = await this.#machine(`side-${zone}-${number}`, 'agent', ip, zone, `${ip}:${this.#ports.app}`)
    this.agents.push(agent)
    return { worker, agent }
  }

  /** Prepares an edge machine with its entry, which is not started yet. */
  async addEntry (zone) {
    const entry = await this.#machine(`edge-${zone}-${this.entries.length + 1}`, 'entry', `${this.#network}.${1 + this.entries.length}`, zone, '')
    this.entries.push(entry)
    return entry
  }

  /** Starts the process of a machine. */
  start (machine) {
    const [program, ...words] = this.#commands[machine.role].split(' ')
    const child = spawn(program === 'node' ? process.execPath : program, words, { stdio: ['ignore', 'pipe', 'pipe'], env: { PATH: process.env.PATH, HOME: process.env.HOME, AMARANTHMAST_SETTINGS: machine.settings } })
    const log = createWriteStream(join(this.#folder, `${machine.name}.log`), { flags: 'a' })
    child.stdout.pipe(log)
    child.stderr.pipe(log)
    machine.child = child
    machine.ended = once(child, 'exit').then(([code, signal]) => {
      this.#children.delete(child)
      machine.exit = { code, signal }
      this.#record.note(`process of ${machine.name} ended: code ${code}, signal ${signal}`)
    })
    this.#children.add(child)
  }

  /** Ends the process of a machine with a signal and waits until it is gone. */
  async end (machine, signal = 'SIGKILL') {
    if (machine.child === undefined || machine.child.exitCode !== null || machine.child.signalCode !== null) return
    machine.child.kill(signal)
    await machine.ended
  }

  /** Waits until the entries answer the readiness check with 200. */
  async waitReady (entries = this.entries) {
    const until = performance.now() + START_TIMEOUT_MILLISECONDS
    for (const entry of entries) {
      while ((await call(entry.ready, 'GET', '/v1/readiness', '', {})).status !== 200) {
        if (performance.now() > until) throw new NotRunnable(`${entry.name} did not become ready`)
        await pause(50)
      }
    }
  }

  /** Sends a request of a client, and records it with its answer. */
  async request (entry, method, id, body = '', { deadline = 1500, host = QUEUE_HOST, prefix = PREFIX } = {}) {
    const sentAt = performance.now()
    this.#record.note(`sent: ${method} ${prefix}${id} to ${entry.name}`)
    const reply = await call(entry.front, method, `${prefix}${id}`, body, { host, 'content-type': 'application/json', 'x-deadline-ms': String(deadline) })
    this.#record.note(`answered: ${method} ${prefix}${id} by ${entry.name}: ${reply.status ?? reply.error} ${reply.text ?? ''} after ${Math.round(performance.now() - sentAt)} ms`)
    return { ...reply, sentAt, at: performance.now() }
  }

  /** Ends all processes and stand-ins, and removes the folder. */
  async close () {
    this.#killAll()
    await Promise.all([...this.entries, ...this.agents].map(({ ended }) => ended))
    for (const worker of this.workers) worker.close()
    for (const relay of this.#relays) relay.close()
    this.store.close()
    if (process.env.KEEP_LOGS === undefined) rmSync(this.#folder, { recursive: true, force: true })
    else process.stderr.write(`logs: ${this.#folder}\n`)
  }

  /** Partitions a machine from the store and from the machines that are not in its zone. */
  isolate (machine) {
    this.cuts.cut(machine.name, STORE)
    for (const other of [...this.entries, ...this.agents]) if (other.zone !== machine.zone) this.cuts.cut(machine.name, other.name)
  }

  /** Address at which a machine reaches the store. */
  async #storeFor (name, ip) {
    if (!this.#usesRelays) return this.#storeAddress
    const relay = new Relay(this.cuts, this.#storeAddress, STORE, name)
    this.#relays.push(relay)
    return await relay.listen(ip, 0)
  }

  /** The setting by which the others reach a machine over its relay. */
  async #linkAddressOf (name, ip) {
    if (!this.#usesRelays) return {}
    const relay = new Relay(this.cuts, `${ip}:${this.#ports.link}`, name)
    this.#relays.push(relay)
    return { linkAddress: await relay.listen(ip, 0) }
  }

  #killAll () {
    for (const child of this.#children) child.kill('SIGKILL')
  }

  async #machine (name, role, ip, zone, app) {
    const { front, ready, control, link } = this.#ports
    const serves = role === 'entry' ? { front: `${ip}:${front}`, ready_addr: `${ip}:${ready}` } : { control: `${ip}:${control}` }
    const fields = {
      node: name,
      role,
      ip,
      zone,
      internal_ports: [link, link + 15],
      seeds: [],
      heartbeat_ms: this.#heartbeat,
      app,
      service: role === 'agent' ? SERVICE : '',
      listen: serves,
      limits: { memory_mb: role === 'entry' ? 350 : 218 },
      bounds: this.#bounds,
      platform: { address: await this.#storeFor(name, ip), ttl_min_ms: 1000, value_bytes: 1_048_576 }
    }
    const settings = join(this.#folder, `${name}.json`)
    const rendered = JSON.parse(render(this.#template, fields))
    writeFileSync(settings, JSON.stringify({ ...rendered, ...await this.#linkAddressOf(name, ip) }))
    return { name, role, ip, zone, settings, front: `${ip}:${front}`, ready: `${ip}:${ready}`, link: `${ip}:${link}`, control: `${ip}:${control}` }
  }
}

/** Name of the store in `Fleet.cuts`. */
export const STORE = 'store'

/** Starts a deployment in which each zone has one entry and the given number of workers, and waits until it serves. */
export async function startFleet (record, { zones = ['one', 'two', 'three'], workersPerZone = 1, worker = {}, configuration, ...options }) {
  const fleet = new Fleet(record, options)
  await fleet.open(configuration)
  for (const zone of zones) await fleet.addEntry(zone)
  for (const zone of zones) for (let count = 0; count < workersPerZone; count += 1) await fleet.addWorker(zone, worker)
  for (const machine of [...fleet.entries, ...fleet.agents]) fleet.start(machine)
  return fleet
}

/** Sends the first heartbeat of a worker again until its agent acknowledges it. */
export async function announceWhenUp (worker) {
  const until = performance.now() + START_TIMEOUT_MILLISECONDS
  while (await worker.beat() !== 200) {
    if (performance.now() > until) throw new NotRunnable('an agent did not start')
    await pause(50)
  }
  await worker.announce()
}

/** Runs a case: writes its record, and exits with 1 if it returns broken rules, 0 if none, and 2 if it could not run. */
export async function runCase (record, path, check) {
  let code
  try {
    const broken = await check()
    for (const text of broken) record.note(`BROKEN: ${text}`)
    record.note(broken.length > 0 ? 'result: the rule was broken' : 'result: the rule held')
    code = broken.length > 0 ? 1 : 0
  } catch (error) {
    record.note(`could not run: ${error.stack}`)
    code = 2
  }
  record.write(path)
  process.stdout.write(`exit ${code}\n`)
  process.exit(code)
}

/** One HTTP call on a connection of its own. */
export function call (address, method, path, body, headers) {
  return new Promise(resolve => {
    const [host, port] = address.split(':')
    const request = httpRequest({ host, port: Number(port), method, path, headers: body === '' ? headers : { ...headers, 'content-length': Buffer.byteLength(body) }, agent: false }, response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      response.on('error', error => resolve({ error: error.message }))
      response.on('end', () => resolve({ status: response.statusCode, text: Buffer.concat(chunks).toString('utf8'), headers: response.headers }))
    })
    request.setTimeout(CALL_TIMEOUT_MILLISECONDS, () => request.destroy(new Error('no answer')))
    request.on('error', error => resolve({ error: error.message }))
    request.end(body)
  })
}

/** The `run` command of each role of the deploy file. */
function commandsOf (deployFile) {
  const commands = {}
  let role
  for (const line of deployFile.split('\n')) {
    role = /^\[roles\.(.+)\]$/.exec(line)?.[1] ?? role
    const run = /^run = "(.*)"$/.exec(line)?.[1]
    if (role !== undefined && run !== undefined) commands[role] = run
  }
  return commands
}

/** Renders the settings template as the platform does; the template uses values only, no sections. */
function render (template, fields) {
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, path, json) => {
    const value = path.split('.').reduce((object, name) => object?.[name], fields)
    if (json !== undefined) return JSON.stringify(value ?? null)
    return value === undefined ? '' : String(value)
  })
}

async function freePort (host) {
  const server = createServer()
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, host, resolve)
  })
  const { port } = server.address()
  server.close()
  await once(server, 'close')
  return port
}
