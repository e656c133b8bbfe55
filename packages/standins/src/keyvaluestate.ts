/** In-memory state of the key-value stand-in: revisions, leases and change listeners. */

/** One version of a key. */
export interface StoredVersion {
  key: string
  /** Undefined marks a deletion. */
  value: Buffer | undefined
  createRevision: number
  modRevision: number
  /** Writes since the key was created; 0 for a deletion. */
  version: number
  /** 0 when the key is attached to no lease. */
  lease: string
}

/** A lease and the keys attached to it. */
interface Lease {
  seconds: number
  expiresAt: number
  keys: Set<string>
}

/** Called with all changes of one revision. */
export type ChangeListener = (changes: readonly StoredVersion[]) => void

/** Lease id of a key that is attached to no lease. */
export const NO_LEASE = '0'

const MILLISECONDS_PER_SECOND = 1000

/** Keys with their past versions. Each transaction that changes a key raises the revision by one. */
export class KeyValueState {
  readonly #versions = new Map<string, StoredVersion[]>()
  readonly #leases = new Map<string, Lease>()
  readonly #listeners = new Set<ChangeListener>()
  readonly #keptRevisions: number
  readonly #now: () => number
  #pending: StoredVersion[] = []
  #revision = 1
  #compactRevision = 0
  #nextLease = 7_587_848_943_239_472_600n

  /**
   * @param keptRevisions number of past revisions that can still be read and watched
   * @param now clock in milliseconds, for leases
   */
  constructor (keptRevisions: number, now: () => number) {
    this.#keptRevisions = keptRevisions
    this.#now = now
  }

  /** Revision of the last change. */
  get revision (): number {
    return this.#revision
  }

  /** Changes up to this revision have been discarded. */
  get compactRevision (): number {
    return this.#compactRevision
  }

  /** The version of a key as of `revision`; undefined when the key did not exist. */
  get (key: string, revision = this.#revision): StoredVersion | undefined {
    const versions = this.#versions.get(key) ?? []
    const last = versions.findLast((version) => version.modRevision <= revision)
    return last?.value === undefined ? undefined : last
  }

  /** Keys that existed as of `revision` and that `matches` accepts, sorted. */
  list (matches: (key: string) => boolean, revision = this.#revision): StoredVersion[] {
    const found: StoredVersion[] = []
    for (const key of [...this.#versions.keys()].filter(matches).sort()) {
      const version = this.get(key, revision)
      if (version !== undefined) {
        found.push(version)
      }
    }
    return found
  }

  /** Runs `change`; its puts and deletions form one revision, which is then passed to the listeners. */
  transact<Outcome> (change: () => Outcome): Outcome {
    const outcome = change()
    const changes = this.#pending
    if (changes.length === 0) {
      return outcome
    }
    this.#pending = []
    this.#revision += 1
    this.#compactTo(this.#revision - this.#keptRevisions)
    for (const listener of [...this.#listeners]) {
      listener(changes)
    }
    return outcome
  }

  /** Writes a key. Must be called inside `transact`. */
  put (key: string, value: Buffer, lease = NO_LEASE): void {
    const modRevision = this.#revision + 1
    const present = this.get(key, modRevision)
    this.#detachFromLease(present)
    this.#leases.get(lease)?.keys.add(key)
    this.#appendVersion({
      key,
      value,
      createRevision: present?.createRevision ?? modRevision,
      modRevision,
      version: (present?.version ?? 0) + 1,
      lease
    })
  }

  /** Deletes a key and returns whether it existed. Must be called inside `transact`. */
  delete (key: string): boolean {
    const modRevision = this.#revision + 1
    const present = this.get(key, modRevision)
    if (present === undefined) {
      return false
    }
    this.#detachFromLease(present)
    this.#appendVersion({ key, value: undefined, createRevision: 0, modRevision, version: 0, lease: NO_LEASE })
    return true
  }

  /** Grants a lease and returns its id, which is `requestedId` if given. */
  grant (seconds: number, requestedId = NO_LEASE): string {
    const lease = requestedId === NO_LEASE ? String(this.#nextLease++) : requestedId
    const expiresAt = this.#now() + seconds * MILLISECONDS_PER_SECOND
    this.#leases.set(lease, { seconds, expiresAt, keys: new Set() })
    return lease
  }

  /** Whether a lease exists. */
  hasLease (lease: string): boolean {
    return this.#leases.has(lease)
  }

  /** Renews a lease and returns its time to live in seconds, or 0 when the lease does not exist. */
  keepAlive (lease: string): number {
    const present = this.#leases.get(lease)
    if (present === undefined) {
      return 0
    }
    present.expiresAt = this.#now() + present.seconds * MILLISECONDS_PER_SECOND
    return present.seconds
  }

  /** Revokes a lease, deletes its keys, and returns whether it existed. */
  revoke (lease: string): boolean {
    const present = this.#leases.get(lease)
    if (present === undefined) {
      return false
    }
    this.#leases.delete(lease)
    this.transact(() => { present.keys.forEach((key) => this.delete(key)) })
    return true
  }

  /** Revokes the leases that have expired. */
  expireLeases (): void {
    for (const [lease, { expiresAt }] of [...this.#leases]) {
      if (expiresAt <= this.#now()) {
        this.revoke(lease)
      }
    }
  }

  /** Discards the changes up to `revision`, except for the state as of that revision. */
  compact (revision: number): void {
    this.#compactTo(Math.min(revision, this.#revision))
  }

  /** Retained changes from `revision` on, in order of revision. */
  changesFrom (revision: number, matches: (key: string) => boolean): StoredVersion[] {
    return [...this.#versions.entries()]
      .filter(([key]) => matches(key))
      .flatMap(([, versions]) => versions.filter((version) => version.modRevision >= revision))
      .sort((one, other) => one.modRevision - other.modRevision)
  }

  /** Calls `listener` after each revision, until the returned function is called. */
  listen (listener: ChangeListener): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  #appendVersion (version: StoredVersion): void {
    const versions = this.#versions.get(version.key) ?? []
    versions.push(version)
    this.#versions.set(version.key, versions)
    this.#pending.push(version)
  }

  #detachFromLease (version: StoredVersion | undefined): void {
    if (version !== undefined) {
      this.#leases.get(version.lease)?.keys.delete(version.key)
    }
  }

  #compactTo (revision: number): void {
    if (revision <= this.#compactRevision) {
      return
    }
    this.#compactRevision = revision
    for (const [key, versions] of this.#versions) {
      const base = versions.findLastIndex((version) => version.modRevision <= revision)
      const kept = versions.slice(Math.max(base, 0))
      if (kept.length === 1 && kept[0]?.value === undefined && base >= 0) {
        this.#versions.delete(key)
        continue
      }
      this.#versions.set(key, kept)
    }
  }
}
