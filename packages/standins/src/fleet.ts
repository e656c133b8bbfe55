/**
 * A complete system on the loopback interface: the key-value stand-in, targets, agents and entries
 * as separate processes, with their settings files in a temporary folder.
 */
import { rmSync } from 'node:fs'
import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

import { request } from 'undici'

import { LinkRelay } from './linkrelay.ts'
import { LOOPBACK, READINESS_TIMEOUT, TARGET_SLOTS } from './defaults.ts'
import { PortPicker } from './ports.ts'
import type { LaunchedProcess } from './processes.ts'
import { ProcessGroup } from './processes.ts'
import type { TargetFaults } from './target.ts'

/** Options of a {@link Fleet}. */
export interface FleetOptions {
  /** Folder of the bundled programs. */
  programs: string
  entries: number
  /** Number of agents. Each has its own target. */
  agents: number
  /** Providers, to which agents are assigned round robin. @default ['provider-a', 'provider-b'] */
  providers?: readonly string[]
  /** Data centres, to which daemons are assigned round robin. @default ['gulf-1', 'gulf-2', 'gulf-3'] */
  dataCentres?: readonly string[]
  /** Services of every target. @default ['label-check', 'certificate'] */
  services?: readonly string[]
  /** Slots of every target. @default 8 */
  slots?: number
  /** Overrides of the daemons' timings, in milliseconds. */
  timings?: Readonly<Record<string, number>>
  /** Scheduling policy of the entries; the daemon's default when absent. */
  policy?: string
  /** @default 'info' */
  logLevel?: string
  /** Options for Node.js itself when it runs a daemon. */
  nodeArguments?: readonly string[]
  /** Inserts a {@link LinkRelay} into every link: see {@link Fleet.link}. @default false */
  relays?: boolean
}

/** Links that a fleet can relay. */
export enum LinkKind {
  /** From a daemon to the store. */
  Store = 'store',
  /** From agents and other entries to an entry. */
  Peers = 'peers',
  /** From an agent to its target. */
  Target = 'target'
}

/** One daemon: its addresses, and its process once started. */
export interface Daemon {
  id: string
  settingsFile: string
  statusUrl: string
  /** Base URL of an entry for callers; empty for an agent. */
  callersUrl: string
  process?: LaunchedProcess
  /** Logs of previous processes of this daemon. */
  earlierLogs: Array<readonly string[]>
}

/** One target process. */
export interface Target {
  id: string
  provider: string
  url: string
  process?: LaunchedProcess
}

type Settings = Readonly<Record<string, unknown>>

const AGENTS_PER_RACK = 3
const TARGET_MEMORY_MEGABYTES = 65_536
const STORE_PREFIX = '/amaranthmast/'

/** Starts a system, injects faults and stops it. {@link Fleet.stop} leaves no process and no file behind. */
export class Fleet {
  readonly entries: Daemon[] = []
  readonly agents: Daemon[] = []
  readonly targets: Target[] = []
  readonly #options: Required<Omit<FleetOptions, 'policy'>> & { policy?: string }
  readonly #group = new ProcessGroup()
  readonly #ports = new PortPicker()
  readonly #links = new Map<string, LinkRelay>()
  readonly #linkPorts = new Map<string, number>()
  readonly #removeFolder = (): void => { rmSync(this.#folder, { recursive: true, force: true }) }
  #folder = ''
  #storePort = 0
  #store: LaunchedProcess | undefined

