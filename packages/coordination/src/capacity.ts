/** How many slots one entry really gets, learned from the run time of the tasks that it settles. */
import { CAPACITY_MILLISECONDS } from './schedulingdefaults.ts'

/** Run time settled per unit of time, averaged over the last moments. */
export class CapacityMeter {
  #rate = 0
  #at = 0

  note (runMilliseconds: number, now: number): void {
    this.#rate = this.slots(now) + runMilliseconds / CAPACITY_MILLISECONDS
    this.#at = now
  }

  /** Slots held on average. */
  slots (now: number): number {
    return this.#rate * Math.exp(-(now - this.#at) / CAPACITY_MILLISECONDS)
  }
}
