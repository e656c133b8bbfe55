/** Reads of the view of the entries, for both roles. */
import type { View } from '@amaranthmast/coordination/messages'
import type { KeyValueClient } from '@amaranthmast/store/client'
import type { StoreSettings } from '@amaranthmast/settings/settingstypes'
import { viewKey } from '@amaranthmast/settings/storekeys'
import { ok } from 'neverthrow'
import type { Logger } from './log.ts'
import { decodeView, NO_VIEW } from './viewcodec.ts'

/** A view as read, as the event of an entry. */
export interface ViewRead {
  type: 'viewRead'
  view: View
  /** Revision to compare with when it is replaced; 0 when there is none yet. */
  revision: number
  /** Reading of the daemon's clock when the read was sent. */
  readStarted: number
}

/** What the store client of a daemon needs. */
export interface StoreOptions {
  client: KeyValueClient
  settings: StoreSettings
  log: Logger
  /** Clock of the daemon in milliseconds, the one that the decision logic is given. */
  now: () => number
  random: () => number
}

/** Outcome of a read, as the event of an entry. */
export type ViewEvent = ViewRead | { type: 'viewReadFailed' }

export class ViewReader {
  readonly #options: StoreOptions
  readonly #key: string
  readonly #post: (event: ViewEvent) => void
  #known: Pick<ViewRead, 'view' | 'revision'> = { view: NO_VIEW, revision: 0 }
  #reading = false
  #failing = false

  constructor (options: StoreOptions, post: (event: ViewEvent) => void) {
    this.#options = options
    this.#key = viewKey(options.settings.prefix)
    this.#post = post
  }

  /** Reads the view and posts the outcome. While a read is under way no second one is sent. */
  async read (): Promise<void> {
    if (this.#reading) return
    this.#reading = true
    const event = await this.fetch()
    this.#reading = false
    this.#post(event ?? { type: 'viewReadFailed' })
  }

  /**
   * Reads the view; undefined when that failed. A view that has not changed is not sent again. Its
   * revision is still confirmed by the store as of an instant after `readStarted`: the read is a
   * transaction, which is linearizable.
   */
  async fetch (): Promise<ViewRead | undefined> {
    const readStarted = this.#options.now()
    const known = this.#known
    const result = await this.#options.client.readIfChanged(this.#key, known.revision)
    if (result.isErr()) return this.#failed(result.error)
    if (!result.value.changed) return this.#succeeded({ type: 'viewRead', ...known, readStarted })
    const { entry } = result.value
    const view = entry === undefined ? ok(NO_VIEW) : decodeView(this.#key, entry.value)
    if (view.isErr()) return this.#failed(view.error)
    this.#known = { view: view.value, revision: entry?.modRevision ?? 0 }
    return this.#succeeded({ type: 'viewRead', ...this.#known, readStarted })
  }

  #succeeded (event: ViewRead): ViewRead {
    if (this.#failing) this.#options.log.info('the view can be read again')
    this.#failing = false
    return event
  }

  #failed (error: Error): undefined {
    if (!this.#failing) this.#options.log.warn({ reason: error.message }, 'the view cannot be read')
    this.#failing = true
  }
}
