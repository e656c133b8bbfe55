/** Computes the figures of an emulated day. */
import type { JobResult } from './callers.ts'
import type { CapacityCheck } from './capacitycheck.ts'
import { Outcome } from './callers.ts'

/** Width of the time windows that are scored separately, in milliseconds. */
const WINDOW_MILLISECONDS = 2000

/** Number of worst time windows that `worstWindows` averages. */
const WORST_WINDOW_COUNT = 2

/** Fraction of each kind's jobs, those with the most work, that is scored separately. */
const LARGEST_FRACTION = 0.1

/** Maximum time to a refusal that counts as prompt, in milliseconds. */
const PROMPT_MILLISECONDS = 20

const THOUSANDTHS_PER_CORE = 1000
const MILLISECONDS_PER_SECOND = 1000

/** Credits as fractions of the possible credit (0 to 1), counts of callers, and further figures. */
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
  /** Fraction of the counted callers that were answered in time. */
  inTimePart: number
  /** Mean number of cores that worked for jobs answered in time, and their fraction of all work. */
  coresInTime: number
  usefulPart: number
  /** Fraction of the refusals sent within 20 ms, without the travel time to and from the caller. */
  soonRefusals: number
  /** In-time fraction of the worst kind of job divided by that of all callers. */
  worstKindPart: number
  /** In-time fraction of the tenth of a kind's jobs with the most work divided by that of the whole kind; minimum of all kinds. */
  largestTenthPart: number
  startsFullPart: number
  /** Target crashes caused by tasks, starts of tasks that had already crashed three targets, and failed jobs that could have been completed. */
  crashes: number
  startsAfterCrashes: number
  failedSound: number
  /** Jobs answered as failed though no task had as many listed failures as its queue allows. */
  failedUnlisted: number
  /** Starts over the capacity of a target, tasks started at leaving targets, and those of them that the end of the target cut off. */
  startsOver: number
  begunLeaving: number
  cutOff: number
  messagesPerTask: number
  /** Milliseconds of processor time per second of the busiest entry, the mean entry and the mean agent, by the cost model. */
  entryMost: number
  entryMean: number
  agentMean: number
}

/** Counters of a fleet over one day. */
export interface DayCounts {
  crashes: number
  startsAfterCrashes: number
  /** Work done, by job, in thousandths of a core times milliseconds. */
  work: ReadonlyMap<string, number>
  /** Duration of the load. */
  seconds: number
  /** One-way travel time to callers, in milliseconds. */
  callerDelay: number
  starts: number
  fullStarts: number
  messages: number
  /** Milliseconds of processor time per second. */
  entryLoads: readonly number[]
  agentLoads: readonly number[]
  checks: ReadonlyArray<Pick<CapacityCheck, 'startsOver' | 'begunLeaving' | 'cutOff'>>
}

export function figuresOf (all: readonly JobResult[], { work, seconds, callerDelay, starts, fullStarts, messages, entryLoads, agentLoads, crashes, startsAfterCrashes, checks }: DayCounts): DayFigures {
  const counted = all.filter(({ outcome }) => outcome !== Outcome.Left)
  const kinds = groupBy(counted, ({ job }) => job.kind)
  const windows = groupBy(counted, ({ job }) => String(Math.floor(job.at / WINDOW_MILLISECONDS)))
  const byWindow = [...windows.values()].map(creditOf).sort((one, other) => one - other)
  const tasks = counted.reduce((sum, { job }) => sum + job.tasks.length, 0)
  const count = (...outcomes: Outcome[]): number => counted.filter(({ outcome }) => outcomes.includes(outcome)).length
  const inTime = counted.filter(({ outcome }) => outcome === Outcome.InTime)
  const refusals = counted.filter(({ outcome }) => outcome === Outcome.Refused)
  const workInTime = sum(inTime.map(({ job }) => work.get(job.id) ?? 0))
  return {
    credit: creditOf(counted),
    worstKind: Math.min(...[...kinds.values()].map(creditOf)),
    worstWindows: mean(byWindow.slice(0, WORST_WINDOW_COUNT)),
    largestTenth: Math.min(...[...kinds.values()].map(results => creditOf(largestJobs(results)))),
    jobs: counted.length,
    inTime: count(Outcome.InTime),
    late: count(Outcome.Late),
    refused: count(Outcome.Refused),
    failed: count(Outcome.Failed, Outcome.TooLate),
    inTimePart: count(Outcome.InTime) / Math.max(1, counted.length),
    crashes,
    startsAfterCrashes,
    failedSound: counted.filter(({ outcome, job }) => outcome === Outcome.Failed && !job.poisoned).length,
    failedUnlisted: all.filter(({ failedUnlisted }) => failedUnlisted).length,
    coresInTime: workInTime / THOUSANDTHS_PER_CORE / (seconds * MILLISECONDS_PER_SECOND),
    usefulPart: workInTime / Math.max(1, sum([...work.values()])),
    soonRefusals: refusals.filter(({ responseTime }) => responseTime - 2 * callerDelay <= PROMPT_MILLISECONDS).length / Math.max(1, refusals.length),
    worstKindPart: Math.min(...[...kinds.values()].map(inTimeFraction)) / Math.max(Number.EPSILON, inTimeFraction(counted)),
    largestTenthPart: Math.min(...[...kinds.values()].map(results => inTimeFraction(largestJobs(results)) / Math.max(Number.EPSILON, inTimeFraction(results)))),
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

/** Credit of each time window of a day, for plots. */
export function creditOverTime (all: readonly JobResult[]): Array<{ second: number, credit: number }> {
  const windows = groupBy(all.filter(({ outcome }) => outcome !== Outcome.Left), ({ job }) => String(Math.floor(job.at / WINDOW_MILLISECONDS)))
  return [...windows].map(([window, results]) => ({ second: Number(window) * WINDOW_MILLISECONDS / 1000, credit: creditOf(results) }))
    .sort((one, other) => one.second - other.second)
}

/** Credit of each kind of job. */
export function creditByKind (all: readonly JobResult[]): Record<string, number> {
  return Object.fromEntries([...groupBy(all.filter(({ outcome }) => outcome !== Outcome.Left), ({ job }) => job.kind)].map(([kind, results]) => [kind, creditOf(results)]))
}

/** Fraction of the callers of each kind of job that were answered in time. */
export function inTimeByKind (all: readonly JobResult[]): Record<string, number> {
  return Object.fromEntries([...groupBy(all.filter(({ outcome }) => outcome !== Outcome.Left), ({ job }) => job.kind)].map(([kind, results]) => [kind, inTimeFraction(results)]))
}

function inTimeFraction (results: readonly JobResult[]): number {
  return results.filter(({ outcome }) => outcome === Outcome.InTime).length / Math.max(1, results.length)
}

/** Credit received divided by the possible credit. Every kind of job has the same weight, as in the users' own evaluation. */
function creditOf (results: readonly JobResult[]): number {
  const kinds = [...groupBy(results, ({ job }) => job.kind).values()]
  const credits = kinds.map(kind => ({ received: sum(kind.map(({ credit }) => credit)), possible: sum(kind.map(({ job }) => job.worth)) }))
  return mean(credits.map(({ received, possible }) => received / possible))
}

function largestJobs (results: readonly JobResult[]): JobResult[] {
  return [...results].sort((one, other) => other.job.worth - one.job.worth).slice(0, Math.ceil(results.length * LARGEST_FRACTION))
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
