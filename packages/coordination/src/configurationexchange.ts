/** Configurations that come from the store and from peers, and that go on to whoever is behind. */
import type { ConfigurationAdoption } from './adoption.ts'
import type { Configuration } from './configuration.ts'
import type { EntryContext } from './entrycontext.ts'
import type { Scheduler } from './scheduling.ts'

/** Stands for a configuration's document where the version is all that is used. */
const EMPTY_DOCUMENT = new Uint8Array()

/** Reads a configuration document of a peer; undefined when it cannot be read. */
export type ParseConfiguration = (document: Uint8Array, version: number) => Configuration | undefined

export interface ConfigurationExchangeDependencies {
  context: EntryContext
  adoption: ConfigurationAdoption
  scheduler: Scheduler
  parse: ParseConfiguration
  /** Tells the other entries the version in force, so that they need not send it here. */
  announce: (now: number) => void
}

export class ConfigurationExchange {
  readonly #context: EntryContext
  readonly #adoption: ConfigurationAdoption
  readonly #scheduler: Scheduler
  readonly #parse: ParseConfiguration
  readonly #announce: (now: number) => void

  constructor (dependencies: ConfigurationExchangeDependencies) {
    this.#context = dependencies.context
    this.#adoption = dependencies.adoption
    this.#scheduler = dependencies.scheduler
    this.#parse = dependencies.parse
    this.#announce = dependencies.announce
  }

  /** Puts a configuration in force, if it is newer than the one that is. */
  offer (configuration: Configuration, document: Uint8Array, now: number): void {
    if (!this.#adoption.offer({ version: configuration.version, document }, now)) return
    this.#announce(now)
    this.#scheduler.configure(configuration, now)
    this.#context.emit({ type: 'configurationAdopted', configuration })
  }

  /** A peer sent its configuration. */
  received (version: number, document: Uint8Array, now: number): void {
    const configuration = this.#parse(document, version)
    if (configuration !== undefined) this.offer(configuration, document, now)
  }

  /** Agents are told the version alone: what it changes is decided by the entries. */
  send (now: number): void {
    const { version, document } = this.#adoption.inForce
    for (const to of this.#adoption.due(now)) {
      if (this.#context.peerConnected(to)) this.#context.sendPeer(to, { case: 'configuration', value: { version, document } })
      else this.#context.sendAgent(to, { case: 'configuration', value: { version, document: EMPTY_DOCUMENT } })
    }
  }
}
