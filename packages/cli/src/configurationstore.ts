/** Reads the configuration and its history from the key-value service, and replaces the configuration at most once per apply. */
import type { KeyValueClient } from '@amaranthmast/store/client'
import type { KeyValueEntry } from '@amaranthmast/store/entries'
import type { StoreError } from '@amaranthmast/store/errors'
import { StoreTimedOut } from '@amaranthmast/store/errors'
import type { ConfigurationFile, StoredConfiguration } from '@amaranthmast/settings/configurationfile'
import { parseStoredConfiguration } from '@amaranthmast/settings/configurationfile'
import { configurationKey, historyKey } from '@amaranthmast/settings/storekeys'
import type { Result } from 'neverthrow'
import { err, ok, ResultAsync } from 'neverthrow'
import { SETTLE_MILLISECONDS, SETTLE_PAUSE_MILLISECONDS } from './defaults.ts'
import type { ToolError } from './errors.ts'
import { ApplyUnsettled, BaseAhead, StoredValueUnreadable, StoreFailed } from './errors.ts'

/** Key-value operations used by the configuration store. */
export type ConfigurationClient = Pick<KeyValueClient, 'read' | 'compareAndSwap'>

/** Options of `ConfigurationStore`. */
export interface ConfigurationStoreOptions {
  client: ConfigurationClient
  /** Prefix of every key. */
  prefix: string
  /** Current time in milliseconds since the Unix epoch. */
  now: () => number
  sleep: (milliseconds: number) => Promise<void>
}

/** Configuration in force, and the revision that a replacement compares with. */
export interface CurrentConfiguration {
  /** Undefined before the first apply. */
  stored: StoredConfiguration | undefined
  /** Revision of the key; 0 before the first apply. */
  modRevision: number
}

/** Outcome of a replacement. */
export type ReplaceOutcome =
  /** The configuration is accepted; `latest` is higher than `version` if a later apply has already replaced it. */
  | { outcome: 'accepted', version: number, latest: number }
  /** A concurrent apply came first and nothing was written. */
  | { outcome: 'raceLost', stored: StoredConfiguration }

/** Result of one attempt to replace the configuration. */
type Attempt =
  | { known: Result<ReplaceOutcome, ToolError> }
  /** The outcome is still unknown, because of `cause`. */
  | { known: undefined, cause: StoreError }

/** Version of the configuration in force; 0 before the first apply. */
export function versionOf (current: CurrentConfiguration): number {
  return current.stored?.version ?? 0
}

/** Client for the configuration and its history. */
export class ConfigurationStore {
  readonly #client: ConfigurationClient
  readonly #prefix: string
  readonly #now: () => number
  readonly #sleep: (milliseconds: number) => Promise<void>

  constructor (options: ConfigurationStoreOptions) {
    this.#client = options.client
    this.#prefix = options.prefix
    this.#now = options.now
    this.#sleep = options.sleep
  }

  /** Reads the configuration in force. */
  current (): ResultAsync<CurrentConfiguration, ToolError> {
    return this.#read(configurationKey(this.#prefix))
  }

  /** Reads a past version; undefined if it is no longer kept. */
  version (version: number): ResultAsync<StoredConfiguration | undefined, ToolError> {
    return this.#read(historyKey(this.#prefix, version))
      .map(({ stored }) => stored?.version === version ? stored : undefined)
  }

