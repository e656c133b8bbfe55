/** Compares policy variants on the same days. */
import type { DayFigures } from './figures.ts'
import { mean, sampleStandardDeviation } from 'simple-statistics'

/** Result of one day under one variant. */
export interface PlayedDay {
  variant: string
  seed: number
  figures: DayFigures
  /** Credit of each time window, for plots. */
  overTime: Array<{ second: number, credit: number }>
  byKind: Record<string, number>
  /** Fraction of the callers of each kind of job that were answered in time. */
  inTimeByKind: Record<string, number>
}

export interface FigureSummary {
  mean: number
  /** Standard deviation over the days. */
  spread: number
  /** Mean difference from the first variant on the same days, and the standard error of that mean. */
  difference: number
  error: number
}

export type VariantSummary = { variant: string, days: number } & Record<keyof DayFigures, FigureSummary>

/** Summarizes the figures of every variant and compares them with the first one. */
export function compare (played: readonly PlayedDay[], variants: readonly string[]): VariantSummary[] {
  const bySeed = (variant: string): PlayedDay[] => played.filter(day => day.variant === variant).sort((one, other) => one.seed - other.seed)
  const first = bySeed(variants[0] ?? '')
  return variants.map(variant => {
    const days = bySeed(variant)
    const names = Object.keys(days[0]?.figures ?? {}) as Array<keyof DayFigures>
    const figures = Object.fromEntries(names.map(name => [name, summarize(days.map(day => day.figures[name]), first.map(day => day.figures[name]))]))
    return { variant, days: days.length, ...figures } as VariantSummary
  })
}

function summarize (values: readonly number[], base: readonly number[]): FigureSummary {
  const differences = values.map((value, index) => value - (base[index] ?? value))
  return { mean: mean([...values]), spread: deviationOf(values), difference: mean(differences), error: deviationOf(differences) / Math.sqrt(values.length) }
}

function deviationOf (values: readonly number[]): number {
  return values.length < 2 ? 0 : sampleStandardDeviation([...values])
}
