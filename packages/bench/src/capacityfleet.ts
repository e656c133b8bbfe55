/** A fleet of real processes, and the resource usage of its processes in a time window. */
import { readFile, writeFile } from 'node:fs/promises'
import { dirname, join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

import type { Daemon } from '@amaranthmast/standins/fleet'
import { Fleet } from '@amaranthmast/standins/fleet'
import { waitFor } from '@amaranthmast/standins/wait'
import { request } from 'undici'

import { CountingRelay } from './capacityrelay.ts'
import type { Rates, Usage } from './capacityusage.ts'
import { ratesBetween, readUsage } from './capacityusage.ts'

/** Size of a fleet and of its configuration. */
export interface FleetSize {
  entries: number
  agents: number
  /** Tenants in the configuration. */
  tenants: number
  /** Overrides of the daemons' timings, in milliseconds. */
  timings?: Readonly<Record<string, number>>
  /** Options for Node.js when it runs a daemon. */
  nodeArguments?: readonly string[]
}

/** Mean rates over the processes of a role. */
export interface RoleRates extends Rates {
  /** Messages between entries and agents, sent and received, per second. */
  messages: number
}

/** Rates of a fleet in one time window. */
export interface WindowRates {
  seconds: number
  entry: RoleRates
  agent: RoleRates
  /** Bytes per second in both directions on the streams of the inner protocol that end at one entry; mean over the entries. */
  innerBytesPerEntry: number
  /** Store calls per second by type. The store is a stand-in, so that only the number of calls is meaningful. */
  storeCallsPerSecond: Record<string, number>
  watchesOpen: number
}

/** Usage of all processes, and bytes counted by the relays. */
interface ProcessSample {
  entries: Usage[]
  agents: Usage[]
  innerBytes: number
}

/** Counters read from the status pages of daemons and store. */
interface StatusSample {
  /** Instant of the reading. */
  statusAt: number
  entryMessages: number
  agentMessages: number
  store: StoreCalls
}

type Sample = ProcessSample & StatusSample

interface StoreCalls {
  reads: number
  writes: number
  leases: number
  watchesOpened: number
  watchesOpen: number
}

const READY_TIMEOUT = 60_000
const READY_POLL = 200
const STATUS_SETTLE_MILLISECONDS = 300
const LOG_TAIL_LINES = 5
const STORE_CALL_TYPES = ['reads', 'writes', 'leases', 'watchesOpened'] as const

/** Starts, measures and stops a fleet. */
export class CapacityFleet {
  readonly size: FleetSize
  readonly #fleet: Fleet
  readonly #relays: CountingRelay[] = []
  #version = 0

  constructor (size: FleetSize) {
    this.size = size
    this.#fleet = new Fleet({
      programs: dirname(fileURLToPath(import.meta.url)),
      entries: size.entries,
      agents: size.agents,
      timings: size.timings ?? {},
      nodeArguments: size.nodeArguments ?? [],
      logLevel: 'warn'
    })
  }

  /** URLs of the entries' listeners for callers. */
  get callersUrls (): string[] {
    return this.#fleet.callersUrls
  }

  get storeUrl (): string {
    return this.#fleet.storeUrl
  }

  /** Names of the tenants in the configuration. */
  get tenants (): string[] {
    return Array.from({ length: this.size.tenants }, (_tenant, index) => `tenant-${index}`)
  }

  /** Process ids of the entries and agents. */
  get pids (): { entries: number[], agents: number[] } {
    return { entries: pidsOf(this.#fleet.entries), agents: pidsOf(this.#fleet.agents) }
  }

  /** Starts all processes. Resolves when every daemon is ready and has the first configuration. */
  async start (): Promise<void> {
    await this.#fleet.start()
    await Promise.all(this.#fleet.entries.map(entry => this.#restartWithRelay(entry)))
    await this.apply()
    try {
      await waitFor('every entry and agent to be ready', READY_TIMEOUT, READY_POLL, async () => {
        const ready = await Promise.all([...this.#fleet.entries, ...this.#fleet.agents].map(daemon => this.#fleet.isReady(daemon)))
        return ready.every(Boolean)
      })
    } catch (error) {
      throw new Error(`the fleet did not become ready; daemons that ended:\n${this.#endedDaemonLogs()}`, { cause: error })
    }
  }

  /** Applies the next version of the configuration with the command line tool. Resolves to its file. */
  async apply (): Promise<string> {
    const file = join(this.#fleet.folder, 'configuration.json')
    await writeFile(file, JSON.stringify(this.#configurationDocument()))
    const { code, log } = await this.#fleet.run('amaranthmast', ['apply', file, '--store', this.storeUrl])
    if (code !== 0) throw new Error(`amaranthmast apply ended with ${code}: ${log.join(' ')}`)
    this.#version++
    return file
  }

  /** Measures the fleet over the given number of seconds. */
  async measure (seconds: number): Promise<WindowRates> {
    // The status pages are read outside the window, so that the cost of serving them is not measured.
    const statusBefore = await this.#sampleStatus()
    await delay(STATUS_SETTLE_MILLISECONDS)
    const earlier = this.#sampleProcesses()
    await delay(seconds * 1000)
    const later = this.#sampleProcesses()
    return ratesOf({ ...earlier, ...statusBefore }, { ...later, ...await this.#sampleStatus() })
  }

  async stop (): Promise<void> {
    await this.#fleet.stop()
    for (const relay of this.#relays) relay.close()
  }

  /** Returns the last log lines of the daemons that have ended. */
  #endedDaemonLogs (): string {
    return [...this.#fleet.entries, ...this.#fleet.agents]
      .filter(daemon => daemon.process?.isRunning !== true)
      .map(daemon => `${daemon.id}: ${daemon.process?.log.slice(-LOG_TAIL_LINES).join('\n')}`)
      .join('\n')
  }

  /** Restarts an entry with a counting relay as its advertised inner address. */
  async #restartWithRelay (entry: Daemon): Promise<void> {
    await entry.process?.stop()
    const settings = JSON.parse(await readFile(entry.settingsFile, 'utf8')) as { peers: { port: number, address: string } }
    const relay = new CountingRelay(settings.peers.port)
    this.#relays.push(relay)
    settings.peers.address = `http://127.0.0.1:${await relay.listen()}`
    await writeFile(entry.settingsFile, JSON.stringify(settings))
    await this.#fleet.startDaemon(entry)
  }

  #sampleProcesses (): ProcessSample {
    return {
      entries: pidsOf(this.#fleet.entries).map(readUsage),
      agents: pidsOf(this.#fleet.agents).map(readUsage),
      innerBytes: this.#relays.reduce((sum, relay) => sum + relay.bytes, 0)
    }
  }

  async #sampleStatus (): Promise<StatusSample> {
    const [entryMessages, agentMessages, store] = await Promise.all([
      countMessages(this.#fleet.entries.map(({ statusUrl }) => statusUrl)),
      countMessages(this.#fleet.agents.map(({ statusUrl }) => statusUrl)),
      readStoreCalls(this.storeUrl)
    ])
    return { statusAt: performance.now(), entryMessages, agentMessages, store }
  }

  #configurationDocument (): object {
    const shares = { 'provider-a': 50 + this.#version % 10, 'provider-b': 50 - this.#version % 10 }
    const expectedTargets = Math.floor(this.size.agents / 2)
    return {
      editedFrom: this.#version,
      services: { 'label-check': { shares }, certificate: { shares } },
      providers: { 'provider-a': { expectedTargets }, 'provider-b': { expectedTargets } },
      tenants: Object.fromEntries(this.tenants.map(tenant => [tenant, { tasksPerSecond: 100_000, burst: 100_000, slots: 10_000, weight: 1 }]))
    }
  }
}

function pidsOf (daemons: ReadonlyArray<{ process?: { pid: number } }>): number[] {
  return daemons.map(({ process }) => process?.pid ?? 0)
}

function ratesOf (earlier: Sample, later: Sample): WindowRates {
  const seconds = ((later.entries[0]?.at ?? 0) - (earlier.entries[0]?.at ?? 0)) / 1000
  const rates = (role: 'entries' | 'agents'): Rates[] =>
    later[role].flatMap((usage, index) => {
      const before = earlier[role][index]
      return before === undefined ? [] : [ratesBetween(before, usage)]
    })
  const statusSeconds = (later.statusAt - earlier.statusAt) / 1000
  const messages = (role: 'entryMessages' | 'agentMessages', count: number): number => (later[role] - earlier[role]) / statusSeconds / count
  return {
    seconds,
    entry: { ...meanOf(rates('entries')), messages: messages('entryMessages', earlier.entries.length) },
    agent: { ...meanOf(rates('agents')), messages: messages('agentMessages', earlier.agents.length) },
    innerBytesPerEntry: (later.innerBytes - earlier.innerBytes) / seconds / earlier.entries.length,
    storeCallsPerSecond: Object.fromEntries(STORE_CALL_TYPES.map(type => [type, (later.store[type] - earlier.store[type]) / statusSeconds])),
    watchesOpen: later.store.watchesOpen
  }
}

function meanOf (rates: readonly Rates[]): Rates {
  return {
    processorMilliseconds: mean(rates.map(rate => rate.processorMilliseconds)),
    residentMebibytes: mean(rates.map(rate => rate.residentMebibytes)),
    anonymousMebibytes: mean(rates.map(rate => rate.anonymousMebibytes)),
    bytesRead: mean(rates.map(rate => rate.bytesRead)),
    bytesWritten: mean(rates.map(rate => rate.bytesWritten))
  }
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
}

/** Returns the sum of the message counters of the processes. */
async function countMessages (statusUrls: readonly string[]): Promise<number> {
  const pages = await Promise.all(statusUrls.map(url => fetchText(`${url}/metrics`)))
  return pages.reduce((sum, text) => sum + sumOfMetric(text, 'amaranthmast_messages_total'), 0)
}

function sumOfMetric (text: string, name: string): number {
  return text.split('\n')
    .filter(line => line.startsWith(`${name}{`))
    .reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' ') + 1)), 0)
}

async function readStoreCalls (storeUrl: string): Promise<StoreCalls> {
  return JSON.parse(await fetchText(`${storeUrl}/standin/calls`)) as StoreCalls
}

async function fetchText (url: string): Promise<string> {
  const response = await request(url)
  return await response.body.text()
}
