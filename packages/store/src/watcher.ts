/** A watch on one key that outlives cuts, outages, compaction and missed events. */
import type { CancelWatch, KeyValueClient } from './client.ts'
import type { ChangeResult, KeyValueEntry, WatchEnd, WatchEvent } from './entries.ts'
import type { StoreError } from './errors.ts'
import { WatchEndKind, WatchEventKind } from './entries.ts'
import { BACKOFF_BASE_MILLISECONDS, BACKOFF_MAXIMUM_MILLISECONDS, REREAD_MILLISECONDS } from './defaults.ts'

/** What a watcher reports. */
export interface WatchedValue {
  /** Undefined when the key does not exist. */
  entry: KeyValueEntry | undefined
  /** Revision of this state of the key; each report has a higher one than all before it. */
  modRevision: number
}

/** Options of `Watcher`. */
export interface WatcherOptions {
  client: Pick<KeyValueClient, 'readIfChanged' | 'watch'>
  key: string
  /** Random numbers from 0 to below 1. */
  random: () => number
  /** Called with the first state read, also when the key does not exist, then with each newer one. */
  onChange: (value: WatchedValue) => void
  /**
   * Called when a read failed (with the error) and when one succeeded again (undefined): changes of
   * state alone, not every failed attempt. A watch that breaks off while reads succeed is no loss.
   * @default none
   */
  onHealth?: (error: StoreError | undefined) => void
  /**
   * Mean time between two reads for changes that the watch has missed, in milliseconds.
   * @default 2000
   */
  rereadMilliseconds?: number
  /**
   * Longest wait before the first reconnection, in milliseconds; it doubles with each failure.
   * @default 100
   */
  backoffBaseMilliseconds?: number
  /**
   * Longest wait before any reconnection, in milliseconds.
   * @default 1500
   */
  backoffMaximumMilliseconds?: number
}

/**
 * Reads a key, watches it from there, and goes on until it is stopped.
 *
 * A watch can fail without a sign: an event is lost, or the connection is cut off one way and stays
 * silent. The value would then stay old for ever. Therefore the key is also read every
 * `rereadMilliseconds`, and a change that the watch should have brought replaces the watch. These
 * reads name the reported revision, and a value that has not changed since is not sent.
 *
 * A lagging member of the service answers with an older value, and a new watch replays changes. An
 * older value would undo a newer one that is in force. Therefore nothing is reported whose revision
 * is not above the last reported one.
 */
export class Watcher {
  readonly #options: WatcherOptions
  readonly #rereadMilliseconds: number
  #running = false
  #timer: NodeJS.Timeout | undefined
  #cancelWatch: CancelWatch | undefined
  #failures = 0
  #unhealthy = false
  #reported: number | undefined
  #present = false
  #compactRevision = 0

  constructor (options: WatcherOptions) {
    this.#options = options
    this.#rereadMilliseconds = options.rereadMilliseconds ?? REREAD_MILLISECONDS
  }

  /** Revision of the last report; undefined before the first. */
  get modRevision (): number | undefined {
    return this.#reported
  }

  /** Whether a watch is open at this moment. */
  get watching (): boolean {
    return this.#cancelWatch !== undefined
  }

  /** Starts reading and watching; a second call does nothing. */
  start (): void {
    if (this.#running) {
      return
    }
    this.#running = true
    this.#read().catch(rethrow)
  }

  /** Ends the watch; nothing is reported afterwards. */
  stop (): void {
    this.#running = false
    clearTimeout(this.#timer)
    this.#dropWatch()
  }

  async #read (): Promise<void> {
    const known = this.#present ? this.#reported ?? 0 : 0
    const result = await this.#options.client.readIfChanged(this.#options.key, known)
    if (!this.#running) {
      return
    }
    if (result.isErr()) {
      this.#reportHealth(result.error)
      this.#retry()
      return
    }
    this.#recover()
    this.#takeRead(result.value)
    if (this.#running) {
      this.#schedule(this.#rereadMilliseconds * (0.75 + this.#options.random() / 2))
    }
  }

