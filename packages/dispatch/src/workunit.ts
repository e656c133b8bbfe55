/** Infers the target speed that callers' run time estimates refer to. */
import { UNIT_CERTAIN_TASKS, UNIT_MEMORY_TASKS } from './speeddefaults.ts'

/** Bound to which the log error of a single estimate is clipped. */
const MAX_LOG_ERROR = 1

/**
 * Scales learned speeds so that callers' estimates, from which objectives are derived, are right on average at a target of
 * speed 1. That speed is kept between those of the slowest and the fastest target, so that estimates have no effect on a
 * fleet of equally fast targets, however wrong they are.
 */
export class WorkUnit {
  #tasks = 0
  #mean = 0

  /**
   * @param estimated run time stated by the caller, in milliseconds; 0 when it states none
   * @param ran run time at a target of the fleet's mean speed, in milliseconds
   */
  note (estimated: number, ran: number): void {
    if (estimated <= 0 || ran <= 0) return
    this.#tasks = Math.min(UNIT_MEMORY_TASKS, this.#tasks + 1)
    const logError = Math.log(estimated / ran) - this.#mean
    this.#mean += Math.max(-MAX_LOG_ERROR, Math.min(MAX_LOG_ERROR, logError)) / this.#tasks
  }

  /** Speed of the mean target of the fleet, relative to the targets that callers' estimates refer to. */
  value (slowest: number, fastest: number): number {
    const certain = this.#mean * this.#tasks / (this.#tasks + UNIT_CERTAIN_TASKS)
    return Math.exp(Math.max(-Math.log(fastest), Math.min(-Math.log(slowest), certain)))
  }
}
