/**
 * A short run of real processes, and the model on the same jobs beside it. The figures of the
 * processes include the machine's load; the model's do not.
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
import { quantile, rounded } from './measures.ts'
import { Model } from './model.ts'
import type { Row, SectionOptions } from './sectiontypes.ts'
import type { ModelJob } from './workload.ts'
import { configurationFor, profiles, User } from './workload.ts'

const USER = User.Magnolia
const ENTRIES = 3
const AGENTS = 6
const LOAD = { rate: 25, seconds: 10, scale: 0.5 }
const SHARES = { 'provider-a': 50, 'provider-b': 50 }
const READY_TIMEOUT = 30_000
const READY_POLL = 50

const EXPECTED = { 'provider-a': { expectedTargets: AGENTS / 2 }, 'provider-b': { expectedTargets: AGENTS / 2 } }

/** The fleet refused the configuration of the run. */
class NotAppliedError extends Error {
  readonly code = 'NOT_APPLIED'

  constructor (log: readonly string[]) {
    super(`the configuration was not applied: run npm run build and try again\n${log.join('\n')}`)
    this.name = 'NotAppliedError'
  }
}

/** Response time in milliseconds by job, and what else came of the run. */
interface Outcome {
  responses: Map<string, number>
  complete: number
  /** Jobs lost, tasks doubled and refusals that were not true; 0 when every promise held. */
  broken: number
}

/** One row for the processes, one for the model. */
export async function measureProcesses ({ seed }: SectionOptions): Promise<Row[]> {
  const classes = profiles[USER].services.map(service => ({ tenant: USER, service, repeatable: true }))
  const plan = planLoad({ ...LOAD, seed, classes, prefix: 'bench' })
  const jobs = plan.map(modelJob)
  return [row('processes', jobs, await runProcesses(plan)), row('model', jobs, runModel(jobs, seed))]
}

/** The job as the model takes it. */
export function modelJob ({ at, submission }: PlannedJob): ModelJob {
  const needs = { accelerators: 0, memoryMegabytes: 0 }
  const tasks = submission.tasks.map(task => ({ run: task.payload.runMilliseconds ?? 0, declared: task.runMilliseconds ?? 0, needs }))
  const { job, tenant, service, deadlineMilliseconds } = submission
  return { key: job, tenant, service, sentAt: at, deadlineMilliseconds, tasks }
}

function row (run: string, jobs: readonly ModelJob[], { responses, complete, broken }: Outcome): Row {
  const answered = jobs.filter(job => responses.has(job.key))
  const milliseconds = answered.map(job => responses.get(job.key) as number)
  const ratios = answered.map(job => (responses.get(job.key) as number) / emptyFleetResponse(job, AGENTS * profiles[USER].slots))
  const figures = [0.5, 0.9, 0.99].map(part => [`p${100 * part}`, rounded(quantile(ratios, part))] as const)
  return {
    run,
    jobs: jobs.length,
    complete,
    broken,
    ...Object.fromEntries(figures),
    responseP50Milliseconds: rounded(quantile(milliseconds, 0.5), 1),
    responseP99Milliseconds: rounded(quantile(milliseconds, 0.99), 1)
  }
}

function runModel (jobs: readonly ModelJob[], seed: number): Outcome {
  const result = new Model({ user: USER, jobs, configuration: configurationFor(USER, SHARES), seed, entries: ENTRIES, targets: AGENTS }).run()
  const complete = result.jobs.filter(record => record.state === 'complete')
  return { responses: new Map(complete.map(({ job, response }) => [job.key, response])), complete: complete.length, broken: 0 }
}

async function runProcesses (plan: readonly PlannedJob[]): Promise<Outcome> {
  const programs = dirname(fileURLToPath(import.meta.url))
  const { services, slots } = profiles[USER]
  const fleet = new Fleet({ programs, entries: ENTRIES, agents: AGENTS, services, slots, logLevel: 'warn' })
  try {
    await fleet.start()
    await configure(fleet)
    return await lodge(fleet, plan)
  } finally {
    await fleet.stop()
  }
}

async function configure (fleet: Fleet): Promise<void> {
  const { services, tenants } = configurationFor(USER, SHARES)
  const file = join(fleet.folder, 'configuration.json')
  await writeFile(file, JSON.stringify({ editedFrom: 0, services, providers: EXPECTED, tenants: Object.fromEntries(Object.keys(tenants).map(tenant => [tenant, { weight: 1 }])) }))
  const { code, log } = await fleet.run('amaranthmast', ['apply', file, '--store', fleet.storeUrl])
  if (code !== 0) throw new NotAppliedError(log)
  const daemons = [...fleet.entries, ...fleet.agents]
  await waitFor('all entries and agents to be ready', READY_TIMEOUT, READY_POLL, async () =>
    (await Promise.all(daemons.map(daemon => fleet.isReady(daemon)))).every(Boolean))
}

async function lodge (fleet: Fleet, plan: readonly PlannedJob[]): Promise<Outcome> {
  const caller = new Caller({ entries: fleet.callersUrls })
  try {
    await caller.start()
    await runLoad(plan, caller)
    const { counts } = audit(caller.records(), await fetchSettledRecords(fleet.targetUrls))
    const responses = new Map(caller.records().filter(isComplete).map(record => [record.submission.job, responseOf(record)]))
    return { responses, complete: counts.complete, broken: counts.lost + counts.doubled + counts.refusedButRan }
  } finally {
    await caller.close()
  }
}

function isComplete (record: JobRecord): boolean {
  return record.final?.kind === AnswerKind.Complete
}

function responseOf (record: JobRecord): number {
  return (record.finishedAt ?? record.submittedAt) - record.submittedAt
}
