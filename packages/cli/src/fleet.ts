/** `fleet`: how the entries and agents of a fleet under leases share its capacity, from their metrics. */
import type { Command, Context } from './command.ts'
import type { MetricSample } from './exposition.ts'
import { ResultAsync } from 'neverthrow'
import { ExitCode } from './exitcodes.ts'
import { parseExposition } from './exposition.ts'
import { formatTable } from './table.ts'

/** How the samples of several processes become one figure. */
enum Combine {
  /** Each process tells its own part. */
  Sum = 'sum',
  /** Each tells what it knows of the whole; the one that knows most is taken. */
  Highest = 'highest'
}

/** One table: a row for each combination of its labels, a column for each value of the label `figure`. */
interface Section {
  title: string
  metric: string
  rows: readonly string[]
  combine: Combine
}

/** Label that names the column of a sample. */
const COLUMN = 'figure'

const SECTIONS: readonly Section[] = [
  { title: 'Jobs since the entries started, by queue', metric: 'amaranthmast_admission_jobs_total', rows: ['queue'], combine: Combine.Sum },
  { title: 'Jobs refused, by queue and cause', metric: 'amaranthmast_admission_refused_total', rows: ['queue', 'cause'], combine: Combine.Sum },
  { title: 'Capacity by queue, in cores', metric: 'amaranthmast_share_cores', rows: ['queue'], combine: Combine.Highest },
  { title: 'Capacity by queue and data centre, in cores', metric: 'amaranthmast_demand_cores', rows: ['queue', 'data_centre'], combine: Combine.Highest },
  { title: 'Who gives out room, in cores', metric: 'amaranthmast_room_cores', rows: ['group', 'entry'], combine: Combine.Sum },
  { title: 'Requests for room', metric: 'amaranthmast_room_requests', rows: [], combine: Combine.Sum },
  { title: 'Targets by speed', metric: 'amaranthmast_targets', rows: ['speed'], combine: Combine.Highest },
  { title: 'Speed by kind of target', metric: 'amaranthmast_kind_speed', rows: ['kind'], combine: Combine.Highest },
  { title: 'Capacity of a service, now and ahead, in cores', metric: 'amaranthmast_capacity_cores', rows: ['service', 'ahead'], combine: Combine.Highest },
  { title: 'Tasks under which targets crashed', metric: 'amaranthmast_crashes', rows: [], combine: Combine.Highest }
]

/** One table of a picture, as scripts get it. */
interface SectionPicture {
  title: string
  rows: Array<{ labels: Record<string, string>, figures: Record<string, number> }>
}

/** Sums up the metrics of several processes into the tables. */
export function fleetPicture (texts: readonly string[]): SectionPicture[] {
  const pages = texts.map(parseExposition)
  return SECTIONS.map(section => pictureOf(section, pages.flatMap(page => page.get(section.metric) ?? [])))
}

function pictureOf ({ title, rows, combine }: Section, samples: readonly MetricSample[]): SectionPicture {
  const byRow = new Map<string, SectionPicture['rows'][number]>()
  for (const { labels, value } of samples) {
    const named = Object.fromEntries(rows.map(name => [name, labels[name] ?? '']))
    const key = JSON.stringify(named)
    const row = byRow.get(key) ?? { labels: named, figures: {} }
    byRow.set(key, row)
    const column = labels[COLUMN] ?? 'value'
    const known = row.figures[column]
    if (known === undefined) row.figures[column] = value
    else row.figures[column] = combine === Combine.Sum ? known + value : Math.max(known, value)
  }
  return { title, rows: [...byRow.entries()].sort(([one], [other]) => one < other ? -1 : 1).map(([, row]) => row) }
}

function describe (picture: readonly SectionPicture[]): string[] {
  const known = picture.filter(({ rows }) => rows.length > 0)
  if (known.length === 0) return ['No process tells how capacity is shared: name the metrics addresses of entries with --status.']
  return known.flatMap(({ title, rows }) => [title, ...tableOf(rows), '']).slice(0, -1)
}

function tableOf (rows: SectionPicture['rows']): string[] {
  const labels = Object.keys(rows[0]?.labels ?? {})
  const columns = [...new Set(rows.flatMap(({ figures }) => Object.keys(figures)))]
  const headings = [...labels, ...columns].map(heading => heading.toUpperCase().replaceAll('_', ' '))
  return formatTable(headings, rows.map(row => [...labels.map(label => row.labels[label] || '-'), ...columns.map(column => format(row.figures[column]))]))
}

function format (value: number | undefined): string {
  if (value === undefined) return '-'
  return Number.isInteger(value) ? String(value) : value.toFixed(2)
}

async function show (context: Context, urls: readonly string[]) {
  const texts = await Promise.all(urls.map(async url => ({ url, text: await context.instances.metrics(url) })))
  const silent = texts.filter(({ text }) => text === undefined).map(({ url }) => url)
  const picture = fleetPicture(texts.flatMap(({ text }) => text ?? []))
  const answered = texts.length - silent.length
  return {
    exitCode: answered > 0 ? ExitCode.Done : ExitCode.NoStatus,
    lines: [...describe(picture), ...silent.map(url => `! ${url} does not answer`)],
    json: { sections: picture, silent }
  }
}

/** The command. */
export const fleet: Command = {
  usage: 'fleet',
  summary: 'Show who is served and refused, who gives out room, and what is known of the targets of a fleet under leases',
  options: ['json', 'status'],
  positionals: {},
  examples: [['$0 fleet --status http://10.1.0.13:9464', 'tables over the entries with these metrics addresses, one option for each']],
  run: (context, { status }) => ResultAsync.fromSafePromise(show(context, status))
}
