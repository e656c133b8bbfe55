/** Weighted median speed ratio of a target's tasks. A few tasks that take many times as long as expected have no influence on it. */
import type { HeldTask } from './heldtasks.ts'
import { TYPICAL_HALF_LIFE_MILLISECONDS, TYPICAL_REVIEW_MILLISECONDS, TYPICAL_TASKS, MAX_TYPICAL_WEIGHT_MILLISECONDS } from './speeddefaults.ts'

interface Sample {
  /** Expected work done and the time that it took, in milliseconds, with exponential decay. */
  work: number
  time: number
  at: number
}

/** Observed time below which a decayed sample is dropped, in milliseconds. */
const MIN_SAMPLE_MILLISECONDS = 5

/**
 * The weight of a task is the time for which it was observed, up to a limit. A task that runs seven times as long as expected
 * weighs no more than an ordinary one, while at a target that has become slow all running tasks together outweigh the ended ones.
 */
export class MedianSpeedRatio {
  readonly #samples = new Map<HeldTask, Sample>()
  #value = 0
  #valueAt = Number.NEGATIVE_INFINITY

  observe (held: HeldTask, work: number, time: number, now: number): void {
    const sample = this.#samples.get(held)
    if (sample === undefined) this.#samples.set(held, { work, time, at: now })
    else addToSample(sample, work, time, now)
    if (this.#samples.size <= TYPICAL_TASKS) return
    const oldest = this.#samples.keys().next().value
    if (oldest !== undefined) this.#samples.delete(oldest)
  }

  /** Speed relative to the expected one; 0 if nothing was observed. */
  value (now: number): number {
    if (now - this.#valueAt < TYPICAL_REVIEW_MILLISECONDS) return this.#value
    this.#valueAt = now
    this.#value = this.#median(now)
    return this.#value
  }

  #median (now: number): number {
    const rates: Array<{ rate: number, weight: number }> = []
    let totalWeight = 0
    for (const [held, sample] of this.#samples) {
      addToSample(sample, 0, 0, now)
      if (sample.time < MIN_SAMPLE_MILLISECONDS) {
        this.#samples.delete(held)
        continue
      }
      const weight = Math.min(sample.time, MAX_TYPICAL_WEIGHT_MILLISECONDS)
      totalWeight += weight
      rates.push({ rate: sample.work / sample.time, weight })
    }
    rates.sort((one, other) => one.rate - other.rate)
    let cumulativeWeight = 0
    for (const { rate, weight } of rates) {
      cumulativeWeight += weight
      if (2 * cumulativeWeight >= totalWeight) return rate
    }
    return 0
  }
}

function addToSample (sample: Sample, work: number, time: number, now: number): void {
  const factor = 2 ** (-(now - sample.at) / TYPICAL_HALF_LIFE_MILLISECONDS)
  sample.work = sample.work * factor + work
  sample.time = sample.time * factor + time
  sample.at = now
}
