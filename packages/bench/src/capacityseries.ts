/** Series of runs, each of which varies one cause of resource usage and keeps the others constant. */
import { CapacityFleet } from './capacityfleet.ts'
import type { FleetSize, WindowRates } from './capacityfleet.ts'
import { SteadyLoad } from './capacityload.ts'
import type { ToolUsage } from './capacitytool.ts'
import { measureTool } from './capacitytool.ts'

/** Parameters and measured rates of one run. */
export interface Run extends WindowRates, RunParameters {
  series: string
  /** Number of jobs that did not complete. The figures of a run with any are unreliable. */
  incomplete: number
}

/** Parameters of a run that the usage may depend on. */
export interface RunParameters {
  entries: number
  agents: number
  tenants: number
  jobsPerSecond: number
  tasksPerSecond: number
  /** Configurations applied per second. */
  changesPerSecond: number
  /** Number of jobs that the entries retain at the end of the window. */
  jobsHeld: number
}

/** One run of the command line tool. */
export interface ToolRun extends ToolUsage {
  command: string
}

/** Reports the progress of a measurement. */
export type Progress = (text: string) => void

const SETTLE_SECONDS = 25
const IDLE_SECONDS = 15
const LOAD_SETTLE_SECONDS = 20
const LOAD_SECONDS = 15
const CHANGE_COUNT = 8
const RETENTION_STEPS = 6
const RETENTION_STEP_SECONDS = 8
const RETENTION_RATE = 300
const TASK_RUN_MILLISECONDS = 20
const DEFAULT_TENANTS = 3

const DEFAULT_SIZE: FleetSize = { entries: 3, agents: 6, tenants: DEFAULT_TENANTS }

/** Idle fleets of several sizes. */
export async function idleSeries (options: Partial<FleetSize>, progress: Progress): Promise<Run[]> {
  const sizes = [
    ...[6, 12, 24, 48].map(agents => ({ entries: 1, agents })),
    ...[3, 5].map(entries => ({ entries, agents: 6 })),
    { entries: 3, agents: 24 }
  ]
  const runs: Run[] = []
  for (const size of sizes) {
    runs.push(await withFleet({ ...DEFAULT_SIZE, ...options, ...size }, async fleet => {
      await pause(SETTLE_SECONDS)
      return { ...parametersOf(fleet), series: 'idle', incomplete: 0, ...await fleet.measure(IDLE_SECONDS) }
    }))
    reportLastRun(runs, progress)
  }
  return runs
}

/** Fleets under load, with several rates and job sizes. */
export async function loadSeries (options: Partial<FleetSize>, progress: Progress): Promise<Run[]> {
  const loads = [
    { jobsPerSecond: 50, tasksPerJob: 1 },
    { jobsPerSecond: 200, tasksPerJob: 1 },
    { jobsPerSecond: 10, tasksPerJob: 20 },
    { jobsPerSecond: 25, tasksPerJob: 20 },
    { jobsPerSecond: 50, tasksPerJob: 20 }
  ]
  const runs: Run[] = []
  for (const load of loads) {
    runs.push(await withFleet({ ...DEFAULT_SIZE, ...options }, fleet => measureLoad(fleet, load, progress)))
    reportLastRun(runs, progress)
  }
  return runs
}

/** Configurations of several sizes, while unchanged and during frequent changes. */
export async function configurationSeries (options: Partial<FleetSize>, progress: Progress): Promise<Run[]> {
  const runs: Run[] = []
  for (const tenants of [DEFAULT_TENANTS, 100, 380]) {
    const [rest, changing] = await withFleet({ ...DEFAULT_SIZE, ...options, tenants }, measureChanges)
    runs.push(rest)
    reportLastRun(runs, progress)
    runs.push(changing)
    reportLastRun(runs, progress)
  }
  return runs
}

/** Memory as a function of the number of retained jobs: one fleet, measured repeatedly under load. */
export async function retentionSeries (options: Partial<FleetSize>, progress: Progress): Promise<Run[]> {
  return await withFleet({ ...DEFAULT_SIZE, ...options, entries: 1, agents: 2 }, async fleet => {
    const runs: Run[] = []
    const load = createLoad(fleet, { jobsPerSecond: RETENTION_RATE, tasksPerJob: 1 }, 1)
    load.start()
    await pause(LOAD_SETTLE_SECONDS)
    for (let step = 0; step < RETENTION_STEPS; step++) {
      const rates = await fleet.measure(RETENTION_STEP_SECONDS)
      const parameters = { ...parametersOf(fleet), jobsPerSecond: RETENTION_RATE, tasksPerSecond: RETENTION_RATE, jobsHeld: load.submitted }
      runs.push({ ...parameters, series: 'retention', incomplete: load.other, ...rates })
      reportLastRun(runs, progress)
    }
    await load.stop()
    return runs
  })
}

