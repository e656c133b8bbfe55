/** One seed of the soak: random faults in series and overlapping, then quiet, and the promises all the while. */
import type { PlacedRun } from '@amaranthmast/standins/runintervals'
import type { Told } from './soakcallers.ts'
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { setTimeout as pause } from 'node:timers/promises'
import { findOverlaps } from '@amaranthmast/standins/runintervals'
import { SeededRandom } from '@amaranthmast/standins/random'
import { Fate, SoakCallers } from './soakcallers.ts'
import { CONFIGURATION_FAULTS, FAULTS, OPERATOR_FAULTS, REFUSAL_FAULTS } from './soakfaults.ts'
import { SoakFleet } from './soakfleet.ts'

export interface SoakOptions {
  seed: number
  program: string
  /** How long faults strike, in milliseconds. */
  faults: number
  /** Mean time between two faults, in milliseconds. @default 450 */
  every?: number
  /** Kinds of faults; all when absent. */
  kinds?: readonly string[]
  entries?: number
  agents?: number
  /**
   * The tasks of every eighth job outlast the pause of a caller that comes back, so that what a lost entry left running is still there.
   * @default false
   */
  long?: boolean
  /** Evacuations, and workers that start again under their id, among the faults. @default false */
  operators?: boolean
  /** Large and frequent configurations, and stores that single entries don't hear, among the faults. @default false */
  configurations?: boolean
  /** Workers that refuse connections while they live, answer slowly or ignore stops, and processes that are late, among the faults. @default false */
  refusals?: boolean
  /** Callers that leave early and come back at another entry. @default as `refusals` */
  leaves?: boolean
  /** Processes beside the fleet that only compute. @default 0 */
  busy?: number
}

export interface SoakResult {
  seed: number
  /** Broken promises, each with what was seen. */
  findings: string[]
  jobs: Record<string, number>
  /** Faults in order, with their times, for the trace of a seed that failed. */
  struck: string[]
  logs: Record<string, readonly string[]>
  /** How late this process was at most, and with it the workers and callers in it, in milliseconds. */
  late: number
}

/** Mean time between two faults, in milliseconds. */
const FAULT_INTERVAL = 450

/** How long tasks run and how often jobs come. */
interface Sizes {
  /** Mean time between two jobs, in milliseconds. */
  interval: number
  /** One of so many jobs has long tasks. */
  longEvery: number
  /** How much longer they are, in milliseconds: a caller comes back after 1,300. */
  longExtra: number
}

/**
 * 2.5 tasks of 0.47 s on two cores each 110 ms are 21 of the 32 cores. At 60 ms the fleet was overloaded all the while,
 * and refused in the quiet part what it had no room for.
 */
const SIZES: Sizes = { interval: 110, longEvery: Infinity, longExtra: 0 }

/** The mean run time is then 0.67 s. */
const LONG_SIZES: Sizes = { interval: 160, longEvery: 8, longExtra: 1400 }

/** Where processes are late: whenever its caller leaves, a long task has more to do than the pause. */
const LATE_LONG_SIZES: Sizes = { interval: 350, longEvery: 2, longExtra: 1900 }

/** The intervals hold for a fleet of so many agents; a larger one gets more jobs. */
const AGENTS = 4

/** Jobs stay this far apart, in milliseconds: the callers share a process with the workers. */
const SHORTEST_JOB_INTERVAL = 12

/** Resolution with which the lateness of this process is measured, in milliseconds. */
const LOOP_RESOLUTION = 5
const NANOSECONDS_PER_MILLISECOND = 1e6

/** Time for the fleet to start, and after the faults to be whole again, in milliseconds. */
const START = 1500
const RECOVERY = 3000
const QUIET = 1500

/** Number of the first job after the faults. */
const QUIET_JOBS = 0x100000

/** Number of the first job after an evacuation was taken back. */
const RETURN_JOBS = 0x200000

/** How often an entry is asked for the newest queue, in milliseconds. */
const ASK_INTERVAL = 50

/** A configuration is in force within this time, as the settings of the fleet say, in milliseconds. */
const CONFIGURATION_BOUND = 2000

