/** The daemon's use of the key-value service: the view of the entries, and the configuration. */
import type { EntryEvent } from '@amaranthmast/coordination/entrytypes'
import type { View } from '@amaranthmast/coordination/messages'
import { Watcher } from '@amaranthmast/platform/watcher'
import type { StoreSettings } from '@amaranthmast/settings/settingstypes'
import { readStoredConfiguration } from '@amaranthmast/settings/configurationfile'
import { CONFIGURATION_POLL_MILLISECONDS, VIEW_POLL_MILLISECONDS } from './defaults.ts'
import { encodeView } from './viewcodec.ts'
import type { StoreOptions } from './viewreader.ts'
import { viewKey, ViewReader } from './viewreader.ts'

/** What an entry does at the store. */
export class EntryStore {
  readonly #options: StoreOptions
  readonly #post: (event: EntryEvent) => void
  readonly #reader: ViewReader
  readonly #watchers: Watcher[]

  constructor (options: StoreOptions, post: (event: EntryEvent) => void) {
    this.#options = options
    this.#post = post
    this.#reader = new ViewReader(options, post)
    const watch = { client: options.client, random: options.random }
    this.#watchers = [
      new Watcher({
        ...watch,
        key: viewKey(options.settings),
        rereadMilliseconds: VIEW_POLL_MILLISECONDS,
        // A watched value has no time at which the store confirmed it, so it is read.
        onChange: () => { this.readView() }
      }),
      new Watcher({
        ...watch,
        key: configurationKey(options.settings),
        rereadMilliseconds: CONFIGURATION_POLL_MILLISECONDS,
        onChange: ({ entry }) => { if (entry !== undefined) this.#takeConfiguration(entry.value) }
      })
    ]
  }

  /** Begins to watch the view and the configuration; both are read at once. */
  start (): void {
    for (const watcher of this.#watchers) watcher.start()
  }

  readView (): void {
    this.#reader.read()
  }

  /**
   * Replaces the view if it is still at the given revision. When the answer is lost, the view is
   * read back: the own value there settles that the write took effect, and any other revision
   * than the expected one that it can never take effect. The expected revision itself settles
   * nothing, since the write may still be on its way.
   */
  async writeView (view: View, expectedRevision: number): Promise<void> {
    const value = encodeView(view)
    const result = await this.#options.client.compareAndSwap(viewKey(this.#options.settings), expectedRevision, value)
    if (result.isOk()) return this.#written(result.value.applied ? 'applied' : 'conflict')
    if (!result.error.mayHaveTakenEffect) return this.#written('conflict')
    const back = await this.#reader.fetch()
    if (back === undefined || back.revision === expectedRevision) return this.#written('unknown')
    this.#written(encodeView(back.view) === value ? 'applied' : 'conflict')
  }

  /** Ends the watches. */
  stop (): void {
    for (const watcher of this.#watchers) watcher.stop()
  }

  #written (outcome: 'applied' | 'conflict' | 'unknown'): void {
    this.#post({ type: 'viewWritten', outcome })
  }

  #takeConfiguration (value: string): void {
    const result = readStoredConfiguration(Buffer.from(value))
    if (result.isErr()) {
      this.#options.log.error({ reason: result.error.message }, 'the stored configuration is refused, the one in force stays')
      return
    }
    this.#post({ type: 'configurationRead', ...result.value })
  }
}

function configurationKey ({ prefix }: StoreSettings): string {
  return `${prefix}configuration`
}
