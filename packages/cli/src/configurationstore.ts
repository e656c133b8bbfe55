/** The configuration in the key-value service: reading it, its history, and replacing it exactly once. */
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

/** The calls that are made here. */
export type ConfigurationClient = Pick<KeyValueClient, 'read' | 'compareAndSwap'>

/** What the store is made of. */
export interface ConfigurationStoreOptions {
  client: ConfigurationClient
  /** Prefix of every key. */
  prefix: string
  /** Clock in milliseconds. */
  now: () => number
  sleep: (milliseconds: number) => Promise<void>
}

/** The configuration in force, and what a replacement is compared with. */
export interface CurrentConfiguration {
  /** Undefined before the first apply. */
  stored: StoredConfiguration | undefined
  /** Revision of the key; 0 before the first apply. */
  modRevision: number
}

/** How a replacement ended. */
export type ReplaceOutcome =
  /** It is accepted; `latest` is higher than `version` when a later apply has replaced it already. */
  | { outcome: 'accepted', version: number, latest: number }
  /** Another apply was faster and nothing was written. */
  | { outcome: 'raceLost', stored: StoredConfiguration }

/** What one attempt to replace the configuration has shown. */
type Attempt =
  | { known: Result<ReplaceOutcome, ToolError> }
  /** The attempt has shown nothing; `cause` is why. */
  | { known: undefined, cause: StoreError }

/** Version of the configuration in force; 0 before the first apply. */
export function versionOf (current: CurrentConfiguration): number {
  return current.stored?.version ?? 0
}

/** Access to the configuration and its history. */
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

  /** Reads a past version; undefined when it is not kept any more. */
  version (version: number): ResultAsync<StoredConfiguration | undefined, ToolError> {
    return this.#read(historyKey(this.#prefix, version))
      .map(({ stored }) => stored?.version === version ? stored : undefined)
  }

  /**
   * Replaces the configuration that was read as `base`, or writes nothing.
   *
   * When the answer is lost, the write may have taken effect, or may do so later. Reading the base
   * back would prove nothing, so the same write is sent again: all copies compare with the same
   * revision, and the store lets at most one of them through. One that is refused returns what the
   * key holds, and the apply id there, or in the history under this version when a later apply has
   * replaced it, tells whether an earlier copy was the one that got through.
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
    if (swap.value.applied) return known({ outcome: 'accepted', version: record.version, latest: record.version })
    return await this.#afterConflict(swap.value.entry, record, inDoubt)
  }

  /** The key holds another revision: an earlier copy of this write got through, or another apply did. */
  async #afterConflict (entry: KeyValueEntry | undefined, record: StoredConfiguration, inDoubt: boolean): Promise<Attempt> {
    if (entry === undefined) return { known: err(new BaseAhead(record.version - 1, 0)) }
    const parsed = this.#parse(entry)
    if (parsed.isErr()) return { known: err(parsed.error) }
    const stored = parsed.value
    if (stored.applyId === record.applyId) return known({ outcome: 'accepted', version: record.version, latest: stored.version })
    if (!inDoubt || stored.version <= record.version) return known({ outcome: 'raceLost', stored })
    return await this.#searchHistory(stored, record)
  }

  /** A later apply has replaced whichever took this version: the history tells which it was. */
  async #searchHistory (stored: StoredConfiguration, record: StoredConfiguration): Promise<Attempt> {
    const key = historyKey(this.#prefix, record.version)
    const read = await this.#client.read(key)
    if (read.isErr()) return { known: undefined, cause: read.error }
    const { entry } = read.value
    const past = entry === undefined ? ok(undefined) : this.#parse(entry)
    if (past.isErr()) return { known: err(past.error) }
    if (past.value?.version !== record.version) return { known: undefined, cause: new StoreTimedOut(`stale answer for ${key}`, true) }
    if (past.value.applyId === record.applyId) return known({ outcome: 'accepted', version: record.version, latest: stored.version })
    return known({ outcome: 'raceLost', stored })
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

function known (outcome: ReplaceOutcome): Attempt {
  return { known: ok(outcome) }
}
