/**
 * Decides whether a queued job should be refused early.
 *
 * Applies when the load exceeds what the fleet can serve. A job that can no longer be in time is refused at once, so
 * that the caller can still react. While other jobs wait, a job that could only start at the last moment is refused as
 * well: estimates are off by 40%, so it would be late in half of the cases after using its capacity. How early depends
 * on recent outcomes: the whole margin under a lasting burst, none while nearly every job is served in time.
 */
import type { Job, Step } from './job.ts'
import type { Policy } from './policy.ts'
import type { Pressure } from './pressure.ts'
import type { Queue } from './queues.ts'
import { RunTimeEstimates } from '@amaranthmast/coordination/estimates'
import { ANSWER_MARGIN_MILLISECONDS, LATE_FACTOR } from './defaults.ts'
import { Reason } from './entrytypes.ts'
import { longestChain, TaskState } from './job.ts'

export class Admission {
  readonly #policy: Pick<Policy, 'refusesLate' | 'refusalMargin' | 'wholeMarginShare'>
  readonly #pressure: Pressure
  readonly #estimates = new RunTimeEstimates()

  constructor (policy: Pick<Policy, 'refusesLate' | 'refusalMargin' | 'wholeMarginShare'>, pressure: Pressure) {
    this.#policy = policy
    this.#pressure = pressure
  }

  /** Records the run time of a task of the step, in milliseconds at an average target. */
  learn ({ name, service }: Queue, step: Step, ran: number): void {
    this.#estimates.learn(name, service, step.estimated, ran)
  }

  /** Expected run times of the steps' tasks, in milliseconds. */
  expected ({ name, service }: Queue, steps: readonly Step[]): number[] {
    return steps.map(step => this.#estimates.predict(name, service, step.estimated))
  }

  /** Mean run time of a queue's tasks, in milliseconds. */
  meanRun (name: string, service: string): number {
    return this.#estimates.mean(name, service)
  }

  /** Computes when the job must start, and until when it is kept while others wait. */
  estimate (job: Job, now: number): void {
    const { queue, steps } = job.request
    job.expected = this.expected(queue, steps)
    const stepsDone = new Set(steps.keys())
    for (const task of job.tasks) if (task.state !== TaskState.Done) stepsDone.delete(task.step)
    const whole = longestChain(steps, job.expected)
    job.chain = longestChain(steps, job.expected, step => stepsDone.has(step))
    job.objectiveAt = job.arrivedAt + queue.slackFactor * whole + queue.latency
    job.overdueAt = Math.min(job.arrivedAt + LATE_FACTOR * (job.objectiveAt - job.arrivedAt), job.deadline)
    job.startBy = Math.min(job.objectiveAt, job.deadline - ANSWER_MARGIN_MILLISECONDS) - job.chain
    job.keptUntil = this.#keptUntil(job, now)
  }

  /** Returns why the job should be refused now; `Reason.None` if it should be kept. */
  refusalReason (job: Job, othersWait: boolean, now: number): Reason {
    if (now + job.chain > job.deadline) return Reason.Deadline
    if (now + job.chain > job.overdueAt) return Reason.Overload
    return this.#policy.refusesLate && othersWait && now > this.#keptUntil(job, now) ? Reason.Overload : Reason.None
  }

  #keptUntil (job: Job, now: number): number {
    const { refusalMargin, wholeMarginShare } = this.#policy
    const fraction = wholeMarginShare === 0 ? 1 : Math.min(1, this.#pressure.missedFraction(now) / wholeMarginShare)
    return job.startBy - refusalMargin * fraction * (job.objectiveAt - job.arrivedAt)
  }
}
