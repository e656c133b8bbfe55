/** Where lines of the log leave the process: written together, and dropped when their reader does not read. */
import { destination } from 'pino'

/** Bytes that are written together. */
const WRITE_BYTES = 4096

type Destination = ReturnType<typeof destination>

export class LineOutput {
  readonly #out: Destination
  #pendingCharacters = 0

  /**
   * @param descriptor of the file that is written to
   * @param limit bytes that may wait for the reader
   * @param dropped is told of each line beyond that
   */
  constructor (descriptor: number, limit: number, dropped: () => void) {
    this.#out = destination({ dest: descriptor, sync: false, minLength: WRITE_BYTES, maxLength: limit })
    this.#out.on('drop', (line: string) => {
      this.#pendingCharacters -= line.length
      dropped()
    })
    this.#out.on('write', (bytes: number) => { this.#pendingCharacters = Math.max(0, this.#pendingCharacters - bytes) })
  }

  /** Characters that wait to be written. */
  get waiting (): number {
    return this.#pendingCharacters
  }

  write (line: string): void {
    this.#pendingCharacters += line.length
    this.#out.write(line)
  }

  flush (): void {
    this.#out.flush()
  }

  /** Writes out what waits, however long that takes. */
  flushSync (): void {
    this.#out.flushSync()
  }
}
