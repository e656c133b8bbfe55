/** Highest attempts of jobs that an entry began lately: a further submission counts on from them. */
import { MAX_REMEMBERED_ANSWERS } from './defaults.ts'

/** Tells the starts of one submission from those of the next, whose ends may arrive late. */
export class Attempts {
  readonly #highest = new Map<string, number>()

  /** The highest number of a start of any task of the job; 0 when none is remembered. */
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
