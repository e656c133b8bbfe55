/** Highest attempt numbers of jobs recently started by an entry. A repeated submission continues from them. */
import { MAX_REMEMBERED_ANSWERS } from './defaults.ts'

/** Keeps the starts of one submission distinct from those of the next, since ends of the earlier starts may arrive late. */
export class Attempts {
  readonly #highest = new Map<string, number>()

  /** The highest attempt number of any task of the job; 0 when none is stored. */
  of (job: string): number {
    return this.#highest.get(job) ?? 0
  }

  remember (job: string, attempt: number): void {
    this.#highest.delete(job)
    this.#highest.set(job, attempt)
    if (this.#highest.size <= MAX_REMEMBERED_ANSWERS) return
    const oldest = this.#highest.keys().next().value
    if (oldest !== undefined) this.#highest.delete(oldest)
  }
}