  constructor (options: FleetOptions) {
    this.#options = {
      providers: ['provider-a', 'provider-b'],
      dataCentres: ['gulf-1', 'gulf-2', 'gulf-3'],
      services: ['label-check', 'certificate'],
      slots: TARGET_SLOTS,
      timings: {},
      logLevel: 'info',
      nodeArguments: [],
      relays: false,
      ...options
    }
  }

  /** URL of the store, not relayed. */
  get storeUrl (): string {
    return `http://${LOOPBACK}:${this.#storePort}`
  }

  /** Process of the store, once started. */
  get store (): LaunchedProcess | undefined {
    return this.#store
  }

  /** Folder for the files of this system; removed by {@link stop}. */
  get folder (): string {
    return this.#folder
  }

  /** URLs of the callers' listeners. */
  get callersUrls (): string[] {
    return this.entries.map(entry => entry.callersUrl)
  }

  /** URLs of the targets, not relayed. */
  get targetUrls (): string[] {
    return this.targets.map(target => target.url)
  }

  /** Starts the store, targets, agents and entries. Resolves when all have reported that they are up. */
  async start (): Promise<void> {
    await this.startStore()
    await this.startTargets()
    await this.#prepareDaemons()
    await this.startDaemons()
  }

  /** Starts only the store. It must come first, because the daemons' settings contain its URL. */
  async startStore (): Promise<void> {
    await this.#makeFolder()
    if (this.#storePort === 0) this.#storePort = await this.#ports.pick()
    this.#store = await this.#group.launch({
      name: 'keyvalue',
      script: this.#program('keyvalue'),
      arguments: ['--port', String(this.#storePort)],
      readyLine: isListening
    })
  }

  /** Starts every target. */
  async startTargets (): Promise<void> {
    for (let number = 1; number <= this.#options.agents; number++) {
      const port = await this.#ports.pick()
      this.targets.push({
        id: `target-${number}`,
        provider: this.#roundRobin(this.#options.providers, number),
        url: `http://${LOOPBACK}:${port}`
      })
    }
    await Promise.all(this.targets.map(target => this.startTarget(target)))
  }

  /** Starts one target that is not running. */
  async startTarget (target: Target): Promise<void> {
    target.process = await this.#group.launch({
      name: target.id,
      script: this.#program('target'),
      arguments: ['--id', target.id, '--port', portOf(target.url), '--slots', String(this.#options.slots)],
      readyLine: isListening
    })
  }

  /** Starts all entries and agents concurrently. */
  async startDaemons (): Promise<void> {
    await Promise.all([...this.entries, ...this.agents].map(daemon => this.startDaemon(daemon)))
  }

  /** Starts one entry or agent that is not running. Resolves when it is healthy. */
  async startDaemon (daemon: Daemon): Promise<void> {
    await this.#reopenPeersLink(daemon)
    if (daemon.process !== undefined) daemon.earlierLogs.push(daemon.process.log)
    daemon.process = await this.#group.launch({
      name: daemon.id,
      script: this.#program('amaranthmastd'),
      arguments: ['--settings', daemon.settingsFile],
      nodeArguments: this.#options.nodeArguments,
      isReady: () => answersOk(`${daemon.statusUrl}/healthz`)
    })
  }

  /** Kills an entry or agent with SIGKILL. Connections to it are then refused, also those through its relay. */
  async killDaemon (daemon: Daemon): Promise<void> {
    await daemon.process?.kill()
    await this.#links.get(linkName(LinkKind.Peers, daemon.id))?.close()
  }

  /** Whether a daemon reports that it is ready for work. */
  isReady (daemon: Daemon): Promise<boolean> {
    return answersOk(`${daemon.statusUrl}/readyz`)
  }

  /** Replaces the faults of a target. */
  async setTargetFaults (target: Target, faults: Partial<TargetFaults>): Promise<void> {
    const response = await request(`${target.url}/standin/faults`, { method: 'POST', body: JSON.stringify(faults) })
    await response.body.dump()
  }

  /** The relay of a daemon's link. Throws unless `relays` is set. */
  link (kind: LinkKind, daemonId: string): LinkRelay {
    const link = this.#links.get(linkName(kind, daemonId))
    if (link === undefined) throw new RangeError(`no relayed link ${kind} of ${daemonId}: set relays to true`)
    return link
  }

  /** Runs a bundled program to its end. Resolves to its exit code and its output lines. */
  async run (program: string, programArguments: readonly string[]): Promise<{ code: number | null, log: readonly string[] }> {
    const launched = this.#group.start({ name: program, script: this.#program(program), arguments: programArguments })
    await launched.ended
    return { code: launched.exitCode, log: launched.log }
  }

  /** Stops entries, agents, targets and store in this order, with SIGTERM first. Resolves to the names of those that needed SIGKILL. */
  async stop (): Promise<string[]> {
    const killed = [...await stopAll(this.entries), ...await stopAll(this.agents)]
    killed.push(...await stopAll(this.targets), ...await this.#group.stop())
    for (const link of this.#links.values()) await link.close()
    this.#removeFolder()
    process.off('exit', this.#removeFolder)
    return killed
  }

  async #makeFolder (): Promise<void> {
    if (this.#folder !== '') return
    this.#folder = await mkdtemp(join(tmpdir(), 'amaranthmast-'))
    process.on('exit', this.#removeFolder)
  }

  async #prepareDaemons (): Promise<void> {
    for (let number = 1; number <= this.#options.entries; number++) {
      this.entries.push(await this.#prepareEntry(`entry-${number}`, number))
    }
    for (let number = 1; number <= this.#options.agents; number++) {
      this.agents.push(await this.#prepareAgent(`agent-${number}`, number))
    }
  }

  async #prepareEntry (id: string, number: number): Promise<Daemon> {
    const callersPort = await this.#ports.pick()
    const peersPort = await this.#ports.pick()
    const address = `http://${LOOPBACK}:${await this.#relayPort(LinkKind.Peers, id, peersPort)}`
    return await this.#writeSettings(id, number, callersPort, {
      role: 'entry',
      callers: { host: LOOPBACK, port: callersPort },
      peers: { host: LOOPBACK, port: peersPort, address },
      ...(this.#options.policy === undefined ? {} : { scheduler: { policy: this.#options.policy } })
    })
  }

  async #prepareAgent (id: string, number: number): Promise<Daemon> {
    const target = this.targets[number - 1]
    if (target === undefined) throw new RangeError(`${id} has no target`)
    const targetPort = await this.#relayPort(LinkKind.Target, id, Number(portOf(target.url)))
    return await this.#writeSettings(id, number, undefined, {
      role: 'agent',
      target: {
        url: `http://${LOOPBACK}:${targetPort}`,
        provider: target.provider,
        services: this.#options.services,
        slots: this.#options.slots,
        accelerators: 0,
        memoryMegabytes: TARGET_MEMORY_MEGABYTES
      }
    })
  }

  async #writeSettings (id: string, number: number, callersPort: number | undefined, own: Settings): Promise<Daemon> {
    const statusPort = await this.#ports.pick()
    const storePort = await this.#relayPort(LinkKind.Store, id, this.#storePort)
    const settings: Settings = {
      id,
      dataCentre: this.#roundRobin(this.#options.dataCentres, number),
      rack: `rack-${Math.ceil(number / AGENTS_PER_RACK)}`,
      store: { endpoints: [`http://${LOOPBACK}:${storePort}`], prefix: STORE_PREFIX },
      status: { host: LOOPBACK, port: statusPort },
      timings: this.#options.timings,
      log: { level: this.#options.logLevel },
      ...own
    }
    const settingsFile = join(this.#folder, `${id}.json`)
    await writeFile(settingsFile, JSON.stringify(settings, null, 2))
    return {
      id,
      settingsFile,
      statusUrl: `http://${LOOPBACK}:${statusPort}`,
      callersUrl: callersPort === undefined ? '' : `http://${LOOPBACK}:${callersPort}`,
      earlierLogs: []
    }
  }

  /** Port for a link: that of a new relay if links are relayed, otherwise the given one. */
  async #relayPort (kind: LinkKind, daemonId: string, port: number): Promise<number> {
    if (!this.#options.relays) return port
    const link = new LinkRelay(port)
    const relayPort = await link.listen(await this.#ports.pick())
    this.#links.set(linkName(kind, daemonId), link)
    this.#linkPorts.set(linkName(kind, daemonId), relayPort)
    return relayPort
  }

  async #reopenPeersLink (daemon: Daemon): Promise<void> {
    const name = linkName(LinkKind.Peers, daemon.id)
    const link = this.#links.get(name)
    if (link === undefined || link.isListening) return
    await link.listen(this.#linkPorts.get(name))
  }

  #program (name: string): string {
    return join(this.#options.programs, `${name}.js`)
  }

  #roundRobin (items: readonly string[], number: number): string {
    return items[(number - 1) % items.length] ?? ''
  }
}

/** Stops processes concurrently. Resolves to the names of those that needed SIGKILL. */
async function stopAll (members: ReadonlyArray<{ id: string, process?: LaunchedProcess }>): Promise<string[]> {
  const running = members.filter(member => member.process?.isRunning)
  const stoppedGracefully = await Promise.all(running.map(member => member.process?.stop()))
  return running.filter((_part, index) => stoppedGracefully[index] === false).map(member => member.id)
}

function linkName (kind: LinkKind, daemonId: string): string {
  return `${kind}:${daemonId}`
}

function portOf (url: string): string {
  return new URL(url).port
}

/** Whether a line is `{"listening":port}`, which stand-ins print on stdout when they are ready. */
function isListening (line: string): boolean {
  return line.startsWith('{"listening"')
}

async function answersOk (url: string): Promise<boolean> {
  const response = await request(url, { signal: AbortSignal.timeout(READINESS_TIMEOUT) })
  await response.body.dump()
  return response.statusCode === 200
}
