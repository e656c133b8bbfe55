/** What callers mean by a millisecond of work: the speed of target by which their estimates hold. */
import { UNIT_CERTAIN_TASKS, UNIT_MEMORY_TASKS } from './speeddefaults.ts'

/** An estimate counts as off by this much at most, in the logarithm. */
const LIMIT = 1

/**
 * Objectives follow from callers' estimates, so a speed of 1 is that of a target at which these are right in the mean. It lies
 * between the slowest and the fastest target of the fleet: where these are equally fast, estimates change nothing, whatever
 * they are worth.
 */
export class WorkUnit {
  #tasks = 0
  #mean = 0

  /**
   * @param estimated as the caller states it, 0 when it states nothing
   * @param ran run time at a target of the fleet's mean speed, in milliseconds
   */
  note (estimated: number, ran: number): void {
    if (estimated <= 0 || ran <= 0) return
    this.#tasks = Math.min(UNIT_MEMORY_TASKS, this.#tasks + 1)
    const off = Math.log(estimated / ran) - this.#mean
    this.#mean += Math.max(-LIMIT, Math.min(LIMIT, off)) / this.#tasks
  }

  /** Speed of the fleet's mean, against the targets by which callers estimate. */
  value (slowest: number, fastest: number): number {
    const certain = this.#mean * this.#tasks / (this.#tasks + UNIT_CERTAIN_TASKS)
    return Math.exp(Math.max(-Math.log(fastest), Math.min(-Math.log(slowest), certain)))
  }
}
