/** One open watch of the key-value stand-in. */
import type { ServerResponse } from 'node:http'
import type { KeyValueFaults } from './keyvaluefaults.ts'
import type { KeyValueState, StoredVersion } from './keyvaluestate.ts'
import { Outage } from './keyvaluefaults.ts'
import { encodeVersion, header, keyMatcher } from './keyvaluegateway.ts'

/** Body of a watch. */
export interface WatchRequest {
  create_request?: { key: string, range_end?: string, start_revision?: string | number }
}

/** Sends changes as JSON lines until the connection closes. */
export class KeyValueWatch {
  readonly #state: KeyValueState
  readonly #faults: () => KeyValueFaults
  readonly #response: ServerResponse
  readonly #matches: (key: string) => boolean
  readonly #fromRevision: number
  readonly #timers = new Set<NodeJS.Timeout>()

  constructor (state: KeyValueState, faults: () => KeyValueFaults, request: WatchRequest, response: ServerResponse) {
    this.#state = state
    this.#faults = faults
    this.#response = response
    this.#matches = keyMatcher(request.create_request?.key, request.create_request?.range_end)
    const requested = Number(request.create_request?.start_revision ?? 0)
    this.#fromRevision = requested > 0 ? requested : state.revision + 1
  }

  /** Confirms the watch, then sends retained changes and new ones. A watch from a compacted revision is cancelled. */
  open (onClose: () => void): void {
    this.#response.writeHead(200, { 'content-type': 'application/json' })
    this.#write({ created: true })
    if (this.#fromRevision < this.#state.compactRevision) {
      this.#write({ canceled: true, compact_revision: String(this.#state.compactRevision) })
      this.#response.on('close', onClose)
      this.#response.end()
      return
    }
    this.#report(this.#state.changesFrom(this.#fromRevision, this.#matches))
    const stopListening = this.#state.listen((changes) => { this.#report(changes) })
    this.#response.on('close', () => {
      stopListening()
      this.#timers.forEach((timer) => { clearTimeout(timer) })
      onClose()
    })
  }

  /** Closes the connection. */
  cut (): void {
    this.#response.socket?.destroy()
  }

  #report (changes: readonly StoredVersion[]): void {
    const events = changes
      .filter((change) => change.modRevision >= this.#fromRevision && this.#matches(change.key))
      .map((change) => ({ ...(change.value === undefined ? { type: 'DELETE' } : {}), kv: encodeVersion(change) }))
    if (events.length === 0) {
      return
    }
    const delay = this.#faults().watchDelayMilliseconds
    if (delay === 0) {
      this.#deliver(events)
      return
    }
    const timer = setTimeout(() => {
      this.#timers.delete(timer)
      this.#deliver(events)
    }, delay)
    this.#timers.add(timer)
  }

  /** Sends events. Those that are due during an outage are lost. */
  #deliver (events: object[]): void {
    const { dropWatchEvents, outage } = this.#faults()
    if (!dropWatchEvents && outage === Outage.None) {
      this.#write({ events })
    }
  }

  #write (result: object): void {
    const line = { result: { header: header(this.#state.revision), watch_id: '0', ...result } }
    this.#response.write(`${JSON.stringify(line)}\n`)
  }
}
