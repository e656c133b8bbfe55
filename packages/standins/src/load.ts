/**
 * Seeded open-loop load. Jobs are submitted at their planned times whether or not earlier ones are
 * answered, so that the queue of a slow system grows as it does with real callers.
 */
import { setTimeout as delay } from 'node:timers/promises'

import type { Caller } from './caller.ts'
import { JOB_DEADLINE } from './defaults.ts'
import { SeededRandom } from './random.ts'
import type { JobSubmission, TaskSubmission } from './records.ts'

/** Tenant, service and repeatability of jobs. Each job belongs to a random class. */
export interface LoadClass {
  tenant: string
  service: string
  repeatable: boolean
}

/** Options of a load. */
export interface LoadOptions {
  seed: number
  /** Average number of jobs per second, bursts included. */
  rate: number
  seconds: number
  /** Factor on run times; 1 gives mostly 50 ms to 1 s and a few of up to 5 s. @default 1 */
  scale?: number
  /** Seconds between bursts; 0 for none. @default 5 */
  burstEvery?: number
  /** Fraction of all jobs that are submitted in bursts, 0 to 1. @default 0.2 */
  burstFraction?: number
  /** Prefix of the job ids, so that the ids of two loads differ. @default `load-{seed}` */
  prefix?: string
  classes?: readonly LoadClass[]
}

/** A job and the time at which it is submitted, in milliseconds from the start of the load. */
export interface PlannedJob {
  at: number
  submission: JobSubmission
}

/** Default classes of a load. */
export const LOAD_CLASSES: readonly LoadClass[] = [
  { tenant: 'magnolia', service: 'label-check', repeatable: true },
  { tenant: 'vaalrand', service: 'certificate', repeatable: false }
]

/** Distribution of task counts per job: the cumulative fraction of jobs, and the range of their counts. */
const TASK_COUNTS: ReadonlyArray<{ cumulativeFraction: number, low: number, high: number }> = [
  { cumulativeFraction: 0.6, low: 1, high: 1 },
  { cumulativeFraction: 0.9, low: 2, high: 8 },
  { cumulativeFraction: 0.98, low: 9, high: 40 },
  { cumulativeFraction: 1, low: 41, high: 140 }
]

/** Tasks of the largest job. Each load contains at least one job of this size. */
const MAX_TASKS = 140
/** Run times in milliseconds at scale 1. Up to `MAX_COMMON_RUN`, except for `LONG_RUN_FRACTION` of the tasks. */
const MIN_RUN = 50
const MAX_COMMON_RUN = 1_000
const MAX_RUN = 5_000
const LONG_RUN_FRACTION = 0.01
/** Maximum factor by which a declared run time is above or below the real one. */
const DECLARATION_ERROR = 4
/** Milliseconds over which the jobs of a burst are spread. */
const BURST_SPREAD = 50

/** Plans all jobs of a load, sorted by time. The same options give the same jobs. */
export function planLoad (options: LoadOptions): PlannedJob[] {
  const { seed, rate, seconds, scale = 1, prefix = `load-${seed}`, classes = LOAD_CLASSES } = options
  const random = new SeededRandom(seed)
  const count = Math.max(1, Math.round(rate * seconds))
  const times = Array.from({ length: count }, () => submissionTime(options, random)).sort((a, b) => a - b)
  const largest = Math.floor(count / 2)
  return times.map((at, index) => {
    const tasks = index === largest ? MAX_TASKS : taskCount(random)
    return { at, submission: newJob(`${prefix}-${index}`, random.pick(classes), tasks, scale, random) }
  })
}

/** Submits the jobs at their times. Resolves when each is answered or abandoned. */
export async function runLoad (plan: readonly PlannedJob[], caller: Caller): Promise<void> {
  const startedAt = performance.now()
  const pending: Array<Promise<unknown>> = []
  for (const { at, submission } of plan) {
    const wait = startedAt + at - performance.now()
    if (wait > 1) await delay(wait)
    pending.push(caller.submit({ ...submission, lodgedAt: Date.now() }))
  }
  await Promise.all(pending)
}

function submissionTime (options: LoadOptions, random: SeededRandom): number {
  const { seconds, burstEvery = 5, burstFraction = 0.2 } = options
  const bursts = burstEvery > 0 ? Math.floor(seconds / burstEvery) : 0
  if (bursts === 0 || random.next() >= burstFraction) return random.next() * seconds * 1000
  const burst = random.integer(0, bursts - 1)
  return (burst + 0.5) * burstEvery * 1000 + random.next() * BURST_SPREAD
}

function taskCount (random: SeededRandom): number {
  const fraction = random.next()
  const range = TASK_COUNTS.find(({ cumulativeFraction }) => fraction < cumulativeFraction)
  return range === undefined ? 1 : random.integer(range.low, range.high)
}

function newJob (job: string, kind: LoadClass, tasks: number, scale: number, random: SeededRandom): JobSubmission {
  return {
    job,
    ...kind,
    deadlineMilliseconds: JOB_DEADLINE,
    tasks: Array.from({ length: tasks }, () => newTask(scale, random))
  }
}

function newTask (scale: number, random: SeededRandom): TaskSubmission {
  const isLong = random.next() < LONG_RUN_FRACTION
  const run = isLong
    ? random.logarithmic(MAX_COMMON_RUN, MAX_RUN)
    : random.logarithmic(MIN_RUN, MAX_COMMON_RUN)
  const runMilliseconds = Math.max(1, Math.round(run * scale))
  const declared = runMilliseconds * random.logarithmic(1 / DECLARATION_ERROR, DECLARATION_ERROR)
  return { payload: { runMilliseconds }, runMilliseconds: Math.max(1, Math.round(declared)) }
}
