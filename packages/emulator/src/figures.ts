/** The figures of one emulated day. */
import type { JobResult } from './callers.ts'
import type { CapacityCheck } from './capacitycheck.ts'
import { Outcome } from './callers.ts'

/** Width of the windows of time that are judged by themselves, in milliseconds. */
const WINDOW_MILLISECONDS = 2000

/** Windows that make the worst seconds of a day. */
const WORST_WINDOWS = 2

/** Largest part of a kind of job that is judged by itself. */
const LARGEST_PART = 0.1

/** A refusal within this time is told at once, in milliseconds. */
const SOON_MILLISECONDS = 20

const THOUSANDTHS = 1000
const MILLISECONDS_PER_SECOND = 1000

/** Credit got over credit owed, 0 to 1, and counts of callers. */
export interface DayFigures {
  credit: number
  worstKind: number
  worstWindows: number
  largestTenth: number
  jobs: number
  inTime: number
  late: number
  refused: number
  failed: number
  /** Callers in time, over all that were owed an answer. */
  inTimePart: number
  /** Cores whose work ended in time, mean of the day, and their part of those that were used. */
  coresInTime: number
  usefulPart: number
  /** Part of the refusals that were told within 20 ms, the way to and from the caller not counted. */
  soonRefusals: number
  /** The kind with the least part of its callers in time, over all callers' part. */
  worstKindPart: number
  /** Of each kind, the tenth of the jobs with the most work: its part in time over the kind's; the worst kind's. */
  largestTenthPart: number
  startsFullPart: number
  /** Targets that tasks crashed, starts of tasks under which three had, and jobs answered as failed that could be done. */
  crashes: number
  startsAfterCrashes: number
  failedSound: number
  /** Starts that elapsed a target over its capacity, tasks begun at leaving targets, and those of them that were cut off. */
  startsOver: number
  begunLeaving: number
  cutOff: number
  messagesPerTask: number
  /** Milliseconds of processor time a second of the busiest and the mean entry, and the mean agent, as priced. */
  entryMost: number
  entryMean: number
  agentMean: number
}

export interface Counts {
  crashes: number
  startsAfterCrashes: number
  /** Work done for each job, in thousandths of a core times milliseconds. */
  work: ReadonlyMap<string, number>
  /** Length of the load. */
  seconds: number
  /** One way to callers, in milliseconds. */
  callerDelay: number
  starts: number
  fullStarts: number
  messages: number
  /** Milliseconds of processor time a second. */
  entryLoads: readonly number[]
  agentLoads: readonly number[]
  checks: ReadonlyArray<Pick<CapacityCheck, 'startsOver' | 'begunLeaving' | 'cutOff'>>
}

