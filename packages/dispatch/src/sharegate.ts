/** Admits a fraction of a queue's jobs, evenly spread, whatever their size. */
import { MAX_RETURN_DEBT } from './admissiondefaults.ts'

/** Tolerance for rounding in the sum of many fractions. */
const ROUNDING = 1e-9

/**
 * Each arriving job adds the fraction to a credit, and each admitted job takes 1 from it. Unlike random choice, this
 * cannot admit or refuse long runs of jobs, and a wide job is admitted as often as a small one.
 */
export class ShareGate {
  #credit = 1

  /** @param fraction fraction of the jobs to admit, 0 to 1 */
  admits (fraction: number): boolean {
    if (fraction >= 1) return this.#admitsAll()
    this.#credit += fraction
    if (this.#credit < 1 - ROUNDING) return false
    this.#credit -= 1
    return true
  }

  /** Admits a job ahead of its turn; later first arrivals make up for it. */
  admitsAhead (fraction: number): boolean {
    if (fraction >= 1) return this.#admitsAll()
    this.#credit += fraction
    const within = this.#credit - 1 >= -MAX_RETURN_DEBT
    this.charge()
    return within
  }

  /** Charges a refused job that had precedence: later first arrivals make up for its return. */
  charge (): void {
    this.#credit = Math.max(-MAX_RETURN_DEBT, this.#credit - 1)
  }

  /** Admits everything and resets the credit. */
  #admitsAll (): boolean {
    this.#credit = 0
    return true
  }
}
