/** Reads the view of the entries from the store, for both roles. */
import type { View } from '@amaranthmast/coordination/messages'
import type { KeyValueClient } from '@amaranthmast/store/client'
import type { StoreSettings } from '@amaranthmast/settings/settingstypes'
import { viewKey } from '@amaranthmast/settings/storekeys'
import { ok } from 'neverthrow'
import type { Logger } from './log.ts'
import { decodeView, NO_VIEW } from './viewcodec.ts'

/** Event of a successful read of the view. */
export interface ViewRead {
  type: 'viewRead'
  view: View
  /** Revision to compare with when the view is replaced; 0 when none is stored yet. */
  revision: number
  /** Time of the daemon's clock when the read was sent. */
  readStarted: number
}

/** Options for the store access of a daemon. */
export interface StoreOptions {
  client: KeyValueClient
  settings: StoreSettings
  log: Logger
  /** Clock of the daemon in milliseconds, the same one that the decision logic uses. */
  now: () => number
  random: () => number
}

/** Event with the outcome of a read. */
export type ViewEvent = ViewRead | { type: 'viewReadFailed' }

export class ViewReader {
  readonly #options: StoreOptions
  readonly #key: string
  readonly #post: (event: ViewEvent) => void
  #cached: Pick<ViewRead, 'view' | 'revision'> = { view: NO_VIEW, revision: 0 }
  #reading = false
  #failing = false

  constructor (options: StoreOptions, post: (event: ViewEvent) => void) {
    this.#options = options
    this.#key = viewKey(options.settings.prefix)
    this.#post = post
  }

  /** Reads the view and posts the outcome. Does nothing while another read is in progress. */
  async read (): Promise<void> {
    if (this.#reading) return
    this.#reading = true
    const event = await this.fetch()
    this.#reading = false
    this.#post(event ?? { type: 'viewReadFailed' })
  }

  /**
   * Reads the view; undefined when that failed. The store does not send a view that has not changed,
   * but still confirms its revision as of an instant after `readStarted`: the read is a transaction,
   * which is linearizable.
   */
  async fetch (): Promise<ViewRead | undefined> {
    const readStarted = this.#options.now()
    const known = this.#cached
    const result = await this.#options.client.readIfChanged(this.#key, known.revision)
    if (result.isErr()) return this.#failed(result.error)
    if (!result.value.changed) return this.#succeeded({ type: 'viewRead', ...known, readStarted })
    const { entry } = result.value
    const view = entry === undefined ? ok(NO_VIEW) : decodeView(this.#key, entry.value)
    if (view.isErr()) return this.#failed(view.error)
    this.#cached = { view: view.value, revision: entry?.modRevision ?? 0 }
    return this.#succeeded({ type: 'viewRead', ...this.#cached, readStarted })
  }

  #succeeded (event: ViewRead): ViewRead {
    if (this.#failing) this.#options.log.info('view readable again')
    this.#failing = false
    return event
  }

  #failed (error: Error): undefined {
    if (!this.#failing) this.#options.log.warn({ reason: error.message }, 'cannot read the view')
    this.#failing = true
  }
}
