/**
 * How entries keep each other's configuration current.
 *
 * Each entry reads the store itself; the others are there for one that the store turns away, or that is served late. Every
 * transfer is asked for by the entry that lacks it, from one other entry at a time and part by part, so that what is sent to
 * a small link never exceeds what it carries.
 */
import type { ConfigurationMessage, VersionMessage } from './messages.ts'
import { FETCH_AFTER_MILLISECONDS, PART_CHARACTERS, TELL_MILLISECONDS, TOLD_AT_ONCE, UNCONFIRMED_MILLISECONDS } from './defaults.ts'
import { Fetch } from './fetch.ts'
import { pack, unpack } from './packing.ts'

/** Where a configuration came from. */
export enum ConfigurationSource {
  Store = 'store',
  Entry = 'entry'
}

export type ExchangeEvent<Configuration> =
  /** The store has a configuration, read now. */
  | { type: 'stored', configuration: Configuration, document: string }
  /** The store has confirmed that nothing newer was there at a time. */
  | { type: 'confirmed', at: number }
  /** The store may have changed unheard: earlier confirmations are void. */
  | { type: 'doubted' }
  | { type: 'peerLinked', peer: string }
  | { type: 'peerUnlinked', peer: string }
  | { type: 'received', peer: string, message: ConfigurationMessage }
  | { type: 'tick' }

export type ExchangeEffect<Configuration> =
  | { type: 'tell', peer: string, message: ConfigurationMessage }
  /** The configuration is in force from now on. */
  | { type: 'adopt', configuration: Configuration }
  | { type: 'note', what: string, fields: Record<string, unknown> }

export interface ExchangeOptions<Configuration> {
  /** Reads a document of another entry; undefined when it is not understood. */
  read: (document: string) => Configuration | undefined
}

/** What an entry knows of the configuration, and what it has exchanged with others. */
export interface ExchangeStatus {
  version: number
  /** Newest version that another entry has told of. */
  newest: number
  documentsSent: number
  documentsReceived: number
  /** Received ones that were not newer than the own, or not understood. */
  documentsUseless: number
  charactersSent: number
  charactersReceived: number
}

interface Peer {
  version: number
  /** It asks for documents; entries of earlier builds are sent them. */
  fetches: boolean
  /** Version of the whole document that it was sent on this link. */
  handed: number
  /** When it was last asked for a document. */
  askedAt: number
  /** Version of which it sent a document that was of no use: it is not asked for that again. */
  useless: number
}

type Handlers<Configuration> = {
  [Type in ExchangeEvent<Configuration>['type']]: (event: Extract<ExchangeEvent<Configuration>, { type: Type }>, now: number) => void
}

type MessageHandlers = {
  [Type in ConfigurationMessage['type']]: (name: string, peer: Peer, message: Extract<ConfigurationMessage, { type: Type }>, now: number) => void
}

export class ConfigurationExchange<Configuration extends { version: number }> {
  readonly #options: ExchangeOptions<Configuration>
  readonly #peers = new Map<string, Peer>()
  readonly #status: ExchangeStatus = { version: 0, newest: 0, documentsSent: 0, documentsReceived: 0, documentsUseless: 0, charactersSent: 0, charactersReceived: 0 }
  #document = ''
  /** The document as it is sent; made when it is first asked for. */
  #packed: string | undefined
  #confirmedAt = Number.NEGATIVE_INFINITY
  /** When the newest version was first heard of. */
  #heardAt = 0
  #fetch: Fetch | undefined
  #toldAt = Number.NEGATIVE_INFINITY
  #turn = 0
  #effects: Array<ExchangeEffect<Configuration>> = []

  readonly #handlers: Handlers<Configuration> = {
    stored: ({ configuration, document }) => this.#adopt(configuration, document, ConfigurationSource.Store),
    confirmed: ({ at }) => this.#confirmed(at),
    doubted: () => { this.#confirmedAt = Number.NEGATIVE_INFINITY },
    peerLinked: ({ peer }, now) => this.#linked(peer, now),
    peerUnlinked: ({ peer }) => this.#unlinked(peer),
    received: ({ peer, message }, now) => this.#received(peer, message, now),
    tick: (_event, now) => this.#tellSome(now)
  }

