/**
 * What entries tell each other: where processes are found, and a configuration that one of them
 * has and the other lacks. It carries the fleet while the store turns some machines away.
 */
import type { Greeting } from '@amaranthmast/links/greeting'
import type { InstanceRecord, ServiceSettings, StorePort } from './ports.ts'
import type { DispatchConfiguration } from '@amaranthmast/dispatch/queues'
import { PeerRole } from '@amaranthmast/links/greeting'

/** How often an entry tells the others its version, in milliseconds: a configuration is due in force within two seconds. */
const TELL_MILLISECONDS = 400

export type GossipMessage =
  | { type: 'version', version: number }
  | { type: 'configuration', document: string }
  /** Addresses of agents that the sender has links to. */
  | { type: 'agents', addresses: string[] }

export interface GossipOptions {
  store: Pick<StorePort, 'readConfiguration'>
  settings: ServiceSettings
  configured: (configuration: DispatchConfiguration) => void
  agentFound: (address: string) => void
  sendAll: (message: GossipMessage) => void
}

export class Gossip {
  readonly #options: GossipOptions
  readonly #agents = new Set<string>()
  #version = 0
  #document = ''
  #timer: NodeJS.Timeout | undefined

  constructor (options: GossipOptions) {
    this.#options = options
  }

  get version (): number {
    return this.#version
  }

  start (): void {
    this.#timer = setInterval(() => this.#options.sendAll({ type: 'version', version: this.#version }), TELL_MILLISECONDS)
  }

  stop (): void {
    clearInterval(this.#timer)
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

  received (_peer: Greeting, message: GossipMessage, reply: (message: GossipMessage) => void): void {
    if (message.type === 'agents') {
      for (const address of message.addresses) this.#options.agentFound(address)
    } else if (message.type === 'configuration') {
      const configuration = this.#options.store.readConfiguration(message.document)
      if (configuration !== undefined) this.offer(configuration, message.document)
    } else if (message.version < this.#version) {
      reply({ type: 'configuration', document: this.#document })
    }
  }
}

/** Addresses of one role among records. */
export function addressesOf (records: readonly InstanceRecord[], role: PeerRole): string[] {
  return records.filter(record => record.role === role).map(({ address }) => address)
}
