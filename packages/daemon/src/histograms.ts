/** Distributions for each tenant and service. */
import type { Histogram } from 'hdr-histogram-js'
import Int32HistogramModule from 'hdr-histogram-js/dist/Int32Histogram.js'
import { HISTOGRAM_CLASSES, HISTOGRAM_LIMIT } from './defaults.ts'
import type { Summary } from './exposition.ts'

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
const OTHERS = 'others'

/** The histograms hold whole numbers: hundredths keep short waits and small ratios apart. */
const PARTS = 100

const SIGNIFICANT_DIGITS = 2
const LOWEST_VALUE = 1
const FIRST_HIGHEST_VALUE = 2

/**
 * The one class of the library that is used. Its main module also loads a compression library and
 * compiles a WebAssembly variant, which cost an idle entry megabytes. As the class comes from a
 * CommonJS module, it may stand one level deeper than its types say.
 */
const Int32Histogram = (Int32HistogramModule as unknown as { default?: typeof Int32HistogramModule }).default ?? Int32HistogramModule

interface Distribution {
  histogram: Histogram
  sum: number
}

interface WorkClass {
  tenant: string
  service: string
  distributions: Partial<Record<Measure, Distribution>>
}

/** One distribution for people and tools. */
export interface DistributionFigures {
  count: number
  mean: number
  p50: number
  p90: number
  p99: number
  max: number
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
    const distribution = distributions[measure] ??= { histogram: newHistogram(), sum: 0 }
    const bounded = Math.min(Math.max(value, 0), HISTOGRAM_LIMIT)
    distribution.histogram.recordValue(Math.round(bounded * PARTS))
    distribution.sum += bounded
  }

  /** Summaries of one measure, divided by `unit`. */
  summaries (measure: Measure, unit: number): Summary[] {
    const summaries: Summary[] = []
    for (const { tenant, service, distributions } of this.#classes.values()) {
      const distribution = distributions[measure]
      if (distribution === undefined) continue
      summaries.push({
        labels: { tenant, service },
        quantiles: new Map(QUANTILES.map(quantile => [quantile, valueAt(distribution, quantile) / unit])),
        sum: distribution.sum / unit,
        count: distribution.histogram.totalCount
      })
    }
    return summaries
  }

  /** Every class with what has been recorded. */
  figures (): ClassFigures[] {
    return [...this.#classes.values()].map(({ tenant, service, distributions }) => ({
      tenant,
      service,
      measures: Object.fromEntries(Object.entries(distributions).map(([measure, distribution]) => [measure, figuresOf(distribution)]))
    }))
  }

  /** Callers choose the names: without a bound on classes they could fill the memory. */
  #class (tenant: string, service: string): WorkClass {
    const key = `${tenant}/${service}`
    const known = this.#classes.get(key)
    if (known !== undefined) return known
    if (this.#classes.size >= HISTOGRAM_CLASSES && tenant !== OTHERS) return this.#class(OTHERS, OTHERS)
    const made: WorkClass = { tenant, service, distributions: {} }
    this.#classes.set(key, made)
    return made
  }
}

/** A histogram starts small and grows with the values that it gets. */
function newHistogram (): Histogram {
  const histogram = new Int32Histogram(LOWEST_VALUE, FIRST_HIGHEST_VALUE, SIGNIFICANT_DIGITS)
  histogram.autoResize = true
  return histogram
}

function valueAt ({ histogram }: Distribution, quantile: number): number {
  return histogram.getValueAtPercentile(quantile * 100) / PARTS
}

function figuresOf (distribution: Distribution): DistributionFigures {
  const { histogram, sum } = distribution
  return {
    count: histogram.totalCount,
    mean: sum / Math.max(histogram.totalCount, 1),
    p50: valueAt(distribution, 0.5),
    p90: valueAt(distribution, 0.9),
    p99: valueAt(distribution, 0.99),
    max: histogram.maxValue / PARTS
  }
}
