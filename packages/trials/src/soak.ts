/**
 * Soak test of one seed: random faults, in series and overlapping, followed by a phase without faults. What the
 * dispatcher guarantees to callers is checked in both.
 */
import type { PlacedRun } from '@amaranthmast/standins/runintervals'
import type { JobResult } from './soakcallers.ts'
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { setTimeout as pause } from 'node:timers/promises'
import { findOverlaps } from '@amaranthmast/standins/runintervals'
import { SeededRandom } from '@amaranthmast/standins/random'
import { Outcome, SoakCallers } from './soakcallers.ts'
import { BASE_FAULTS, CONFIGURATION_FAULTS, OPERATOR_FAULTS, REFUSAL_FAULTS } from './soakfaults.ts'
import { SoakFleet } from './soakfleet.ts'

/** Options of {@link soak}. */
export interface SoakOptions {
  seed: number
  /** Path of the built program. */
  program: string
  /** How long faults are injected, in milliseconds. */
  faults: number
  /** Mean time between two faults, in milliseconds. @default 450 */
  every?: number
  /** Kinds of faults to inject. @default all that the other options enable */
  kinds?: readonly string[]
  /** @default 3 */
  entries?: number
  /** @default 4 */
  agents?: number
  /**
   * The tasks of every eighth job run longer than a caller waits before it resubmits, so that tasks of a lost entry are
   * still running when the job is placed again.
   * @default false
   */
  long?: boolean
  /** Adds evacuations, and workers that restart under the same id, to the faults. @default false */
  operators?: boolean
  /** Adds large and frequent configurations, and lost connections between single entries and the store, to the faults. @default false */
  configurations?: boolean
  /** Adds workers that refuse connections while they run, answer slowly or ignore stops, and stalled processes, to the faults. @default false */
  refusals?: boolean
  /** Half of the submissions are cut off early by their caller, which resubmits through another entry. @default the value of `refusals` */
  leaves?: boolean
  /** Number of additional processes that only use CPU time. @default 0 */
  busy?: number
}

/** Result of {@link soak}, written to the report of a failed seed. */
export interface SoakResult {
  seed: number
  /** Violated guarantees, each with what was observed. */
  findings: string[]
  /** Number of jobs by outcome, without those submitted after the faults. */
  jobs: Record<string, number>
  /** The injected faults in order: milliseconds since the start, and kind. */
  struck: string[]
  /** Log lines by process. */
  logs: Record<string, readonly string[]>
  /** Maximum event loop delay of this process, and with it of the workers and callers in it, in milliseconds. */
  late: number
}

/** Default mean time between two faults, in milliseconds. */
const DEFAULT_FAULT_INTERVAL = 450

/** Run times of tasks and arrival rate of jobs. */
interface Workload {
  /** Mean time between two jobs, in milliseconds. */
  interval: number
  /** Every so many jobs, one has long tasks. */
  longJobEvery: number
  /** Additional run time of long tasks, in milliseconds. A caller resubmits after 1,300. */
  longTaskExtra: number
}

/**
 * A job every 110 ms with 2.5 tasks of 0.47 s on two cores uses 21 of the 32 cores. An interval of 60 ms overloads the
 * fleet permanently, so that it refuses jobs for lack of capacity in the phase without faults.
 */
const DEFAULT_WORKLOAD: Workload = { interval: 110, longJobEvery: Infinity, longTaskExtra: 0 }

/** The mean run time of tasks is 0.67 s. */
const LONG_TASK_WORKLOAD: Workload = { interval: 160, longJobEvery: 8, longTaskExtra: 1400 }

/** For runs with stalled processes: whenever its caller disconnects, a long task has more run time left than the caller waits. */
const LATE_LONG_TASK_WORKLOAD: Workload = { interval: 350, longJobEvery: 2, longTaskExtra: 1900 }

/** Default number of agents. The intervals of the workloads are for this number, and scale with it. */
const DEFAULT_AGENTS = 4

/** Minimum mean time between two jobs, in milliseconds, because the callers share a process with the workers. */
const MIN_JOB_INTERVAL = 12

/** Resolution of the event loop delay measurement, in milliseconds. */
const LOOP_DELAY_RESOLUTION = 5
const NANOSECONDS_PER_MILLISECOND = 1e6

/** Time for the fleet to start, to recover after the faults, and to serve jobs without faults, in milliseconds. */
const STARTUP_TIME = 1500
const RECOVERY_TIME = 3000
const FAULT_FREE_TIME = 1500

/** The job numbers after the faults follow this one. */
const FAULT_FREE_JOBS_BASE = 0x100000

/** The job numbers after the evacuation is cancelled follow this one. */
const POST_EVACUATION_JOBS_BASE = 0x200000

/** Interval at which an entry is asked for the newest queue, in milliseconds. */
const QUEUE_CHECK_INTERVAL = 50

