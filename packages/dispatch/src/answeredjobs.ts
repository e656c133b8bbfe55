/** Keeps the answers of ended jobs, for repeated submissions and state requests. */
import type { Answer } from './entrytypes.ts'
import { MAX_REMEMBERED_ANSWERS } from './defaults.ts'

export class AnsweredJobs {
  readonly #answers = new Map<string, Answer>()

  get (id: string): Answer | undefined {
    return this.#answers.get(id)
  }

  /** Stores an answer; beyond `MAX_REMEMBERED_ANSWERS` the oldest is dropped. */
  remember (id: string, answer: Answer): void {
    this.#answers.set(id, answer)
    if (this.#answers.size <= MAX_REMEMBERED_ANSWERS) return
    const oldest = this.#answers.keys().next().value
    if (oldest !== undefined) this.#answers.delete(oldest)
  }
}
