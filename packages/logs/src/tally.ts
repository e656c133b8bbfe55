/** Counts lost jobs by cause, time, entry and agent, in bounded memory. */
import type { LostJob } from './losses.ts'

export interface CountedKey {
  key: string
  count: number
}

/** Maximum number of lost jobs that are kept as examples of each cause. */
const MAX_EXAMPLES = 3

const MILLISECONDS_PER_SECOND = 1000

export class Tally {
  readonly #byCause = new Map<string, number>()
  readonly #bySecond = new Map<string, number>()
  readonly #byEntry = new Map<string, number>()
  readonly #byAgent = new Map<string, number>()
  readonly #examples = new Map<string, string[]>()
  total = 0

  add ({ job, loss, cause, at, entry, agents }: LostJob): void {
    this.total += 1
    const what = `${loss} ${cause}`
    count(this.#byCause, what)
    count(this.#bySecond, `${new Date(Math.floor(at / MILLISECONDS_PER_SECOND) * MILLISECONDS_PER_SECOND).toISOString()} ${loss}`)
    count(this.#byEntry, `${entry} ${loss}`)
    for (const agent of agents) count(this.#byAgent, `${agent} ${loss}`)
    const examples = this.#examples.get(what) ?? []
    if (examples.length < MAX_EXAMPLES) this.#examples.set(what, [...examples, job])
  }

  /** Losses with their causes, most frequent first. */
  get byCause (): Array<CountedKey & { examples: string[] }> {
    return ranked(this.#byCause).map(row => ({ ...row, examples: this.#examples.get(row.key) ?? [] }))
  }

  /** Losses by second, in order of time. */
  get bySecond (): CountedKey[] {
    return ranked(this.#bySecond).sort((one, other) => one.key < other.key ? -1 : 1)
  }

  get byEntry (): CountedKey[] {
    return ranked(this.#byEntry)
  }

  /** Agents at which starts of tasks of lost jobs failed. */
  get byAgent (): CountedKey[] {
    return ranked(this.#byAgent)
  }
}

function count (counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1)
}

function ranked (counts: ReadonlyMap<string, number>): CountedKey[] {
  return [...counts].map(([key, value]) => ({ key, count: value })).sort((one, other) => other.count - one.count)
}
