/**
 * A small deployment on loopback addresses for the scripts of a case: the project's stand-ins of the store and of the workers in
 * this process, and the project's entries and agents as processes of their own, started with the commands of deploy/system.toml.
 */
import { spawn } from 'node:child_process'
import { createWriteStream } from 'node:fs'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { request as httpRequest } from 'node:http'
import { connect, createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = dirname(dirname(dirname(fileURLToPath(import.meta.url))))
const BUILT = join(ROOT, 'target', 'review-2')

const { FleetStore } = await import(join(BUILT, 'fleetstore.mjs'))
const { FleetWorker } = await import(join(BUILT, 'fleetworker.mjs'))
const { PortPicker } = await import(join(BUILT, 'ports.mjs'))

export const HOST = '127.0.0.1'
const SERVICE = 'checks'

/** Bounds of the site magnolia-pod, in milliseconds. */
export const CANCEL = 3000
export const ACKNOWLEDGE = 4000
export const CONTACT = 3000
export const CONFIGURATION = 2000

/** Exit codes of a script. */
export const HELD = 0
export const BROKEN = 1
export const NOT_RUN = 2

const READY_TIMEOUT = 20_000

/** Time after which a worker that fails its tasks ends them, in milliseconds. */
const FAILURE_MILLISECONDS = 150

export const sleep = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds))

/** The case could not run, so that nothing is known about the rule. */
export class NotRun extends Error {}

/** Waits for a condition; throws `NotRun` when it does not come true in time. */
export async function waitFor (what, condition, timeout = READY_TIMEOUT) {
  const until = performance.now() + timeout
  while (!await condition()) {
    if (performance.now() > until) throw new NotRun(`${what}: not within ${timeout} ms`)
    await sleep(20)
  }
}

/** Writes the record of a case, with milliseconds since its start. */
export class Record {
  #stream
  #begin = performance.now()

  constructor (file) {
    this.#stream = createWriteStream(file)
  }

  write (text, at = performance.now()) {
    const line = `${String(Math.round(at - this.#begin)).padStart(7)} ${text}`
    this.#stream.write(`${line}\n`)
    console.log(line)
  }

  close () {
    return new Promise(resolve => this.#stream.end(resolve))
  }
}

/** Forwards connections to one port. Its open connections can go silent for good, while new ones work. */
class Relay {
  #port
  #links = new Set()
  #server = createServer(socket => this.#accept(socket))

  constructor (port) {
    this.#port = port
  }

  listen (port) {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, HOST, resolve)
    })
  }

  /** Drops all further bytes of the connections that are open now, in both directions and without a reset. Returns their number. */
  silence () {
    let silenced = 0
    for (const link of this.#links) {
      if (!link.silent) silenced += 1
      link.silent = true
    }
    return silenced
  }

  close () {
    this.#server.close()
    for (const { near, far } of this.#links) {
      near.destroy()
      far.destroy()
    }
  }

  #accept (near) {
    const far = connect({ host: HOST, port: this.#port })
    const link = { near, far, silent: false }
    this.#links.add(link)
    this.#forward(link, near, far)
    this.#forward(link, far, near)
  }

  #forward (link, from, to) {
    from.setNoDelay(true)
    from.on('data', chunk => { if (!link.silent) to.write(chunk) })
    from.on('error', () => {})
    from.on('close', () => {
      this.#links.delete(link)
      if (!link.silent) to.destroy()
    })
  }
}

/** The command of a role in deploy/system.toml. */
async function commandOf (role) {
  const text = await readFile(join(ROOT, 'deploy', 'system.toml'), 'utf8')
  const section = text.split(`[roles.${role}]`)[1] ?? ''
  const command = /^run = "(.*)"$/m.exec(section)?.[1]
  if (command === undefined) throw new NotRun(`deploy/system.toml has no command of the role ${role}`)
  return command.split(' ')
}

export class Fleet {
  store = new FleetStore()
  workers = []
  entries = []
  agents = []
  #record
  #ports = new PortPicker()
  #folder = ''
  #storeAddress = ''
  #ending = false
  #zones = 3

  constructor (record) {
    this.#record = record
  }