/** Time within which a configuration must be in force, in milliseconds; the same as in the fleet's settings. */
const CONFIGURATION_TIME_LIMIT = 2000

/** Factor on the mean time between two jobs while half of the targets are evacuated. */
const EVACUATED_INTERVAL_FACTOR = 2.5

/** Data centre that is evacuated in the phase without faults. */
const EVACUATED_DATA_CENTRE = 'two'

const ALL_FAULTS = { ...CONFIGURATION_FAULTS, ...REFUSAL_FAULTS }

/** Fraction of the jobs after the faults that must be completed. */
const MIN_SERVED_FRACTION = 0.95

/** Runs the soak test of one seed. */
export async function soak (options: SoakOptions): Promise<SoakResult> {
  const { seed, program, entries = 3, agents = DEFAULT_AGENTS, long = false, operators = false, configurations = false, refusals = false, leaves = refusals, busy = 0 } = options
  const workload = long ? (refusals ? LATE_LONG_TASK_WORKLOAD : LONG_TASK_WORKLOAD) : DEFAULT_WORKLOAD
  const interval = Math.max(MIN_JOB_INTERVAL, workload.interval * DEFAULT_AGENTS / agents)
  const random = new SeededRandom(seed)
  const fleet = new SoakFleet(program, { operators: operators || configurations, relaysEntries: configurations })
  const findings: string[] = []
  const injectedFaults: string[] = []
  await fleet.start(entries, agents, task => taskDuration(jobNumberOf(task), workload))
  fleet.load(busy)
  await pause(STARTUP_TIME)
  const startedAt = performance.now()
  const loopDelay = monitorEventLoopDelay({ resolution: LOOP_DELAY_RESOLUTION })
  loopDelay.enable()
  let checkCount = 0
  const queueCheck = setInterval(() => {
    checkCount += 1
    if (configurations) checkNewestQueue(fleet, checkCount).then(found => findings.push(...found))
  }, QUEUE_CHECK_INTERVAL)
  const callers = new SoakCallers(fleet, random, 0, { leaves })
  const submissions = callers.run(options.faults, interval)
  await injectFaults(options, fleet, random, injectedFaults)
  await submissions
  await callers.settled()
  fleet.evacuate(EVACUATED_DATA_CENTRE, operators || configurations)
  await pause(RECOVERY_TIME)
  findings.push(...await (operators || configurations ? checkEvacuation(fleet, random, interval) : checkAfterFaults(fleet, random, interval)))
  clearInterval(queueCheck)
  loopDelay.disable()
  findings.push(...findOverlappingRuns(fleet, startedAt), ...checkAnswers(fleet, callers.told), ...findUnexpectedExits(fleet))
  const logs = Object.fromEntries([...fleet.entries, ...fleet.agents].map(({ name, process }) => [name, process?.log ?? []]))
  await fleet.close()
  return { seed, findings: [...new Set(findings)], jobs: countOutcomes(callers.told), struck: injectedFaults, logs, late: Math.round(loopDelay.max / NANOSECONDS_PER_MILLISECOND) - LOOP_DELAY_RESOLUTION }
}

/** Returns the job number of a task: the last six digits of its job's id. */
function jobNumberOf (task: string): number {
  return Number.parseInt(task.slice(10, 16), 16)
}

/** Computes the run time of a job's tasks, in milliseconds: 20 to 919, plus the extra of long tasks. */
function taskDuration (job: number, { longJobEvery, longTaskExtra }: Workload): number {
  const shortDuration = 20 + (job * 97) % 900
  return job % longJobEvery === 0 ? shortDuration + longTaskExtra : shortDuration
}

function faultKinds ({ operators = false, configurations = false, refusals = false }: Pick<SoakOptions, 'operators' | 'configurations' | 'refusals'>): string[] {
  if (refusals) return Object.keys(REFUSAL_FAULTS)
  return Object.keys(configurations ? CONFIGURATION_FAULTS : operators ? OPERATOR_FAULTS : BASE_FAULTS)
}

/**
 * Asks an entry for the queue that was added by the newest configuration that must be in force. Despite any fault, the
 * entry must not answer that the queue does not exist.
 *
 * @param turn selects the entry, in rotation
 */
async function checkNewestQueue (fleet: SoakFleet, turn: number): Promise<string[]> {
  const version = fleet.configuredAt.findLastIndex(at => performance.now() - at > CONFIGURATION_TIME_LIMIT)
  const entry = fleet.entries[turn % fleet.entries.length]
  if (version < 1 || entry === undefined) return []
  const status = await fetch(fleet.urlOf(entry, '', `/v${version}/`), { signal: AbortSignal.timeout(CONFIGURATION_TIME_LIMIT) }).then(response => response.status, () => 0)
  return status === 404 ? [`${entry.name} says that the queue of version ${version} does not exist`] : []
}

