/** Counters with labels. */
import type { Labels, Sample } from './exposition.ts'

/** One family of counters; the counter of a label combination is created when it is first incremented. */
export class Counters<Label extends string> {
  readonly #names: readonly Label[]
  readonly #samples = new Map<string, { labels: Labels, value: number }>()

  constructor (names: readonly Label[]) {
    this.#names = names
  }

  /** @param values label values, in the order of the label names */
  add (values: readonly string[], amount = 1): void {
    const key = values.join('\n')
    let sample = this.#samples.get(key)
    if (sample === undefined) {
      sample = { labels: Object.fromEntries(this.#names.map((name, index) => [name, values[index] ?? ''])), value: 0 }
      this.#samples.set(key, sample)
    }
    sample.value += amount
  }

  samples (): Iterable<Sample> {
    return this.#samples.values()
  }
}
