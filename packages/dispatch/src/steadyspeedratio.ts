/** Speed ratio of a target over the last seconds, with its standard error. */
import { CHANGED_SPEED_RATIO, SPEED_RATIO_BATCH_MILLISECONDS, STEADY_HALF_LIFE_MILLISECONDS, TASK_LOG_DEVIATION, MAX_TASK_LOG_ERROR, FULL_WEIGHT_MILLISECONDS } from './speeddefaults.ts'

/** Speed ratio as sent to entries. */
export interface SpeedRatioEstimate {
  /** Speed relative to what entries expect of an average target. */
  pace: number
  /** Standard error of the logarithm of the speed ratio. */
  error: number
}

/** Minimum number of batches for the error to be computed from their spread. */
const MIN_BATCHES = 5

/** Factor on the error of independent tasks while there are too few batches, since tasks of one job have correlated estimation errors. */
const FEW_BATCHES_FACTOR = 1.5

/** Number of half-lives after which a batch is dropped. */
const MAX_BATCH_HALF_LIVES = 3

/**
 * Mean of the logarithms of expected over actual run times. The deviation of each end from the mean is limited, so that the
 * heavy tail of run times has little influence, and the same at all targets. Tasks of one job have similar estimation errors and
 * end together, so the error is computed from the spread of means over half a second, not of single tasks.
 */
export class SteadySpeedRatio {
  #batches: Array<{ at: number, weight: number, sum: number }> = []

  noteEnd (expected: number, ran: number, now: number): void {
    if (expected <= 0 || ran <= 0) return
    const log = Math.log(expected / ran)
    const { mean, weight: knownWeight } = this.#mean(now)
    const limited = knownWeight < 1 ? log : Math.max(mean - MAX_TASK_LOG_ERROR, Math.min(mean + MAX_TASK_LOG_ERROR, log))
    const weight = Math.min(1, expected / FULL_WEIGHT_MILLISECONDS)
    const last = this.#batches.at(-1)
    if (last === undefined || now - last.at >= SPEED_RATIO_BATCH_MILLISECONDS) {
      this.#batches.push({ at: now, weight, sum: limited * weight })
      return
    }
    last.weight += weight
    last.sum += limited * weight
  }

  /**
   * Current estimate; undefined if nothing is known.
   *
   * @param recentRatio recent speed ratio of the target, 0 if unknown. If it is far from the mean of the last seconds, the target
   * has changed and the observations are dropped
   */
  value (recentRatio: number, now: number): SpeedRatioEstimate | undefined {
    const known = this.#estimate(now)
    if (known === undefined) return undefined
    if (recentRatio === 0 || Math.abs(Math.log(Math.max(recentRatio, Number.MIN_VALUE) / known.pace)) < CHANGED_SPEED_RATIO) return known
    this.#batches = []
    return undefined
  }

  #estimate (now: number): SpeedRatioEstimate | undefined {
    const { mean, weight, batches } = this.#mean(now)
    if (weight === 0) return undefined
    const taskError = TASK_LOG_DEVIATION / Math.sqrt(weight)
    if (batches.length < MIN_BATCHES) return { pace: Math.exp(mean), error: taskError * FEW_BATCHES_FACTOR }
    const squares = batches.reduce((sum, batch) => sum + (batch.weight * (batch.mean - mean)) ** 2, 0)
    const batchError = Math.sqrt(squares * batches.length / (batches.length - 1)) / weight
    return { pace: Math.exp(mean), error: Math.max(taskError, batchError) }
  }

  #mean (now: number): { mean: number, weight: number, batches: Array<{ weight: number, mean: number }> } {
    while (this.#batches[0] !== undefined && now - this.#batches[0].at > MAX_BATCH_HALF_LIVES * STEADY_HALF_LIFE_MILLISECONDS) this.#batches.shift()
    const batches: Array<{ weight: number, mean: number }> = []
    let weight = 0
    let sum = 0
    for (const batch of this.#batches) {
      const faded = batch.weight * 2 ** (-(now - batch.at) / STEADY_HALF_LIFE_MILLISECONDS)
      weight += faded
      sum += faded * batch.sum / batch.weight
      batches.push({ weight: faded, mean: batch.sum / batch.weight })
    }
    return { mean: weight === 0 ? 0 : sum / weight, weight, batches }
  }
}
