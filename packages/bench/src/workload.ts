/**
 * A model of the users' work: arrivals in bursts, jobs of 1 to 140 tasks, run times from 50 ms to
 * several seconds, and declarations that are often wrong.
 */
import type { Configuration } from '@amaranthmast/coordination/configuration'
import type { TaskNeeds } from '@amaranthmast/coordination/messages'
import { exponential, logUniform, seededRandom } from './random.ts'

/** One of the users of the brief. */
export enum User {
  Magnolia = 'magnolia',
  Vaalrand = 'vaalrand'
}

/** A range and how often a value falls into it. */
interface Range {
  part: number
  low: number
  high: number
}

/** What one user's work and fleet look like. */
export interface Profile {
  dataCentres: number
  targets: number
  slots: number
  memoryMegabytes: number
  jobSizes: readonly Range[]
  runTimes: readonly Range[]
  services: readonly string[]
}

/** The users of the brief at their sizes of today. */
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

/** Arrivals: most of the time below the mean rate, in bursts far above it. */
const QUIET_RATE = 0.85
const BURST_RATE = 1.6
const QUIET_MILLISECONDS = 8_000
const BURST_MILLISECONDS = 2_000

/** Declarations: a part is missing, a part is off by up to ten times either way. */
const UNDECLARED_PART = 0.25
const WRONG_PART = 0.25
const ROUGHLY_RIGHT = 0.2

/** One task with its true run time. */
export interface ModelTask {
  run: number
  declared: number
  needs: TaskNeeds
}

/** One job as its caller sends it. */
export interface ModelJob {
  key: string
  tenant: string
  service: string
  /** Instant at which the caller sends it, in milliseconds. */
  sentAt: number
  deadlineMilliseconds: number
  tasks: ModelTask[]
}

/** What work to make. */
export interface WorkloadOptions {
  user: User
  /** Offered work as a part of what all slots can do. */
  load: number
  milliseconds: number
  seed: number
  tenant?: string
  /** @default 30000 */
  deadlineMilliseconds?: number
  /** Number of slots that `load` is a part of. @default all of the user's */
  slots?: number
  needs?: TaskNeeds
}

function drawRange (ranges: readonly Range[], random: () => number): Range {
  let left = random()
  for (const range of ranges) {
    left -= range.part
    if (left < 0) return range
  }
  return ranges[ranges.length - 1] as Range
}

function meanRun (ranges: readonly Range[]): number {
  return ranges.reduce((sum, { part, low, high }) => sum + part * (high - low) / Math.log(high / low), 0)
}

function meanSize (ranges: readonly Range[]): number {
  return ranges.reduce((sum, { part, low, high }) => sum + part * (low + high - 1) / 2, 0)
}

function declare (run: number, random: () => number): number {
  const kind = random()
  if (kind < UNDECLARED_PART) return 0
  if (kind < UNDECLARED_PART + WRONG_PART) return run * 10 ** (2 * random() - 1)
  return run * (1 + ROUGHLY_RIGHT * (2 * random() - 1))
}

/** Makes the jobs of one run, in order of their sending. */
export function makeJobs (options: WorkloadOptions): ModelJob[] {
  const profile = profiles[options.user]
  const random = seededRandom(options.seed)
  const slots = options.slots ?? profile.targets * profile.slots
  const jobsPerMillisecond = options.load * slots / (meanRun(profile.runTimes) * meanSize(profile.jobSizes))
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
    return { run, declared: declare(run, random), needs: options.needs ?? { accelerators: 0, memoryMegabytes: 0 } }
  })
  const service = profile.services[Math.floor(random() * profile.services.length)] as string
  return { key: `${tenant}/${number}`, tenant, service, sentAt, deadlineMilliseconds: options.deadlineMilliseconds ?? 30_000, tasks }
}

/** A configuration in which two providers serve all services of the user at the given shares. */
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