/** Starts random faults until the time is over, records each in `injectedFaults`, and waits until all are undone. */
async function injectFaults ({ faults, every = DEFAULT_FAULT_INTERVAL, kinds, ...options }: SoakOptions, fleet: SoakFleet, random: SeededRandom, injectedFaults: string[]): Promise<void> {
  const startedAt = performance.now()
  const running: Array<Promise<void>> = []
  while (performance.now() - startedAt < faults) {
    const kind = random.pick(kinds ?? faultKinds(options))
    injectedFaults.push(`${Math.round(performance.now() - startedAt)} ${kind}`)
    running.push(ALL_FAULTS[kind]?.(fleet, random) ?? Promise.resolve())
    await pause(random.next() * 2 * every)
  }
  await Promise.all(running)
}

/** Finds tasks that ran at two workers at the same time. Reports how long, and when, in milliseconds since `startedAt`. */
function findOverlappingRuns (fleet: SoakFleet, startedAt: number): string[] {
  const describe = ({ place, run, how, from, to }: PlacedRun): string => `worker ${place} (run ${run}, ${Math.round(from - startedAt)} to ${Math.round(to - startedAt)}, ${how})`
  return findOverlaps(fleet.workers.map(({ intervals }) => intervals)).map(({ first, second, lasted }) => `${first.task} ran for ${lasted} ms at ${describe(first)} and ${describe(second)}`)
}

/** Checks that no task starts in an evacuated data centre, and that tasks start there again once the evacuation is cancelled. */
async function checkEvacuation (fleet: SoakFleet, random: SeededRandom, interval: number): Promise<string[]> {
  const before = fleet.countStartsIn(EVACUATED_DATA_CENTRE)
  const findings = await checkAfterFaults(fleet, random, interval * EVACUATED_INTERVAL_FACTOR)
  const started = fleet.countStartsIn(EVACUATED_DATA_CENTRE) - before
  if (started > 0) findings.push(`${started} tasks started in an evacuated data centre`)
  fleet.evacuate(EVACUATED_DATA_CENTRE, false)
  const callers = new SoakCallers(fleet, random, POST_EVACUATION_JOBS_BASE, { resubmitsRefused: true })
  await callers.run(RECOVERY_TIME, interval)
  await callers.settled()
  if (fleet.countStartsIn(EVACUATED_DATA_CENTRE) === before) findings.push('nothing starts in the data centre whose evacuation was taken back')
  return findings
}

/**
 * Checks that jobs are served once all faults are over, and that every entry applies a new configuration. Callers
 * resubmit refused jobs: jobs arrive at random, and can briefly exceed the capacity of four targets.
 */
async function checkAfterFaults (fleet: SoakFleet, random: SeededRandom, interval: number): Promise<string[]> {
  const callers = new SoakCallers(fleet, random, FAULT_FREE_JOBS_BASE, { resubmitsRefused: true })
  await callers.run(FAULT_FREE_TIME, interval)
  await callers.settled()
  const served = callers.told.filter(({ outcome }) => outcome === Outcome.Completed).length
  const findings = served < MIN_SERVED_FRACTION * callers.told.length ? [`only ${served} of ${callers.told.length} jobs were served after the faults: ${JSON.stringify(countOutcomes(callers.told))}`] : []
  const version = fleet.configure()
  await pause(RECOVERY_TIME)
  for (const entry of fleet.entries) {
    const status = await fetch(fleet.urlOf(entry, '', `/v${version}/`)).then(response => response.status, () => 0)
    if (status !== 200) findings.push(`${entry.name} does not have version ${version} in force: ${status}`)
  }
  return findings
}

/** Checks the answers against the workers' records: no refused job was started, and each task of a completed job was done. */
function checkAnswers (fleet: SoakFleet, results: readonly JobResult[]): string[] {
  const startedJobs = new Set(fleet.workers.flatMap(worker => worker.started.map(({ task }) => task.split('.')[0])))
  const doneTasks = new Set(fleet.workers.flatMap(worker => [...worker.done]))
  return results.flatMap(({ id, tasks, outcome }) => {
    if (outcome === Outcome.Refused && startedJobs.has(id)) return [`${id} was refused and a task of it started`]
    if (outcome !== Outcome.Completed) return []
    const missing = Array.from({ length: tasks }, (_none, index) => `${id}.0.0.${index}`).filter(task => !doneTasks.has(task))
    return missing.map(task => `${id} was answered as completed and ${task} was never done`)
  })
}

/** Finds processes that exited though no fault ended them. */
function findUnexpectedExits (fleet: SoakFleet): string[] {
  return [...fleet.entries, ...fleet.agents].filter(({ struck, process }) => !struck && process?.isRunning !== true).map(({ name, process }) => `${name} ended by itself with code ${process?.exitCode}`)
}

function countOutcomes (results: readonly JobResult[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const { outcome } of results) counts[outcome] = (counts[outcome] ?? 0) + 1
  return counts
}
