/** Timeline of one job across all processes. */
import type { LogLine } from './logline.ts'
import { jobOf, processOf } from './logline.ts'

/** Collects the lines of one job. Memory use does not depend on the length of the logs. */
export class JobTimeline {
  readonly #job: string
  readonly #lines: LogLine[] = []

  constructor (job: string) {
    this.#job = job
  }

  add (line: LogLine): void {
    if (jobOf(line) === this.#job) this.#lines.push(line)
  }

  /** Lines ordered by time; lines with the same time stay in the order in which they were read. */
  get lines (): readonly LogLine[] {
    return [...this.#lines].sort((one, other) => one.at - other.at)
  }

  /** Returns the timeline as text lines: milliseconds since the first line, process, decision and fields. */
  text (): string[] {
    const { lines } = this
    const begin = lines[0]?.at ?? 0
    return lines.map(line => `${String(line.at - begin).padStart(7)} ms  ${processOf(line)}  ${line.what}${describe(line.fields)}`)
  }
}

function describe (fields: LogLine['fields']): string {
  const parts = Object.entries(fields).filter(([name]) => name !== 'job').map(([name, value]) => `${name} ${typeof value === 'string' ? value : JSON.stringify(value)}`)
  return parts.length === 0 ? '' : `: ${parts.join(', ')}`
}