  #takeRead (read: ChangeResult): void {
    const wasWatching = this.watching
    const isNews = this.#reportRead(read)
    if (!this.#running) {
      return
    }
    if (isNews && wasWatching) {
      this.#dropWatch()
    }
    if (!this.watching) {
      this.#openWatch(Math.max(read.revision, this.#reported ?? 0, this.#compactRevision - 1) + 1)
    }
  }

  #openWatch (fromRevision: number): void {
    let ended = false
    const cancel = this.#options.client.watch(this.#options.key, fromRevision, (event) => {
      if (!ended && this.#running) {
        this.#takeEvent(event)
      }
    }, (end) => {
      if (!ended) {
        ended = true
        this.#takeEnd(end)
      }
    })
    if (ended) {
      return
    }
    this.#cancelWatch = () => {
      ended = true
      cancel()
    }
  }

  #takeEvent (event: WatchEvent): void {
    if (event.kind === WatchEventKind.Put) {
      this.#report({ entry: event.entry, modRevision: event.entry.modRevision })
      return
    }
    this.#report({ entry: undefined, modRevision: event.modRevision })
  }

  #takeEnd (end: WatchEnd): void {
    this.#cancelWatch = undefined
    if (!this.#running) {
      return
    }
    if (end.kind === WatchEndKind.Compacted) {
      this.#compactRevision = Math.max(this.#compactRevision, end.compactRevision)
    }
    this.#retry()
  }

  /** Whether a read brought news. A key that is still missing is news at the first read. */
  #reportRead (read: ChangeResult): boolean {
    if (!read.changed && this.#present) {
      return false
    }
    const entry = read.changed ? read.entry : undefined
    return this.#report({ entry, modRevision: entry?.modRevision ?? read.revision })
  }

  /** Whether `value` was new and has been reported. An absent key is reported once. */
  #report (value: WatchedValue): boolean {
    const isFirst = this.#reported === undefined
    const isPresent = value.entry !== undefined
    const isNewer = isFirst || value.modRevision > (this.#reported ?? 0)
    const isChange = isFirst || isPresent || this.#present
    if (!isNewer || !isChange) {
      return false
    }
    this.#reported = value.modRevision
    this.#present = isPresent
    this.#options.onChange(value)
    return true
  }

  /** Reads again after a growing, jittered wait, so that a fleet does not come back all at once. */
  #retry (): void {
    this.#failures += 1
    const base = this.#options.backoffBaseMilliseconds ?? BACKOFF_BASE_MILLISECONDS
    const maximum = this.#options.backoffMaximumMilliseconds ?? BACKOFF_MAXIMUM_MILLISECONDS
    const longest = Math.min(base * 2 ** (this.#failures - 1), maximum)
    this.#schedule(longest * (0.5 + this.#options.random() / 2))
  }

  /**
   * Notes that a read succeeded. The wait starts small again only when a watch has lasted from one
   * read to the next: a service that answers reads but cuts every watch would otherwise be asked
   * without pause.
   */
  #recover (): void {
    if (this.watching) {
      this.#failures = 0
    }
    this.#reportHealth(undefined)
  }

  #reportHealth (error: StoreError | undefined): void {
    const isLost = error !== undefined
    if (isLost !== this.#unhealthy) {
      this.#unhealthy = isLost
      this.#options.onHealth?.(error)
    }
  }

  #schedule (milliseconds: number): void {
    clearTimeout(this.#timer)
    if (this.#running) {
      this.#timer = setTimeout(() => { this.#read().catch(rethrow) }, milliseconds)
    }
  }

  #dropWatch (): void {
    const cancel = this.#cancelWatch
    this.#cancelWatch = undefined
    cancel?.()
  }
}

/** Makes an exception of a handler an uncaught one, as from any other timer. */
function rethrow (error: unknown): void {
  queueMicrotask(() => { throw error })
}