/** With half of the targets evacuated jobs come this much more seldom. */
const EVACUATED_INTERVAL_FACTOR = 2.5
const EVACUATED_AT_END = 'two'

const ALL_FAULTS = { ...CONFIGURATION_FAULTS, ...REFUSAL_FAULTS }

/** Part of the jobs that must be completed once all faults are over. */
const SERVED_PART = 0.95

export async function soak (options: SoakOptions): Promise<SoakResult> {
  const { seed, program, entries = 3, agents = AGENTS, long = false, operators = false, configurations = false, refusals = false, leaves = refusals, busy = 0 } = options
  const sizes = long ? (refusals ? LATE_LONG_SIZES : LONG_SIZES) : SIZES
  const interval = Math.max(SHORTEST_JOB_INTERVAL, sizes.interval * AGENTS / agents)
  const random = new SeededRandom(seed)
  const fleet = new SoakFleet(program, { operators: operators || configurations, relaysEntries: configurations })
  const findings: string[] = []
  const struck: string[] = []
  await fleet.start(entries, agents, task => durationOf(numberOf(task), sizes))
  fleet.load(busy)
  await pause(START)
  const began = performance.now()
  const loop = monitorEventLoopDelay({ resolution: LOOP_RESOLUTION })
  loop.enable()
  let asked = 0
  const asking = setInterval(() => {
    asked += 1
    if (configurations) denied(fleet, asked).then(found => findings.push(...found))
  }, ASK_INTERVAL)
  const callers = new SoakCallers(fleet, random, 0, { leaves })
  const calling = callers.run(options.faults, interval)
  await strikeFor(options, fleet, random, struck)
  await calling
  await callers.settled()
  fleet.evacuate(EVACUATED_AT_END, operators || configurations)
  await pause(RECOVERY)
  findings.push(...await (operators || configurations ? evacuated(fleet, random, interval) : afterwards(fleet, random, interval)))
  clearInterval(asking)
  loop.disable()
  findings.push(...doubled(fleet, began), ...judge(fleet, callers.told), ...ended(fleet))
  const logs = Object.fromEntries([...fleet.entries, ...fleet.agents].map(({ name, process }) => [name, process?.log ?? []]))
  await fleet.close()
  return { seed, findings: [...new Set(findings)], jobs: count(callers.told), struck, logs, late: Math.round(loop.max / NANOSECONDS_PER_MILLISECOND) - LOOP_RESOLUTION }
}

/** Number of the job of a task: the last digits of its id. */
function numberOf (task: string): number {
  return Number.parseInt(task.slice(10, 16), 16)
}

/** Run time of a job's tasks, in milliseconds. */
function durationOf (job: number, { longEvery, longExtra }: Sizes): number {
  const short = 20 + (job * 97) % 900
  return job % longEvery === 0 ? short + longExtra : short
}

function kindsOf ({ operators = false, configurations = false, refusals = false }: Pick<SoakOptions, 'operators' | 'configurations' | 'refusals'>): string[] {
  if (refusals) return Object.keys(REFUSAL_FAULTS)
  return Object.keys(configurations ? CONFIGURATION_FAULTS : operators ? OPERATOR_FAULTS : FAULTS)
}

/**
 * Asks an entry for the queue of the newest configuration that has to be in force: whatever fails, it must not say that there is none.
 *
 * @param turn of the entries
 */
async function denied (fleet: SoakFleet, turn: number): Promise<string[]> {
  const version = fleet.configuredAt.findLastIndex(at => performance.now() - at > CONFIGURATION_BOUND)
  const entry = fleet.entries[turn % fleet.entries.length]
  if (version < 1 || entry === undefined) return []
  const status = await fetch(fleet.urlOf(entry, '', `/v${version}/`), { signal: AbortSignal.timeout(CONFIGURATION_BOUND) }).then(response => response.status, () => 0)
  return status === 404 ? [`${entry.name} says that the queue of version ${version} does not exist`] : []
}