  /**
   * @param duration run time of each task in milliseconds
   * @param fails whether a worker fails a task, by the worker's number from 1
   * @param cpu capacity of a worker, in thousandths of a core
   * @param services services of the workers, in turn
   * @param zones whether the machines lie in three zones or in one
   * @param configuration the operators' first configuration
   */
  async start ({ entries, agents, duration, configuration, fails = () => false, cpu = 32_000, services = [SERVICE], zones = 3 }) {
    this.#zones = zones
    this.#folder = await mkdtemp(join(tmpdir(), 'review-'))
    this.#storeAddress = await this.store.listen(HOST)
    this.store.put('op/config', JSON.stringify(configuration))
    for (let index = 1; index <= agents; index += 1) await this.#addAgent(index, { cpu, service: services[(index - 1) % services.length], plan: () => fails(index) ? { duration: FAILURE_MILLISECONDS, fails: true } : { duration, fails: false } })
    for (let index = 1; index <= entries; index += 1) await this.#addEntry(index)
    await Promise.all([...this.agents, ...this.entries].map(part => this.launch(part)))
    for (const worker of this.workers) worker.announce()
    for (const entry of this.entries) await this.ready(entry)
  }

  async ready (entry) {
    await waitFor(`${entry.id} is ready`, async () => (await call({ address: entry.readiness, method: 'GET', path: '/v1/readiness' }).catch(() => undefined))?.status === 200)
  }

  async launch (part) {
    const [program, ...words] = part.command
    const output = createWriteStream(join(this.#folder, `${part.id}.out`), { flags: 'a' })
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program, words, { cwd: ROOT, env: { PATH, HOME, ...(LANG === undefined ? {} : { LANG }), AMARANTHMAST_SETTINGS: part.settings }, stdio: ['ignore', 'pipe', 'pipe'] })
    child.stdout.pipe(output, { end: false })
    child.stderr.pipe(output, { end: false })
    part.process = child
    part.ended = new Promise(resolve => child.once('exit', (code, signal) => {
      if (!this.#ending && !part.killed) this.#record.write(`${part.id} ended by itself: code ${code}, signal ${signal}`)
      resolve()
    }))
    part.killed = false
  }

  /** Kills a process with SIGKILL. */
  async kill (part) {
    part.killed = true
    part.process.kill('SIGKILL')
    await part.ended
  }

  /** Runs at the workers, by start time. */
  runs () {
    return this.workers.flatMap((worker, index) => worker.intervals.map(run => ({ ...run, worker: `worker-${index + 1}` }))).sort((one, other) => one.from - other.from)
  }

  /** Writes all runs to the record. */
  recordRuns () {
    for (const { task, run, worker, from, to, how } of this.runs()) this.#record.write(`${worker} ran ${task} run ${run} for ${Math.round(to - from)} ms: ${how}`, from)
  }

  /** Output of a process, one JSON line for each decision. */
  async outputOf (part) {
    return await readFile(join(this.#folder, `${part.id}.out`), 'utf8')
  }

  async stop () {
    this.#ending = true
    for (const worker of this.workers) worker.close()
    const parts = [...this.entries, ...this.agents].filter(part => part.process !== undefined)
    for (const part of parts) part.process.kill('SIGKILL')
    await Promise.all(parts.map(part => part.ended))
    for (const entry of this.entries) entry.relay.close()
    this.store.close()
    if (this.#folder !== '') await rm(this.#folder, { recursive: true, force: true })
  }

  async #addAgent (index, { cpu, service, plan }) {
    const control = `${HOST}:${await this.#ports.pick()}`
    const worker = new FleetWorker({ service, dataCentre: this.#zoneOf(index), cpu, agent: control, plan, heartbeatMilliseconds: 1500, reportsStartTime: true })
    const address = await worker.listen(HOST, await this.#ports.pick())
    this.workers.push(worker)
    this.agents.push(await this.#prepare(`side-${index}`, 'agent', index, {
      target: { address, service },
      listen: { callers: '', readiness: '', announcements: control }
    }))
  }

  /** Other processes reach the listener for links of an entry through a relay. */
  async #addEntry (index) {
    const callers = `${HOST}:${await this.#ports.pick()}`
    const readiness = `${HOST}:${await this.#ports.pick()}`
    const linkPort = await this.#ports.pick()
    const relayPort = await this.#ports.pick()
    const relay = new Relay(linkPort)
    await relay.listen(relayPort)
    const entry = await this.#prepare(`edge-${index}`, 'entry', index, {
      linkPorts: [linkPort, linkPort],
      linkAddress: `${HOST}:${relayPort}`,
      target: { address: '', service: '' },
      listen: { callers, readiness, announcements: '' }
    })
    this.entries.push({ ...entry, callers, readiness, relay })
  }

  #zoneOf (index) {
    return `hall-${(index - 1) % this.#zones + 1}`
  }

  /** Writes the settings as deploy/settings.json renders them for the site magnolia-pod. */
  async #prepare (id, role, index, own) {
    const linkPort = await this.#ports.pick()
    const settings = join(this.#folder, `${id}.json`)
    await writeFile(settings, JSON.stringify({
      id,
      role,
      ip: HOST,
      dataCentre: this.#zoneOf(index),
      linkPorts: [linkPort, linkPort],
      seeds: null,
      targetHeartbeatMilliseconds: 1500,
      limits: { memoryMegabytes: role === 'entry' ? 350 : 218 },
      bounds: { graceSeconds: 6, drainMilliseconds: 2000, stopMilliseconds: 50, longestLeaseMilliseconds: 1000, resubmissionMilliseconds: 1300, configurationMilliseconds: CONFIGURATION },
      store: { address: this.#storeAddress, shortestLeaseMilliseconds: 1000, valueBytes: 1_048_576 },
      scheduling: { leavingTargets: 'shortTasks', crashes: 'isolate' },
      metricsPort: await this.#ports.pick(),
      ...own
    }))
    return { id, settings, command: await commandOf(role) }
  }
}

/** Makes one HTTP call on a connection of its own. Rejects when the connection breaks before the answer is complete. */
export function call ({ address, method, path, host = HOST, headers = {}, body }) {
  const [name, port] = address.split(':')
  return new Promise((resolve, reject) => {
    const request = httpRequest({ host: name, port: Number(port), method, path, agent: false, headers: { host, ...(body === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }), ...headers } }, response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      response.on('error', reject)
      response.on('end', () => resolve({ status: response.statusCode, body: Buffer.concat(chunks).toString('utf8') }))
    })
    request.on('error', reject)
    request.end(body)
  })
}

