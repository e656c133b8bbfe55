/**
 * Exchanges configurations between entries, so that an entry gets updates even if the store rejects its reads or is slow.
 *
 * Each entry normally reads the store itself. An entry that lacks the newest configuration requests it from one peer at a
 * time and part by part, so that transfers never exceed the capacity of a slow link.
 */
import type { ConfigurationMessage, VersionMessage } from './messages.ts'
import { FETCH_DELAY_MILLISECONDS, PART_CHARACTERS, ANNOUNCE_INTERVAL_MILLISECONDS, PEERS_PER_ANNOUNCEMENT, MAX_CONFIRMATION_AGE_MILLISECONDS } from './defaults.ts'
import { DocumentFetch } from './fetch.ts'
import { pack, unpack } from './packing.ts'

/** Source of an adopted configuration. */
export enum ConfigurationSource {
  Store = 'store',
  Entry = 'entry'
}

/** Input of the exchange. */
export type ExchangeEvent<Configuration> =
  /** A configuration was read from the store. */
  | { type: 'stored', configuration: Configuration, document: string }
  /** The store confirmed that it had no newer configuration at time `at`. */
  | { type: 'confirmed', at: number }
  /** Changes in the store may have been missed. Earlier confirmations are invalid. */
  | { type: 'doubted' }
  | { type: 'peerLinked', peer: string }
  | { type: 'peerUnlinked', peer: string }
  | { type: 'received', peer: string, message: ConfigurationMessage }
  | { type: 'tick' }

/** Output of the exchange, to be carried out by the caller. */
export type ExchangeEffect<Configuration> =
  /** Sends a message to a peer. */
  | { type: 'tell', peer: string, message: ConfigurationMessage }
  /** Puts the configuration into effect. */
  | { type: 'adopt', configuration: Configuration }
  /** Writes a log line. */
  | { type: 'note', what: string, fields: Record<string, unknown> }

/** Options of `ConfigurationExchange`. */
export interface ExchangeOptions<Configuration> {
  /** Parses a document received from a peer; returns undefined if it is invalid. */
  read: (document: string) => Configuration | undefined
}

/** Current version and transfer counters, for metrics. */
export interface ExchangeStatus {
  /** Version in effect. */
  version: number
  /** Newest version that a peer has reported. */
  newest: number
  documentsSent: number
  documentsReceived: number
  /** Received documents that were not newer than the own version, or invalid. */
  documentsUseless: number
  charactersSent: number
  charactersReceived: number
}

interface Peer {
  /** Version that it last reported. */
  version: number
  /** Whether it can fetch documents. Entries of earlier builds cannot and are sent whole documents. */
  supportsFetch: boolean
  /** Version of the last whole document sent to it on this link. */
  sentVersion: number
  /** When a document was last requested from it. */
  lastRequestedAt: number
  /** Version for which it sent an unusable document. That version is not requested from it again. */
  unusableVersion: number
}

type Handlers<Configuration> = {
  [Type in ExchangeEvent<Configuration>['type']]: (event: Extract<ExchangeEvent<Configuration>, { type: Type }>, now: number) => void
}

type MessageHandlers = {
  [Type in ConfigurationMessage['type']]: (name: string, peer: Peer, message: Extract<ConfigurationMessage, { type: Type }>, now: number) => void
}

/**
 * State machine of one entry's configuration exchange. It has no I/O: `handle` takes an event and returns the effects to
 * carry out. All times are in milliseconds of the caller's clock.
 */
export class ConfigurationExchange<Configuration extends { version: number }> {
  readonly #options: ExchangeOptions<Configuration>
  readonly #peers = new Map<string, Peer>()
  readonly #status: ExchangeStatus = { version: 0, newest: 0, documentsSent: 0, documentsReceived: 0, documentsUseless: 0, charactersSent: 0, charactersReceived: 0 }
  #document = ''
  /** Packed form of `#document`; created on the first request. */
  #packed: string | undefined
  #confirmedAt = Number.NEGATIVE_INFINITY
  /** When a peer first reported the newest version. */
  #newestReceivedAt = 0
  #fetch: DocumentFetch | undefined
  #announcedAt = Number.NEGATIVE_INFINITY
  #lastPeerIndex = 0
  #effects: Array<ExchangeEffect<Configuration>> = []

  readonly #handlers: Handlers<Configuration> = {
    stored: ({ configuration, document }) => this.#adopt(configuration, document, ConfigurationSource.Store),
    confirmed: ({ at }) => this.#confirmed(at),
    doubted: () => { this.#confirmedAt = Number.NEGATIVE_INFINITY },
    peerLinked: ({ peer }, now) => this.#linked(peer, now),
    peerUnlinked: ({ peer }) => this.#unlinked(peer),
    received: ({ peer, message }, now) => this.#received(peer, message, now),
    tick: (_event, now) => this.#announceVersion(now)
  }

