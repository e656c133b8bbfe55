/** Measures the rate at which work arrives, by name. */
import { MAX_DEMAND_NAMES, DEMAND_WINDOW_MILLISECONDS } from './admissiondefaults.ts'

interface Sum {
  /** Sum of the work that has arrived, with exponential decay. */
  work: number
  at: number
}

/** Work is measured in cores times milliseconds, so that its rate is in cores. */
export class DemandMeter {
  readonly #sums = new Map<string, Sum>()

  /** Counts work that arrives now. Beyond `MAX_DEMAND_NAMES` the name with the oldest arrival is dropped. */
  note (name: string, work: number, now: number): void {
    const sum = { work: this.#decayedWork(name, now) + work, at: now }
    this.#sums.delete(name)
    this.#sums.set(name, sum)
    if (this.#sums.size <= MAX_DEMAND_NAMES) return
    const oldest = this.#sums.keys().next().value
    if (oldest !== undefined) this.#sums.delete(oldest)
  }

  /** Current rate of a name, in cores. */
  rate (name: string, now: number): number {
    return this.#decayedWork(name, now) / DEMAND_WINDOW_MILLISECONDS
  }

  names (): string[] {
    return [...this.#sums.keys()]
  }

  #decayedWork (name: string, now: number): number {
    const sum = this.#sums.get(name)
    return sum === undefined ? 0 : sum.work * Math.exp((sum.at - now) / DEMAND_WINDOW_MILLISECONDS)
  }
}
