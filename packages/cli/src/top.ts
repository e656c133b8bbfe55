/** `top`: the work of the whole system, refreshed: each tenant and service, each entry. */
import type { Result } from 'neverthrow'
import { err, ok, ResultAsync } from 'neverthrow'
import type { Arguments, Command, Context, Report } from './command.ts'
import type { ToolError } from './errors.ts'
import { ExitCode } from './exitcodes.ts'
import { parseExposition } from './exposition.ts'
import { STORE_OPTIONS } from './options.ts'
import type { Figures, StatusPage } from './statuspage.ts'
import { formatTable } from './table.ts'

/** Metric that counts the answered jobs. */
const JOBS_METRIC = 'amaranthmast_jobs_total'

const KINDS = ['complete', 'failed', 'refused', 'mayHaveRun'] as const

type Kind = typeof KINDS[number]

/** Jobs answered since the entries started, by kind, and quantiles in milliseconds. */
export interface ClassLine {
  tenant: string
  service: string
  jobs: Record<Kind, number>
  /** Jobs answered per second since the picture before; undefined in the first. */
  rate: number | undefined
  /** The highest of the entries, since quantiles cannot be summed. */
  wait: Figures | undefined
  whole: Figures | undefined
  ratio: Figures | undefined
}

/** One picture. */
export interface TopPicture {
  at: number
  classes: ClassLine[]
  entries: StatusPage[]
  silent: string[]
}

async function takePicture (context: Context, before: TopPicture | undefined): Promise<Result<TopPicture, ToolError>> {
  const survey = await context.instances.survey()
  if (survey.isErr()) return err(survey.error)
  const at = context.now()
  const answering = survey.value.asked.flatMap(({ url, page }) => page?.role === 'entry' ? [{ url, page }] : [])
  answering.sort((one, other) => one.page.instance.localeCompare(other.page.instance))
  const texts = await Promise.all(answering.map(({ url }) => context.instances.metrics(url)))
  const pages = answering.map(({ page }) => page)
  const silent = survey.value.asked.flatMap((asked) => asked.page === undefined ? [`${asked.url}: ${asked.reason}`] : [])
  return ok({ at, classes: classesOf(pages, texts, before, at), entries: pages, silent })
}

/** Every class of work over all entries. */
export function classesOf (pages: readonly StatusPage[], texts: ReadonlyArray<string | undefined>, before: TopPicture | undefined, at: number): ClassLine[] {
  const lines = new Map<string, ClassLine>()
  for (const text of texts) countJobs(lines, text ?? '')
  for (const { tenant, service, measures } of pages.flatMap((page) => page.classes)) {
    const line = lineOf(lines, tenant, service)
    line.wait = highest(line.wait, measures.wait)
    line.whole = highest(line.whole, measures.whole)
    line.ratio = highest(line.ratio, measures.ratio)
  }
  for (const line of lines.values()) line.rate = rateOf(line, before, at)
  return [...lines.values()].sort((one, other) => total(other) - total(one))
}

function countJobs (lines: Map<string, ClassLine>, text: string): void {
  for (const { labels, value } of parseExposition(text).get(JOBS_METRIC) ?? []) {
    const kind = KINDS.find((each) => each === labels.kind)
    if (kind !== undefined) lineOf(lines, labels.tenant ?? '', labels.service ?? '').jobs[kind] += value
  }
}

function lineOf (lines: Map<string, ClassLine>, tenant: string, service: string): ClassLine {
  const key = `${tenant}/${service}`
  const known = lines.get(key)
  if (known !== undefined) return known
  const jobs = { complete: 0, failed: 0, refused: 0, mayHaveRun: 0 }
  const made: ClassLine = { tenant, service, jobs, rate: undefined, wait: undefined, whole: undefined, ratio: undefined }
  lines.set(key, made)
  return made
}

function highest (one: Figures | undefined, other: Figures | undefined): Figures | undefined {
  if (one === undefined || other === undefined) return one ?? other
  return { count: one.count + other.count, p50: Math.max(one.p50, other.p50), p99: Math.max(one.p99, other.p99) }
}

function total ({ jobs }: ClassLine): number {
  return KINDS.reduce((sum, kind) => sum + jobs[kind], 0)
}

/** A restarted entry counts from 0 again: the rate is then unknown for one picture. */
function rateOf (line: ClassLine, before: TopPicture | undefined, at: number): number | undefined {
  const past = before?.classes.find(({ tenant, service }) => tenant === line.tenant && service === line.service)
  if (before === undefined || at <= before.at) return undefined
  const jobs = total(line) - (past === undefined ? 0 : total(past))
  return jobs < 0 ? undefined : jobs * 1000 / (at - before.at)
}

function describePicture ({ at, classes, entries, silent }: TopPicture): string[] {
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

function classTable (classes: readonly ClassLine[]): string[] {
  const headings = ['TENANT', 'SERVICE', 'JOBS/S', 'COMPLETE', 'FAILED', 'REFUSED', 'MAY HAVE RUN', 'WAIT P50', 'WAIT P99', 'WHOLE P50', 'WHOLE P99', 'RATIO P50', 'RATIO P99']
  return formatTable(headings, classes.map(({ tenant, service, rate, jobs, wait, whole, ratio }) => [
    tenant, service, rate === undefined ? '-' : rate.toFixed(1), ...KINDS.map((kind) => String(jobs[kind])),
    milliseconds(wait?.p50), milliseconds(wait?.p99), milliseconds(whole?.p50), milliseconds(whole?.p99), times(ratio?.p50), times(ratio?.p99)
  ]))
}

function entryTable (entries: readonly StatusPage[]): string[] {
  return formatTable(['ENTRY', 'DATA CENTRE', 'STATE', 'CONFIGURATION', 'QUEUED', 'RUNNING'], entries.map((page) => [
    page.instance, page.dataCentre, page.state, String(page.configurationVersion), String(page.scheduler.queued), String(page.scheduler.outstanding)
  ]))
}

function milliseconds (value: number | undefined): string {
  return value === undefined ? '-' : `${Math.round(value)} ms`
}

function times (value: number | undefined): string {
  return value === undefined ? '-' : value.toFixed(2)
}

/** Shows pictures until one fails or, with `--once`, one; only an interrupt ends the others. */
async function showTop (context: Context, { once, interval }: Arguments): Promise<Result<Report, ToolError>> {
  for (let before: TopPicture | undefined; ;) {
    const picture = await takePicture(context, before)
    if (picture.isErr()) return err(picture.error)
    const exitCode = picture.value.entries.length === 0 ? ExitCode.NoStatus : ExitCode.Done
    const lines = describePicture(picture.value)
    if (once) return ok({ exitCode, lines, json: picture.value })
    context.picture(lines)
    before = picture.value
    await context.sleep(interval * 1000)
  }
}

/** The command. */
export const top: Command = {
  usage: 'top',
  summary: 'Watch the work of each tenant and service, and each entry',
  options: [...STORE_OPTIONS, 'status', 'once', 'interval'],
  positionals: {},
  examples: [['$0 top', 'a picture every two seconds, until interrupted; RATIO is the whole time of a job in parts of its longest task'], ['$0 top --once --json', 'one picture for a script']],
  run: (context, options) => new ResultAsync(showTop(context, options))
}
