/** Checks that refuse a job on arrival, independent of the load. */
import type { Admission } from './admission.ts'
import type { Answer } from './entrytypes.ts'
import type { Fleet } from './fleet.ts'
import type { JobRequest } from './job.ts'
import { refused } from './answers.ts'
import { MAX_RETRY_AFTER_MILLISECONDS, MIN_RETRY_AFTER_MILLISECONDS } from './defaults.ts'
import { Reason } from './entrytypes.ts'
import { longestChain } from './job.ts'
import { fits } from './resources.ts'

/**
 * Time that a job accepted while stopping must leave before the end of the grace period, in milliseconds: it may have
 * to wait, and answers are sent 600 ms before the end.
 */
const GRACE_RESERVE_MILLISECONDS = 1200

/**
 * Safety factor on the estimate of a job accepted while stopping: estimates are off by 40%. The load balancer still
 * sends new callers here for a while. A job that is nevertheless cut off is answered as not finished, and its caller
 * submits it to another entry.
 */
const STOP_ESTIMATE_FACTOR = 1.4

export class Intake {
  readonly #fleet: Fleet
  readonly #admission: Admission

  constructor (fleet: Fleet, admission: Admission) {
    this.#fleet = fleet
    this.#admission = admission
  }

  /**
   * Returns the refusal of an arriving job, or undefined if it may be accepted.
   *
   * @param endsAt time by which every job must be answered; undefined until a stop is ordered
   */
  refusal (request: JobRequest, endsAt: number | undefined, now: number): Answer | undefined {
    const { queue, steps } = request
    if (endsAt !== undefined && this.#cannotFinishBeforeStop(request, endsAt, now)) return refused(Reason.Stopping, MIN_RETRY_AFTER_MILLISECONDS)
    const known = this.#fleet.known(queue.service)
    if (known.length === 0) return undefined
    const unfit = steps.some(step => !known.some(({ largest }) => fits(step.needs, largest)))
    if (unfit) return refused(Reason.NeverRunnable, MAX_RETRY_AFTER_MILLISECONDS)
    return this.#fleet.isFullyEvacuated(queue.service) ? refused(Reason.Evacuated, MAX_RETRY_AFTER_MILLISECONDS) : undefined
  }

  #cannotFinishBeforeStop ({ queue, steps }: JobRequest, endsAt: number, now: number): boolean {
    const chain = longestChain(steps, this.#admission.expected(queue, steps))
    return now + chain * STOP_ESTIMATE_FACTOR > endsAt - GRACE_RESERVE_MILLISECONDS
  }
}
