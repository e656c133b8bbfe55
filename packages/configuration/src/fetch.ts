/** One document on its way from another entry, part by part. */
import type { ConfigurationMessage } from './messages.ts'
import { DOCUMENT_LIMIT, PART_LIMIT_MILLISECONDS } from './defaults.ts'

type Part = Extract<ConfigurationMessage, { type: 'part' }>

export class Fetch {
  readonly peer: string
  readonly version: number
  readonly #parts: string[] = []
  #received = 0
  #due: number

  constructor (peer: string, version: number, now: number) {
    this.peer = peer
    this.version = version
    this.#due = now + PART_LIMIT_MILLISECONDS
  }

  /** The message that asks for the next part. */
  get request (): ConfigurationMessage {
    return { type: 'fetch', version: this.version, offset: this.#received }
  }

  get isTooLarge (): boolean {
    return this.#received > DOCUMENT_LIMIT
  }

  isOverdue (now: number): boolean {
    return now >= this.#due
  }

  /** Whether this is the part that was asked for. */
  expects (peer: string, { version, offset, text }: Part): boolean {
    return peer === this.peer && version === this.version && offset === this.#received && text !== ''
  }

  /** Takes the next part in; gives the whole text when it was the last. */
  take ({ text, total }: Part, now: number): string | undefined {
    this.#parts.push(text)
    this.#received += text.length
    this.#due = now + PART_LIMIT_MILLISECONDS
    return this.#received >= total ? this.#parts.join('') : undefined
  }
}
