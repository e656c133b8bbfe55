/** Finds the open jobs that must be answered because their callers are about to stop waiting. */
import type { Job } from './job.ts'
import { ANSWER_MARGIN_MILLISECONDS } from './defaults.ts'
import { JobState } from './job.ts'

export class JobDeadlines {
  /** No job is due before this time. */
  #earliest = Infinity

  opened (job: Job): void {
    this.#earliest = Math.min(this.#earliest, answerBy(job))
  }

  due (jobs: Iterable<Job>, now: number): Job[] {
    if (now < this.#earliest) return []
    this.#earliest = Infinity
    const due: Job[] = []
    for (const job of jobs) {
      if (job.state !== JobState.Open) continue
      if (now >= answerBy(job)) due.push(job)
      else this.opened(job)
    }
    return due
  }
}

/** Latest time to answer a job: the transfer of the answer is reserved. */
function answerBy ({ deadline }: Job): number {
  return deadline - ANSWER_MARGIN_MILLISECONDS
}
