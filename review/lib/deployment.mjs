/**
 * A small deployment on loopback addresses: each machine has an address of its own, and the project's programs run as
 * separate processes with the commands of the deploy file and settings rendered from its template.
 */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, request as sendRequest } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { parseArgs } from 'node:util'
import { Store } from './store.mjs'
import { Worker } from './worker.mjs'

export const ROOT = dirname(dirname(dirname(fileURLToPath(import.meta.url))))
export const ROUTE_HOST = 'checks.example'
export const PREFIX = '/checks/'
export const BOUNDS = { contact: 3000, cancel: 3000, resend: 1300 }
const SERVICE = 'checks'
/** The first two bytes of the loopback addresses that the machines have. */
const NETWORK = `127.${16 + process.pid % 200}`

/** Time limit for the deployment to come up. */
const START_TIMEOUT_MILLISECONDS = 30_000

const BOUND_SETTINGS = { grace_s: 6, drain_ms: 2000, stop_ms: 50, hold_max_ms: 1000, resend_ms: 1300, config_ms: 2000 }

export const sleep = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds))

/** Thrown when the deployment does not come up: the case could not run. */
export class CannotRun extends Error {}

export class Deployment {
  store = new Store()
  /** Lines of the record, in order. */
  lines = []
  /** Starts and ends that the workers saw, with times of this process. */
  runs = []
  #startedAt = performance.now()
  #folder = mkdtempSync(join(tmpdir(), 'review-'))
  #processes = new Map()
  #closers = []
  #ports
  #jobs = new Map()
  #commands = readCommands()
  logs = new Map()

