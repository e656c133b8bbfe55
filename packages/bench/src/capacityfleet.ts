/** One fleet under measurement: what its processes use per second in a window. */
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
  /** Options for node itself when it runs a daemon. */
  nodeArguments?: readonly string[]
}

/** Means over the processes of a role. */
export interface RoleRates extends Rates {
  /** Messages of the inner protocol sent and received per second. */
  messages: number
}

/** What one window showed. */
export interface WindowRates {
  seconds: number
  entry: RoleRates
  agent: RoleRates
  /** Bytes of the inner protocol per second on the streams that end at one entry, both directions, mean of the entries. */
  innerBytesPerEntry: number
  /** The store is a stand-in: only its calls mean something. */
  storeCallsPerSecond: Record<string, number>
  watchesOpen: number
}

interface ProcessReading {
  entries: Usage[]
  agents: Usage[]
  innerBytes: number
}

interface PageReading {
  pagesAt: number
  entryMessages: number
  agentMessages: number
  store: StoreCalls
}

type Reading = ProcessReading & PageReading

interface StoreCalls {
  reads: number
  writes: number
  leases: number
  watchesOpened: number
  watchesOpen: number
}

const READY_TIMEOUT = 60_000
const READY_POLL = 200
const PAGE_SETTLE = 300
const LAST_LINES = 5
const COUNTED_CALLS = ['reads', 'writes', 'leases', 'watchesOpened'] as const

/** Starts a fleet, measures it and stops it. */
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

  /** URLs of the callers' listeners. */
  get callersUrls (): string[] {
    return this.#fleet.callersUrls
  }

  /** URL of the store. */
  get storeUrl (): string {
    return this.#fleet.storeUrl
  }

  /** Tenants of the configuration. */
  get tenants (): string[] {
    return Array.from({ length: this.size.tenants }, (_tenant, index) => `tenant-${index}`)
  }

  /** Process ids of the entries and agents. */
  get pids (): { entries: number[], agents: number[] } {
    return { entries: pidsOf(this.#fleet.entries), agents: pidsOf(this.#fleet.agents) }
  }

  /** Starts everything. Resolves when every daemon is ready and has the first configuration. */
  async start (): Promise<void> {
    await this.#fleet.start()
    await Promise.all(this.#fleet.entries.map(entry => this.#restartBehindRelay(entry)))
    await this.apply()
    try {
      await waitFor('every entry and agent to be ready', READY_TIMEOUT, READY_POLL, async () => {
        const ready = await Promise.all([...this.#fleet.entries, ...this.#fleet.agents].map(daemon => this.#fleet.isReady(daemon)))
        return ready.every(Boolean)
      })
    } catch (error) {
      throw new Error(`the fleet did not become ready; daemons that ended:\n${this.#lastWords()}`, { cause: error })
    }
  }

  /** Applies the next version of the configuration with the tool. Resolves to its file. */
  async apply (): Promise<string> {
    const file = join(this.#fleet.folder, 'configuration.json')
    await writeFile(file, JSON.stringify(this.#document()))
    const { code, log } = await this.#fleet.run('amaranthmast', ['apply', file, '--store', this.storeUrl])
    if (code !== 0) throw new Error(`amaranthmast apply ended with ${code}: ${log.join(' ')}`)
    this.#version++
    return file
  }

  /** Measures for some seconds. */
  async measure (seconds: number): Promise<WindowRates> {
    // The pages are read outside the window: serving them is no part of what is measured.
    const pagesBefore = await this.#readPages()
    await delay(PAGE_SETTLE)
    const earlier = this.#readProcesses()
    await delay(seconds * 1000)
    const later = this.#readProcesses()
    return ratesOf({ ...earlier, ...pagesBefore }, { ...later, ...await this.#readPages() })
  }

  async stop (): Promise<void> {
    await this.#fleet.stop()
    for (const relay of this.#relays) relay.close()
  }

  /** The last lines of the daemons that do not run any more. */
  #lastWords (): string {
    return [...this.#fleet.entries, ...this.#fleet.agents]
      .filter(daemon => daemon.process?.isRunning !== true)
      .map(daemon => `${daemon.id}: ${daemon.process?.log.slice(-LAST_LINES).join('\n')}`)
      .join('\n')
  }

  /** Restarts an entry that advertises a counting relay as its inner address. */
  async #restartBehindRelay (entry: Daemon): Promise<void> {
    await entry.process?.stop()
    const settings = JSON.parse(await readFile(entry.settingsFile, 'utf8')) as { peers: { port: number, address: string } }
    const relay = new CountingRelay(settings.peers.port)
    this.#relays.push(relay)
    settings.peers.address = `http://127.0.0.1:${await relay.listen()}`
    await writeFile(entry.settingsFile, JSON.stringify(settings))
    await this.#fleet.startDaemon(entry)
  }

  #readProcesses (): ProcessReading {
    return {
      entries: pidsOf(this.#fleet.entries).map(readUsage),
      agents: pidsOf(this.#fleet.agents).map(readUsage),
      innerBytes: this.#relays.reduce((sum, relay) => sum + relay.bytes, 0)
    }
  }

  async #readPages (): Promise<PageReading> {
    const [entryMessages, agentMessages, store] = await Promise.all([
      messagesOf(this.#fleet.entries.map(({ statusUrl }) => statusUrl)),
      messagesOf(this.#fleet.agents.map(({ statusUrl }) => statusUrl)),
      storeCalls(this.storeUrl)
    ])
    return { pagesAt: performance.now(), entryMessages, agentMessages, store }
  }

  #document (): object {
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

function pidsOf (parts: ReadonlyArray<{ process?: { pid: number } }>): number[] {
  return parts.map(({ process }) => process?.pid ?? 0)
}

function ratesOf (earlier: Reading, later: Reading): WindowRates {
  const seconds = ((later.entries[0]?.at ?? 0) - (earlier.entries[0]?.at ?? 0)) / 1000
  const rates = (role: 'entries' | 'agents'): Rates[] =>
    later[role].flatMap((usage, index) => {
      const before = earlier[role][index]
      return before === undefined ? [] : [ratesBetween(before, usage)]
    })
  const pageSeconds = (later.pagesAt - earlier.pagesAt) / 1000
  const messages = (role: 'entryMessages' | 'agentMessages', count: number): number => (later[role] - earlier[role]) / pageSeconds / count
  return {
    seconds,
    entry: { ...meanOf(rates('entries')), messages: messages('entryMessages', earlier.entries.length) },
    agent: { ...meanOf(rates('agents')), messages: messages('agentMessages', earlier.agents.length) },
    innerBytesPerEntry: (later.innerBytes - earlier.innerBytes) / seconds / earlier.entries.length,
    storeCallsPerSecond: Object.fromEntries(COUNTED_CALLS.map(kind => [kind, (later.store[kind] - earlier.store[kind]) / pageSeconds])),
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

/** Sum of the messages that the processes have counted. */
async function messagesOf (statusUrls: readonly string[]): Promise<number> {
  const pages = await Promise.all(statusUrls.map(url => page(`${url}/metrics`)))
  return pages.reduce((sum, text) => sum + sumOf(text, 'amaranthmast_messages_total'), 0)
}

function sumOf (text: string, name: string): number {
  return text.split('\n')
    .filter(line => line.startsWith(`${name}{`))
    .reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' ') + 1)), 0)
}

async function storeCalls (storeUrl: string): Promise<StoreCalls> {
  return JSON.parse(await page(`${storeUrl}/standin/calls`)) as StoreCalls
}

async function page (url: string): Promise<string> {
  const response = await request(url)
  return await response.body.text()
}
