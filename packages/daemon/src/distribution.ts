/** One distribution of measured values. */
import type { Histogram } from 'hdr-histogram-js'
import Int32HistogramModule from 'hdr-histogram-js/dist/Int32Histogram.js'
import { MAX_HISTOGRAM_VALUE } from './defaults.ts'
import type { Labels, Summary } from './exposition.ts'

/** The histograms hold whole numbers: hundredths keep short waits and small ratios apart. */
const SCALE = 100

const SIGNIFICANT_DIGITS = 2
const LOWEST_VALUE = 1
const FIRST_HIGHEST_VALUE = 2

/**
 * The one class of the library that is used. Its main module also loads a compression library and
 * compiles a WebAssembly variant, which cost an idle entry megabytes. As the class comes from a
 * CommonJS module, it may stand one level deeper than its types say.
 */
const Int32Histogram = (Int32HistogramModule as unknown as { default?: typeof Int32HistogramModule }).default ?? Int32HistogramModule

/** One distribution for people and tools. */
export interface DistributionFigures {
  count: number
  mean: number
  p50: number
  p90: number
  p99: number
  max: number
}

export class Distribution {
  readonly #histogram = newHistogram()
  #sum = 0

  record (value: number): void {
    const bounded = Math.min(Math.max(value, 0), MAX_HISTOGRAM_VALUE)
    this.#histogram.recordValue(Math.round(bounded * SCALE))
    this.#sum += bounded
  }

  /** @param unit divides the values */
  summary (labels: Labels, quantiles: readonly number[], unit: number): Summary {
    return {
      labels,
      quantiles: new Map(quantiles.map(quantile => [quantile, this.#valueAt(quantile) / unit])),
      sum: this.#sum / unit,
      count: this.#histogram.totalCount
    }
  }

  figures (): DistributionFigures {
    const { totalCount, maxValue } = this.#histogram
    return {
      count: totalCount,
      mean: this.#sum / Math.max(totalCount, 1),
      p50: this.#valueAt(0.5),
      p90: this.#valueAt(0.9),
      p99: this.#valueAt(0.99),
      max: maxValue / SCALE
    }
  }

  #valueAt (quantile: number): number {
    return this.#histogram.getValueAtPercentile(quantile * 100) / SCALE
  }
}

/** A histogram starts small and grows with the values that it gets. */
function newHistogram (): Histogram {
  const histogram = new Int32Histogram(LOWEST_VALUE, FIRST_HIGHEST_VALUE, SIGNIFICANT_DIGITS)
  histogram.autoResize = true
  return histogram
}
