/** One case of the path measurement: jobs of one size under one load. */
import { loadavg } from 'node:os'
import { setTimeout as delay } from 'node:timers/promises'

import { Agent, request } from 'undici'

import { quantile, round } from './measures.ts'
import type { FleetUsage, PathFleet } from './pathfleet.ts'
import { FLEET_SLOTS } from './pathfleet.ts'
import { exponential, seededRandom } from './random.ts'

/** Load of the fleet. */
export enum Load {
  /** One job at a time. */
  Low = 'low',
  /** 70% of the slots busy on average, with jobs arriving at random times. */
  Busy = 'busy'
}

/** Parameters of a case. */
export interface PathCase {
  load: Load
  /** Tasks of each job. */
  tasks: number
  seconds: number
}

/** Quantiles of the milliseconds from a caller's request to its complete response. */
export interface Latency {
  p50: number
  p99: number
  count: number
}

/** Processor time per task, in milliseconds. */
export interface ProcessorPerTask {
  entries: number
  agents: number
  /** Net of the processor time that an idle fleet uses. */
  entriesNet: number
  agentsNet: number
}

/** Result of a case. */
export interface PathRow extends PathCase {
  entries: number
  /** Load average of the machine over one minute, before and after the case. */
  loadAverage: number[]
  direct: Latency
  path: Latency
  added: { p50: number, p99: number }
  tasksPerSecond: number
  /** Number of jobs that did not complete. */
  notComplete: number
  processor: ProcessorPerTask
  messagesPerTask: number
  bytesPerTask: number
}

const RUN_MILLISECONDS = 40
const BUSY_FRACTION = 0.7
const CASE_WARM_UP_MILLISECONDS = 1500
/** Number of jobs to run before any measurement, because the JavaScript engine compiles code only after repeated use. */
const WARM_UP_JOBS = 4000
const WARM_UP_CONCURRENCY = 16
const CONNECTIONS = 256
const STATUS_OK = 200
const SEED = 7

const dispatcher = new Agent({ connections: CONNECTIONS })
let jobCount = 0

/** Runs jobs until the processes have warmed up. */
export async function warmUp (fleet: PathFleet): Promise<void> {
  const jobLimit = jobCount + WARM_UP_JOBS
  const submitJobs = async (): Promise<void> => {
    while (jobCount < jobLimit) await submitJob(fleet, 1, 0)
  }
  await Promise.all(Array.from({ length: WARM_UP_CONCURRENCY }, submitJobs))
}

/** Measures the case, after a short warm-up with the same load. */
export async function measureCase (fleet: PathFleet, pathCase: PathCase): Promise<PathRow> {
  await runPathAndDirect(fleet, pathCase, CASE_WARM_UP_MILLISECONDS)
  const loadBefore = loadAverage()
  const before = await fleet.usage()
  const { direct, path, complete, notComplete } = await runPathAndDirect(fleet, pathCase, pathCase.seconds * 1000)
  const after = await fleet.usage()
  const tasks = complete * pathCase.tasks
  return {
    ...pathCase,
    entries: fleet.entries,
    loadAverage: [loadBefore, loadAverage()],
    direct: latencyOf(direct),
    path: latencyOf(path),
    added: { p50: round(quantile(path, 0.5) - quantile(direct, 0.5), 2), p99: round(quantile(path, 0.99) - quantile(direct, 0.99), 2) },
    tasksPerSecond: round(tasks / (after.at - before.at) * 1000, 0),
    notComplete,
    processor: processorPerTask(fleet, before, after, tasks),
    messagesPerTask: round((after.messages - before.messages) / tasks, 2),
    bytesPerTask: round((after.bytes - before.bytes) / tasks, 0)
  }
}