  /**
   * Replaces the configuration that was read as `base`, or writes nothing.
   *
   * If the answer is lost, the write may have taken effect or may still do so. Reading the key
   * would not rule out a later effect, so the same write is sent again: all copies compare with the
   * same revision, so the store applies at most one of them. A copy that is refused returns the current
   * value of the key. The apply id in that value, or in the history of this version if a later apply
   * has replaced it, shows whether an earlier copy was applied.
   */
  replace (base: CurrentConfiguration, document: ConfigurationFile, applyId: string): ResultAsync<ReplaceOutcome, ToolError> {
    return new ResultAsync(this.#replace(base, document, applyId))
  }

  async #replace (base: CurrentConfiguration, document: ConfigurationFile, applyId: string): Promise<Result<ReplaceOutcome, ToolError>> {
    const version = versionOf(base) + 1
    const record: StoredConfiguration = { version, applyId, appliedAt: new Date(this.#now()).toISOString(), document }
    const limit = this.#now() + SETTLE_MILLISECONDS
    let inDoubt = false
    for (;;) {
      const attempt = await this.#attempt(base.modRevision, record, inDoubt)
      if (attempt.known !== undefined) return attempt.known
      inDoubt ||= attempt.cause.mayHaveTakenEffect
      if (!inDoubt) return err(new StoreFailed(attempt.cause))
      if (this.#now() >= limit) return err(new ApplyUnsettled(version, applyId, attempt.cause))
      await this.#sleep(SETTLE_PAUSE_MILLISECONDS)
    }
  }

  async #attempt (modRevision: number, record: StoredConfiguration, inDoubt: boolean): Promise<Attempt> {
    const value = JSON.stringify(record)
    const history = { key: historyKey(this.#prefix, record.version), value }
    const swap = await this.#client.compareAndSwap(configurationKey(this.#prefix), modRevision, value, [history])
    if (swap.isErr()) return { known: undefined, cause: swap.error }
    if (swap.value.applied) return settled({ outcome: 'accepted', version: record.version, latest: record.version })
    return await this.#resolveConflict(swap.value.entry, record, inDoubt)
  }

  /** Resolves a revision conflict: either an earlier copy of this write was applied, or another apply. */
  async #resolveConflict (entry: KeyValueEntry | undefined, record: StoredConfiguration, inDoubt: boolean): Promise<Attempt> {
    if (entry === undefined) return { known: err(new BaseAhead(record.version - 1, 0)) }
    const parsed = this.#parse(entry)
    if (parsed.isErr()) return { known: err(parsed.error) }
    const stored = parsed.value
    if (stored.applyId === record.applyId) return settled({ outcome: 'accepted', version: record.version, latest: stored.version })
    if (!inDoubt || stored.version <= record.version) return settled({ outcome: 'raceLost', stored })
    return await this.#searchHistory(stored, record)
  }

  /** Looks up in the history which apply took this version, since a later apply has replaced it in the key. */
  async #searchHistory (stored: StoredConfiguration, record: StoredConfiguration): Promise<Attempt> {
    const key = historyKey(this.#prefix, record.version)
    const read = await this.#client.read(key)
    if (read.isErr()) return { known: undefined, cause: read.error }
    const { entry } = read.value
    const past = entry === undefined ? ok(undefined) : this.#parse(entry)
    if (past.isErr()) return { known: err(past.error) }
    if (past.value?.version !== record.version) return { known: undefined, cause: new StoreTimedOut(`stale answer for ${key}`, true) }
    if (past.value.applyId === record.applyId) return settled({ outcome: 'accepted', version: record.version, latest: stored.version })
    return settled({ outcome: 'raceLost', stored })
  }

  #read (key: string): ResultAsync<CurrentConfiguration, ToolError> {
    return this.#client.read(key)
      .mapErr((error): ToolError => new StoreFailed(error))
      .andThen(({ entry }) => {
        if (entry === undefined) return ok({ stored: undefined, modRevision: 0 })
        return this.#parse(entry).map((stored) => ({ stored, modRevision: entry.modRevision }))
      })
  }

  #parse (entry: KeyValueEntry): Result<StoredConfiguration, ToolError> {
    return parseStoredConfiguration(entry.value).mapErr((error) => new StoredValueUnreadable(entry.key, error.message))
  }
}

function settled (outcome: ReplaceOutcome): Attempt {
  return { known: ok(outcome) }
}
