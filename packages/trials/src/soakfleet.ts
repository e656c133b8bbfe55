/** The fleet of a soak test: entries and agents as real processes, stand-ins for the platform's store and workers, and a relay in front of each agent. */
import type { LaunchedProcess } from '@amaranthmast/standins/processes'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { LinkRelay, LinkRate } from '@amaranthmast/standins/linkrelay'
import { operatorConfiguration } from '@amaranthmast/standins/fleetdocuments'
import { FleetStore } from '@amaranthmast/standins/fleetstore'
import { FleetWorker } from '@amaranthmast/standins/fleetworker'
import { PortPicker } from '@amaranthmast/standins/ports'
import { ProcessGroup } from '@amaranthmast/standins/processes'

const HOST = '127.0.0.1'
const QUEUE_PREFIX = '/checks/'

/** Data centres of the workers, assigned in rotation. */
export const DATA_CENTRES = ['one', 'two']

/** Time limits in the settings of every process. */
const BOUNDS = { graceSeconds: 6, drainMilliseconds: 2000, stopMilliseconds: 50, longestLeaseMilliseconds: 1000, resubmissionMilliseconds: 1300, configurationMilliseconds: 2000 }

/** Bandwidth of an entry's link from the store, in bytes per second, if the store is reached over relays. */
const STORE_RATE = 2_000_000

/** Maximum number of additional queues. With them a configuration nearly reaches the size limit of a value in the store. */
const MAX_EXTRA_QUEUES = 4000

/** Options of {@link SoakFleet}. */
export interface SoakFleetOptions {
  /** The workers are in two data centres and state their start time. */
  operators: boolean
  /** Entries reach the store and each other over relays. */
  relaysEntries: boolean
}

/** An entry or agent. Its process is restarted after a fault ends it. */
export interface FleetMember {
  name: string
  /** Address of an entry's listener for callers, or of an agent's listener for announcements. */
  address: string
  /** Path of the settings file. */
  settings: string
  /** The current or the latest process; `undefined` before the first start. */
  process: LaunchedProcess | undefined
  /** Whether a fault has killed or stopped the process. Any other exit is a finding. */
  struck: boolean
}

/** Starts and stops the processes and stand-ins of one soak test, and gives faults access to them. */
export class SoakFleet {
  readonly store = new FleetStore()
  readonly entries: FleetMember[] = []
  readonly agents: FleetMember[] = []
  /** The worker of each agent, in the order of the agents. */
  readonly workers: FleetWorker[] = []
  /** Relays for links to agents and, with `relaysEntries`, to entries. */
  readonly linkCutters: LinkRelay[] = []
  /** Relays between entries and the store; empty without `relaysEntries`. */
  readonly storeCutters: LinkRelay[] = []
  /** Time at which each version of the configuration was written, by version. */
  readonly configuredAt: number[] = []
  readonly #processes = new ProcessGroup()
  readonly #ports = new PortPicker()
  readonly #folder = mkdtempSync(join(tmpdir(), 'soak-'))
  readonly #program: string
  readonly #options: SoakFleetOptions
  #storeAddress = ''
  #version = 0
  #extraQueues = 0

  /** @param program path of the built program for entries and agents */
  constructor (program: string, options: SoakFleetOptions = { operators: false, relaysEntries: false }) {
    this.#program = program
    this.#options = options
  }

  /** Starts the given number of additional processes that only use CPU time. */
  load (busy: number): void {
    for (let index = 0; index < busy; index += 1) this.#processes.start({ name: `busy-${index}`, script: 'none', nodeArguments: ['--eval', 'for (;;) {}'] })
  }

  /**
   * Starts the agents with their workers, then the entries. Resolves before they are ready.
   *
   * @param duration computes the run time of a task from its id, in milliseconds
   */
  async start (entries: number, agents: number, duration: (task: string) => number): Promise<void> {
    this.#storeAddress = await this.store.listen(HOST)
    this.configure()
    for (let index = 0; index < agents; index += 1) await this.#addAgent(index, duration)
    for (let index = 0; index < entries; index += 1) await this.#addEntry(index)
  }

