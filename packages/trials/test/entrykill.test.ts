import { test } from 'node:test'

import type { Attempt, JobRecord } from '@amaranthmast/standins/records'
import { expect } from 'earl'

import { answerKind } from '../src/client.ts'
import { TEST_TIMEOUT } from '../src/defaults.ts'
import { newJob } from '../src/jobs.ts'
import { Trial } from '../src/trial.ts'

test('a job whose entry is killed while its tasks run and wait is answered once', { timeout: TEST_TIMEOUT }, async t => {
  // A caller's connection breaks while some tasks of its job have ended, some run and some wait.
  // The entry was killed. The caller submits the same job through another entry, which asks every
  // agent: what ended is taken from the ledgers, what runs is attached, what waits is run.
  const trial = await Trial.begin({ slots: 1 })
  t.after(() => trial.end())
  const [id = ''] = await trial.idsOwnedBy(trial.entry(1), 1, 'running')
  const job = trial.caller.addJob(newJob(id, { tasks: 12, run: 300 }))

  const first = trial.caller.send(job, trial.entry(1).callersUrl)
  await trial.waitUntilStarted(id, 4)
  await trial.fleet.killDaemon(trial.entry(1))
  const second = await trial.caller.send(job, trial.entry(2).callersUrl)

  expect((await first).answer).toEqual(undefined)
  expect(answerKind(second)).toEqual('complete')
  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(report.starts).toEqual(12)
})

test('a job that waits in the queue of a killed entry is run once by another', { timeout: TEST_TIMEOUT }, async t => {
  // Every slot is held when the job arrives, so no task of it has started. Its entry is killed.
  // The caller submits again: the ledgers name no start of it, so it runs, once.
  const trial = await Trial.begin({ slots: 1 })
  t.after(() => trial.end())
  const [busyId = ''] = await trial.idsOwnedBy(trial.entry(2), 1, 'busy')
  const [id = ''] = await trial.idsOwnedBy(trial.entry(1), 1, 'queued')
  const busy = trial.caller.addJob(newJob(busyId, { tasks: 12, run: 500 }))
  const job = trial.caller.addJob(newJob(id, { tasks: 2, run: 50 }))

  const blocking = trial.caller.send(busy, trial.entry(2).callersUrl)
  await trial.waitUntilStarted(busyId, 3)
  const first = trial.caller.send(job, trial.entry(1).callersUrl)
  await trial.waitUntil('the job to wait', async () => (await trial.caller.lookUp(job, trial.entry(2).callersUrl)).state !== 'unknown')
  expect(await trial.startsOfJob(id)).toEqual([])
  await trial.fleet.killDaemon(trial.entry(1))
  const second = await trial.caller.send(job, trial.entry(3).callersUrl)

  expect((await first).answer).toEqual(undefined)
  expect(answerKind(second)).toEqual('complete')
  expect(answerKind(await blocking)).toEqual('complete')
  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(report.starts).toEqual(14)
})

test('a job that a killed entry had answered is answered the same and not run again', { timeout: TEST_TIMEOUT }, async t => {
  // The caller has had its answer, or the answer was lost on the way: it cannot know. It submits
  // again after the entry was killed, and the ledgers still hold every result.
  const trial = await Trial.begin()
  t.after(() => trial.end())
  const ids = await trial.idsOwnedBy(trial.entry(1), 4, 'answered')
  const jobs = ids.map(id => trial.caller.addJob(newJob(id, { tasks: 5, run: 60 })))
  const before = await sendAll(trial, jobs, 1)

  await trial.fleet.killDaemon(trial.entry(1))
  const after = [...await sendAll(trial, jobs.slice(0, 2), 2), ...await sendAll(trial, jobs.slice(2), 3)]

  expect(before.map(answerKind)).toEqual(ids.map(() => 'complete'))
  expect(after.map(({ answer }) => answer)).toEqual(before.map(({ answer }) => answer))
  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(report.starts).toEqual(20)
})

test('a caller whose entry lives never learns that the owner of its job was killed', { timeout: TEST_TIMEOUT }, async t => {
  // The caller's own entry forwarded the job to the owner, which was killed with some of its tasks
  // running. The caller does nothing: its entry hands the job to the next owner, and one answer comes.
  const trial = await Trial.begin({ slots: 1 })
  t.after(() => trial.end())
  const [id = ''] = await trial.idsOwnedBy(trial.entry(1), 1, 'forwarded')
  const job = trial.caller.addJob(newJob(id, { tasks: 9, run: 250 }))

  const answer = trial.caller.send(job, trial.entry(2).callersUrl)
  await trial.waitUntilStarted(id, 4)
  await trial.fleet.killDaemon(trial.entry(1))

  expect(answerKind(await answer)).toEqual('complete')
  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(report.starts).toEqual(9)
})

function sendAll (trial: Trial, jobs: readonly JobRecord[], entry: number): Promise<Attempt[]> {
  return Promise.all(jobs.map(job => trial.caller.send(job, trial.entry(entry).callersUrl)))
}
