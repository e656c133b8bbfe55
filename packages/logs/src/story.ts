/** One job's story over all processes. */
import type { LogLine } from './logline.ts'
import { jobOf, processOf } from './logline.ts'

/** Collects the lines of one job; holds nothing else, however long the logs are. */
export class JobTimeline {
  readonly #job: string
  readonly #lines: LogLine[] = []

  constructor (job: string) {
    this.#job = job
  }

  add (line: LogLine): void {
    if (jobOf(line) === this.#job) this.#lines.push(line)
  }

  /** Lines in the order of their times; those of one time in the order in which they were read. */
  get lines (): readonly LogLine[] {
    return [...this.#lines].sort((one, other) => one.at - other.at)
  }

  /** The story for a person: milliseconds from its first line, the process, what it decided and why. */
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