async function runPathAndDirect (fleet: PathFleet, { load, tasks }: PathCase, milliseconds: number): Promise<{ direct: number[], path: number[], complete: number, notComplete: number }> {
  const until = performance.now() + milliseconds
  const direct: number[] = []
  const path: number[] = []
  let complete = 0
  let notComplete = 0
  const submit = async (): Promise<void> => {
    const started = performance.now()
    const succeeded = await submitJob(fleet, tasks)
    path.push(performance.now() - started)
    if (succeeded) complete += 1
    else notComplete += 1
  }
  const submitting = load === Load.Low ? submitSequentially(submit, until) : submitAtRandomTimes(submit, until, busyRate(tasks))
  await Promise.all([submitting, callSequentially(() => callDirectly(fleet.directUrl, tasks), until, direct)])
  return { direct, path, complete, notComplete }
}

async function submitSequentially (submit: () => Promise<void>, until: number): Promise<void> {
  while (performance.now() < until) await submit()
}

async function submitAtRandomTimes (submit: () => Promise<void>, until: number, jobsPerSecond: number): Promise<void> {
  const random = seededRandom(SEED)
  const pending: Array<Promise<void>> = []
  for (let next = performance.now(); next < until; next += exponential(random, 1000 / jobsPerSecond)) {
    const wait = next - performance.now()
    if (wait > 0) await delay(wait)
    pending.push(submit())
  }
  await Promise.all(pending)
}

async function callSequentially (call: () => Promise<void>, until: number, latencies: number[]): Promise<void> {
  while (performance.now() < until) {
    const started = performance.now()
    await call()
    latencies.push(performance.now() - started)
  }
}

/** Sends all tasks of a job to the target at once. The target has as many slots as the whole fleet. */
async function callDirectly (url: string, tasks: number): Promise<void> {
  const headers = { 'x-amaranthmast-tenant': 'magnolia', 'x-amaranthmast-service': 'label-check', 'x-amaranthmast-job': `direct-${jobCount++}` }
  const calls = Array.from({ length: tasks }, (_task, index) =>
    post(`${url}/run`, { runMilliseconds: RUN_MILLISECONDS }, { ...headers, 'x-amaranthmast-task': String(index) }))
  const succeeded = await Promise.all(calls)
  if (!succeeded.every(Boolean)) throw new Error(`the target at ${url} does not run tasks that are sent to it directly`)
}

function submitJob (fleet: PathFleet, tasks: number, runMilliseconds = RUN_MILLISECONDS): Promise<boolean> {
  const number = jobCount++
  const task = { payload: { runMilliseconds }, runMilliseconds }
  const body = {
    job: `path-${number}`, tenant: 'magnolia', service: 'label-check', repeatable: false, tasks: Array.from({ length: tasks }, () => task)
  }
  return post(`${fleet.callersUrls[number % fleet.callersUrls.length]}/v1/jobs`, body)
}

async function post (url: string, body: unknown, headers: Record<string, string> = {}): Promise<boolean> {
  const response = await request(url, { method: 'POST', headers: { ...headers, 'content-type': 'application/json' }, body: JSON.stringify(body), dispatcher })
  await response.body.dump()
  return response.statusCode === STATUS_OK
}

function busyRate (tasks: number): number {
  return FLEET_SLOTS * BUSY_FRACTION * 1000 / RUN_MILLISECONDS / tasks
}

function processorPerTask ({ idle }: PathFleet, before: FleetUsage, after: FleetUsage, tasks: number): ProcessorPerTask {
  const seconds = (after.at - before.at) / 1000
  const entries = after.entries - before.entries
  const agents = after.agents - before.agents
  return {
    entries: round(entries / tasks),
    agents: round(agents / tasks),
    entriesNet: round((entries - idle.entries * seconds) / tasks),
    agentsNet: round((agents - idle.agents * seconds) / tasks)
  }
}

function latencyOf (values: readonly number[]): Latency {
  return { p50: round(quantile(values, 0.5), 2), p99: round(quantile(values, 0.99), 2), count: values.length }
}

function loadAverage (): number {
  return round(loadavg()[0] ?? 0, 1)
}