  readonly #messageHandlers: MessageHandlers = {
    version: (name, peer, message, now) => this.#heard(name, peer, message, now),
    fetch: (name, _peer, { version, offset }, now) => this.#asked(name, version, offset, now),
    part: (name, _peer, message, now) => this.#receivedPart(name, message, now),
    configuration: (name, _peer, { document }) => {
      this.#status.charactersReceived += document.length
      this.#receivedDocument(name, document)
    }
  }

  constructor (options: ExchangeOptions<Configuration>) {
    this.#options = options
  }

  get status (): Readonly<ExchangeStatus> {
    return this.#status
  }

  /** When the last confirmation began that there was no newer configuration; undefined before the first. */
  get confirmedAt (): number | undefined {
    return this.#confirmedAt === Number.NEGATIVE_INFINITY ? undefined : this.#confirmedAt
  }

  /**
   * Whether what the configuration in force lacks can be said not to exist.
   *
   * @param bound within which a configuration has to be in force, in milliseconds
   */
  isCurrent (bound: number, now: number): boolean {
    return this.#status.newest <= this.#status.version && now - this.#confirmedAt <= bound
  }

  handle (event: ExchangeEvent<Configuration>, now: number): Array<ExchangeEffect<Configuration>> {
    this.#effects = []
    const handler = this.#handlers[event.type] as (event: ExchangeEvent<Configuration>, now: number) => void
    handler(event, now)
    this.#pursue(now)
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
    for (const name of this.#peers.keys()) this.#tell(name, this.#statement())
  }

  #confirmed (at: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, at)
  }

  #linked (name: string, now: number): void {
    this.#peers.set(name, { version: 0, fetches: false, handed: 0, askedAt: Number.NEGATIVE_INFINITY, useless: 0 })
    this.#tell(name, this.#statement(now, true))
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

  // News

  /** The own version; with the age of its confirmation when the time is known. */
  #statement (now?: number, wantsAnswer = false): VersionMessage {
    const age = now === undefined || this.confirmedAt === undefined ? null : Math.max(0, now - this.#confirmedAt)
    return { type: 'version', version: this.#status.version, age, ...(wantsAnswer && now !== undefined ? { sent: now } : {}) }
  }

  /** Each of the others has its turn. One that the store does not confirm asks them to answer. */
  #tellSome (now: number): void {
    if (now - this.#toldAt < TELL_MILLISECONDS) return
    this.#toldAt = now
    const names = [...this.#peers.keys()]
    const count = Math.min(TOLD_AT_ONCE, names.length)
    for (let told = 0; told < count; told += 1) {
      this.#turn = (this.#turn + 1) % names.length
      this.#tell(names[this.#turn] as string, this.#statement(now, this.#isUnconfirmed(now)))
    }
  }

  #isUnconfirmed (now: number): boolean {
    return now - this.#confirmedAt > UNCONFIRMED_MILLISECONDS
  }

  #heard (name: string, peer: Peer, { version, age, sent, echo }: VersionMessage, now: number): void {
    peer.version = version
    peer.fetches = age !== undefined
    if (version > Math.max(this.#status.version, this.#status.newest)) {
      this.#status.newest = version
      this.#heardAt = now
      this.#note('newer configuration heard of', { version, own: this.#status.version, peer: name })
    }
    // Counted from when the question left: an answer may have been held up on its way.
    if (echo !== undefined && typeof age === 'number' && version === this.#status.version) this.#confirmed(echo - age)
    if (sent !== undefined) this.#tell(name, { ...this.#statement(now), echo: sent })
    else if (version < this.#status.version && echo === undefined) this.#tell(name, this.#statement(now))
    if (!peer.fetches && version < this.#status.version) this.#hand(name, peer)
  }

  /** Entries of earlier builds don't ask: they are sent the whole document, once on each link. */
  #hand (name: string, peer: Peer): void {
    if (peer.handed >= this.#status.version) return
    peer.handed = this.#status.version
    this.#noteSent(this.#document.length)
    this.#tell(name, { type: 'configuration', document: this.#document })
  }

  // Documents

  #asked (name: string, version: number, offset: number, now: number): void {
    if (version !== this.#status.version) return this.#tell(name, this.#statement(now))
    this.#packed ??= pack(this.#document)
    const text = this.#packed.slice(offset, offset + PART_CHARACTERS)
    if (offset === 0) this.#status.documentsSent += 1
    this.#status.charactersSent += text.length
    this.#tell(name, { type: 'part', version, offset, total: this.#packed.length, text })
  }

  #receivedPart (name: string, part: Extract<ConfigurationMessage, { type: 'part' }>, now: number): void {
    this.#status.charactersReceived += part.text.length
    const fetch = this.#fetch
    if (fetch?.expects(name, part) !== true) return
    const packed = fetch.take(part, now)
    if (fetch.isTooLarge) return this.#setAside(name, fetch)
    if (packed === undefined) return this.#tell(name, fetch.request)
    this.#fetch = undefined
    const document = unpack(packed)
    if (document === undefined || !this.#receivedDocument(name, document)) this.#setAside(name, fetch)
  }

  /** What this entry sends of the version is of no use. */
  #setAside (name: string, { version }: Fetch): void {
    this.#fetch = undefined
    const peer = this.#peers.get(name)
    if (peer !== undefined) peer.useless = version
    this.#note('document of another entry is of no use', { peer: name, version })
  }

  /** Tells whether it was newer than what is in force. */
  #receivedDocument (name: string, document: string): boolean {
    this.#status.documentsReceived += 1
    const configuration = this.#options.read(document)
    if (configuration === undefined) this.#note('configuration of another entry is not understood', { peer: name, size: document.length })
    if (configuration === undefined || configuration.version <= this.#status.version) {
      this.#status.documentsUseless += 1
      return false
    }
    this.#adopt(configuration, document, ConfigurationSource.Entry, name)
    return true
  }

  /** Begins, goes on with or moves the transfer of what is missing. */
  #pursue (now: number): void {
    const fetch = this.#fetch
    if (fetch !== undefined && !fetch.isOverdue(now) && this.#peers.get(fetch.peer)?.version === fetch.version) return
    if (fetch !== undefined) this.#note('transfer of a configuration given up', { version: fetch.version, peer: fetch.peer, overdue: fetch.isOverdue(now) })
    this.#fetch = undefined
    const { version, newest } = this.#status
    if (newest <= version) return
    if (now - this.#heardAt < FETCH_AFTER_MILLISECONDS && !this.#isUnconfirmed(now)) return
    this.#begin(now)
  }

  /** Asks the entry with the newest version that was not asked for the longest time. */
  #begin (now: number): void {
    let chosen: [name: string, peer: Peer] | undefined
    for (const [name, peer] of this.#peers) {
      if (!peer.fetches || peer.version <= Math.max(this.#status.version, peer.useless)) continue
      if (chosen === undefined || peer.version > chosen[1].version || (peer.version === chosen[1].version && peer.askedAt < chosen[1].askedAt)) chosen = [name, peer]
    }
    if (chosen === undefined) return
    const [name, peer] = chosen
    peer.askedAt = now
    this.#fetch = new Fetch(name, peer.version, now)
    this.#tell(name, this.#fetch.request)
  }

  #noteSent (characters: number): void {
    this.#status.documentsSent += 1
    this.#status.charactersSent += characters
  }

  #tell (peer: string, message: ConfigurationMessage): void {
    this.#effects.push({ type: 'tell', peer, message })
  }

  #note (what: string, fields: Record<string, unknown>): void {
    this.#effects.push({ type: 'note', what, fields })
  }
}