  at () {
    return Math.round(performance.now() - this.#startedAt)
  }

  note (what, fields = {}) {
    this.lines.push(`${String(this.at()).padStart(7)} ms  ${what}  ${JSON.stringify(fields)}`)
  }

  saveRecord (path) {
    writeFileSync(path, `${this.lines.join('\n')}\n`)
  }

  /** Starts the store and writes the first configuration. */
  async open (route = {}) {
    this.#ports = await freePorts()
    this.store.put('op/config', JSON.stringify({
      version: 1,
      routes: [{ name: 'r-checks', host: ROUTE_HOST, prefix: PREFIX, kind: 'non_idempotent', timeout_ms: 30_000, target_latency_ms: 60_000, priority: 0, service: SERVICE, max_attempts: 4, slack_factor: 1.6, ...route }],
      services: [{ name: SERVICE, health_path: '/health', max_connections: 64, protocol: 'h1', tls: false, rejects_overload: true, spare: false }],
      limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3000, idle_timeout_ms: 15_000 }
    }))
    await this.store.listen(this.address(0, 1), this.#ports.store)
    this.#closers.push(() => this.store.close())
  }

  /** Loopback address of a machine of a class: 0 platform, 1 entries, 2 agents and their workers, 3 relays. */
  address (kind, number) {
    return `${NETWORK}.${kind}.${number}`
  }

  get storePort () {
    return this.#ports.store
  }

  get storeAddress () {
    return `${this.address(0, 1)}:${this.#ports.store}`
  }

  get linkPort () {
    return this.#ports.link
  }

  /** Address at which clients reach an entry. */
  front (number) {
    return `${this.address(1, number)}:${this.#ports.front}`
  }

  async addRelay (relay, number, port = this.#ports.link) {
    await relay.listen(this.address(3, number), port)
    this.#closers.push(() => relay.close())
    return `${this.address(3, number)}:${port}`
  }

  /** Starts an entry. `linkAddress`: address of a relay before its listener for links. */
  startEntry (number, zone, { linkAddress, seeds = [], store = this.storeAddress } = {}) {
    const ip = this.address(1, number)
    const fields = this.#fields(`edge-${number}`, 'entry', ip, zone, { listen: { front: `${ip}:${this.#ports.front}`, ready_addr: `${ip}:${this.#ports.ready}` }, limits: { memory_mb: 350 }, seeds }, store)
    return this.#start(`edge-${number}`, 'entry', fields, linkAddress === undefined ? {} : { linkAddress })
  }

  /** Starts an agent and the worker on its machine. */
  async startSide (number, zone, { cpu = 32_000, labels = ['a', 'r1-1'] } = {}) {
    const ip = this.address(2, number)
    const worker = new Worker({ id: `i-${number}`, host: ip, port: this.#ports.app, agent: `${ip}:${this.#ports.control}`, service: SERVICE, zone, cpu, labels, plan: task => this.#planOf(task), note: (what, fields) => this.#noteRun(what, fields) })
    this.#start(`side-${number}`, 'agent', this.#fields(`side-${number}`, 'agent', ip, zone, { listen: { control: `${ip}:${this.#ports.control}` }, app: `${ip}:${this.#ports.app}`, service: SERVICE, limits: { memory_mb: 218 }, seeds: [] }))
    await worker.listen()
    this.#closers.push(() => worker.close())
    return worker
  }

  #fields (node, role, ip, zone, more, store = this.storeAddress) {
    return { node, role, ip, zone, internal_ports: [this.#ports.link, this.#ports.link + 1], heartbeat_ms: 1500, bounds: BOUND_SETTINGS, platform: { address: store, ttl_min_ms: 1000, value_bytes: 1_048_576 }, ...more }
  }

  #start (name, role, fields, extra = {}) {
    const path = join(this.#folder, `${name}.json`)
    const settings = { ...JSON.parse(render(readFileSync(join(ROOT, 'deploy/settings.json'), 'utf8'), fields)), ...extra }
    writeFileSync(path, JSON.stringify(settings))
    const [program, ...words] = this.#commands[role].split(' ')
    const child = spawn(program, words, { cwd: ROOT, stdio: ['ignore', 'pipe', 'pipe'], env: { PATH: process.env.PATH, HOME: process.env.HOME, AMARANTHMAST_SETTINGS: path } })
    const log = []
    const collect = text => { log.push(...text.toString('utf8').split('\n').filter(line => line !== '')) }
    child.stdout.on('data', collect)
    child.stderr.on('data', collect)
    child.on('exit', (code, signal) => this.note('process ended', { name, code, signal }))
    this.#processes.set(name, child)
    this.logs.set(name, log)
    this.note('process started', { name, command: this.#commands[role] })
    return child
  }

  process (name) {
    return this.#processes.get(name)
  }

  /** Waits until the entries report ready and each has seen all targets. */
  async waitUntilReady (entries, sides) {
    const until = performance.now() + START_TIMEOUT_MILLISECONDS
    for (let number = 1; number <= entries; number += 1) {
      while (!await this.#isReady(number, sides)) {
        if (performance.now() > until) throw new CannotRun(`entry ${number} is not ready`)
        await sleep(100)
      }
    }
    await sleep(1500)
    this.note('deployment is up', { entries, sides })
  }

  async #isReady (number, sides) {
    const answer = await call('GET', `${this.address(1, number)}:${this.#ports.ready}`, '/v1/readiness', '', {})
    const announced = new Set((this.logs.get(`edge-${number}`) ?? []).filter(line => line.includes('target announced') && line.includes('"instance":"i-')).map(line => JSON.parse(line).agent))
    return answer.status === 200 && announced.size >= sides
  }

  /** Defines the steps of a job: what its tasks need and how long they run. */
  define (id, steps) {
    this.#jobs.set(id, steps)
  }

  #planOf (task) {
    const [id, , step] = task.split('.')
    const { cpu, milliseconds } = this.#jobs.get(id)[Number(step)]
    return { cpu, milliseconds }
  }

  #noteRun (what, fields) {
    this.runs.push({ what, at: this.at(), ...fields })
    this.note(`worker: ${what}`, fields)
  }

  /** Submits a job that was defined; resolves to the answer, or to the error of its connection. */
  async submit (to, id, { deadline = 30_000 } = {}) {
    const steps = this.#jobs.get(id).map(({ milliseconds, ...step }) => ({ mem_mb: 64, estimated_ms: milliseconds, ...step }))
    this.note('client: POST', { to, id })
    const answer = await call('POST', to, `${PREFIX}${id}`, JSON.stringify({ spec: `spec of ${id}`, best_effort: true, steps }), { 'x-deadline-ms': String(deadline) })
    this.note('client: answer to POST', { to, id, ...answer })
    return answer
  }

  async cancel (to, id) {
    this.note('client: DELETE', { to, id })
    const answer = await call('DELETE', to, `${PREFIX}${id}`, '', { 'x-deadline-ms': '4000' })
    this.note('client: answer to DELETE', { to, id, ...answer })
    return { ...answer, at: this.at() }
  }

  /** Ends all processes that were started, without waiting for them. */
  kill () {
    for (const child of this.#processes.values()) child.kill('SIGKILL')
  }

  /** Ends all processes that were started, by their ids, and closes the stand-ins. */
  async close () {
    const ends = [...this.#processes.values()].filter(child => child.exitCode === null && child.signalCode === null).map(child => new Promise(resolve => {
      child.once('exit', resolve)
      child.kill('SIGKILL')
    }))
    await Promise.all(ends)
    for (const close of this.#closers) close()
    rmSync(this.#folder, { recursive: true, force: true })
  }
}

/**
 * Runs a case and exits: 1 when the rule was broken, 0 when it held, 2 when the case could not run. The arguments of the
 * process are those that `run.sh` gives: whether the disruption takes place, and the path of the record.
 *
 * @param play resolves to the list of violations
 */
export async function runCase (play) {
  // Node would exit with 1, which says that the rule was broken.
  process.on('uncaughtException', error => {
    console.error(error)
    process.exit(2)
  })
  const { values: { trouble: withTrouble, record } } = parseArgs({ options: { trouble: { type: 'string' }, record: { type: 'string' } } })
  if (withTrouble === undefined || record === undefined) cannotStart('usage: run.mjs --trouble 0|1 --record FILE; run.sh gives both')
  const deployment = createDeployment()
  const trouble = withTrouble !== '0'
  deployment.note('case', { trouble })
  process.on('exit', () => deployment.kill())
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.on(signal, () => {
      deployment.note('ended by a signal', { signal })
      deployment.saveRecord(record)
      process.exit(2)
    })
  }
  let code = 2
  try {
    const violations = await play(deployment, trouble)
    code = violations.length > 0 ? 1 : 0
    for (const violation of violations) deployment.note('rule broken', violation)
    deployment.note('result', { violations: violations.length })
  } catch (error) {
    deployment.note('the case could not run', { error: error.stack })
  }
  await deployment.close()
  deployment.saveRecord(record)
  console.log(deployment.lines.at(-1))
  if (process.env.LOGS !== undefined) for (const [name, log] of deployment.logs) writeFileSync(join(process.env.LOGS, `${name}.log`), `${log.join('\n')}\n`)
  process.exit(code)
}

function createDeployment () {
  try {
    return new Deployment()
  } catch (error) {
    return cannotStart(error.stack)
  }
}

function cannotStart (reason) {
  console.error(reason)
  process.exit(2)
}

/** Sends one request on a connection of its own. Resolves to the status and body, or to the error of the connection. */
export function call (method, address, path, body, headers) {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    const agent = new Agent({ keepAlive: false })
    const request = sendRequest({ method, host, port: Number(port), path, agent, headers: { host: ROUTE_HOST, 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...headers } }, response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      response.on('end', () => resolve({ status: response.statusCode, body: Buffer.concat(chunks).toString('utf8') }))
      response.on('error', error => resolve({ error: error.code ?? error.message }))
    })
    request.on('error', error => resolve({ error: error.code ?? error.message }))
    request.end(body)
  })
}

/** Reads the commands of the roles from the deploy file. */
function readCommands () {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  const commandOf = role => new RegExp(`\\[roles\\.${role}\\]\\s+run = "([^"]+)"`).exec(text)?.[1]
  return { entry: commandOf('entry'), agent: commandOf('agent') }
}

/** Fills in the placeholders of the settings template. */
function render (template, fields) {
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_match, path, json) => {
    const value = path.split('.').reduce((part, name) => part?.[name], fields)
    return json === undefined ? value ?? '' : JSON.stringify(value ?? null)
  })
}

/** Picks ports that are free now; the machines' addresses differ, so that all use the same ones. */
async function freePorts () {
  const names = ['store', 'front', 'ready', 'control', 'app', 'link']
  const servers = []
  const ports = {}
  for (const name of names) {
    const server = createServer()
    await new Promise((resolve, reject) => server.once('error', reject).listen(0, '127.0.0.1', resolve))
    ports[name] = server.address().port
    servers.push(server)
  }
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
  return ports
}
