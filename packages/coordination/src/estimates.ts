/**
 * Run times learned from outcomes, with what callers declare weighed in by how well it has
 * predicted so far.
 *
 * Declared run times are off by ten times either way. In logarithms a constant factor is a constant
 * difference, so a running linear regression of the true on the declared run time corrects a
 * declaration that is wrong by the same factor each time, and ignores one that is wrong at random:
 * its slope falls to nothing and the learned mean remains.
 */
import { ESTIMATE_RATE, ESTIMATE_WARM_UP, LONGEST_RUN_DECAY, SMALLEST_RUN_MILLISECONDS, UNKNOWN_RUN_MILLISECONDS } from './schedulingdefaults.ts'

function logarithm (milliseconds: number): number {
  return Math.log(Math.max(SMALLEST_RUN_MILLISECONDS, milliseconds))
}

/** What is known about the run times of one kind of task. */
class RunTimeModel {
  #outcomes = 0
  #mean = UNKNOWN_RUN_MILLISECONDS
  /** Longest run lately: no declaration is believed beyond it. */
  #longest = 0
  #logRun = 0
  #logDeclared = 0
  #varianceDeclared = 0
  #covariance = 0
  #declaredOutcomes = 0
  /** Mean of true over predicted run time: turns a prediction in logarithms into a mean. */
  #bias = 1

  learn (declared: number, run: number): void {
    this.#learnRatio(declared, run)
    this.#outcomes += 1
    this.#longest = Math.max(run, this.#longest * LONGEST_RUN_DECAY)
    const rate = Math.max(ESTIMATE_RATE, 1 / this.#outcomes)
    this.#mean += (run - this.#mean) * rate
    if (declared <= 0) return
    this.#learnDeclared(logarithm(declared), logarithm(run))
  }

  mean (): number {
    return this.#mean
  }

  predict (declared: number): number {
    if (declared <= 0) return this.#mean
    if (this.#declaredOutcomes < ESTIMATE_WARM_UP) return this.#outcomes < ESTIMATE_WARM_UP ? declared : this.#mean
    return Math.min(this.#longest, Math.exp(this.#regress(declared)) * this.#bias)
  }

  #learnRatio (declared: number, run: number): void {
    if (declared <= 0 || this.#declaredOutcomes < ESTIMATE_WARM_UP) return
    const ratio = run / Math.exp(this.#regress(declared))
    this.#bias += (Math.min(ratio, 20) - this.#bias) * ESTIMATE_RATE
  }

  #learnDeclared (declared: number, run: number): void {
    this.#declaredOutcomes += 1
    const rate = Math.max(ESTIMATE_RATE, 1 / this.#declaredOutcomes)
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

/** Run times by tenant and service. */
export class RunTimeEstimates {
  readonly #models = new Map<string, RunTimeModel>()

  /** Expected run time in milliseconds. `declared` is 0 when the caller declares nothing. */
  predict (tenant: string, service: string, declared: number): number {
    const model = this.#models.get(`${tenant}/${service}`)
    if (model !== undefined) return model.predict(declared)
    return declared > 0 ? declared : UNKNOWN_RUN_MILLISECONDS
  }

  /** Mean run time of the tenant's tasks of the service, in milliseconds. */
  mean (tenant: string, service: string): number {
    return this.#models.get(`${tenant}/${service}`)?.mean() ?? UNKNOWN_RUN_MILLISECONDS
  }

  /** Takes in the true run time of a task that ran to its end. */
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
