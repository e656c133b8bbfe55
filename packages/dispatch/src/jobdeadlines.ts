/** Which open jobs have to be given up because their callers are about to go. */
import type { Job } from './job.ts'
import { ANSWER_MARGIN_MILLISECONDS } from './defaults.ts'
import { JobState } from './job.ts'

export class JobDeadlines {
  /** None is due before that. */
  #next = Infinity

  opened (job: Job): void {
    this.#next = Math.min(this.#next, endOf(job))
  }

  due (jobs: Iterable<Job>, now: number): Job[] {
    if (now < this.#next) return []
    this.#next = Infinity
    const due: Job[] = []
    for (const job of jobs) {
      if (job.state !== JobState.Open) continue
      if (now >= endOf(job)) due.push(job)
      else this.opened(job)
    }
    return due
  }
}

/** Time is kept for the way of the answer. */
function endOf ({ deadline }: Job): number {
  return deadline - ANSWER_MARGIN_MILLISECONDS
}
