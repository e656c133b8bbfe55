/**
 * Exchange of agent addresses and of the configuration between entries. It keeps the fleet working while the store refuses
 * some of the machines.
 */
import type { ExchangeEffect, ExchangeEvent, ExchangeStatus } from '@amaranthmast/configuration/exchange'
import type { ConfigurationMessage } from '@amaranthmast/configuration/messages'
import type { DispatchConfiguration } from '@amaranthmast/dispatch/queues'
import type { PeerRole } from '@amaranthmast/links/greeting'
import type { EffectHandlers } from './loop.ts'
import type { InstanceRecord, StorePort } from './ports.ts'
import { ConfigurationExchange } from '@amaranthmast/configuration/exchange'
import { isConfigurationMessage } from '@amaranthmast/configuration/messages'

/** Addresses of agents to which the sender is linked. */
interface AgentsMessage {
  type: 'agents'
  addresses: string[]
}

export type GossipMessage = AgentsMessage | ConfigurationMessage

export function isGossip (message: unknown): message is GossipMessage {
  return isAgentsMessage(message) || isConfigurationMessage(message)
}

function isAgentsMessage (message: unknown): message is AgentsMessage {
  const { type, addresses } = (message ?? {}) as Partial<AgentsMessage>
  return type === 'agents' && Array.isArray(addresses) && addresses.every(address => typeof address === 'string')
}

export interface GossipOptions {
  store: Pick<StorePort, 'readConfiguration'>
  /** Time within which an accepted configuration must be in force, in milliseconds. */
  bound: number
  configured: (configuration: DispatchConfiguration) => void
  agentFound: (address: string) => void
  note: (what: string, fields: Record<string, unknown>) => void
  send: (peer: string, message: GossipMessage) => void
  now: () => number
}

/** Tracks the links to other entries, forwards agent addresses to them, and runs the configuration exchange. */
export class Gossip {
  readonly #options: GossipOptions
  readonly #agents = new Set<string>()
  /** Number of links to each other entry, in either direction. */
  readonly #linkCounts = new Map<string, number>()
  readonly #exchange: ConfigurationExchange<DispatchConfiguration>

  readonly #handlers: EffectHandlers<ExchangeEffect<DispatchConfiguration>> = {
    tell: ({ peer, message }) => this.#options.send(peer, message),
    adopt: ({ configuration }) => this.#options.configured(configuration),
    note: ({ what, fields }) => this.#options.note(what, fields)
  }

  constructor (options: GossipOptions) {
    this.#options = options
    this.#exchange = new ConfigurationExchange({ read: document => options.store.readConfiguration(document) })
  }

  get status (): Readonly<ExchangeStatus> {
    return this.#exchange.status
  }

  /** Milliseconds since the start of the last check that confirmed the configuration in force as the newest; undefined before the first. */
  get age (): number | undefined {
    const { confirmedAt } = this.#exchange
    return confirmedAt === undefined ? undefined : this.#options.now() - confirmedAt
  }

  /** Whether the configuration is recent enough to conclude that a queue which it lacks does not exist. */
  get isCurrent (): boolean {
    return this.#exchange.isCurrent(this.#options.bound, this.#options.now())
  }

  /** Handles a configuration read from the store. */
  offer (configuration: DispatchConfiguration, document: string): void {
    this.#handle({ type: 'stored', configuration, document })
  }

  /** Records that the store had no newer configuration at a time of this process's clock. */
  confirmed (at: number): void {
    this.#handle({ type: 'confirmed', at })
  }

  /** Records that changes in the store may have been missed. */
  doubted (): void {
    this.#handle({ type: 'doubted' })
  }

  tick (): void {
    this.#handle({ type: 'tick' })
  }

  /** Handles a new link to another entry, dialled by either end. */
  linked (peer: string): void {
    const links = this.#linkCounts.get(peer) ?? 0
    this.#linkCounts.set(peer, links + 1)
    if (this.#agents.size > 0) this.#options.send(peer, { type: 'agents', addresses: [...this.#agents] })
    if (links === 0) this.#handle({ type: 'peerLinked', peer })
  }

  unlinked (peer: string): void {
    const links = this.#linkCounts.get(peer) ?? 0
    if (links > 1) {
      this.#linkCounts.set(peer, links - 1)
      return
    }
    this.#linkCounts.delete(peer)
    this.#handle({ type: 'peerUnlinked', peer })
  }

  agentLinked (address: string): void {
    if (this.#agents.has(address)) return
    this.#agents.add(address)
    for (const peer of this.#linkCounts.keys()) this.#options.send(peer, { type: 'agents', addresses: [address] })
  }

  received (peer: string, message: GossipMessage): void {
    if (message.type !== 'agents') return this.#handle({ type: 'received', peer, message })
    for (const address of message.addresses) this.#options.agentFound(address)
  }

  #handle (event: ExchangeEvent<DispatchConfiguration>): void {
    const table = this.#handlers as unknown as Record<string, (effect: ExchangeEffect<DispatchConfiguration>) => void>
    for (const effect of this.#exchange.handle(event, this.#options.now())) table[effect.type]?.(effect)
  }
}

/** Returns the addresses of the records of one role. */
export function addressesOf (records: readonly InstanceRecord[], role: PeerRole): string[] {
  return records.filter(record => record.role === role).map(({ address }) => address)
}
