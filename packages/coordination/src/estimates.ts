/**
 * Run times learned from outcomes and from the run times that callers declare, weighted by how well
 * declarations have predicted the outcomes.
 *
 * Declared run times can be off by a factor of ten either way. In logarithms a constant factor is a
 * constant difference, so a running linear regression of the true on the declared run time corrects
 * declarations that are always off by the same factor. It ignores declarations with random errors: the
 * slope falls to 0 and the learned mean remains.
 */
import { ESTIMATE_SMOOTHING, ESTIMATE_WARM_UP, PEAK_RUN_DECAY, MIN_RUN_MILLISECONDS, DEFAULT_RUN_MILLISECONDS } from './schedulingdefaults.ts'

function logarithm (milliseconds: number): number {
  return Math.log(Math.max(MIN_RUN_MILLISECONDS, milliseconds))
}

/** Run times of one tenant's tasks of one service. */
class RunTimeModel {
  #outcomes = 0
  #mean = DEFAULT_RUN_MILLISECONDS
  /** Longest recent run time, which decays slowly. Predictions from declarations never exceed it. */
  #longest = 0
  #logRun = 0
  #logDeclared = 0
  #varianceDeclared = 0
  #covariance = 0
  #declaredOutcomes = 0
  /** Mean ratio of true to predicted run time: corrects a prediction in logarithms to a mean. */
  #bias = 1

  learn (declared: number, run: number): void {
    this.#updateBias(declared, run)
    this.#outcomes += 1
    this.#longest = Math.max(run, this.#longest * PEAK_RUN_DECAY)
    const rate = Math.max(ESTIMATE_SMOOTHING, 1 / this.#outcomes)
    this.#mean += (run - this.#mean) * rate
    if (declared <= 0) return
    this.#updateRegression(logarithm(declared), logarithm(run))
  }

  mean (): number {
    return this.#mean
  }

  predict (declared: number): number {
    if (declared <= 0) return this.#mean
    if (this.#declaredOutcomes < ESTIMATE_WARM_UP) return this.#outcomes < ESTIMATE_WARM_UP ? declared : this.#mean
    return Math.min(this.#longest, Math.exp(this.#regress(declared)) * this.#bias)
  }

  #updateBias (declared: number, run: number): void {
    if (declared <= 0 || this.#declaredOutcomes < ESTIMATE_WARM_UP) return
    const ratio = run / Math.exp(this.#regress(declared))
    this.#bias += (Math.min(ratio, 20) - this.#bias) * ESTIMATE_SMOOTHING
  }

  #updateRegression (declared: number, run: number): void {
    this.#declaredOutcomes += 1
    const rate = Math.max(ESTIMATE_SMOOTHING, 1 / this.#declaredOutcomes)
    const fromDeclared = declared - this.#logDeclared
    const fromRun = run - this.#logRun
    this.#logDeclared += rate * fromDeclared
    this.#logRun += rate * fromRun
    this.#varianceDeclared += rate * ((1 - rate) * fromDeclared * fromDeclared - this.#varianceDeclared)
    this.#covariance += rate * ((1 - rate) * fromDeclared * fromRun - this.#covariance)
  }

  #regress (declared: number): number {
    const slope = this.#varianceDeclared < 1e-6 ? 0 : this.#covariance / this.#varianceDeclared
    const bounded = Math.max(0, Math.min(1, slope))
    return this.#logRun + bounded * (logarithm(declared) - this.#logDeclared)
  }
}

/** Run time estimates by tenant and service. */
export class RunTimeEstimates {
  readonly #models = new Map<string, RunTimeModel>()

  /** Expected run time in milliseconds. `declared` is 0 when the caller declares nothing. */
  predict (tenant: string, service: string, declared: number): number {
    const model = this.#models.get(`${tenant}/${service}`)
    if (model !== undefined) return model.predict(declared)
    return declared > 0 ? declared : DEFAULT_RUN_MILLISECONDS
  }

  /** Mean run time of the tenant's tasks of the service, in milliseconds. */
  mean (tenant: string, service: string): number {
    return this.#models.get(`${tenant}/${service}`)?.mean() ?? DEFAULT_RUN_MILLISECONDS
  }

  /** Records the true run time of a task that succeeded. */
  learn (tenant: string, service: string, declared: number, run: number): void {
    const key = `${tenant}/${service}`
    let model = this.#models.get(key)
    if (model === undefined) {
      model = new RunTimeModel()
      this.#models.set(key, model)
    }
    model.learn(declared, run)
  }
}
