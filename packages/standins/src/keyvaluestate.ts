/** State of the key-value stand-in: revisions, leases and watchers, all in memory. */

/** One state of one key. */
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

/** What a watcher of the state is told: all changes of one revision. */
export type ChangeListener = (changes: readonly StoredVersion[]) => void

/** No lease. */
export const NO_LEASE = '0'

const MILLISECONDS_PER_SECOND = 1000

/** Keys with their past states; each change of the state raises the revision by one. */
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
   * @param keptRevisions past revisions that can still be read and watched
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

  /** Changes up to this revision are no longer kept. */
  get compactRevision (): number {
    return this.#compactRevision
  }

  /** The state of a key as of `revision`; undefined when it did not exist. */
  get (key: string, revision = this.#revision): StoredVersion | undefined {
    const versions = this.#versions.get(key) ?? []
    const last = versions.findLast((version) => version.modRevision <= revision)
    return last?.value === undefined ? undefined : last
  }

  /** Existing keys that `matches` accepts, in order, as of `revision`. */
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

  /** Runs `change`, whose puts and deletions take effect together, as one revision. */
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

  /** Writes a key; only inside `transact`. */
  put (key: string, value: Buffer, lease = NO_LEASE): void {
    const modRevision = this.#revision + 1
    const present = this.get(key, modRevision)
    this.#detach(present)
    this.#leases.get(lease)?.keys.add(key)
    this.#append({
      key,
      value,
      createRevision: present?.createRevision ?? modRevision,
      modRevision,
      version: (present?.version ?? 0) + 1,
      lease
    })
  }

  /** Deletes a key and says whether it existed; only inside `transact`. */
  delete (key: string): boolean {
    const modRevision = this.#revision + 1
    const present = this.get(key, modRevision)
    if (present === undefined) {
      return false
    }
    this.#detach(present)
    this.#append({ key, value: undefined, createRevision: 0, modRevision, version: 0, lease: NO_LEASE })
    return true
  }

  /** Grants a lease and gives its number. */
  grant (seconds: number, wanted = NO_LEASE): string {
    const lease = wanted === NO_LEASE ? String(this.#nextLease++) : wanted
    const expiresAt = this.#now() + seconds * MILLISECONDS_PER_SECOND
    this.#leases.set(lease, { seconds, expiresAt, keys: new Set() })
    return lease
  }

  /** Whether a lease exists. */
  hasLease (lease: string): boolean {
    return this.#leases.has(lease)
  }

  /** Renews a lease and gives its time to live in seconds; 0 when there is none. */
  keepAlive (lease: string): number {
    const present = this.#leases.get(lease)
    if (present === undefined) {
      return 0
    }
    present.expiresAt = this.#now() + present.seconds * MILLISECONDS_PER_SECOND
    return present.seconds
  }

  /** Ends a lease, deletes its keys, and says whether it existed. */
  revoke (lease: string): boolean {
    const present = this.#leases.get(lease)
    if (present === undefined) {
      return false
    }
    this.#leases.delete(lease)
    this.transact(() => { present.keys.forEach((key) => this.delete(key)) })
    return true
  }

  /** Ends the leases whose time is over. */
  expireLeases (): void {
    for (const [lease, { expiresAt }] of [...this.#leases]) {
      if (expiresAt <= this.#now()) {
        this.revoke(lease)
      }
    }
  }

  /** Forgets the changes up to `revision`, but for the state they left behind. */
  compact (revision: number): void {
    this.#compactTo(Math.min(revision, this.#revision))
  }

  /** Kept changes from `revision` on, in order. */
  changesFrom (revision: number, matches: (key: string) => boolean): StoredVersion[] {
    return [...this.#versions.entries()]
      .filter(([key]) => matches(key))
      .flatMap(([, versions]) => versions.filter((version) => version.modRevision >= revision))
      .sort((one, other) => one.modRevision - other.modRevision)
  }

  /** Calls `listener` after each change, until the returned function is called. */
  listen (listener: ChangeListener): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  #append (version: StoredVersion): void {
    const versions = this.#versions.get(version.key) ?? []
    versions.push(version)
    this.#versions.set(version.key, versions)
    this.#pending.push(version)
  }

  #detach (version: StoredVersion | undefined): void {
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
