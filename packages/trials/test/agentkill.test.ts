import { test } from 'node:test'

import type { Attempt, JobRecord } from '@amaranthmast/standins/records'
import { expect } from 'earl'

import { answerKind } from '../src/client.ts'
import { TEST_TIMEOUT } from '../src/defaults.ts'
import { newJob } from '../src/jobs.ts'
import { Trial } from '../src/trial.ts'

for (const repeatable of [false, true]) {
  const kind = repeatable ? 'repeatable' : 'not repeatable'
  test(`a task of a killed agent is never started again (${kind})`, { timeout: TEST_TIMEOUT }, async t => {
    // An agent is killed while its target runs a task, and is restarted for the same target with an empty
    // ledger. Every submission of the job, also the later ones, must be answered with mayHaveRun. The target
    // runs the task to its end, once.
    const trial = await Trial.begin()
    t.after(() => trial.end())
    const [id = ''] = await trial.idsOwnedBy(trial.entry(1), 1, 'running')
    const job = trial.caller.addJob(newJob(id, { run: 1_500, repeatable }))

    const first = trial.caller.send(job, trial.entry(1).callersUrl)
    await trial.waitUntilStarted(id)
    const [start] = await trial.startsOfJob(id)
    const agent = trial.agent(Number(start?.target.split('-')[1]))
    await trial.fleet.killDaemon(agent)
    await trial.fleet.startDaemon(agent)
    const second = trial.caller.send(job, trial.entry(2).callersUrl)
    await trial.waitUntilReady()
    const third = trial.caller.send(job, trial.entry(3).callersUrl)

    const answers = await Promise.all([first, second, third])
    expect(answers.map(answerKind)).toEqual(['mayHaveRun', 'mayHaveRun', 'mayHaveRun'])
    const report = await trial.audit()
    expect(report.faults).toEqual([])
    expect((await trial.startsOfJob(id)).length).toEqual(1)
  })
}

test('after an entry and an agent are killed together every job is answered and no task starts twice', { timeout: TEST_TIMEOUT }, async t => {
  // Some jobs are answered and others run when their entry and one of the agents are killed at the same
  // time. Both records of what ran at that agent are lost, so resubmitted jobs with tasks there must be
  // answered with mayHaveRun. Jobs that ran at the other agents must be answered as complete.
  const trial = await Trial.begin()
  t.after(() => trial.end())
  const ids = await trial.idsOwnedBy(trial.entry(1), 12, 'both')
  const answered = ids.slice(0, 6).map(id => trial.caller.addJob(newJob(id, { run: 50 })))
  const running = ids.slice(6).map(id => trial.caller.addJob(newJob(id, { run: 1_000 })))
  await sendAll(trial, answered, 1)
  const open = sendAll(trial, running, 1)
  await Promise.all(ids.map(id => trial.waitUntilStarted(id)))

  const lost = await jobsStartedAt(trial, 'target-2', ids)
  await Promise.all([trial.fleet.killDaemon(trial.entry(1)), trial.fleet.killDaemon(trial.agent(2))])
  const answers = await sendAll(trial, [...answered, ...running], 3)
  await open

  expect(answers.map(answerKind)).toEqual(ids.map(id => lost.has(id) ? 'mayHaveRun' : 'complete'))
  expect(lost.size).toBeGreaterThan(0)
  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(report.starts).toEqual(ids.length)
})

test('the third entry serves the job ids of two entries that are killed together', { timeout: TEST_TIMEOUT }, async t => {
  // Two of three entries are killed at the same time while some tasks run and others wait. Every agent
  // keeps running, so the ledgers show which tasks started, and the third entry must complete every
  // resubmitted job.
  const trial = await Trial.begin({ slots: 1 })
  t.after(() => trial.end())
  const ids = [...await trial.idsOwnedBy(trial.entry(1), 3, 'two'), ...await trial.idsOwnedBy(trial.entry(2), 3, 'two')]
  const jobs = ids.map(id => trial.caller.addJob(newJob(id, { tasks: 3, run: 200 })))
  const open = Promise.all([sendAll(trial, jobs.slice(0, 3), 1), sendAll(trial, jobs.slice(3), 2)])
  await trial.waitUntil('some starts', async () => (await trial.startsOfJobs(ids)).length >= 4)

  await Promise.all([trial.fleet.killDaemon(trial.entry(1)), trial.fleet.killDaemon(trial.entry(2))])
  const answers = await sendAll(trial, jobs, 3)
  await open

  expect(answers.map(answerKind)).toEqual(ids.map(() => 'complete'))
  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(report.starts).toEqual(ids.length * 3)
})

test('after a restart of all entries and an agent no task starts twice and new jobs are served', { timeout: TEST_TIMEOUT }, async t => {
  // Every entry and one agent are killed at the same time, with jobs that run, wait and are answered, and
  // are restarted. No record remains of what ran at that agent: a resubmitted job gets the results in the
  // other ledgers, or mayHaveRun. Jobs lodged after the new entries' horizon are served.
  const margin = 200
  const trial = await Trial.begin({ slots: 1, timings: { clockMargin: margin } })
  t.after(() => trial.end())
  const ids = await trial.idsOwnedBy(trial.entry(1), 4, 'all')
  const answered = Array.from({ length: 6 }, (_, number) => trial.caller.addJob(newJob(`answered-${number}`, { run: 50 })))
  await sendAll(trial, answered, 1)
  const running = ids.map(id => trial.caller.addJob(newJob(id, { tasks: 3, run: 200 })))
  const jobs = [...answered, ...running]
  const open = sendAll(trial, running, 1)
  await trial.waitUntil('some starts', async () => (await trial.startsOfJobs(ids)).length >= 4)

  const killed = [...trial.fleet.entries, trial.agent(2)]
  await Promise.all(killed.map(daemon => trial.fleet.killDaemon(daemon)))
  await Promise.all(killed.map(daemon => trial.fleet.startDaemon(daemon)))
  await trial.waitUntilReady()
  const answers = await sendAll(trial, jobs, 2)
  await open
  const { horizon } = await trial.status(trial.entry(3))
  await trial.waitUntil('the margin to pass', () => Date.now() > horizon + margin)
  await trial.load({ seed: 4, rate: 20, seconds: 1, scale: 0.2, burstEvery: 0 })

  for (const answer of answers) expect(['complete', 'mayHaveRun']).toInclude(answerKind(answer))
  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(report.counts.complete).toBeGreaterThanOrEqual(20)
})

function sendAll (trial: Trial, jobs: readonly JobRecord[], entry: number): Promise<Attempt[]> {
  return Promise.all(jobs.map(job => trial.caller.send(job, trial.entry(entry).callersUrl)))
}

async function jobsStartedAt (trial: Trial, target: string, ids: readonly string[]): Promise<Set<string>> {
  const starts = await trial.startsOfJobs(ids)
  return new Set(starts.filter(start => start.target === target).map(start => start.job))
}
