/** How much work arrives in each second, of each of several names. */
import { DEMAND_NAMES_LIMIT, DEMAND_WINDOW_MILLISECONDS } from './admissiondefaults.ts'

interface Sum {
  /** Work that has arrived, the older the less. */
  work: number
  at: number
}

/** Work is in cores times milliseconds, so that its rate is in cores. */
export class DemandMeter {
  readonly #sums = new Map<string, Sum>()

  /** Counts work that arrives now; beyond a bound of names the one that arrived least lately is forgotten. */
  note (name: string, work: number, now: number): void {
    const sum = { work: this.#workOf(name, now) + work, at: now }
    this.#sums.delete(name)
    this.#sums.set(name, sum)
    if (this.#sums.size <= DEMAND_NAMES_LIMIT) return
    const oldest = this.#sums.keys().next().value
    if (oldest !== undefined) this.#sums.delete(oldest)
  }

  /** In cores. */
  rate (name: string, now: number): number {
    return this.#workOf(name, now) / DEMAND_WINDOW_MILLISECONDS
  }

  names (): string[] {
    return [...this.#sums.keys()]
  }

  #workOf (name: string, now: number): number {
    const sum = this.#sums.get(name)
    return sum === undefined ? 0 : sum.work * Math.exp((sum.at - now) / DEMAND_WINDOW_MILLISECONDS)
  }
}
