/** Checks that an answer `failed` rests on failures that targets have listed. */

/** Listed failures of all tasks, as the targets' own records have them. */
export class FailureCheck {
  /** Number of runs that targets have listed as failed, by job and task. */
  readonly #failures = new Map<string, Map<string, number>>()

  /** Records that a target has listed a run of the task as failed. */
  recordFailure (task: string): void {
    const job = task.slice(0, task.indexOf('.'))
    const ofJob = this.#failures.get(job) ?? new Map<string, number>()
    ofJob.set(task, (ofJob.get(task) ?? 0) + 1)
    this.#failures.set(job, ofJob)
  }

  /** Describes the violation if the job may not be answered as failed yet: none of its tasks has that many listed failures. */
  violationOfFailed (job: string, attempts: number): string | undefined {
    const most = Math.max(0, ...this.#failures.get(job)?.values() ?? [])
    return most >= attempts ? undefined : `${job} is answered as failed after at most ${most} listed failures of one task, ${attempts} are required`
  }
}
