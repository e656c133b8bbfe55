/** Distributions by tenant and service. */
import type { DistributionFigures } from './distribution.ts'
import type { Summary } from './exposition.ts'
import { MAX_HISTOGRAM_CLASSES } from './defaults.ts'
import { Distribution } from './distribution.ts'

/** Measurements of a class of work, that is of a tenant and a service. */
export enum Measure {
  /** Time from the arrival of the job until its task was sent, in milliseconds. */
  Wait = 'wait',
  /** Run time of a task at its target, in milliseconds. */
  Run = 'run',
  /** Time from the arrival of a job until its answer, in milliseconds. */
  Whole = 'whole',
  /** Total time of a complete job divided by the run time of its longest task. */
  Ratio = 'ratio'
}

/** Quantiles that the metrics expose. */
export const QUANTILES = [0.5, 0.9, 0.99]

/** Tenant and service of the class that records everything beyond the maximum number of classes. */
const OVERFLOW_CLASS = 'others'

interface WorkClass {
  tenant: string
  service: string
  distributions: Partial<Record<Measure, Distribution>>
}

/** Summaries of one class of work. */
export interface ClassFigures {
  tenant: string
  service: string
  measures: Partial<Record<Measure, DistributionFigures>>
}

export class ClassHistograms {
  readonly #classes = new Map<string, WorkClass>()

  record (tenant: string, service: string, measure: Measure, value: number): void {
    const distributions = this.#class(tenant, service).distributions
    const distribution = distributions[measure] ??= new Distribution()
    distribution.record(value)
  }

  /** Returns the summaries of one measure; values are divided by `unit`. */
  summaries (measure: Measure, unit: number): Summary[] {
    const summaries: Summary[] = []
    for (const { tenant, service, distributions } of this.#classes.values()) {
      const distribution = distributions[measure]
      if (distribution !== undefined) summaries.push(distribution.summary({ tenant, service }, QUANTILES, unit))
    }
    return summaries
  }

  /** Returns every class with its recorded measures. */
  figures (): ClassFigures[] {
    return [...this.#classes.values()].map(({ tenant, service, distributions }) => ({
      tenant,
      service,
      measures: Object.fromEntries(Object.entries(distributions).map(([measure, distribution]) => [measure, distribution.figures()]))
    }))
  }

  /** Returns the class of a tenant and service. Callers choose these names, so the number of classes is bounded to bound memory. */
  #class (tenant: string, service: string): WorkClass {
    const key = `${tenant}/${service}`
    const known = this.#classes.get(key)
    if (known !== undefined) return known
    if (this.#classes.size >= MAX_HISTOGRAM_CLASSES && tenant !== OVERFLOW_CLASS) return this.#class(OVERFLOW_CLASS, OVERFLOW_CLASS)
    const created: WorkClass = { tenant, service, distributions: {} }
    this.#classes.set(key, created)
    return created
  }
}
