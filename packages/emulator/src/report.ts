/** Tables and plots of the results of an experiment. */
import type { Plot } from '@amaranthmast/bench/plots'
import type { PlayedDay, VariantSummary } from './comparison.ts'
import { drawPlot, pageOf } from '@amaranthmast/bench/reportpage'
import { mean } from 'simple-statistics'

const COLUMNS = ['credit', 'worstKind', 'worstWindows', 'largestTenth', 'inTimePart', 'coresInTime', 'usefulPart', 'soonRefusals', 'worstKindPart', 'largestTenthPart', 'late', 'refused', 'failed', 'failedSound', 'failedUnlisted', 'crashes', 'startsAfterCrashes', 'startsFullPart', 'messagesPerTask', 'startsOver', 'begunLeaving', 'cutOff'] as const

/** Decimal places of fractions and of counts. */
const FRACTION_DIGITS = 3
const COUNT_DIGITS = 1

const COUNT_COLUMNS: ReadonlySet<string> = new Set(['coresInTime', 'late', 'refused', 'failed', 'failedSound', 'failedUnlisted', 'crashes', 'startsAfterCrashes', 'startsOver', 'begunLeaving', 'cutOff'])

/** Formats one line per variant: means, and differences from the first variant with their standard errors. */
export function tableOf (summaries: readonly VariantSummary[]): string {
  const rows = summaries.map((summary, index) => [summary.variant, ...COLUMNS.map(column => cellOf(summary, column, index > 0))])
  const cells = [['variant', ...COLUMNS], ...rows]
  const widths = cells[0]?.map((_cell, column) => Math.max(...cells.map(row => row[column]?.length ?? 0))) ?? []
  return cells.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()).join('\n')
}

function cellOf (summary: VariantSummary, column: typeof COLUMNS[number], compared: boolean): string {
  const { mean: value, difference, error } = summary[column]
  const digits = COUNT_COLUMNS.has(column) ? COUNT_DIGITS : FRACTION_DIGITS
  if (!compared) return value.toFixed(digits)
  return `${value.toFixed(digits)} (${difference < 0 ? '' : '+'}${difference.toFixed(digits)}±${error.toFixed(digits)})`
}

const PLOTS: readonly Plot[] = [
  { section: 'figures', title: 'Credit, by variant', note: 'Credit received as a fraction of the possible credit, mean of all days.', values: ['credit', 'worstKind', 'worstWindows', 'largestTenth'], x: 'variant', xTitle: 'variant', yTitle: 'part', mark: 'bar' },
  { section: 'fates', title: 'Callers not served in time, by variant', note: 'Callers of one day, mean of all days.', values: ['late', 'refused', 'failed'], x: 'variant', xTitle: 'variant', yTitle: 'callers', mark: 'bar' },
  { section: 'overTime', title: 'Credit over time', note: 'Windows of two seconds, by the time of the first submission; mean of all days.', values: ['credit'], x: 'second', xTitle: 'second', yTitle: 'part', mark: 'line', series: 'variant' },
  { section: 'byKind', title: 'Credit of each kind of job', note: 'Mean of all days.', values: ['credit'], x: 'variant', xTitle: 'variant', yTitle: 'part', mark: 'bar', panels: 'kind' },
  { section: 'spread', title: 'Credit of each day', note: 'One line per variant. Where lines cross, no variant is better on every day.', values: ['credit'], x: 'seed', xTitle: 'seed', yTitle: 'part', mark: 'line', series: 'variant' }
]

type PlotRow = Record<string, string | number>

/** Renders a self-contained HTML page. */
export async function pageFor (name: string, summaries: readonly VariantSummary[], played: readonly PlayedDay[]): Promise<string> {
  const rows = rowsOf(summaries, played)
  const sections: string[] = []
  for (const plot of PLOTS) {
    const svg = await drawPlot(plot, rows[plot.section] ?? [])
    sections.push(`<section>\n<h2>${plot.title}</h2>\n<p>${plot.note}</p>\n${svg}\n</section>`)
  }
  return pageOf(`Experiment ${name}`, sections)
}

function rowsOf (summaries: readonly VariantSummary[], played: readonly PlayedDay[]): Record<string, PlotRow[]> {
  const means = summaries.map(summary => ({ variant: summary.variant, ...Object.fromEntries(COLUMNS.map(column => [column, summary[column].mean])) }))
  return {
    figures: means,
    fates: means,
    overTime: meansBy(played.flatMap(({ variant, overTime }) => overTime.map(({ second, credit }) => ({ variant, second, credit }))), ({ variant, second }) => `${variant} ${second}`),
    byKind: meansBy(played.flatMap(({ variant, byKind }) => Object.entries(byKind).map(([kind, credit]) => ({ variant, kind, credit }))), ({ variant, kind }) => `${variant} ${kind}`),
    spread: played.map(({ variant, seed, figures }) => ({ variant, seed, credit: figures.credit }))
  }
}

function meansBy<Row extends PlotRow & { credit: number }> (rows: readonly Row[], keyOf: (row: Row) => string): Row[] {
  const groups = new Map<string, Row[]>()
  for (const row of rows) groups.set(keyOf(row), [...groups.get(keyOf(row)) ?? [], row])
  return [...groups.values()].map(group => ({ ...group[0] as Row, credit: mean(group.map(({ credit }) => credit)) }))
}
