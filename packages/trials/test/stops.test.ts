import { test } from 'node:test'

import { expect } from 'earl'

import { answerKind } from '../src/client.ts'
import { TEST_TIMEOUT } from '../src/defaults.ts'
import { newJob } from '../src/jobs.ts'
import { Trial } from '../src/trial.ts'

const LOAD = { rate: 20, seconds: 4, scale: 0.4, burstEvery: 0 }

test('an entry that is stopped answers all its jobs and hands its job ids over', { timeout: TEST_TIMEOUT }, async t => {
  // An entry is stopped under load (SIGTERM). It must report at once that it is not ready, answer all its
  // jobs and exit. A resubmission of an answered job through another entry must get the same answer, and
  // the job must not run again.
  const trial = await Trial.begin()
  t.after(() => trial.end())
  const ids = await trial.idsOwnedBy(trial.entry(1), 6, 'stopped')
  const jobs = ids.map(id => trial.caller.addJob(newJob(id, { tasks: 3, run: 60 })))
  const answered = await Promise.all(jobs.slice(0, 3).map(job => trial.caller.send(job, trial.entry(1).callersUrl)))
  const load = trial.load({ ...LOAD, seed: 7 })
  await trial.waitUntil('the load to run', () => trial.records.length >= 30)

  const open = jobs.slice(3).map(job => trial.caller.send(job, trial.entry(1).callersUrl))
  await trial.waitUntil('the last jobs to arrive', async () => (await trial.startsOfJobs(ids)).length > 9)
  trial.entry(1).process?.signal('SIGTERM')
  await trial.waitUntil('it to be not ready', async () => !(await trial.fleet.isReady(trial.entry(1)).catch(() => false)))
  await trial.entry(1).process?.ended
  const last = await Promise.all(open)
  const again = await Promise.all(jobs.map(job => trial.caller.send(job, trial.entry(2).callersUrl)))
  await load

  expect(trial.entry(1).process?.exitCode).toEqual(0)
  expect([...answered, ...last].map(answerKind)).toEqual(ids.map(() => 'complete'))
  expect(again.map(({ answer }) => answer)).toEqual([...answered, ...last].map(({ answer }) => answer))
  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(trial.notComplete()).toEqual([])
})

test('an agent that is stopped finishes its running tasks and starts no more', { timeout: TEST_TIMEOUT }, async t => {
  // An agent is stopped under load (SIGTERM). Its target must finish its running tasks, and the agent must
  // deliver their results and exit. Its waiting tasks run elsewhere, and every job is completed.
  const trial = await Trial.begin()
  t.after(() => trial.end())
  const load = trial.load({ ...LOAD, seed: 8 })
  await trial.waitUntil('the load to run', () => trial.records.length >= 30)

  trial.agent(1).process?.signal('SIGTERM')
  await trial.agent(1).process?.ended
  const endedAt = Date.now()
  await load

  expect(trial.agent(1).process?.exitCode).toEqual(0)
  const starts = (await trial.startsOfJobs(trial.records.map(record => record.submission.job))).filter(start => start.target === 'target-1')
  expect(starts.filter(start => start.startedAt > endedAt || start.finishedAt === undefined)).toEqual([])
  expect(starts.length).toBeGreaterThan(0)
  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(trial.notComplete()).toEqual([])
})

const DRAINS = [
  { kind: 'target', name: 'agent-1', drained: ['target-1'] },
  { kind: 'provider', name: 'provider-b', drained: ['target-2'] }
]

for (const { kind, name, drained } of DRAINS) {
  test(`a drained ${kind} gets no new tasks and finishes those it has`, { timeout: TEST_TIMEOUT }, async t => {
    // A target or a provider is drained under load. Once every instance has applied the drain, and the tasks
    // queued at the agents by then have run, no task may start there. Started tasks are finished and answered.
    const trial = await Trial.begin()
    t.after(() => trial.end())
    const load = trial.load({ ...LOAD, seed: 9, seconds: 6 })
    await trial.waitUntil('the load to run', () => trial.records.length >= 30)

    await trial.tool('drain', kind, name)
    await trial.waitUntilConfigured(2)
    const agent = trial.agent(Number(drained[0]?.split('-')[1]))
    await trial.waitUntil('the drained agent to be idle', async () => await isIdle(trial, agent))
    const idleAt = Date.now()
    await load

    const starts = (await trial.startsOfJobs(trial.records.map(record => record.submission.job))).filter(start => drained.includes(start.target))
    expect(starts.filter(start => start.startedAt > idleAt)).toEqual([])
    expect(starts.length).toBeGreaterThan(0)
    const report = await trial.audit()
    expect(report.faults).toEqual([])
    expect(trial.notComplete()).toEqual([])
  })
}

async function isIdle (trial: Trial, agent: Parameters<Trial['status']>[0]): Promise<boolean> {
  const { running, queued } = await trial.status(agent)
  return running + queued === 0
}
