/** Lines of what was sent, answered and run, with milliseconds since the start, for `record.txt` of a case. */
import { writeFileSync } from 'node:fs'

export class Record {
  #lines = []
  #startedAt = performance.now()

  note (text) {
    const at = Math.round(performance.now() - this.#startedAt)
    this.#lines.push(`${String(at).padStart(6)} ${text}`)
  }

  /** Converts a time of `performance.now()` into the milliseconds that the lines show. */
  timeOf (at) {
    return Math.round(at - this.#startedAt)
  }

  write (path) {
    writeFileSync(path, `${this.#lines.join('\n')}\n`)
  }
}
