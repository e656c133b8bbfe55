/** An entry's access to the key-value service: the view, the configuration, and the address of its status port. */
import type { EntryEvent } from '@amaranthmast/coordination/entrytypes'
import type { View } from '@amaranthmast/coordination/messages'
import { Watcher } from '@amaranthmast/store/watcher'
import { readStoredConfiguration } from '@amaranthmast/settings/configurationfile'
import type { PublishedRecord } from '@amaranthmast/settings/publishedinstance'
import { configurationKey, viewKey } from '@amaranthmast/settings/storekeys'
import { setTimeout as pause } from 'node:timers/promises'
import { CONFIGURATION_POLL_MILLISECONDS, PUBLISH_RETRY_MILLISECONDS, VIEW_POLL_MILLISECONDS } from './defaults.ts'
import { encodeView } from './viewcodec.ts'
import type { StoreOptions } from './viewreader.ts'
import { ViewReader } from './viewreader.ts'

/** Watches the view and the configuration, writes the view, and publishes the entry's status address. */
export class EntryStore {
  readonly #options: StoreOptions
  readonly #post: (event: EntryEvent) => void
  readonly #reader: ViewReader
  readonly #watchers: Watcher[]
  readonly #stopped = new AbortController()

  constructor (options: StoreOptions, post: (event: EntryEvent) => void) {
    this.#options = options
    this.#post = post
    this.#reader = new ViewReader(options, post)
    const watch = { client: options.client, random: options.random }
    this.#watchers = [
      new Watcher({
        ...watch,
        key: viewKey(options.settings.prefix),
        rereadMilliseconds: VIEW_POLL_MILLISECONDS,
        // A watched value has no time at which the store confirmed it, so the view is read again.
        onChange: () => { this.readView() }
      }),
      new Watcher({
        ...watch,
        key: configurationKey(options.settings.prefix),
        rereadMilliseconds: CONFIGURATION_POLL_MILLISECONDS,
        onChange: ({ entry }) => { if (entry !== undefined) this.#takeConfiguration(entry.value) }
      })
    ]
  }

  /** Starts to watch the view and the configuration; both are read at once. */
  start (): void {
    for (const watcher of this.#watchers) watcher.start()
  }

  /**
   * Publishes the address of this entry's status port. The store may be down when the entry starts and
   * serves with the state of its peers, so the write is retried until it has succeeded once.
   *
   * @param retryMilliseconds mean pause after a failure
   */
  async publish ({ key, value }: PublishedRecord, retryMilliseconds = PUBLISH_RETRY_MILLISECONDS): Promise<void> {
    const { signal } = this.#stopped
    while (!signal.aborted) {
      const result = await this.#options.client.put(key, value)
      if (result.isOk()) return
      await pause(retryMilliseconds * (0.5 + this.#options.random()), undefined, { signal }).catch(() => {})
    }
  }

  readView (): void {
    this.#reader.read()
  }

  /**
   * Replaces the view if it is still at the given revision. When the answer is lost, the view is
   * read back. If it holds the written value, the write took effect. If it has another value at a
   * revision other than the expected one, the write can never take effect. The expected revision
   * itself proves nothing, since the write may still be in transit.
   */
  async writeView (view: View, expectedRevision: number): Promise<void> {
    const value = encodeView(view)
    const result = await this.#options.client.compareAndSwap(viewKey(this.#options.settings.prefix), expectedRevision, value)
    if (result.isOk()) return this.#written(result.value.applied ? 'applied' : 'conflict')
    if (!result.error.mayHaveTakenEffect) return this.#written('conflict')
    const readBack = await this.#reader.fetch()
    if (readBack === undefined || readBack.revision === expectedRevision) return this.#written('unknown')
    this.#written(encodeView(readBack.view) === value ? 'applied' : 'conflict')
  }

  /** Ends the watches and the retries. */
  stop (): void {
    this.#stopped.abort()
    for (const watcher of this.#watchers) watcher.stop()
  }

  #written (outcome: 'applied' | 'conflict' | 'unknown'): void {
    this.#post({ type: 'viewWritten', outcome })
  }

  #takeConfiguration (value: string): void {
    const result = readStoredConfiguration(Buffer.from(value))
    if (result.isErr()) {
      this.#options.log.error({ reason: result.error.message }, 'stored configuration rejected, keeping the one in force')
      return
    }
    this.#post({ type: 'configurationRead', ...result.value })
  }
}