export function figuresOf (all: readonly JobResult[], { work, seconds, callerDelay, starts, fullStarts, messages, entryLoads, agentLoads, crashes, startsAfterCrashes, checks }: Counts): DayFigures {
  const owed = all.filter(({ outcome }) => outcome !== Outcome.Left)
  const kinds = groupBy(owed, ({ job }) => job.kind)
  const windows = groupBy(owed, ({ job }) => String(Math.floor(job.at / WINDOW_MILLISECONDS)))
  const byWindow = [...windows.values()].map(creditOf).sort((one, other) => one - other)
  const tasks = owed.reduce((sum, { job }) => sum + job.tasks.length, 0)
  const count = (...outcomes: Outcome[]): number => owed.filter(({ outcome }) => outcomes.includes(outcome)).length
  const inTime = owed.filter(({ outcome }) => outcome === Outcome.InTime)
  const refusals = owed.filter(({ outcome }) => outcome === Outcome.Refused)
  const workInTime = sum(inTime.map(({ job }) => work.get(job.id) ?? 0))
  return {
    credit: creditOf(owed),
    worstKind: Math.min(...[...kinds.values()].map(creditOf)),
    worstWindows: mean(byWindow.slice(0, WORST_WINDOWS)),
    largestTenth: Math.min(...[...kinds.values()].map(results => creditOf(largest(results)))),
    jobs: owed.length,
    inTime: count(Outcome.InTime),
    late: count(Outcome.Late),
    refused: count(Outcome.Refused),
    failed: count(Outcome.Failed, Outcome.TooLate),
    inTimePart: count(Outcome.InTime) / Math.max(1, owed.length),
    crashes,
    startsAfterCrashes,
    failedSound: owed.filter(({ outcome, job }) => outcome === Outcome.Failed && !job.poisoned).length,
    coresInTime: workInTime / THOUSANDTHS / (seconds * MILLISECONDS_PER_SECOND),
    usefulPart: workInTime / Math.max(1, sum([...work.values()])),
    soonRefusals: refusals.filter(({ responseTime }) => responseTime - 2 * callerDelay <= SOON_MILLISECONDS).length / Math.max(1, refusals.length),
    worstKindPart: Math.min(...[...kinds.values()].map(inTimePartOf)) / Math.max(Number.EPSILON, inTimePartOf(owed)),
    largestTenthPart: Math.min(...[...kinds.values()].map(results => inTimePartOf(largest(results)) / Math.max(Number.EPSILON, inTimePartOf(results)))),
    startsFullPart: fullStarts / Math.max(1, starts),
    startsOver: sum(checks.map(({ startsOver }) => startsOver)),
    begunLeaving: sum(checks.map(({ begunLeaving }) => begunLeaving)),
    cutOff: sum(checks.map(({ cutOff }) => cutOff)),
    messagesPerTask: messages / Math.max(1, tasks),
    entryMost: Math.max(...entryLoads),
    entryMean: mean(entryLoads),
    agentMean: mean(agentLoads)
  }
}

/** Credit of each second of a day, for plots. */
export function creditOverTime (all: readonly JobResult[]): Array<{ second: number, credit: number }> {
  const windows = groupBy(all.filter(({ outcome }) => outcome !== Outcome.Left), ({ job }) => String(Math.floor(job.at / WINDOW_MILLISECONDS)))
  return [...windows].map(([window, results]) => ({ second: Number(window) * WINDOW_MILLISECONDS / 1000, credit: creditOf(results) }))
    .sort((one, other) => one.second - other.second)
}

/** Credit of each kind of job. */
export function creditByKind (all: readonly JobResult[]): Record<string, number> {
  return Object.fromEntries([...groupBy(all.filter(({ outcome }) => outcome !== Outcome.Left), ({ job }) => job.kind)].map(([kind, results]) => [kind, creditOf(results)]))
}

/** Part of the callers of each kind of job that were in time. */
export function inTimeByKind (all: readonly JobResult[]): Record<string, number> {
  return Object.fromEntries([...groupBy(all.filter(({ outcome }) => outcome !== Outcome.Left), ({ job }) => job.kind)].map(([kind, results]) => [kind, inTimePartOf(results)]))
}

function inTimePartOf (results: readonly JobResult[]): number {
  return results.filter(({ outcome }) => outcome === Outcome.InTime).length / Math.max(1, results.length)
}

/** Each kind of job weighs the same in the whole, as on the users' sheets. */
function creditOf (results: readonly JobResult[]): number {
  const kinds = [...groupBy(results, ({ job }) => job.kind).values()]
  const parts = kinds.map(kind => ({ got: sum(kind.map(({ credit }) => credit)), owed: sum(kind.map(({ job }) => job.worth)) }))
  return mean(parts.map(({ got, owed }) => got / owed))
}

function largest (results: readonly JobResult[]): JobResult[] {
  return [...results].sort((one, other) => other.job.worth - one.job.worth).slice(0, Math.ceil(results.length * LARGEST_PART))
}

function groupBy<Item> (items: readonly Item[], keyOf: (item: Item) => string): Map<string, Item[]> {
  const groups = new Map<string, Item[]>()
  for (const item of items) {
    const key = keyOf(item)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [item])
    else group.push(item)
  }
  return groups
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

function mean (values: readonly number[]): number {
  return values.length === 0 ? 1 : sum(values) / values.length
}
