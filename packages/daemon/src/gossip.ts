/**
 * What entries tell each other: where processes are found, and a configuration that one of them
 * has and the other lacks. It carries the fleet while the store turns some machines away.
 */
import type { Greeting } from '@amaranthmast/links/greeting'
import type { InstanceRecord, ServiceSettings, StorePort } from './ports.ts'
import type { DispatchConfiguration } from '@amaranthmast/dispatch/queues'
import { PeerRole } from '@amaranthmast/links/greeting'

/**
 * How often an entry tells some of the others its version, in milliseconds, and how many, in turn. A new version goes to all
 * at once; this is for those that missed it, when the store turns them away as well. Told by four of 35 entries in each
 * interval, one learns of it within 1.2 s; telling all of them made 3,000 messages a second.
 */
const TELL_MILLISECONDS = 400
const TOLD_AT_ONCE = 4

export type GossipMessage =
  | { type: 'version', version: number }
  | { type: 'configuration', document: string }
  /** Addresses of agents that the sender has links to. */
  | { type: 'agents', addresses: string[] }

const GOSSIP_TYPES = new Set<unknown>(['version', 'configuration', 'agents'] satisfies Array<GossipMessage['type']>)

export function isGossip (message: unknown): message is GossipMessage {
  return GOSSIP_TYPES.has((message as Partial<GossipMessage> | null | undefined)?.type)
}

/** What an entry knows of the configuration, and what it has exchanged with others. */
export interface GossipStatus {
  version: number
  /** Newest version that another entry has told of. */
  newest: number
  documentsSent: number
  documentsReceived: number
  /** Received ones that were not newer than the own. */
  documentsUseless: number
  charactersSent: number
  charactersReceived: number
}

export interface GossipOptions {
  store: Pick<StorePort, 'readConfiguration'>
  settings: ServiceSettings
  configured: (configuration: DispatchConfiguration) => void
  agentFound: (address: string) => void
  note: (what: string, fields: Record<string, unknown>) => void
  sendAll: (message: GossipMessage) => void
  /** Names of the entries that can be told something. */
  peers: () => readonly string[]
  send: (peer: string, message: GossipMessage) => void
}

export class Gossip {
  readonly #options: GossipOptions
  readonly #agents = new Set<string>()
  readonly #status: GossipStatus = { version: 0, newest: 0, documentsSent: 0, documentsReceived: 0, documentsUseless: 0, charactersSent: 0, charactersReceived: 0 }
  #version = 0
  #document = ''
  #timer: NodeJS.Timeout | undefined
  #turn = 0

  constructor (options: GossipOptions) {
    this.#options = options
  }

  get version (): number {
    return this.#version
  }

  get status (): Readonly<GossipStatus> {
    return { ...this.#status, version: this.#version }
  }

  start (): void {
    this.#timer = setInterval(() => this.#tellSome(), TELL_MILLISECONDS)
  }

  stop (): void {
    clearInterval(this.#timer)
  }

  /** Each of the others has its turn. */
  #tellSome (): void {
    const peers = this.#options.peers()
    const count = Math.min(TOLD_AT_ONCE, peers.length)
    for (let told = 0; told < count; told += 1) {
      this.#turn = (this.#turn + 1) % peers.length
      this.#options.send(peers[this.#turn] as string, { type: 'version', version: this.#version })
    }
  }

  /** Takes a configuration in, unless a newer one is known. */
  offer (configuration: DispatchConfiguration, document: string): void {
    if (configuration.version <= this.#version) return
    this.#version = configuration.version
    this.#document = document
    this.#options.configured(configuration)
    this.#options.sendAll({ type: 'version', version: this.#version })
  }

  agentLinked (address: string): void {
    if (this.#agents.has(address)) return
    this.#agents.add(address)
    this.#options.sendAll({ type: 'agents', addresses: [address] })
  }

  /** What an entry that has just linked is told. */
  welcome (): GossipMessage[] {
    return [{ type: 'agents', addresses: [...this.#agents] }, { type: 'version', version: this.#version }]
  }

  received (peer: Greeting, message: GossipMessage, reply: (message: GossipMessage) => void): void {
    if (message.type === 'agents') {
      for (const address of message.addresses) this.#options.agentFound(address)
    } else if (message.type === 'configuration') {
      this.#receivedDocument(peer, message.document)
    } else {
      this.#heard(peer, message.version)
      if (message.version >= this.#version) return
      this.#status.documentsSent += 1
      this.#status.charactersSent += this.#document.length
      reply({ type: 'configuration', document: this.#document })
    }
  }

  #receivedDocument (peer: Greeting, document: string): void {
    this.#status.documentsReceived += 1
    this.#status.charactersReceived += document.length
    const configuration = this.#options.store.readConfiguration(document)
    if (configuration === undefined || configuration.version <= this.#version) this.#status.documentsUseless += 1
    else this.#options.note('configuration received', { version: configuration.version, peer: peer.name })
    if (configuration !== undefined) this.offer(configuration, document)
  }

  #heard (peer: Greeting, version: number): void {
    if (version <= Math.max(this.#version, this.#status.newest)) return
    this.#status.newest = version
    this.#options.note('newer configuration heard of', { version, own: this.#version, peer: peer.name })
  }
}

/** Addresses of one role among records. */
export function addressesOf (records: readonly InstanceRecord[], role: PeerRole): string[] {
  return records.filter(record => record.role === role).map(({ address }) => address)
}
