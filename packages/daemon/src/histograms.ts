/** Distributions for each tenant and service. */
import type { DistributionFigures } from './distribution.ts'
import type { Summary } from './exposition.ts'
import { MAX_HISTOGRAM_CLASSES } from './defaults.ts'
import { Distribution } from './distribution.ts'

/** What is measured of a class of work. */
export enum Measure {
  /** From the arrival of the job until its task went out, in milliseconds. */
  Wait = 'wait',
  /** Run time of a task at its target, in milliseconds. */
  Run = 'run',
  /** From the arrival of a job until its answer, in milliseconds. */
  Whole = 'whole',
  /** Whole time of a complete job, in parts of the run time of its longest task. */
  Ratio = 'ratio'
}

/** Quantiles that are shown. */
export const QUANTILES = [0.5, 0.9, 0.99]

/** Name of the class that takes what exceeds the bound on classes. */
const OVERFLOW_CLASS = 'others'

interface WorkClass {
  tenant: string
  service: string
  distributions: Partial<Record<Measure, Distribution>>
}

/** The figures of one class. */
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

  /** Summaries of one measure, divided by `unit`. */
  summaries (measure: Measure, unit: number): Summary[] {
    const summaries: Summary[] = []
    for (const { tenant, service, distributions } of this.#classes.values()) {
      const distribution = distributions[measure]
      if (distribution !== undefined) summaries.push(distribution.summary({ tenant, service }, QUANTILES, unit))
    }
    return summaries
  }

  /** Every class with what has been recorded. */
  figures (): ClassFigures[] {
    return [...this.#classes.values()].map(({ tenant, service, distributions }) => ({
      tenant,
      service,
      measures: Object.fromEntries(Object.entries(distributions).map(([measure, distribution]) => [measure, distribution.figures()]))
    }))
  }

  /** Callers choose the names: without a bound on classes they could fill the memory. */
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
