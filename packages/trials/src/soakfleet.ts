/** The fleet of a soak: real programs as processes, the platform's stand-ins, and a relay before each agent. */
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
const PREFIX = '/checks/'

/** Of the workers, in turn. */
export const DATA_CENTRES = ['one', 'two']

/** The bounds of the users' sites. */
const BOUNDS = { graceSeconds: 6, drainMilliseconds: 2000, stopMilliseconds: 50, longestLeaseMilliseconds: 1000, resubmissionMilliseconds: 1300, configurationMilliseconds: 2000 }

/** Bytes a second that the link of an entry carries from the store, where the store is reached over relays. */
const STORE_RATE = 2_000_000

/** Queues with which a configuration is nearly as large as a value of the store may be. */
const MOST_QUEUES = 4000

/** What differs between themes of the soak. */
export interface SoakFleetTraits {
  /** Two data centres, and workers that state their start. */
  operators: boolean
  /** Entries reach the store and each other over relays. */
  relaysEntries: boolean
}

/** One process of ours, started again when a fault ended it. */
export interface Member {
  name: string
  /** Address of the listener that a fault or a caller uses. */
  address: string
  settings: string
  process: LaunchedProcess | undefined
  /** Ended or stopped by a fault; any other end is a finding. */
  struck: boolean
}

export class SoakFleet {
  readonly store = new FleetStore()
  readonly entries: Member[] = []
  readonly agents: Member[] = []
  readonly workers: FleetWorker[] = []
  readonly cutters: LinkRelay[] = []
  /** Relays between entries and the store. */
  readonly storeCutters: LinkRelay[] = []
  /** When each version of the configuration was accepted. */
  readonly configuredAt: number[] = []
  readonly #processes = new ProcessGroup()
  readonly #ports = new PortPicker()
  readonly #folder = mkdtempSync(join(tmpdir(), 'soak-'))
  readonly #program: string
  readonly #traits: SoakFleetTraits
  #storeAddress = ''
  #version = 0
  #queues = 0

  /** @param program path of the built program */
  constructor (program: string, traits: SoakFleetTraits = { operators: false, relaysEntries: false }) {
    this.#program = program
    this.#traits = traits
  }

  /** Starts processes that only compute, beside the fleet. */
  load (busy: number): void {
    for (let index = 0; index < busy; index += 1) this.#processes.start({ name: `busy-${index}`, script: 'none', nodeArguments: ['--eval', 'for (;;) {}'] })
  }

  async start (entries: number, agents: number, duration: (task: string) => number): Promise<void> {
    this.#storeAddress = await this.store.listen(HOST)
    this.configure()
    for (let index = 0; index < agents; index += 1) await this.#addAgent(index, duration)
    for (let index = 0; index < entries; index += 1) await this.#addEntry(index)
  }

  /**
   * Writes a new configuration; gives its version, which is also a queue that only it and later ones have.
   *
   * @param more queues that are added besides
   */
  configure (more = 0): number {
    this.#version += 1
    this.#queues = Math.min(MOST_QUEUES, this.#queues + more)
    const names = ['checks', ...Array.from({ length: this.#version }, (_none, index) => `v${index + 1}`), ...Array.from({ length: this.#queues }, (_none, index) => `queue-${index}`)]
    this.configuredAt[this.#version] = performance.now()
    this.store.put('op/config', operatorConfiguration(this.#version, names.map(name => ({ name, host: HOST, prefix: `/${name}/` }))))
    return this.#version
  }

  /** Asks that nothing be started in a data centre, or takes that back. */
  evacuate (dataCentre: string, evacuated: boolean): void {
    if (evacuated) this.store.put(`op/evacuate/${dataCentre}`, '{}')
    else this.store.remove(`op/evacuate/${dataCentre}`)
  }

  /** Starts at the workers of a data centre so far. */
  startsIn (dataCentre: string): number {
    return this.workers.filter(worker => worker.dataCentre === dataCentre).reduce((sum, { started }) => sum + started.length, 0)
  }

  urlOf (entry: Member, id: string, queue = PREFIX): string {
    return `http://${entry.address}${queue}${id}`
  }

  launch (member: Member): void {
    member.struck = false
    member.process = this.#processes.start({ name: member.name, script: this.#program, environment: { AMARANTHMAST_SETTINGS: member.settings } })
  }

  async close (): Promise<void> {
    for (const launched of this.#processes.running()) await launched.kill()
    await this.#processes.stop()
    for (const worker of this.workers) worker.close()
    await Promise.all([...this.cutters, ...this.storeCutters].map(cutter => cutter.close()))
    this.store.close()
    rmSync(this.#folder, { recursive: true })
  }

  async #addEntry (index: number): Promise<void> {
    const callers = `${HOST}:${await this.#ports.pick()}`
    const linkPort = await this.#ports.pick()
    const listen = { callers, readiness: `${HOST}:${await this.#ports.pick()}`, announcements: '' }
    const linkAddress = `${HOST}:${this.#traits.relaysEntries ? await this.#relay(linkPort) : linkPort}`
    const settings = this.#settings(`entry-${index}`, { linkPorts: [linkPort, linkPort], linkAddress, listen, target: { address: '', service: '' }, metricsPort: await this.#ports.pick() }, await this.#storeOfEntry())
    const member: Member = { name: `entry-${index}`, address: callers, settings, process: undefined, struck: false }
    this.entries.push(member)
    this.launch(member)
  }

  async #storeOfEntry (): Promise<string> {
    if (!this.#traits.relaysEntries) return this.#storeAddress
    const cutter = new LinkRelay(Number(this.#storeAddress.split(':')[1]), new LinkRate(STORE_RATE))
    this.storeCutters.push(cutter)
    return `${HOST}:${await cutter.listen(await this.#ports.pick())}`
  }

  async #addAgent (index: number, duration: (task: string) => number): Promise<void> {
    const announcements = `${HOST}:${await this.#ports.pick()}`
    const linkPort = await this.#ports.pick()
    const dataCentre = this.#traits.operators ? DATA_CENTRES[index % DATA_CENTRES.length] as string : 'one'
    const worker = new FleetWorker({ service: 'checks', dataCentre, reportsStartTime: this.#traits.operators, cpu: 8000, agent: announcements, plan: task => ({ duration: duration(task), fails: false }) })
    const target = { address: await worker.listen(HOST, await this.#ports.pick()), service: 'checks' }
    const relayed = await this.#relay(linkPort)
    const listen = { callers: '', readiness: '', announcements }
    const settings = this.#settings(`agent-${index}`, { linkPorts: [linkPort, linkPort], linkAddress: `${HOST}:${relayed}`, listen, target, metricsPort: await this.#ports.pick() })
    const member: Member = { name: `agent-${index}`, address: announcements, settings, process: undefined, struck: false }
    this.agents.push(member)
    this.workers.push(worker)
    this.launch(member)
    worker.announce()
  }

  /** Puts a relay before a listener for links; gives its port. */
  async #relay (port: number): Promise<number> {
    const cutter = new LinkRelay(port)
    this.cutters.push(cutter)
    return await cutter.listen(await this.#ports.pick())
  }

  #settings (id: string, own: object, storeAddress = this.#storeAddress): string {
    const path = join(this.#folder, `${id}.json`)
    const store = { address: storeAddress, shortestLeaseMilliseconds: 1000, valueBytes: 1_048_576 }
    writeFileSync(path, JSON.stringify({ id, role: id, ip: HOST, dataCentre: 'one', seeds: [], bounds: BOUNDS, store, ...own }))
    return path
  }
}