  readonly #messageHandlers: MessageHandlers = {
    version: (name, peer, message, now) => this.#handleVersion(name, peer, message, now),
    fetch: (name, _peer, { version, offset }, now) => this.#handleFetchRequest(name, version, offset, now),
    part: (name, _peer, message, now) => this.#handlePart(name, message, now),
    configuration: (name, _peer, { document }) => {
      this.#status.charactersReceived += document.length
      this.#handleDocument(name, document)
    }
  }

  constructor (options: ExchangeOptions<Configuration>) {
    this.#options = options
  }

  get status (): Readonly<ExchangeStatus> {
    return this.#status
  }

  /** Time of the last confirmation that no newer configuration existed; undefined before the first. */
  get confirmedAt (): number | undefined {
    return this.#confirmedAt === Number.NEGATIVE_INFINITY ? undefined : this.#confirmedAt
  }

  /**
   * Whether the configuration is recent enough to report that something it lacks does not exist.
   *
   * @param bound maximum age of the last confirmation, in milliseconds
   */
  isCurrent (bound: number, now: number): boolean {
    return this.#status.newest <= this.#status.version && now - this.#confirmedAt <= bound
  }

  /** Handles an event and returns the effects, in order. */
  handle (event: ExchangeEvent<Configuration>, now: number): Array<ExchangeEffect<Configuration>> {
    this.#effects = []
    const handler = this.#handlers[event.type] as (event: ExchangeEvent<Configuration>, now: number) => void
    handler(event, now)
    this.#updateFetch(now)
    return this.#effects
  }

  #adopt (configuration: Configuration, document: string, source: ConfigurationSource, from?: string): void {
    if (configuration.version <= this.#status.version) return
    this.#status.version = configuration.version
    this.#document = document
    this.#packed = undefined
    if (this.#fetch !== undefined && this.#fetch.version <= configuration.version) this.#fetch = undefined
    this.#effects.push({ type: 'adopt', configuration })
    this.#note('configuration adopted', { version: configuration.version, source, ...(from === undefined ? {} : { from }), size: document.length })
    for (const name of this.#peers.keys()) this.#send(name, this.#versionMessage())
  }

  #confirmed (at: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, at)
  }

  #linked (name: string, now: number): void {
    this.#peers.set(name, { version: 0, supportsFetch: false, sentVersion: 0, lastRequestedAt: Number.NEGATIVE_INFINITY, unusableVersion: 0 })
    this.#send(name, this.#versionMessage(now, true))
  }

  #unlinked (name: string): void {
    this.#peers.delete(name)
    if (this.#fetch?.peer === name) this.#fetch = undefined
  }

  #received (name: string, message: ConfigurationMessage, now: number): void {
    const peer = this.#peers.get(name)
    if (peer === undefined) return
    const handler = this.#messageHandlers[message.type] as (name: string, peer: Peer, message: ConfigurationMessage, now: number) => void
    handler(name, peer, message, now)
  }

  // Versions

  /** Message with the own version. It includes the age of the last confirmation if `now` is given. */
  #versionMessage (now?: number, requestsEcho = false): VersionMessage {
    const age = now === undefined || this.confirmedAt === undefined ? null : Math.max(0, now - this.#confirmedAt)
    return { type: 'version', version: this.#status.version, age, ...(requestsEcho && now !== undefined ? { sent: now } : {}) }
  }

  /** Sends the own version to some peers, round-robin. Requests an echo if the store has not confirmed the version recently. */
  #announceVersion (now: number): void {
    if (now - this.#announcedAt < ANNOUNCE_INTERVAL_MILLISECONDS) return
    this.#announcedAt = now
    const names = [...this.#peers.keys()]
    const count = Math.min(PEERS_PER_ANNOUNCEMENT, names.length)
    for (let sent = 0; sent < count; sent += 1) {
      this.#lastPeerIndex = (this.#lastPeerIndex + 1) % names.length
      this.#send(names[this.#lastPeerIndex] as string, this.#versionMessage(now, this.#isConfirmationStale(now)))
    }
  }

  #isConfirmationStale (now: number): boolean {
    return now - this.#confirmedAt > MAX_CONFIRMATION_AGE_MILLISECONDS
  }

  #handleVersion (name: string, peer: Peer, { version, age, sent, echo }: VersionMessage, now: number): void {
    peer.version = version
    peer.supportsFetch = age !== undefined
    if (version > Math.max(this.#status.version, this.#status.newest)) {
      this.#status.newest = version
      this.#newestReceivedAt = now
      this.#note('newer configuration heard of', { version, own: this.#status.version, peer: name })
    }
    // The age counts from when the request was sent, because the response may have been delayed on its way.
    if (echo !== undefined && typeof age === 'number' && version === this.#status.version) this.#confirmed(echo - age)
    if (sent !== undefined) this.#send(name, { ...this.#versionMessage(now), echo: sent })
    else if (version < this.#status.version && echo === undefined) this.#send(name, this.#versionMessage(now))
    if (!peer.supportsFetch && version < this.#status.version) this.#sendWholeDocument(name, peer)
  }

  /** Sends the whole document to an entry of an earlier build, which cannot fetch. Sent at most once per version and link. */
  #sendWholeDocument (name: string, peer: Peer): void {
    if (peer.sentVersion >= this.#status.version) return
    peer.sentVersion = this.#status.version
    this.#countSentDocument(this.#document.length)
    this.#send(name, { type: 'configuration', document: this.#document })
  }

  // Documents

  #handleFetchRequest (name: string, version: number, offset: number, now: number): void {
    if (version !== this.#status.version) return this.#send(name, this.#versionMessage(now))
    this.#packed ??= pack(this.#document)
    const text = this.#packed.slice(offset, offset + PART_CHARACTERS)
    if (offset === 0) this.#status.documentsSent += 1
    this.#status.charactersSent += text.length
    this.#send(name, { type: 'part', version, offset, total: this.#packed.length, text })
  }

  #handlePart (name: string, part: Extract<ConfigurationMessage, { type: 'part' }>, now: number): void {
    this.#status.charactersReceived += part.text.length
    const fetch = this.#fetch
    if (fetch?.expects(name, part) !== true) return
    const packed = fetch.addPart(part, now)
    if (fetch.isTooLarge) return this.#markUnusable(name, fetch)
    if (packed === undefined) return this.#send(name, fetch.request)
    this.#fetch = undefined
    const document = unpack(packed)
    if (document === undefined || !this.#handleDocument(name, document)) this.#markUnusable(name, fetch)
  }

  /** Records that the peer's document of this version is unusable, and ends the fetch. */
  #markUnusable (name: string, { version }: DocumentFetch): void {
    this.#fetch = undefined
    const peer = this.#peers.get(name)
    if (peer !== undefined) peer.unusableVersion = version
    this.#note('document of another entry is of no use', { peer: name, version })
  }

  /** Adopts a received document. Returns whether it was valid and newer than the version in effect. */
  #handleDocument (name: string, document: string): boolean {
    this.#status.documentsReceived += 1
    const configuration = this.#options.read(document)
    if (configuration === undefined) this.#note('configuration of another entry is invalid', { peer: name, size: document.length })
    if (configuration === undefined || configuration.version <= this.#status.version) {
      this.#status.documentsUseless += 1
      return false
    }
    this.#adopt(configuration, document, ConfigurationSource.Entry, name)
    return true
  }

  /**
   * Starts a fetch if a newer version exists. Abandons the current fetch, and starts another one, if its part is overdue or
   * the peer is gone or has another version.
   */
  #updateFetch (now: number): void {
    const fetch = this.#fetch
    if (fetch !== undefined && !fetch.isOverdue(now) && this.#peers.get(fetch.peer)?.version === fetch.version) return
    if (fetch !== undefined) this.#note('transfer of a configuration given up', { version: fetch.version, peer: fetch.peer, overdue: fetch.isOverdue(now) })
    this.#fetch = undefined
    const { version, newest } = this.#status
    if (newest <= version) return
    if (now - this.#newestReceivedAt < FETCH_DELAY_MILLISECONDS && !this.#isConfirmationStale(now)) return
    this.#startFetch(now)
  }

  /** Fetches from the peer with the newest version; among equals, from the one least recently asked. */
  #startFetch (now: number): void {
    let chosen: [name: string, peer: Peer] | undefined
    for (const [name, peer] of this.#peers) {
      if (!peer.supportsFetch || peer.version <= Math.max(this.#status.version, peer.unusableVersion)) continue
      if (chosen === undefined || peer.version > chosen[1].version || (peer.version === chosen[1].version && peer.lastRequestedAt < chosen[1].lastRequestedAt)) chosen = [name, peer]
    }
    if (chosen === undefined) return
    const [name, peer] = chosen
    peer.lastRequestedAt = now
    this.#fetch = new DocumentFetch(name, peer.version, now)
    this.#send(name, this.#fetch.request)
  }

  #countSentDocument (characters: number): void {
    this.#status.documentsSent += 1
    this.#status.charactersSent += characters
  }

  #send (peer: string, message: ConfigurationMessage): void {
    this.#effects.push({ type: 'tell', peer, message })
  }

  #note (what: string, fields: Record<string, unknown>): void {
    this.#effects.push({ type: 'note', what, fields })
  }
}
