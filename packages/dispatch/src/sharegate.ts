/** Lets a part of the jobs of one kind through, evenly, whatever their size. */
import { RETURN_DEBT_LIMIT } from './admissiondefaults.ts'

/** Rounding of the sum of many parts. */
const ROUNDING = 1e-9

/**
 * Each job that arrives adds its part to a credit, and one that is let through takes 1 from it. So no run of chances lets
 * many through or none, and a wide job is let through as often as a small one.
 */
export class ShareGate {
  #credit = 1

  /** @param part of the jobs that may pass, 0 to 1 */
  admits (part: number): boolean {
    if (part >= 1) return this.#admitsAll()
    this.#credit += part
    if (this.#credit < 1 - ROUNDING) return false
    this.#credit -= 1
    return true
  }

  /** Lets a job through before its turn; those that come after wait for it. */
  admitsAhead (part: number): boolean {
    if (part >= 1) return this.#admitsAll()
    this.#credit += part
    const within = this.#credit - 1 >= -RETURN_DEBT_LIMIT
    this.owe()
    return within
  }

  /** A job that had a claim was refused: the next ones that arrive first time make room for its return. */
  owe (): void {
    this.#credit = Math.max(-RETURN_DEBT_LIMIT, this.#credit - 1)
  }

  /** Nobody waits for anybody any more. */
  #admitsAll (): boolean {
    this.#credit = 0
    return true
  }
}
