/** `fleet`: shows how the entries and agents of a leased fleet share its capacity, from their metrics. */
import type { Command, Context } from './command.ts'
import type { MetricSample } from './exposition.ts'
import { ResultAsync } from 'neverthrow'
import { ExitCode } from './exitcodes.ts'
import { parseExposition } from './exposition.ts'
import { formatTable } from './table.ts'

/** Aggregation of the samples of several processes into one value. */
enum Aggregation {
  /** Each process reports its own part. */
  Sum = 'sum',
  /** Each process reports its estimate of the whole; the highest one is the most complete. */
  Highest = 'highest'
}

/** Definition of a table: one row for each combination of its labels, one column for each value of the label `figure`. */
interface SectionDefinition {
  title: string
  metric: string
  rows: readonly string[]
  combine: Aggregation
}

/** Label that holds the column of a sample. */
const COLUMN_LABEL = 'figure'

const SECTIONS: readonly SectionDefinition[] = [
  { title: 'Jobs since the entries started, by queue', metric: 'amaranthmast_admission_jobs_total', rows: ['queue'], combine: Aggregation.Sum },
  { title: 'Jobs refused, by queue and cause', metric: 'amaranthmast_admission_refused_total', rows: ['queue', 'cause'], combine: Aggregation.Sum },
  { title: 'Capacity by queue, in cores', metric: 'amaranthmast_share_cores', rows: ['queue'], combine: Aggregation.Highest },
  { title: 'Capacity by queue and data centre, in cores', metric: 'amaranthmast_demand_cores', rows: ['queue', 'data_centre'], combine: Aggregation.Highest },
  { title: 'Who gives out room, in cores', metric: 'amaranthmast_room_cores', rows: ['group', 'entry'], combine: Aggregation.Sum },
  { title: 'Requests for room', metric: 'amaranthmast_room_requests', rows: [], combine: Aggregation.Sum },
  { title: 'Targets by speed', metric: 'amaranthmast_targets', rows: ['speed'], combine: Aggregation.Highest },
  { title: 'Speed by kind of target', metric: 'amaranthmast_kind_speed', rows: ['kind'], combine: Aggregation.Highest },
  { title: 'Capacity of a service, now and ahead, in cores', metric: 'amaranthmast_capacity_cores', rows: ['service', 'ahead'], combine: Aggregation.Highest },
  { title: 'Tasks under which targets crashed', metric: 'amaranthmast_crashes', rows: [], combine: Aggregation.Highest }
]

/** Aggregated table, as in the JSON output. */
interface SectionTable {
  title: string
  rows: Array<{ labels: Record<string, string>, figures: Record<string, number> }>
}

/** Aggregates the metrics of several processes into the tables. */
export function aggregateSections (texts: readonly string[]): SectionTable[] {
  const pages = texts.map(parseExposition)
  return SECTIONS.map(section => aggregateSection(section, pages.flatMap(page => page.get(section.metric) ?? [])))
}

function aggregateSection ({ title, rows, combine }: SectionDefinition, samples: readonly MetricSample[]): SectionTable {
  const byRow = new Map<string, SectionTable['rows'][number]>()
  for (const { labels, value } of samples) {
    const named = Object.fromEntries(rows.map(name => [name, labels[name] ?? '']))
    const key = JSON.stringify(named)
    const row = byRow.get(key) ?? { labels: named, figures: {} }
    byRow.set(key, row)
    const column = labels[COLUMN_LABEL] ?? 'value'
    const known = row.figures[column]
    if (known === undefined) row.figures[column] = value
    else row.figures[column] = combine === Aggregation.Sum ? known + value : Math.max(known, value)
  }
  return { title, rows: [...byRow.entries()].sort(([one], [other]) => one < other ? -1 : 1).map(([, row]) => row) }
}

function formatSections (sections: readonly SectionTable[]): string[] {
  const known = sections.filter(({ rows }) => rows.length > 0)
  if (known.length === 0) return ['No process reports how capacity is shared: pass the metrics addresses of the entries with --status.']
  return known.flatMap(({ title, rows }) => [title, ...tableOf(rows), '']).slice(0, -1)
}

function tableOf (rows: SectionTable['rows']): string[] {
  const labels = Object.keys(rows[0]?.labels ?? {})
  const columns = [...new Set(rows.flatMap(({ figures }) => Object.keys(figures)))]
  const headings = [...labels, ...columns].map(heading => heading.toUpperCase().replaceAll('_', ' '))
  return formatTable(headings, rows.map(row => [...labels.map(label => row.labels[label] || '-'), ...columns.map(column => format(row.figures[column]))]))
}

function format (value: number | undefined): string {
  if (value === undefined) return '-'
  return Number.isInteger(value) ? String(value) : value.toFixed(2)
}

async function showFleet (context: Context, urls: readonly string[]) {
  const texts = await Promise.all(urls.map(async url => ({ url, text: await context.instances.metrics(url) })))
  const silent = texts.filter(({ text }) => text === undefined).map(({ url }) => url)
  const sections = aggregateSections(texts.flatMap(({ text }) => text ?? []))
  const answered = texts.length - silent.length
  return {
    exitCode: answered > 0 ? ExitCode.Done : ExitCode.NoStatus,
    lines: [...formatSections(sections), ...silent.map(url => `! ${url} does not answer`)],
    json: { sections, silent }
  }
}

/** The `fleet` command. */
export const fleet: Command = {
  usage: 'fleet',
  summary: 'Show admitted and refused jobs, the distribution of capacity, and the targets of a leased fleet',
  options: ['json', 'status'],
  positionals: {},
  examples: [['$0 fleet --status http://10.1.0.13:9464', 'tables of the entries at these metrics addresses, one option per address']],
  run: (context, { status }) => ResultAsync.fromSafePromise(showFleet(context, status))
}