async function strikeFor ({ faults, every = FAULT_INTERVAL, kinds, ...options }: SoakOptions, fleet: SoakFleet, random: SeededRandom, struck: string[]): Promise<void> {
  const began = performance.now()
  const running: Array<Promise<void>> = []
  while (performance.now() - began < faults) {
    const kind = random.pick(kinds ?? kindsOf(options))
    struck.push(`${Math.round(performance.now() - began)} ${kind}`)
    running.push(ALL_FAULTS[kind]?.(fleet, random) ?? Promise.resolve())
    await pause(random.next() * 2 * every)
  }
  await Promise.all(running)
}

/** Tasks that ran at two workers at once, with how long and, from the first fault on, when. */
function doubled (fleet: SoakFleet, began: number): string[] {
  const name = ({ place, run, how, from, to }: PlacedRun): string => `worker ${place} (run ${run}, ${Math.round(from - began)} to ${Math.round(to - began)}, ${how})`
  return findOverlaps(fleet.workers.map(({ intervals }) => intervals)).map(({ first, second, lasted }) => `${first.task} ran for ${lasted} ms at ${name(first)} and ${name(second)}`)
}

/** Nothing starts in a data centre that was evacuated after the faults, and something does once that is taken back. */
async function evacuated (fleet: SoakFleet, random: SeededRandom, interval: number): Promise<string[]> {
  const before = fleet.startsIn(EVACUATED_AT_END)
  const findings = await afterwards(fleet, random, interval * EVACUATED_INTERVAL_FACTOR)
  const started = fleet.startsIn(EVACUATED_AT_END) - before
  if (started > 0) findings.push(`${started} tasks started in an evacuated data centre`)
  fleet.evacuate(EVACUATED_AT_END, false)
  const callers = new SoakCallers(fleet, random, RETURN_JOBS, { persistent: true })
  await callers.run(RECOVERY, interval)
  await callers.settled()
  if (fleet.startsIn(EVACUATED_AT_END) === before) findings.push('nothing starts in the data centre whose evacuation was taken back')
  return findings
}

/**
 * With every fault over, jobs are served through each entry, and each has the newest configuration. Callers come back when
 * they are told to: jobs come at random, and for a moment there can be more of them than four targets have room for.
 */
async function afterwards (fleet: SoakFleet, random: SeededRandom, interval: number): Promise<string[]> {
  const quiet = new SoakCallers(fleet, random, QUIET_JOBS, { persistent: true })
  await quiet.run(QUIET, interval)
  await quiet.settled()
  const served = quiet.told.filter(({ fate }) => fate === Fate.Completed).length
  const findings = served < SERVED_PART * quiet.told.length ? [`only ${served} of ${quiet.told.length} jobs were served after the faults: ${JSON.stringify(count(quiet.told))}`] : []
  const version = fleet.configure()
  await pause(RECOVERY)
  for (const entry of fleet.entries) {
    const status = await fetch(fleet.urlOf(entry, '', `/v${version}/`)).then(response => response.status, () => 0)
    if (status !== 200) findings.push(`${entry.name} does not have version ${version} in force: ${status}`)
  }
  return findings
}

function judge (fleet: SoakFleet, told: readonly Told[]): string[] {
  const started = new Set(fleet.workers.flatMap(worker => worker.started.map(({ task }) => task.split('.')[0])))
  const done = new Set(fleet.workers.flatMap(worker => [...worker.done]))
  return told.flatMap(({ id, tasks, fate }) => {
    if (fate === Fate.Refused && started.has(id)) return [`${id} was refused and a task of it started`]
    if (fate !== Fate.Completed) return []
    const missing = Array.from({ length: tasks }, (_none, index) => `${id}.0.0.${index}`).filter(task => !done.has(task))
    return missing.map(task => `${id} was answered as completed and ${task} was never done`)
  })
}

/** Processes that ended though no fault ended them. */
function ended (fleet: SoakFleet): string[] {
  return [...fleet.entries, ...fleet.agents].filter(({ struck, process }) => !struck && process?.isRunning !== true).map(({ name, process }) => `${name} ended by itself with code ${process?.exitCode}`)
}

function count (told: readonly Told[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const { fate } of told) counts[fate] = (counts[fate] ?? 0) + 1
  return counts
}
