/** Transfer of one document from a peer, part by part. */
import type { ConfigurationMessage } from './messages.ts'
import { MAX_DOCUMENT_SIZE, PART_TIMEOUT_MILLISECONDS } from './defaults.ts'

type Part = Extract<ConfigurationMessage, { type: 'part' }>

/** Collects the parts of a packed document in order and tracks the deadline of the next part. */
export class DocumentFetch {
  readonly peer: string
  readonly version: number
  readonly #parts: string[] = []
  #received = 0
  #dueAt: number

  constructor (peer: string, version: number, now: number) {
    this.peer = peer
    this.version = version
    this.#dueAt = now + PART_TIMEOUT_MILLISECONDS
  }

  /** Message that requests the next part. */
  get request (): ConfigurationMessage {
    return { type: 'fetch', version: this.version, offset: this.#received }
  }

  /** Whether the received parts exceed the maximum document size. */
  get isTooLarge (): boolean {
    return this.#received > MAX_DOCUMENT_SIZE
  }

  /** Whether the requested part has timed out. */
  isOverdue (now: number): boolean {
    return now >= this.#dueAt
  }

  /** Whether this is the requested part. */
  expects (peer: string, { version, offset, text }: Part): boolean {
    return peer === this.peer && version === this.version && offset === this.#received && text !== ''
  }

  /** Adds the next part. Returns the complete packed document if it was the last part. */
  addPart ({ text, total }: Part, now: number): string | undefined {
    this.#parts.push(text)
    this.#received += text.length
    this.#dueAt = now + PART_TIMEOUT_MILLISECONDS
    return this.#received >= total ? this.#parts.join('') : undefined
  }
}
