/** `top`: shows the work of the whole system by tenant and service and by entry, refreshed periodically. */
import type { Result } from 'neverthrow'
import { err, ok, ResultAsync } from 'neverthrow'
import type { Arguments, Command, Context, Report } from './command.ts'
import type { ToolError } from './errors.ts'
import { ExitCode } from './exitcodes.ts'
import { parseExposition } from './exposition.ts'
import { STORE_OPTIONS } from './options.ts'
import type { Quantiles, StatusPage } from './statuspage.ts'
import { formatTable } from './table.ts'

/** Metric that counts answered jobs. */
const JOBS_METRIC = 'amaranthmast_jobs_total'

const OUTCOME_KINDS = ['complete', 'failed', 'refused', 'mayHaveRun'] as const

type OutcomeKind = typeof OUTCOME_KINDS[number]

/** Jobs of a tenant and service answered since the entries started, by outcome, and their quantiles. */
export interface ClassSummary {
  tenant: string
  service: string
  jobs: Record<OutcomeKind, number>
  /** Jobs answered per second since the previous snapshot; undefined in the first one and after a restart. */
  rate: number | undefined
  /** Highest values of all entries, since quantiles cannot be added. */
  wait: Quantiles | undefined
  whole: Quantiles | undefined
  ratio: Quantiles | undefined
}

/** State of the system at one time. */
export interface TopSnapshot {
  at: number
  classes: ClassSummary[]
  entries: StatusPage[]
  silent: string[]
}

async function takeSnapshot (context: Context, previous: TopSnapshot | undefined): Promise<Result<TopSnapshot, ToolError>> {
  const survey = await context.instances.survey()
  if (survey.isErr()) return err(survey.error)
  const at = context.now()
  const answering = survey.value.asked.flatMap(({ url, page }) => page?.role === 'entry' ? [{ url, page }] : [])
  answering.sort((one, other) => one.page.instance.localeCompare(other.page.instance))
  const texts = await Promise.all(answering.map(({ url }) => context.instances.metrics(url)))
  const pages = answering.map(({ page }) => page)
  const silent = survey.value.asked.flatMap((asked) => asked.page === undefined ? [`${asked.url}: ${asked.reason}`] : [])
  return ok({ at, classes: classesOf(pages, texts, previous, at), entries: pages, silent })
}

/** Aggregates each tenant and service over all entries, those with most jobs first. */
export function classesOf (pages: readonly StatusPage[], texts: ReadonlyArray<string | undefined>, previous: TopSnapshot | undefined, at: number): ClassSummary[] {
  const summaries = new Map<string, ClassSummary>()
  for (const text of texts) countJobs(summaries, text ?? '')
  for (const { tenant, service, measures } of pages.flatMap((page) => page.classes)) {
    const summary = summaryOf(summaries, tenant, service)
    summary.wait = maxQuantiles(summary.wait, measures.wait)
    summary.whole = maxQuantiles(summary.whole, measures.whole)
    summary.ratio = maxQuantiles(summary.ratio, measures.ratio)
  }
  for (const summary of summaries.values()) summary.rate = rateOf(summary, previous, at)
  return [...summaries.values()].sort((one, other) => totalJobs(other) - totalJobs(one))
}

function countJobs (summaries: Map<string, ClassSummary>, text: string): void {
  for (const { labels, value } of parseExposition(text).get(JOBS_METRIC) ?? []) {
    const kind = OUTCOME_KINDS.find((each) => each === labels.kind)
    if (kind !== undefined) summaryOf(summaries, labels.tenant ?? '', labels.service ?? '').jobs[kind] += value
  }
}

function summaryOf (summaries: Map<string, ClassSummary>, tenant: string, service: string): ClassSummary {
  const key = `${tenant}/${service}`
  const known = summaries.get(key)
  if (known !== undefined) return known
  const jobs = { complete: 0, failed: 0, refused: 0, mayHaveRun: 0 }
  const created: ClassSummary = { tenant, service, jobs, rate: undefined, wait: undefined, whole: undefined, ratio: undefined }
  summaries.set(key, created)
  return created
}

function maxQuantiles (one: Quantiles | undefined, other: Quantiles | undefined): Quantiles | undefined {
  if (one === undefined || other === undefined) return one ?? other
  return { count: one.count + other.count, p50: Math.max(one.p50, other.p50), p99: Math.max(one.p99, other.p99) }
}

