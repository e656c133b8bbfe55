/** Receives configurations from the store and from peers, and sends them on to peers that are behind. */
import type { ConfigurationAdoption } from './adoption.ts'
import type { Configuration } from './configuration.ts'
import type { EntryContext } from './entrycontext.ts'
import type { Scheduler } from './scheduling.ts'

/** Sent instead of the document when the receiver needs only the version. */
const EMPTY_DOCUMENT = new Uint8Array()

/** Parses the configuration document of a peer; returns undefined when it is invalid. */
export type ParseConfiguration = (document: Uint8Array, version: number) => Configuration | undefined

export interface ConfigurationExchangeDependencies {
  context: EntryContext
  adoption: ConfigurationAdoption
  scheduler: Scheduler
  parse: ParseConfiguration
  /** Reports the version in force to the other entries, so that they need not send it to this one. */
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

  /** Puts a configuration in force if it is newer than the current one. */
  offer (configuration: Configuration, document: Uint8Array, now: number): void {
    if (!this.#adoption.offer({ version: configuration.version, document }, now)) return
    this.#announce(now)
    this.#scheduler.configure(configuration, now)
    this.#context.emit({ type: 'configurationAdopted', configuration })
  }

  /** Handles a configuration sent by a peer. */
  received (version: number, document: Uint8Array, now: number): void {
    const configuration = this.#parse(document, version)
    if (configuration !== undefined) this.offer(configuration, document, now)
  }

  /**
   * Sends the configuration to peers that are behind. Agents receive the version only: its content is applied by
   * entries.
   */
  send (now: number): void {
    const { version, document } = this.#adoption.inForce
    for (const to of this.#adoption.due(now)) {
      if (this.#context.peerConnected(to)) this.#context.sendPeer(to, { case: 'configuration', value: { version, document } })
      else this.#context.sendAgent(to, { case: 'configuration', value: { version, document: EMPTY_DOCUMENT } })
    }
  }
}
