import { test } from 'node:test'

import type { Attempt, JobRecord } from '@amaranthmast/standins/records'
import { expect } from 'earl'

import { answerKind } from '../src/client.ts'
import { TEST_TIMEOUT } from '../src/defaults.ts'
import { newJob } from '../src/jobs.ts'
import { Trial } from '../src/trial.ts'

test('a job whose entry is killed while its tasks run and wait is answered once', { timeout: TEST_TIMEOUT }, async t => {
  // An entry is killed while some tasks of a job have ended, some run and some wait. The caller resubmits
  // the job through another entry, which queries every agent: it must take finished results from the
  // ledgers, attach to running tasks, and run the waiting ones.
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

test('a job that waits in the queue of a killed entry is run once by another entry', { timeout: TEST_TIMEOUT }, async t => {
  // Every slot is occupied when the job arrives, so none of its tasks has started when its entry is killed.
  // The ledgers contain no start of it, so the resubmitted job must run, once.
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

test('a job answered before its entry was killed gets the same answer and does not run again', { timeout: TEST_TIMEOUT }, async t => {
  // A caller whose connection breaks can't distinguish a lost answer from a job without an answer, so it
  // also resubmits answered jobs. After the entry is killed, the ledgers must still provide every result.
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

test('a job whose owner is killed is answered through the entry that received it', { timeout: TEST_TIMEOUT }, async t => {
  // The entry that receives the job forwards it to the owner, which is killed while some of its tasks run.
  // The receiving entry must forward the job to the next owner, and the caller must get one complete
  // answer without a resubmission.
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
