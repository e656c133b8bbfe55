/**
 * Which version of the configuration is in force on one instance, and which peers are sent it.
 *
 * Versions only rise. Peers state the version they have in force in messages that are sent anyway,
 * so the document goes only to a peer that is known to be behind, once per version and link.
 */
import type { Instance } from './messages.ts'

/** How the peers that are sent the document are chosen. */
export enum PeerChoice {
  /** Only peers that are known to be behind, each once. */
  KnownBehind = 'knownBehind',
  /** Any peers, drawn at random in rounds while some peer is behind: the baseline to measure against. */
  Random = 'random'
}

/**
 * Time until a peer for which another instance is responsible is sent the document, in milliseconds.
 * It counts from the adoption, or from the link's beginning when that is later.
 */
export const PATIENCE_MILLISECONDS = 500

/**
 * Time until a peer that watches the store itself is sent the document, in milliseconds, counted as
 * the patience is. Watches differ by a few milliseconds, and whoever adopts states it at once, so
 * that only a peer whose watch failed is still behind then.
 */
export const GRACE_MILLISECONDS = 50

/** Time between two rounds of random choice, in milliseconds. */
export const ROUND_MILLISECONDS = 100

/** Peers drawn in one round of random choice. */
export const ROUND_PEERS = 1

/** Options of `ConfigurationAdoption`. */
export interface AdoptionOptions {
  /** @default PeerChoice.KnownBehind */
  choice?: PeerChoice
  /** Random numbers of at least 0 and below 1; used by `PeerChoice.Random` alone. */
  random: () => number
  /** @default PATIENCE_MILLISECONDS */
  patienceMilliseconds?: number
  /** @default GRACE_MILLISECONDS */
  graceMilliseconds?: number
  /** @default ROUND_MILLISECONDS */
  roundMilliseconds?: number
  /** @default ROUND_PEERS */
  roundPeers?: number
}

/** A version of the configuration with its document. */
export interface VersionedDocument {
  version: number
  document: Uint8Array
}

/** Whether this instance or another one sends a peer new documents. */
export enum Responsibility {
  /** This instance sends at once. */
  Own = 'own',
  /** The peer watches the store: this instance sends when it is still behind after the grace. */
  Watcher = 'watcher',
  /** Another instance does: this one sends only to a peer that is still behind after the patience. */
  Other = 'other'
}

interface Link {
  responsibility: Responsibility
  /** When the link began. */
  since: number
  /** Highest version that the peer has stated; undefined until it has stated any. */
  version: number | undefined
  /** Highest version sent over this link. */
  sent: number
}

/** The version in force on one instance, and what it knows of its peers'. */
export class ConfigurationAdoption {
  readonly #choice: PeerChoice
  readonly #random: () => number
  /** Time until a peer is sent the document, by who is responsible for it. */
  readonly #waits: Readonly<Record<Responsibility, number>>
  readonly #roundMilliseconds: number
  readonly #roundPeers: number
  readonly #links = new Map<Instance, Link>()
  /** Peers that may have to be sent the document in force. Empty once all peers have it. */
  readonly #candidates = new Set<Instance>()
  #inForce: VersionedDocument = { version: 0, document: new Uint8Array() }
  #adoptedAt = 0
  #nextRound = 0

  constructor (options: AdoptionOptions) {
    this.#choice = options.choice ?? PeerChoice.KnownBehind
    this.#random = options.random
    this.#waits = {
      [Responsibility.Own]: 0,
      [Responsibility.Watcher]: options.graceMilliseconds ?? GRACE_MILLISECONDS,
      [Responsibility.Other]: options.patienceMilliseconds ?? PATIENCE_MILLISECONDS
    }
    this.#roundMilliseconds = options.roundMilliseconds ?? ROUND_MILLISECONDS
    this.#roundPeers = options.roundPeers ?? ROUND_PEERS
  }

  /** What is in force; version 0 with an empty document before the first. */
  get inForce (): VersionedDocument {
    return this.#inForce
  }

  /**
   * A document came from the store or from a peer. Returns whether it is now in force.
   *
   * The store may answer a read with an older value, and a peer may be behind: shares and drains
   * would jump back for as long as that answer stands. Only a higher version is taken, so the order
   * in which answers arrive does not matter.
   */
  offer (offered: VersionedDocument, now: number): boolean {
    if (offered.version <= this.#inForce.version) return false
    this.#inForce = offered
    this.#adoptedAt = now
    this.#nextRound = now
    for (const peer of this.#links.keys()) this.#consider(peer)
    return true
  }

  /**
   * A new link to a peer is up. An entry states its version a moment after the link: until then it
   * is sent nothing, or each link between entries would begin with a document that both ends have.
   *
   * @param version what the peer has stated with the link; undefined when it is still to state it
   */
  connected (peer: Instance, version: number | undefined, responsibility: Responsibility, now: number): void {
    this.#links.set(peer, { responsibility, since: now, version, sent: 0 })
    this.#consider(peer)
  }

  /** The link is gone. What was sent over it may be lost, so a new link begins afresh. */
  disconnected (peer: Instance): void {
    this.#links.delete(peer)
    this.#candidates.delete(peer)
  }

  /** The responsibility for a peer has changed with the membership. */
  reassigned (peer: Instance, responsibility: Responsibility): void {
    const link = this.#links.get(peer)
    if (link === undefined) return
    link.responsibility = responsibility
  }

  /** A message of a peer stated the version that the peer has in force. Unknown peers are ignored. */
  stated (peer: Instance, version: number): void {
    const link = this.#links.get(peer)
    if (link === undefined) return
    link.version = Math.max(link.version ?? 0, version)
    this.#consider(peer)
  }

  /** Linked peers that have stated an older version than the one in force, and no other since. */
  behind (): Instance[] {
    return [...this.#candidates]
  }

  /** Peers that are to be sent the document in force now. Each counts as sent from then on. */
  due (now: number): Instance[] {
    if (this.#candidates.size === 0) return []
    const peers = this.#choice === PeerChoice.Random ? this.#drawRound(now) : this.#knownBehind(now)
    for (const peer of peers) this.#markSent(peer)
    return peers
  }

  #consider (peer: Instance): void {
    const link = this.#links.get(peer)
    if (link === undefined) return
    if (link.version !== undefined && link.version < this.#inForce.version) this.#candidates.add(peer)
    else this.#candidates.delete(peer)
  }

  #knownBehind (now: number): Instance[] {
    return [...this.#candidates].filter((peer) => {
      const link = this.#links.get(peer)
      if (link === undefined || link.sent >= this.#inForce.version) return false
      return now - Math.max(this.#adoptedAt, link.since) >= this.#waits[link.responsibility]
    })
  }

  #drawRound (now: number): Instance[] {
    if (now < this.#nextRound) return []
    this.#nextRound = now + this.#roundMilliseconds
    const peers = [...this.#links.keys()]
    const drawn = new Set<Instance>()
    for (let draw = 0; draw < this.#roundPeers; draw++) {
      const peer = peers[Math.floor(this.#random() * peers.length)]
      if (peer !== undefined) drawn.add(peer)
    }
    return [...drawn]
  }

  #markSent (peer: Instance): void {
    const link = this.#links.get(peer)
    if (link !== undefined) link.sent = this.#inForce.version
  }
}
