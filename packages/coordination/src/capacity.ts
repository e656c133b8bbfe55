/** Measures how many slots one entry actually uses, by the run time of the tasks that end. */
import { CAPACITY_AVERAGING_MILLISECONDS } from './schedulingdefaults.ts'

/** Run time of ended tasks per unit of time, as an exponentially decaying average. */
export class CapacityMeter {
  #rate = 0
  #at = 0

  note (runMilliseconds: number, now: number): void {
    this.#rate = this.slots(now) + runMilliseconds / CAPACITY_AVERAGING_MILLISECONDS
    this.#at = now
  }

  /** Average number of slots in use. */
  slots (now: number): number {
    return this.#rate * Math.exp(-(now - this.#at) / CAPACITY_AVERAGING_MILLISECONDS)
  }
}
