/** Buffered output of log lines. Lines are written in batches, and dropped when the reader does not read. */
import { destination } from 'pino'

/** Number of bytes that are written together. */
const WRITE_BYTES = 4096

type Destination = ReturnType<typeof destination>

export class LineOutput {
  readonly #out: Destination
  #pendingCharacters = 0

  /**
   * @param descriptor file descriptor to write to
   * @param limit maximum number of bytes buffered for the reader
   * @param dropped called for each line that is dropped beyond the limit
   */
  constructor (descriptor: number, limit: number, dropped: () => void) {
    this.#out = destination({ dest: descriptor, sync: false, minLength: WRITE_BYTES, maxLength: limit })
    this.#out.on('drop', (line: string) => {
      this.#pendingCharacters -= line.length
      dropped()
    })
    this.#out.on('write', (bytes: number) => { this.#pendingCharacters = Math.max(0, this.#pendingCharacters - bytes) })
  }

  /** Number of buffered characters. */
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

  /** Writes all buffered lines and blocks until that is done. */
  flushSync (): void {
    this.#out.flushSync()
  }
}
