/** One case of the measurement of the path: a kind of job under a load. */
import { loadavg } from 'node:os'
import { setTimeout as delay } from 'node:timers/promises'

import { Agent, request } from 'undici'

import { quantile, rounded } from './measures.ts'
import type { FleetUsage, PathFleet } from './pathfleet.ts'
import { FLEET_SLOTS } from './pathfleet.ts'
import { exponential, seededRandom } from './random.ts'

/** How much is asked of the fleet. */
export enum Load {
  /** One job after another. */
  Low = 'low',
  /** 70% of the slots, jobs arriving independently of each other. */
  Busy = 'busy'
}

export interface PathCase {
  load: Load
  /** Tasks of each job. */
  tasks: number
  seconds: number
}

/** Milliseconds from the request of a caller until its whole answer. */
export interface Latency {
  p50: number
  p99: number
  count: number
}

/** Processor milliseconds per task. */
export interface ProcessorPerTask {
  entries: number
  agents: number
  /** Without what the fleet uses when idle. */
  entriesNet: number
  agentsNet: number
}

export interface PathRow extends PathCase {
  entries: number
  /** Of the last minute, before and after. */
  loadAverage: number[]
  direct: Latency
  path: Latency
  added: { p50: number, p99: number }
  tasksPerSecond: number
  /** Answers other than complete. */
  notComplete: number
  processor: ProcessorPerTask
  messagesPerTask: number
  bytesPerTask: number
}

const RUN_MILLISECONDS = 40
const BUSY_PART = 0.7
const WARM_MILLISECONDS = 1500
/** Jobs that run before anything is measured: the engine compiles what it has seen often enough. */
const FIRST_JOBS = 4000
const FIRST_JOBS_TOGETHER = 16
const CONNECTIONS = 256
const STATUS_OK = 200
const SEED = 7

const dispatcher = new Agent({ connections: CONNECTIONS })
let jobs = 0

/** Runs jobs until the processes are as they are in steady use. */
export async function warmUp (fleet: PathFleet): Promise<void> {
  const last = jobs + FIRST_JOBS
  const lodge = async (): Promise<void> => {
    while (jobs < last) await submitJob(fleet, 1, 0)
  }
  await Promise.all(Array.from({ length: FIRST_JOBS_TOGETHER }, lodge))
}

/** Runs the case after a short warm-up of it. */
export async function measureCase (fleet: PathFleet, each: PathCase): Promise<PathRow> {
  await runBoth(fleet, each, WARM_MILLISECONDS)
  const loadBefore = loadAverage()
  const before = await fleet.usage()
  const { direct, path, complete, notComplete } = await runBoth(fleet, each, each.seconds * 1000)
  const after = await fleet.usage()
  const tasks = complete * each.tasks
  return {
    ...each,
    entries: fleet.entries,
    loadAverage: [loadBefore, loadAverage()],
    direct: latencyOf(direct),
    path: latencyOf(path),
    added: { p50: rounded(quantile(path, 0.5) - quantile(direct, 0.5), 2), p99: rounded(quantile(path, 0.99) - quantile(direct, 0.99), 2) },
    tasksPerSecond: rounded(tasks / (after.at - before.at) * 1000, 0),
    notComplete,
    processor: processorOf(fleet, before, after, tasks),
    messagesPerTask: rounded((after.messages - before.messages) / tasks, 2),
    bytesPerTask: rounded((after.bytes - before.bytes) / tasks, 0)
  }
}

async function runBoth (fleet: PathFleet, { load, tasks }: PathCase, milliseconds: number): Promise<{ direct: number[], path: number[], complete: number, notComplete: number }> {
  const until = performance.now() + milliseconds
  const direct: number[] = []
  const path: number[] = []
  let complete = 0
  let notComplete = 0
  const submit = async (): Promise<void> => {
    const started = performance.now()
    const done = await submitJob(fleet, tasks)
    path.push(performance.now() - started)
    if (done) complete += 1
    else notComplete += 1
  }
  const lodging = load === Load.Low ? lodgeInTurn(submit, until) : lodgeAtRandom(submit, until, busyRate(tasks))
  await Promise.all([lodging, callInTurn(() => callDirectly(fleet.directUrl, tasks), until, direct)])
  return { direct, path, complete, notComplete }
}

async function lodgeInTurn (submit: () => Promise<void>, until: number): Promise<void> {
  while (performance.now() < until) await submit()
}

async function lodgeAtRandom (submit: () => Promise<void>, until: number, jobsPerSecond: number): Promise<void> {
  const random = seededRandom(SEED)
  const open: Array<Promise<void>> = []
  for (let next = performance.now(); next < until; next += exponential(random, 1000 / jobsPerSecond)) {
    const early = next - performance.now()
    if (early > 0) await delay(early)
    open.push(submit())
  }
  await Promise.all(open)
}

async function callInTurn (call: () => Promise<void>, until: number, latencies: number[]): Promise<void> {
  while (performance.now() < until) {
    const started = performance.now()
    await call()
    latencies.push(performance.now() - started)
  }
}

/** Every task of a job at once; the target runs as many as the fleet has slots. */
async function callDirectly (url: string, tasks: number): Promise<void> {
  const names = { 'x-amaranthmast-tenant': 'magnolia', 'x-amaranthmast-service': 'label-check', 'x-amaranthmast-job': `direct-${jobs++}` }
  const calls = Array.from({ length: tasks }, (_task, index) =>
    post(`${url}/run`, { runMilliseconds: RUN_MILLISECONDS }, { ...names, 'x-amaranthmast-task': String(index) }))
  const done = await Promise.all(calls)
  if (!done.every(Boolean)) throw new Error(`the target at ${url} does not run tasks that are sent to it directly`)
}

function submitJob (fleet: PathFleet, tasks: number, runMilliseconds = RUN_MILLISECONDS): Promise<boolean> {
  const number = jobs++
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
  return FLEET_SLOTS * BUSY_PART * 1000 / RUN_MILLISECONDS / tasks
}

function processorOf ({ idle }: PathFleet, before: FleetUsage, after: FleetUsage, tasks: number): ProcessorPerTask {
  const seconds = (after.at - before.at) / 1000
  const entries = after.entries - before.entries
  const agents = after.agents - before.agents
  return {
    entries: rounded(entries / tasks),
    agents: rounded(agents / tasks),
    entriesNet: rounded((entries - idle.entries * seconds) / tasks),
    agentsNet: rounded((agents - idle.agents * seconds) / tasks)
  }
}

function latencyOf (values: readonly number[]): Latency {
  return { p50: rounded(quantile(values, 0.5), 2), p99: rounded(quantile(values, 0.99), 2), count: values.length }
}

function loadAverage (): number {
  return rounded(loadavg()[0] ?? 0, 1)
}
