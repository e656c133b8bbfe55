/**
 * Synthetic workload of the users: bursty arrivals, jobs of 1 to 140 tasks, run times from 50 ms to
 * several seconds, and declared run times that are often wrong.
 */
import type { Configuration } from '@amaranthmast/coordination/configuration'
import type { TaskNeeds } from '@amaranthmast/coordination/messages'
import { exponential, logUniform, seededRandom } from './random.ts'

/** User whose workload is generated. */
export enum User {
  Magnolia = 'magnolia',
  Vaalrand = 'vaalrand'
}

/** A range [low, high) of values. */
interface WeightedRange {
  /** Fraction of all values that fall into the range. */
  part: number
  low: number
  high: number
}

/** Fleet and workload of one user. */
export interface Profile {
  dataCentres: number
  targets: number
  /** Slots of each target. */
  slots: number
  /** Memory of each target. */
  memoryMegabytes: number
  /** Tasks per job. */
  jobSizes: readonly WeightedRange[]
  /** Run times of tasks, in milliseconds. */
  runTimes: readonly WeightedRange[]
  services: readonly string[]
}

/** Profiles of the users at their current sizes. */
export const profiles: Readonly<Record<User, Profile>> = {
  [User.Magnolia]: {
    dataCentres: 3,
    targets: 11,
    slots: 8,
    memoryMegabytes: 65_536,
    jobSizes: [{ part: 0.4, low: 1, high: 5 }, { part: 0.4, low: 5, high: 21 }, { part: 0.17, low: 21, high: 61 }, { part: 0.03, low: 61, high: 141 }],
    runTimes: [{ part: 0.92, low: 50, high: 1_000 }, { part: 0.05, low: 1_000, high: 2_000 }, { part: 0.03, low: 2_000, high: 6_000 }],
    services: ['label-check', 'delivery-record']
  },
  [User.Vaalrand]: {
    dataCentres: 4,
    targets: 11,
    slots: 8,
    memoryMegabytes: 262_144,
    jobSizes: [{ part: 0.6, low: 1, high: 5 }, { part: 0.32, low: 5, high: 21 }, { part: 0.07, low: 21, high: 61 }, { part: 0.01, low: 61, high: 141 }],
    runTimes: [{ part: 0.95, low: 60, high: 1_000 }, { part: 0.03, low: 1_000, high: 2_000 }, { part: 0.02, low: 2_000, high: 5_000 }],
    services: ['certificate', 'lookup']
  }
}

/** Arrival rates, as multiples of the mean rate, and mean durations of quiet and burst phases. */
const QUIET_RATE = 0.85
const BURST_RATE = 1.6
const QUIET_MILLISECONDS = 8_000
const BURST_MILLISECONDS = 2_000

/** Fraction of the tasks without a declared run time, and of those whose declaration is wrong by up to a factor of ten either way. */
const UNDECLARED_FRACTION = 0.25
const WRONG_FRACTION = 0.25
/** Largest relative error of the other declarations. */
const MAX_DECLARATION_ERROR = 0.2

/** One task. */
export interface ModelTask {
  /** Actual run time, in milliseconds. */
  run: number
  /** Declared run time, in milliseconds; 0 when not declared. */
  declared: number
  needs: TaskNeeds
}

/** One job, as sent by its caller. */
export interface ModelJob {
  key: string
  tenant: string
  service: string
  /** Instant at which the caller sends the job, in milliseconds. */
  sentAt: number
  deadlineMilliseconds: number
  tasks: ModelTask[]
}

/** Options for generating a workload. */
export interface WorkloadOptions {
  user: User
  /** Offered work as a fraction of the capacity of all slots. */
  load: number
  /** Duration over which jobs are sent. */
  milliseconds: number
  seed: number
  /** @default the user */
  tenant?: string
  /** @default 30000 */
  deadlineMilliseconds?: number
  /** Number of slots that `load` refers to. @default all slots of the user's profile */
  slots?: number
  needs?: TaskNeeds
}

function drawRange (ranges: readonly WeightedRange[], random: () => number): WeightedRange {
  let remaining = random()
  for (const range of ranges) {
    remaining -= range.part
    if (remaining < 0) return range
  }
  return ranges[ranges.length - 1] as WeightedRange
}

function meanRunTime (ranges: readonly WeightedRange[]): number {
  return ranges.reduce((sum, { part, low, high }) => sum + part * (high - low) / Math.log(high / low), 0)
}

function meanJobSize (ranges: readonly WeightedRange[]): number {
  return ranges.reduce((sum, { part, low, high }) => sum + part * (low + high - 1) / 2, 0)
}

function drawDeclaredRunTime (run: number, random: () => number): number {
  const draw = random()
  if (draw < UNDECLARED_FRACTION) return 0
  if (draw < UNDECLARED_FRACTION + WRONG_FRACTION) return run * 10 ** (2 * random() - 1)
  return run * (1 + MAX_DECLARATION_ERROR * (2 * random() - 1))
}

/** Generates the jobs of one run, in the order in which they are sent. */
export function makeJobs (options: WorkloadOptions): ModelJob[] {
  const profile = profiles[options.user]
  const random = seededRandom(options.seed)
  const slots = options.slots ?? profile.targets * profile.slots
  const jobsPerMillisecond = options.load * slots / (meanRunTime(profile.runTimes) * meanJobSize(profile.jobSizes))
  const jobs: ModelJob[] = []
  let now = 0
  let bursting = false
  let phaseEnds = exponential(random, QUIET_MILLISECONDS)
  while (true) {
    const rate = jobsPerMillisecond * (bursting ? BURST_RATE : QUIET_RATE)
    const next = now + exponential(random, 1 / rate)
    if (next > phaseEnds) {
      now = phaseEnds
      bursting = !bursting
      phaseEnds += exponential(random, bursting ? BURST_MILLISECONDS : QUIET_MILLISECONDS)
      continue
    }
    now = next
    if (now > options.milliseconds) return jobs
    jobs.push(makeJob(options, profile, random, now, jobs.length))
  }
}

function makeJob (options: WorkloadOptions, profile: Profile, random: () => number, sentAt: number, number: number): ModelJob {
  const { low, high } = drawRange(profile.jobSizes, random)
  const size = low + Math.floor(random() * (high - low))
  const tenant = options.tenant ?? options.user
  const tasks = Array.from({ length: size }, () => {
    const range = drawRange(profile.runTimes, random)
    const run = logUniform(random, range.low, range.high)
    return { run, declared: drawDeclaredRunTime(run, random), needs: options.needs ?? { accelerators: 0, memoryMegabytes: 0 } }
  })
  const service = profile.services[Math.floor(random() * profile.services.length)] as string
  return { key: `${tenant}/${number}`, tenant, service, sentAt, deadlineMilliseconds: options.deadlineMilliseconds ?? 30_000, tasks }
}

/** Returns a configuration in which two providers serve all services of the user with the given shares. */
export function configurationFor (user: User, shares: Readonly<Record<string, number>>, tenants: Configuration['tenants'] = {}): Configuration {
  const unlimited = { tasksPerSecond: 0, burst: 0, slots: 0, weight: 1 }
  return {
    version: 1,
    services: Object.fromEntries(profiles[user].services.map(service => [service, { shares }])),
    providers: { 'provider-a': { expectedTargets: 0 }, 'provider-b': { expectedTargets: 0 } },
    tenants: { [user]: unlimited, ...tenants },
    draining: { targets: [], racks: [], dataCentres: [], providers: [] }
  }
}