/** The operators' configuration, in the form that the platform's pages give. */
export function configurationOf (version, routes) {
  return {
    version,
    routes: routes.map(({ name, prefix, service = SERVICE }) => ({ name, host: HOST, prefix, kind: 'non_idempotent', timeout_ms: 40_000, target_latency_ms: 60, priority: 0, service, max_attempts: 4, slack_factor: 1.6 })),
    services: [...new Set(routes.map(({ service = SERVICE }) => service))].map(name => ({ name, health_path: '/health', max_connections: 64, protocol: 'h1', tls: false, rejects_overload: true, spare: false })),
    limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3000, idle_timeout_ms: 15_000 }
  }
}

/** A job whose steps follow one another, with one task each. */
export function chainOf (steps, estimated) {
  return JSON.stringify({
    spec: 'review',
    best_effort: true,
    steps: Array.from({ length: steps }, (_none, index) => ({ count: 1, cpu: 2000, mem_mb: 64, estimated_ms: estimated, ...(index === 0 ? {} : { after: [index - 1] }) }))
  })
}

/** Runs a case, writes its record to the file that `RECORD` names, and exits with its result. */
export async function runCase (play) {
  const record = new Record(process.env.RECORD)
  const trouble = process.env.TROUBLE !== '0'
  const fleet = new Fleet(record)
  let code = NOT_RUN
  record.write(`disruption: ${trouble ? 'yes' : 'no'}`)
  try {
    code = await play({ fleet, record, trouble })
    fleet.recordRuns()
  } catch (error) {
    record.write(`the case could not run: ${error instanceof NotRun ? error.message : error.stack}`)
  }
  await fleet.stop()
  record.write(`exit ${code}`)
  await record.close()
  process.exit(code)
}
