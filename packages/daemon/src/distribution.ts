/** Distribution of measured values, kept in a histogram. */
import type { Histogram } from 'hdr-histogram-js'
import Int32HistogramModule from 'hdr-histogram-js/dist/Int32Histogram.js'
import { MAX_HISTOGRAM_VALUE } from './defaults.ts'
import type { Labels, Summary } from './exposition.ts'

/** Factor by which values are scaled before recording: histograms hold integers, and hundredths keep short waits and small ratios distinct. */
const SCALE = 100

const SIGNIFICANT_DIGITS = 2
const LOWEST_VALUE = 1
const FIRST_HIGHEST_VALUE = 2

/**
 * Imported directly: the main module of the library also loads a compression library and compiles a
 * WebAssembly variant, which cost an idle entry several megabytes. As the class comes from a
 * CommonJS module, it may be nested one level deeper than its types state.
 */
const Int32Histogram = (Int32HistogramModule as unknown as { default?: typeof Int32HistogramModule }).default ?? Int32HistogramModule

/** Summary of one distribution for the status page. */
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

  /** @param unit divisor applied to the values */
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

/** Creates a histogram that starts small and grows with the recorded values. */
function newHistogram (): Histogram {
  const histogram = new Int32Histogram(LOWEST_VALUE, FIRST_HIGHEST_VALUE, SIGNIFICANT_DIGITS)
  histogram.autoResize = true
  return histogram
}
