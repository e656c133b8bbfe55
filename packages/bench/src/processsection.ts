/**
 * Runs the same jobs on real processes and in the simulation. The figures of the processes are
 * affected by the load of the machine, those of the simulation are not.
 */
import { writeFile } from 'node:fs/promises'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

import { audit } from '@amaranthmast/standins/audit'
import { Caller } from '@amaranthmast/standins/caller'
import { fetchSettledRecords } from '@amaranthmast/standins/fetchrecords'
import { Fleet } from '@amaranthmast/standins/fleet'
import type { PlannedJob } from '@amaranthmast/standins/load'
import { planLoad, runLoad } from '@amaranthmast/standins/load'
import type { JobRecord } from '@amaranthmast/standins/records'
import { AnswerKind } from '@amaranthmast/standins/records'
import { waitFor } from '@amaranthmast/standins/wait'

import { emptyFleetResponse } from './ideal.ts'
import { quantile, round } from './measures.ts'
import { Model } from './model.ts'
import type { Row, SectionOptions } from './sectiontypes.ts'
import type { ModelJob } from './workload.ts'
import { configurationFor, profiles, User } from './workload.ts'

const USER = User.Magnolia
const ENTRIES = 3
const AGENTS = 6
const LOAD_OPTIONS = { rate: 25, seconds: 10, scale: 0.5 }
const SHARES = { 'provider-a': 50, 'provider-b': 50 }
const READY_TIMEOUT = 30_000
const READY_POLL = 50

const PROVIDERS = { 'provider-a': { expectedTargets: AGENTS / 2 }, 'provider-b': { expectedTargets: AGENTS / 2 } }

/** Thrown when the configuration of the run could not be applied to the fleet. */
class NotAppliedError extends Error {
  readonly code = 'NOT_APPLIED'

  constructor (log: readonly string[]) {
    super(`the configuration was not applied: run npm run build and try again\n${log.join('\n')}`)
    this.name = 'NotAppliedError'
  }
}

/** Outcome of one run. */
interface RunResult {
  /** Response time by job, in milliseconds. */
  responses: Map<string, number>
  complete: number
  /** Number of lost jobs, duplicate runs of tasks, and refused jobs that ran; 0 when every guarantee held. */
  broken: number
}

/** One row for the processes and one for the simulation. */
export async function measureProcesses ({ seed }: SectionOptions): Promise<Row[]> {
  const classes = profiles[USER].services.map(service => ({ tenant: USER, service, repeatable: true }))
  const plan = planLoad({ ...LOAD_OPTIONS, seed, classes, prefix: 'bench' })
  const jobs = plan.map(toModelJob)
  return [toRow('processes', jobs, await runProcesses(plan)), toRow('model', jobs, runModel(jobs, seed))]
}

/** Converts a planned job to a job of the simulation. */
export function toModelJob ({ at, submission }: PlannedJob): ModelJob {
  const needs = { accelerators: 0, memoryMegabytes: 0 }
  const tasks = submission.tasks.map(task => ({ run: task.payload.runMilliseconds ?? 0, declared: task.runMilliseconds ?? 0, needs }))
  const { job, tenant, service, deadlineMilliseconds } = submission
  return { key: job, tenant, service, sentAt: at, deadlineMilliseconds, tasks }
}

function toRow (run: string, jobs: readonly ModelJob[], { responses, complete, broken }: RunResult): Row {
  const answered = jobs.filter(job => responses.has(job.key))
  const milliseconds = answered.map(job => responses.get(job.key) as number)
  const ratios = answered.map(job => (responses.get(job.key) as number) / emptyFleetResponse(job, AGENTS * profiles[USER].slots))
  const figures = [0.5, 0.9, 0.99].map(fraction => [`p${100 * fraction}`, round(quantile(ratios, fraction))] as const)
  return {
    run,
    jobs: jobs.length,
    complete,
    broken,
    ...Object.fromEntries(figures),
    responseP50Milliseconds: round(quantile(milliseconds, 0.5), 1),
    responseP99Milliseconds: round(quantile(milliseconds, 0.99), 1)
  }
}

function runModel (jobs: readonly ModelJob[], seed: number): RunResult {
  const result = new Model({ user: USER, jobs, configuration: configurationFor(USER, SHARES), seed, entries: ENTRIES, targets: AGENTS }).run()
  const complete = result.jobs.filter(record => record.state === 'complete')
  return { responses: new Map(complete.map(({ job, response }) => [job.key, response])), complete: complete.length, broken: 0 }
}

async function runProcesses (plan: readonly PlannedJob[]): Promise<RunResult> {
  const programs = dirname(fileURLToPath(import.meta.url))
  const { services, slots } = profiles[USER]
  const fleet = new Fleet({ programs, entries: ENTRIES, agents: AGENTS, services, slots, logLevel: 'warn' })
  try {
    await fleet.start()
    await configure(fleet)
    return await submitPlan(fleet, plan)
  } finally {
    await fleet.stop()
  }
}

async function configure (fleet: Fleet): Promise<void> {
  const { services, tenants } = configurationFor(USER, SHARES)
  const file = join(fleet.folder, 'configuration.json')
  await writeFile(file, JSON.stringify({ editedFrom: 0, services, providers: PROVIDERS, tenants: Object.fromEntries(Object.keys(tenants).map(tenant => [tenant, { weight: 1 }])) }))
  const { code, log } = await fleet.run('amaranthmast', ['apply', file, '--store', fleet.storeUrl])
  if (code !== 0) throw new NotAppliedError(log)
  const daemons = [...fleet.entries, ...fleet.agents]
  await waitFor('all entries and agents to be ready', READY_TIMEOUT, READY_POLL, async () =>
    (await Promise.all(daemons.map(daemon => fleet.isReady(daemon)))).every(Boolean))
}

async function submitPlan (fleet: Fleet, plan: readonly PlannedJob[]): Promise<RunResult> {
  const caller = new Caller({ entries: fleet.callersUrls })
  try {
    await caller.start()
    await runLoad(plan, caller)
    const { counts } = audit(caller.records(), await fetchSettledRecords(fleet.targetUrls))
    const responses = new Map(caller.records().filter(isComplete).map(record => [record.submission.job, responseTimeOf(record)]))
    return { responses, complete: counts.complete, broken: counts.lost + counts.doubled + counts.refusedButRan }
  } finally {
    await caller.close()
  }
}

function isComplete (record: JobRecord): boolean {
  return record.final?.kind === AnswerKind.Complete
}

function responseTimeOf (record: JobRecord): number {
  return (record.finishedAt ?? record.submittedAt) - record.submittedAt
}
