import { test } from 'node:test'

import { expect } from 'earl'

import { answerKind } from '../src/client.ts'
import { TEST_TIMEOUT } from '../src/defaults.ts'
import { newJob } from '../src/jobs.ts'
import { Trial } from '../src/trial.ts'

test('callers that disconnect leave no slot occupied', { timeout: TEST_TIMEOUT }, async t => {
  // Callers disconnect, as when a site loses its network, while their jobs run and wait. The jobs must run
  // to their end and free every slot, and a resubmission must return the answer of the job.
  const trial = await Trial.begin({ slots: 2 })
  t.after(() => trial.end())
  const jobs = Array.from({ length: 9 }, (_, number) => trial.caller.addJob(newJob(`gone-${number}`, { tasks: 3, run: 200 })))
  const disconnect = new AbortController()
  const sent = jobs.map((job, number) => trial.caller.send(job, trial.entry(1 + number % 3).callersUrl, disconnect.signal))
  await trial.waitUntil('some starts', async () => (await trial.startsOfJobs(jobs.map(job => job.submission.job))).length >= 6)

  disconnect.abort()
  await Promise.all(sent)
  await trial.waitUntil('all slots to be free', async () => await isIdle(trial))
  const resubmissions = await Promise.all(jobs.map((job, number) => trial.caller.send(job, trial.entry(1 + (number + 1) % 3).callersUrl)))

  expect(resubmissions.map(answerKind)).toEqual(jobs.map(() => 'complete'))
  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(report.starts).toEqual(27)
  expect(report.askedAboveSlots).toEqual(0)
})

test('cancelling a batch frees the slots and refuses only jobs that did not run', { timeout: TEST_TIMEOUT }, async t => {
  // A tenant cancels a whole batch of jobs while some of them run and most of them wait. Each job must be
  // answered once, and as refused only if it never started. No task of the batch may start afterwards, and
  // the slots must be free for the next job.
  const trial = await Trial.begin({ slots: 2 })
  t.after(() => trial.end())
  const jobs = Array.from({ length: 30 }, (_, number) => trial.caller.addJob(newJob(`wave-${number}`, { tasks: 2, run: 400 })))
  const sent = jobs.map((job, number) => trial.caller.send(job, trial.entry(1 + number % 3).callersUrl))
  await trial.waitUntil('some starts', async () => (await trial.startsOfJobs(jobs.map(job => job.submission.job))).length >= 6)

  await Promise.all(jobs.map((job, number) => trial.caller.cancel(job, trial.entry(1 + (number + 1) % 3).callersUrl)))
  const answers = await Promise.all(sent)
  await trial.waitUntil('all slots to be free', async () => await isIdle(trial))
  const started = (await trial.startsOfJobs(jobs.map(job => job.submission.job))).length
  const next = await trial.caller.send(trial.caller.addJob(newJob('next', { tasks: 6, run: 50 })), trial.entry(1).callersUrl)

  const refused = answers.filter(answer => answerKind(answer) === 'refused')
  expect(refused.length).toBeGreaterThan(0)
  expect(answers.map(answerKind).filter(kind => kind === 'no answer')).toEqual([])
  expect(answerKind(next)).toEqual('complete')
  expect((await trial.startsOfJobs(jobs.map(job => job.submission.job))).length).toEqual(started)
  const report = await trial.audit()
  expect(report.faults).toEqual([])
})

async function isIdle (trial: Trial): Promise<boolean> {
  const entries = await Promise.all(trial.fleet.entries.map(entry => trial.status(entry)))
  const agents = await Promise.all(trial.fleet.agents.map(agent => trial.status(agent)))
  return entries.every(({ openJobs }) => openJobs === 0) && agents.every(({ running, queued }) => running + queued === 0)
}