/** Resource usage of runs of the command line tool against a fleet. */
export async function toolSeries (options: Partial<FleetSize>, progress: Progress): Promise<ToolRun[]> {
  return await withFleet({ ...DEFAULT_SIZE, ...options, tenants: 380 }, async fleet => {
    const runs: ToolRun[] = []
    for (const command of ['get', 'history', 'status']) {
      const usage = await measureTool([command, '--store', fleet.storeUrl])
      runs.push({ command, ...usage })
      progress(`tool ${command}: peak ${usage.peakResidentMebibytes.toFixed(0)} MiB, ${usage.processorMilliseconds.toFixed(0)} ms of processor time`)
    }
    return runs
  })
}

interface LoadShape {
  jobsPerSecond: number
  tasksPerJob: number
}

async function measureLoad (fleet: CapacityFleet, shape: LoadShape, progress: Progress): Promise<Run> {
  const load = createLoad(fleet, shape, TASK_RUN_MILLISECONDS)
  load.start()
  await pause(LOAD_SETTLE_SECONDS)
  const submittedBefore = load.submitted
  const rates = await fleet.measure(LOAD_SECONDS)
  const jobsPerSecond = (load.submitted - submittedBefore) / rates.seconds
  const jobsHeld = load.submitted
  await load.stop()
  if (load.other > 0) progress(`${load.other} jobs did not complete; latest response: ${load.lastFailure}`)
  return {
    ...parametersOf(fleet), series: 'load', jobsPerSecond, tasksPerSecond: jobsPerSecond * shape.tasksPerJob, jobsHeld, incomplete: load.other, ...rates
  }
}

async function measureChanges (fleet: CapacityFleet): Promise<[Run, Run]> {
  await pause(SETTLE_SECONDS)
  const rest = { ...parametersOf(fleet), series: 'configuration', incomplete: 0, ...await fleet.measure(IDLE_SECONDS) }
  const [rates] = await Promise.all([fleet.measure(IDLE_SECONDS), applyRepeatedly(fleet, IDLE_SECONDS - 1)])
  return [rest, { ...rest, ...rates, changesPerSecond: CHANGE_COUNT / rates.seconds }]
}

async function applyRepeatedly (fleet: CapacityFleet, seconds: number): Promise<void> {
  const startedAt = performance.now()
  for (let change = 0; change < CHANGE_COUNT; change++) {
    const due = startedAt + change * seconds * 1000 / CHANGE_COUNT
    await pause(Math.max(0, due - performance.now()) / 1000)
    await fleet.apply()
  }
}

function createLoad (fleet: CapacityFleet, { jobsPerSecond, tasksPerJob }: LoadShape, runMilliseconds: number): SteadyLoad {
  return new SteadyLoad({
    entries: fleet.callersUrls, tenants: fleet.tenants, service: 'label-check', prefix: 'capacity', jobsPerSecond, tasksPerJob, runMilliseconds
  })
}

async function withFleet<Value> (size: FleetSize, measure: (fleet: CapacityFleet) => Promise<Value>): Promise<Value> {
  const fleet = new CapacityFleet(size)
  try {
    await fleet.start()
    return await measure(fleet)
  } finally {
    await fleet.stop()
  }
}

function parametersOf ({ size: { entries, agents, tenants } }: CapacityFleet): RunParameters {
  return { entries, agents, tenants, jobsPerSecond: 0, tasksPerSecond: 0, changesPerSecond: 0, jobsHeld: 0 }
}

function reportLastRun (runs: readonly Run[], progress: Progress): void {
  const run = runs.at(-1)
  if (run === undefined) return
  const { entry, agent } = run
  progress([
    `${run.series}: ${run.entries} entries, ${run.agents} agents, ${run.tenants} tenants,`,
    `${run.jobsPerSecond.toFixed(0)} jobs/s, ${run.tasksPerSecond.toFixed(0)} tasks/s, ${run.changesPerSecond.toFixed(2)} changes/s, ${run.jobsHeld} jobs held;`,
    `entry ${describe(entry)}; agent ${describe(agent)}; ${run.innerBytesPerEntry.toFixed(0)} B/s inner an entry;`,
    `store reads ${run.storeCallsPerSecond.reads?.toFixed(2)}/s, watches ${run.watchesOpen}; incomplete ${run.incomplete}`
  ].join(' '))
}

function describe (rates: WindowRates['entry']): string {
  return `${rates.processorMilliseconds.toFixed(1)} ms/s, ${rates.residentMebibytes.toFixed(1)} MiB resident, ` +
    `${rates.anonymousMebibytes.toFixed(1)} anonymous, ${rates.messages.toFixed(1)} messages/s, ` +
    `${rates.bytesRead.toFixed(0)}/${rates.bytesWritten.toFixed(0)} B/s read/written`
}

function pause (seconds: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, seconds * 1000) })
}
