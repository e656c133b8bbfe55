/** The fleet of the path measurement, and a separate target that is called directly. */
import { writeFile } from 'node:fs/promises'
import { dirname, join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

import { Fleet } from '@amaranthmast/standins/fleet'
import type { LaunchedProcess } from '@amaranthmast/standins/processes'
import { ProcessGroup } from '@amaranthmast/standins/processes'
import { waitFor } from '@amaranthmast/standins/wait'
import { request } from 'undici'

import type { Usage } from './capacityusage.ts'
import { readUsage } from './capacityusage.ts'

/** Number of slots of all targets of the fleet together, and of the directly called target. */
export const FLEET_SLOTS = 32

/** Cumulative usage of the processes of a fleet since their start. */
export interface FleetUsage {
  at: number
  /** Processor time in milliseconds. */
  entries: number
  agents: number
  /** Bytes read and written by entries and agents, including traffic with callers and targets. */
  bytes: number
  /** Messages of the inner protocol received by entries and agents, including those between entries. */
  messages: number
}

/** Processor time of an idle fleet, in milliseconds per second. */
export interface IdleRates {
  entries: number
  agents: number
}

const AGENTS = 4
const SLOTS = FLEET_SLOTS / AGENTS
const READY_TIMEOUT = 60_000
const READY_POLL = 100
const IDLE_MILLISECONDS = 3000

/** Starts, measures and stops the fleet and the directly called target. */
export class PathFleet {
  readonly entries: number
  readonly #fleet: Fleet
  readonly #processGroup = new ProcessGroup()
  readonly #programs = dirname(fileURLToPath(import.meta.url))
  #directUrl = ''
  #idle: IdleRates = { entries: 0, agents: 0 }

  constructor (entries: number, nodeArguments: readonly string[]) {
    this.entries = entries
    this.#fleet = new Fleet({ programs: this.#programs, entries, agents: AGENTS, slots: SLOTS, logLevel: 'warn', nodeArguments })
  }

  /** URLs of the entries' listeners for callers. */
  get callersUrls (): string[] {
    return this.#fleet.callersUrls
  }

  /** URL of the directly called target, which has no agent. */
  get directUrl (): string {
    return this.#directUrl
  }

  get idle (): IdleRates {
    return this.#idle
  }

  /** Starts all processes, applies a configuration and measures the idle fleet. */
  async start (): Promise<void> {
    await this.#fleet.start()
    await this.#applyConfiguration()
    const daemons = [...this.#fleet.entries, ...this.#fleet.agents]
    await waitFor('every entry and agent to be ready', READY_TIMEOUT, READY_POLL, async () =>
      (await Promise.all(daemons.map(daemon => this.#fleet.isReady(daemon)))).every(Boolean))
    await this.#startDirectTarget()
    await this.#measureIdle()
  }

  /** Reads the usage since the start. */
  async usage (): Promise<FleetUsage> {
    const messages = await this.#receivedMessages()
    const entries = this.#fleet.entries.map(({ process }) => usageOf(process))
    const agents = this.#fleet.agents.map(({ process }) => usageOf(process))
    return {
      at: performance.now(),
      entries: sum(entries.map(usage => usage.processorMilliseconds)),
      agents: sum(agents.map(usage => usage.processorMilliseconds)),
      bytes: sum([...entries, ...agents].map(usage => usage.bytesRead + usage.bytesWritten)),
      messages
    }
  }

  async stop (): Promise<void> {
    await this.#fleet.stop()
    await this.#processGroup.stop()
  }

  async #applyConfiguration (): Promise<void> {
    const file = join(this.#fleet.folder, 'configuration.json')
    const shares = { 'provider-a': 50, 'provider-b': 50 }
    await writeFile(file, JSON.stringify({
      editedFrom: 0,
      services: { 'label-check': { shares } },
      providers: { 'provider-a': { expectedTargets: AGENTS / 2 }, 'provider-b': { expectedTargets: AGENTS / 2 } },
      tenants: { magnolia: { tasksPerSecond: 100_000, burst: 100_000, slots: 10_000, weight: 1 } }
    }))
    const { code, log } = await this.#fleet.run('amaranthmast', ['apply', file, '--wait', '--store', this.#fleet.storeUrl])
    if (code !== 0) throw new Error(`amaranthmast apply ended with ${code}: ${log.join(' ')}`)
  }

  async #startDirectTarget (): Promise<void> {
    const target = await this.#processGroup.launch({
      name: 'target-direct',
      script: join(this.#programs, 'target.js'),
      arguments: ['--id', 'target-direct', '--slots', String(FLEET_SLOTS)],
      readyLine: line => line.startsWith('{"listening"')
    })
    const line = target.log.find(logLine => logLine.startsWith('{"listening"')) ?? '{}'
    const { listening } = JSON.parse(line) as { listening: number }
    this.#directUrl = `http://127.0.0.1:${listening}`
  }

  async #measureIdle (): Promise<void> {
    await delay(IDLE_MILLISECONDS)
    const earlier = await this.usage()
    await delay(IDLE_MILLISECONDS)
    const later = await this.usage()
    const seconds = (later.at - earlier.at) / 1000
    this.#idle = { entries: (later.entries - earlier.entries) / seconds, agents: (later.agents - earlier.agents) / seconds }
  }

  async #receivedMessages (): Promise<number> {
    const texts = await Promise.all([...this.#fleet.entries, ...this.#fleet.agents].map(({ statusUrl }) => fetchMetrics(statusUrl)))
    const received = texts.flatMap(text => text.split('\n')).filter(line => line.startsWith('amaranthmast_messages_total{') && line.includes('direction="received"'))
    return sum(received.map(line => Number(line.slice(line.lastIndexOf(' ') + 1))))
  }
}

function usageOf (process: LaunchedProcess | undefined): Usage {
  return readUsage(process?.pid ?? 0)
}

async function fetchMetrics (statusUrl: string): Promise<string> {
  const response = await request(`${statusUrl}/metrics`)
  return await response.body.text()
}

function sum (numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0)
}