function totalJobs ({ jobs }: ClassSummary): number {
  return OUTCOME_KINDS.reduce((sum, kind) => sum + jobs[kind], 0)
}

/** A restarted entry counts from 0 again, so the rate is unknown if the count has dropped. */
function rateOf (summary: ClassSummary, previous: TopSnapshot | undefined, at: number): number | undefined {
  const past = previous?.classes.find(({ tenant, service }) => tenant === summary.tenant && service === summary.service)
  if (previous === undefined || at <= previous.at) return undefined
  const jobs = totalJobs(summary) - (past === undefined ? 0 : totalJobs(past))
  return jobs < 0 ? undefined : jobs * 1000 / (at - previous.at)
}

function formatSnapshot ({ at, classes, entries, silent }: TopSnapshot): string[] {
  const agents = new Set(entries.flatMap((page) => page.agents.filter(({ connected }) => connected).map(({ instance }) => instance)))
  return [
    `amaranthmast  ${new Date(at).toISOString()}  entries ${entries.length}  agents ${agents.size}  ` +
      `queued ${sumOf(entries, 'queued')}  running ${sumOf(entries, 'outstanding')}`,
    '',
    ...(classes.length === 0 ? ['No jobs yet.'] : classTable(classes)),
    '',
    ...entryTable(entries),
    ...silent.map((line) => `! ${line}`)
  ]
}

function sumOf (entries: readonly StatusPage[], field: 'queued' | 'outstanding'): number {
  return entries.reduce((sum, { scheduler }) => sum + scheduler[field], 0)
}

function classTable (classes: readonly ClassSummary[]): string[] {
  const headings = ['TENANT', 'SERVICE', 'JOBS/S', 'COMPLETE', 'FAILED', 'REFUSED', 'MAY HAVE RUN', 'WAIT P50', 'WAIT P99', 'WHOLE P50', 'WHOLE P99', 'RATIO P50', 'RATIO P99']
  return formatTable(headings, classes.map(({ tenant, service, rate, jobs, wait, whole, ratio }) => [
    tenant, service, rate === undefined ? '-' : rate.toFixed(1), ...OUTCOME_KINDS.map((kind) => String(jobs[kind])),
    formatMilliseconds(wait?.p50), formatMilliseconds(wait?.p99), formatMilliseconds(whole?.p50), formatMilliseconds(whole?.p99), formatRatio(ratio?.p50), formatRatio(ratio?.p99)
  ]))
}

function entryTable (entries: readonly StatusPage[]): string[] {
  return formatTable(['ENTRY', 'DATA CENTRE', 'STATE', 'CONFIGURATION', 'QUEUED', 'RUNNING'], entries.map((page) => [
    page.instance, page.dataCentre, page.state, String(page.configurationVersion), String(page.scheduler.queued), String(page.scheduler.outstanding)
  ]))
}

function formatMilliseconds (value: number | undefined): string {
  return value === undefined ? '-' : `${Math.round(value)} ms`
}

function formatRatio (value: number | undefined): string {
  return value === undefined ? '-' : value.toFixed(2)
}

/** Shows snapshots until one fails or the process is interrupted; with `--once` only one. */
async function showTop (context: Context, { once, interval }: Arguments): Promise<Result<Report, ToolError>> {
  for (let previous: TopSnapshot | undefined; ;) {
    const snapshot = await takeSnapshot(context, previous)
    if (snapshot.isErr()) return err(snapshot.error)
    const exitCode = snapshot.value.entries.length === 0 ? ExitCode.NoStatus : ExitCode.Done
    const lines = formatSnapshot(snapshot.value)
    if (once) return ok({ exitCode, lines, json: snapshot.value })
    context.redraw(lines)
    previous = snapshot.value
    await context.sleep(interval * 1000)
  }
}

/** The `top` command. */
export const top: Command = {
  usage: 'top',
  summary: 'Monitor the work of each tenant and service and of each entry',
  options: [...STORE_OPTIONS, 'status', 'once', 'interval'],
  positionals: {},
  examples: [['$0 top', 'refresh every two seconds until interrupted; RATIO is the whole time of a job divided by that of its longest task'], ['$0 top --once --json', 'print one snapshot as JSON']],
  run: (context, options) => new ResultAsync(showTop(context, options))
}
