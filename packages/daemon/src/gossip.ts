/**
 * What entries tell each other beside their jobs: where agents are found, and the configuration. It carries the fleet while the
 * store turns some machines away.
 */
import type { ExchangeEffect, ExchangeEvent, ExchangeStatus } from '@amaranthmast/configuration/exchange'
import type { ConfigurationMessage } from '@amaranthmast/configuration/messages'
import type { DispatchConfiguration } from '@amaranthmast/dispatch/queues'
import type { PeerRole } from '@amaranthmast/links/greeting'
import type { EffectHandlers } from './loop.ts'
import type { InstanceRecord, StorePort } from './ports.ts'
import { ConfigurationExchange } from '@amaranthmast/configuration/exchange'
import { isConfigurationMessage } from '@amaranthmast/configuration/messages'

/** Addresses of agents that the sender has links to. */
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
  /** A configuration is in force within this time after it was accepted, in milliseconds. */
  bound: number
  configured: (configuration: DispatchConfiguration) => void
  agentFound: (address: string) => void
  note: (what: string, fields: Record<string, unknown>) => void
  send: (peer: string, message: GossipMessage) => void
  now: () => number
}

export class Gossip {
  readonly #options: GossipOptions
  readonly #agents = new Set<string>()
  /** Links to each of the other entries, in either direction. */
  readonly #links = new Map<string, number>()
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

  /** Milliseconds since the last confirmation that the configuration in force is the newest began; undefined before the first. */
  get age (): number | undefined {
    const { confirmedAt } = this.#exchange
    return confirmedAt === undefined ? undefined : this.#options.now() - confirmedAt
  }

  /** Whether a queue that the configuration lacks can be said not to exist. */
  get isCurrent (): boolean {
    return this.#exchange.isCurrent(this.#options.bound, this.#options.now())
  }

  /** Takes in a configuration that the store has. */
  offer (configuration: DispatchConfiguration, document: string): void {
    this.#handle({ type: 'stored', configuration, document })
  }

  /** The store has confirmed that nothing newer was there at a time of this process's clock. */
  confirmed (at: number): void {
    this.#handle({ type: 'confirmed', at })
  }

  /** The store may have changed unheard. */
  doubted (): void {
    this.#handle({ type: 'doubted' })
  }

  tick (): void {
    this.#handle({ type: 'tick' })
  }

  /** A link to another entry is open, dialled here or there. */
  linked (peer: string): void {
    const links = this.#links.get(peer) ?? 0
    this.#links.set(peer, links + 1)
    if (this.#agents.size > 0) this.#options.send(peer, { type: 'agents', addresses: [...this.#agents] })
    if (links === 0) this.#handle({ type: 'peerLinked', peer })
  }

  unlinked (peer: string): void {
    const links = this.#links.get(peer) ?? 0
    if (links > 1) {
      this.#links.set(peer, links - 1)
      return
    }
    this.#links.delete(peer)
    this.#handle({ type: 'peerUnlinked', peer })
  }

  agentLinked (address: string): void {
    if (this.#agents.has(address)) return
    this.#agents.add(address)
    for (const peer of this.#links.keys()) this.#options.send(peer, { type: 'agents', addresses: [address] })
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

/** Addresses of one role among records. */
export function addressesOf (records: readonly InstanceRecord[], role: PeerRole): string[] {
  return records.filter(record => record.role === role).map(({ address }) => address)
}
