/**
 * Which version of the configuration is in force on one instance, and which peers it is sent to.
 *
 * Versions only rise. Peers report the version they have in force in messages that are sent anyway, so the document
 * goes only to a peer that is known to be behind, once per version and link.
 */
import type { Instance } from './messages.ts'

/** How the peers that receive the document are selected. */
export enum PeerSelection {
  /** Only peers that are known to be behind, each once. */
  KnownBehind = 'knownBehind',
  /** Random peers, in rounds, while some peer is behind. Serves as the baseline for measurements. */
  Random = 'random'
}

/**
 * Delay after which the document is sent to a peer that another instance is responsible for, in milliseconds. It counts
 * from the adoption of the version or from the start of the link, whichever is later.
 */
export const FALLBACK_DELAY_MILLISECONDS = 500

/**
 * Delay after which the document is sent to a peer that watches the store itself, in milliseconds, counted like
 * `FALLBACK_DELAY_MILLISECONDS`. Watches differ by a few milliseconds, and an instance reports a version as soon as it
 * adopts it, so after this delay only a peer whose watch failed is still behind.
 */
export const WATCHER_GRACE_MILLISECONDS = 50

/** Interval between two rounds of random selection, in milliseconds. */
export const ROUND_INTERVAL_MILLISECONDS = 100

/** Peers selected in one round of random selection. */
export const PEERS_PER_ROUND = 1

/** Options of `ConfigurationAdoption`. */
export interface AdoptionOptions {
  /** @default PeerSelection.KnownBehind */
  choice?: PeerSelection
  /** Returns random numbers of at least 0 and below 1; used by `PeerSelection.Random` only. */
  random: () => number
  /** @default FALLBACK_DELAY_MILLISECONDS */
  patienceMilliseconds?: number
  /** @default WATCHER_GRACE_MILLISECONDS */
  graceMilliseconds?: number
  /** @default ROUND_INTERVAL_MILLISECONDS */
  roundMilliseconds?: number
  /** @default PEERS_PER_ROUND */
  roundPeers?: number
}

/** A version of the configuration with its document. */
export interface VersionedDocument {
  version: number
  document: Uint8Array
}

/** Which instance sends new documents to a peer. */
export enum Responsibility {
  /** This instance sends at once. */
  Own = 'own',
  /** The peer watches the store; this instance sends only if the peer is still behind after the grace time. */
  Watcher = 'watcher',
  /** Another instance is responsible; this one sends only if the peer is still behind after the fallback delay. */
  Other = 'other'
}

interface Link {
  responsibility: Responsibility
  /** When the link was established. */
  connectedAt: number
  /** Highest version that the peer has reported; undefined until it reports one. */
  version: number | undefined
  /** Highest version sent over this link. */
  sent: number
}

/** The version in force on one instance, and the versions that its peers have reported. */
export class ConfigurationAdoption {
  readonly #choice: PeerSelection
  readonly #random: () => number
  /** Delay before a document is sent to a peer, by who is responsible for the peer. */
  readonly #waits: Readonly<Record<Responsibility, number>>
  readonly #roundMilliseconds: number
  readonly #roundPeers: number
  readonly #links = new Map<Instance, Link>()
  /** Peers that are known to be behind the document in force. */
  readonly #candidates = new Set<Instance>()
  #inForce: VersionedDocument = { version: 0, document: new Uint8Array() }
  #adoptedAt = 0
  #nextRound = 0

  constructor (options: AdoptionOptions) {
    this.#choice = options.choice ?? PeerSelection.KnownBehind
    this.#random = options.random
    this.#waits = {
      [Responsibility.Own]: 0,
      [Responsibility.Watcher]: options.graceMilliseconds ?? WATCHER_GRACE_MILLISECONDS,
      [Responsibility.Other]: options.patienceMilliseconds ?? FALLBACK_DELAY_MILLISECONDS
    }
    this.#roundMilliseconds = options.roundMilliseconds ?? ROUND_INTERVAL_MILLISECONDS
    this.#roundPeers = options.roundPeers ?? PEERS_PER_ROUND
  }

  /** The document in force; version 0 with an empty document before the first. */
  get inForce (): VersionedDocument {
    return this.#inForce
  }

  /**
   * Handles a document from the store or from a peer; returns whether it is now in force.
   *
   * The store may answer a read with an older value, and a peer may be behind. Only a higher version is adopted, so the
   * order in which answers arrive does not matter. Otherwise shares and drains would revert until the next answer.
   */
  offer (offered: VersionedDocument, now: number): boolean {
    if (offered.version <= this.#inForce.version) return false
    this.#inForce = offered
    this.#adoptedAt = now
    this.#nextRound = now
    for (const peer of this.#links.keys()) this.#updateCandidate(peer)
    return true
  }

  /**
   * A new link to a peer is established. An entry reports its version shortly after the link is up and is sent nothing
   * until then. Otherwise each link between entries would begin with a document that both ends already have.
   *
   * @param version the version that the peer reported with the link; undefined when its report is still to come
   */
  connected (peer: Instance, version: number | undefined, responsibility: Responsibility, now: number): void {
    this.#links.set(peer, { responsibility, connectedAt: now, version, sent: 0 })
    this.#updateCandidate(peer)
  }

  /** The link is closed. Documents sent over it may be lost, so a new link starts without a sent version. */
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

  /** A peer reported the version that it has in force. Unknown peers are ignored. */
  noteVersion (peer: Instance, version: number): void {
    const link = this.#links.get(peer)
    if (link === undefined) return
    link.version = Math.max(link.version ?? 0, version)
    this.#updateCandidate(peer)
  }

  /** Linked peers whose last reported version is older than the one in force. */
  behind (): Instance[] {
    return [...this.#candidates]
  }

  /** Peers that the document in force is to be sent to now. Each is marked as sent. */
  due (now: number): Instance[] {
    if (this.#candidates.size === 0) return []
    const peers = this.#choice === PeerSelection.Random ? this.#drawRandomPeers(now) : this.#knownBehind(now)
    for (const peer of peers) this.#markSent(peer)
    return peers
  }

  #updateCandidate (peer: Instance): void {
    const link = this.#links.get(peer)
    if (link === undefined) return
    if (link.version !== undefined && link.version < this.#inForce.version) this.#candidates.add(peer)
    else this.#candidates.delete(peer)
  }

  #knownBehind (now: number): Instance[] {
    return [...this.#candidates].filter((peer) => {
      const link = this.#links.get(peer)
      if (link === undefined || link.sent >= this.#inForce.version) return false
      return now - Math.max(this.#adoptedAt, link.connectedAt) >= this.#waits[link.responsibility]
    })
  }

  #drawRandomPeers (now: number): Instance[] {
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