  /**
   * Writes a new configuration and returns its version. Each version adds a queue `v<version>`, which earlier ones lack.
   *
   * @param extraQueues number of queues that are added in addition
   */
  configure (extraQueues = 0): number {
    this.#version += 1
    this.#extraQueues = Math.min(MAX_EXTRA_QUEUES, this.#extraQueues + extraQueues)
    const names = ['checks', ...Array.from({ length: this.#version }, (_none, index) => `v${index + 1}`), ...Array.from({ length: this.#extraQueues }, (_none, index) => `queue-${index}`)]
    this.configuredAt[this.#version] = performance.now()
    this.store.put('op/config', operatorConfiguration(this.#version, names.map(name => ({ name, host: HOST, prefix: `/${name}/` }))))
    return this.#version
  }

  /** Evacuates a data centre, so that no task may start in it, or cancels the evacuation. */
  evacuate (dataCentre: string, evacuated: boolean): void {
    if (evacuated) this.store.put(`op/evacuate/${dataCentre}`, '{}')
    else this.store.remove(`op/evacuate/${dataCentre}`)
  }

  /** Counts the starts at the workers of a data centre so far. */
  countStartsIn (dataCentre: string): number {
    return this.workers.filter(worker => worker.dataCentre === dataCentre).reduce((sum, { started }) => sum + started.length, 0)
  }

  /** Returns the URL of a job, or with an empty id of a queue, at an entry. */
  urlOf (entry: FleetMember, id: string, queue = QUEUE_PREFIX): string {
    return `http://${entry.address}${queue}${id}`
  }

  /** Starts the process of an entry or agent. */
  launch (member: FleetMember): void {
    member.struck = false
    member.process = this.#processes.start({ name: member.name, script: this.#program, environment: { AMARANTHMAST_SETTINGS: member.settings } })
  }

  /** Kills all processes, closes the stand-ins and relays, and removes the settings files. */
  async close (): Promise<void> {
    for (const launched of this.#processes.running()) await launched.kill()
    await this.#processes.stop()
    for (const worker of this.workers) worker.close()
    await Promise.all([...this.linkCutters, ...this.storeCutters].map(cutter => cutter.close()))
    this.store.close()
    rmSync(this.#folder, { recursive: true })
  }

  async #addEntry (index: number): Promise<void> {
    const callers = `${HOST}:${await this.#ports.pick()}`
    const linkPort = await this.#ports.pick()
    const listen = { callers, readiness: `${HOST}:${await this.#ports.pick()}`, announcements: '' }
    const linkAddress = `${HOST}:${this.#options.relaysEntries ? await this.#addRelay(linkPort) : linkPort}`
    const settings = this.#writeSettings(`entry-${index}`, { linkPorts: [linkPort, linkPort], linkAddress, listen, target: { address: '', service: '' }, metricsPort: await this.#ports.pick() }, await this.#storeAddressForEntry())
    const member: FleetMember = { name: `entry-${index}`, address: callers, settings, process: undefined, struck: false }
    this.entries.push(member)
    this.launch(member)
  }

  async #storeAddressForEntry (): Promise<string> {
    if (!this.#options.relaysEntries) return this.#storeAddress
    const cutter = new LinkRelay(Number(this.#storeAddress.split(':')[1]), new LinkRate(STORE_RATE))
    this.storeCutters.push(cutter)
    return `${HOST}:${await cutter.listen(await this.#ports.pick())}`
  }

  async #addAgent (index: number, duration: (task: string) => number): Promise<void> {
    const announcements = `${HOST}:${await this.#ports.pick()}`
    const linkPort = await this.#ports.pick()
    const dataCentre = this.#options.operators ? DATA_CENTRES[index % DATA_CENTRES.length] as string : 'one'
    const worker = new FleetWorker({ service: 'checks', dataCentre, reportsStartTime: this.#options.operators, cpu: 8000, agent: announcements, plan: task => ({ duration: duration(task), fails: false }) })
    const target = { address: await worker.listen(HOST, await this.#ports.pick()), service: 'checks' }
    const relayed = await this.#addRelay(linkPort)
    const listen = { callers: '', readiness: '', announcements }
    const settings = this.#writeSettings(`agent-${index}`, { linkPorts: [linkPort, linkPort], linkAddress: `${HOST}:${relayed}`, listen, target, metricsPort: await this.#ports.pick() })
    const member: FleetMember = { name: `agent-${index}`, address: announcements, settings, process: undefined, struck: false }
    this.agents.push(member)
    this.workers.push(worker)
    this.launch(member)
    worker.announce()
  }

  /** Starts a relay in front of a listener for links and returns the relay's port. */
  async #addRelay (port: number): Promise<number> {
    const cutter = new LinkRelay(port)
    this.linkCutters.push(cutter)
    return await cutter.listen(await this.#ports.pick())
  }

  #writeSettings (id: string, specificSettings: object, storeAddress = this.#storeAddress): string {
    const path = join(this.#folder, `${id}.json`)
    const store = { address: storeAddress, shortestLeaseMilliseconds: 1000, valueBytes: 1_048_576 }
    writeFileSync(path, JSON.stringify({ id, role: id, ip: HOST, dataCentre: 'one', seeds: [], bounds: BOUNDS, store, ...specificSettings }))
    return path
  }
}
