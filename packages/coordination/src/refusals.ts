/** Refusals sent earlier: a copy of the same submission gets the same refusal. */
import type { Attachment } from './execution.ts'
import type { Answer } from './messages.ts'

interface RememberedRefusal {
  answer: Answer
  at: number
}

function submissionName ({ entry, submission }: Attachment): string {
  return `${entry}/${submission}`
}

/** Holds refusals for the retention time. */
export class Refusals {
  readonly #retention: number
  /** Oldest first. */
  readonly #refusals = new Map<string, RememberedRefusal>()

  constructor (retention: number) {
    this.#retention = retention
  }

  keep (to: Attachment, answer: Answer, now: number): void {
    this.#refusals.set(submissionName(to), { answer, at: now })
  }

  /** The refusal that this request received earlier. */
  of (from: Attachment): Answer | undefined {
    return this.#refusals.get(submissionName(from))?.answer
  }

  expire (now: number): void {
    for (const [name, refusal] of this.#refusals) {
      if (now - refusal.at <= this.#retention) return
      this.#refusals.delete(name)
    }
  }
}
