import { test } from 'node:test'

import { expect } from 'earl'

import { answerKind } from '../src/client.ts'
import { TEST_TIMEOUT } from '../src/defaults.ts'
import { newJob } from '../src/jobs.ts'
import { Trial } from '../src/trial.ts'

test('an entry that resumes after its lease has expired starts nothing', { timeout: TEST_TIMEOUT }, async t => {
  // An entry is paused for seconds (SIGSTOP) while tasks run and wait, and the others remove it and serve
  // its jobs. When it resumes with its old queue, no agent may accept orders from it, and the caller that
  // still waits for it must get complete or mayHaveRun. The same must hold for its next incarnation.
  const trial = await Trial.begin({ slots: 1 })
  t.after(() => trial.end())
  for (const round of ['first', 'second']) {
    const [id = ''] = await trial.idsOwnedBy(trial.entry(1), 1, round)
    const job = trial.caller.addJob(newJob(id, { tasks: 12, run: 250 }))
    const pending = trial.caller.send(job, trial.entry(1).callersUrl)
    await trial.waitUntilStarted(id, 4)

    trial.entry(1).process?.pause()
    await trial.waitUntilMembers(trial.entry(2), [trial.entry(2), trial.entry(3)])
    const otherAnswer = await trial.caller.send(job, trial.entry(2).callersUrl)
    trial.entry(1).process?.resume()
    const lateAnswer = await pending
    await trial.entry(1).process?.ended

    expect(answerKind(otherAnswer)).toEqual('complete')
    expect(['complete', 'mayHaveRun']).toInclude(answerKind(lateAnswer))
    await trial.fleet.startDaemon(trial.entry(1))
    await trial.waitUntilReady()
  }
  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(report.starts).toEqual(24)
})

test('an entry that is paused for less than its lease remains a member and answers its job', { timeout: TEST_TIMEOUT }, async t => {
  // The entry misses one or two heartbeats and resumes before the others remove it.
  const trial = await Trial.begin({ slots: 1 })
  t.after(() => trial.end())
  const [id = ''] = await trial.idsOwnedBy(trial.entry(1), 1, 'short')
  const job = trial.caller.addJob(newJob(id, { tasks: 6, run: 200 }))
  const pending = trial.caller.send(job, trial.entry(1).callersUrl)
  await trial.waitUntilStarted(id, 2)

  trial.entry(1).process?.pause()
  await trial.waitUntilStarted(id, 3)
  trial.entry(1).process?.resume()

  expect(answerKind(await pending)).toEqual('complete')
  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(report.starts).toEqual(6)
})

test('an agent that resumes from a pause starts no task of an answered job', { timeout: TEST_TIMEOUT }, async t => {
  // An agent is paused for seconds while one task runs and others wait for its slot. The deadline of the
  // job passes, and the job is answered without being complete. After the agent resumes, it must not start
  // the waiting tasks, and must serve later jobs as before.
  const trial = await Trial.begin({ slots: 1, agents: 1, shares: { 'provider-a': 100 } })
  t.after(() => trial.end())
  const job = trial.caller.addJob(newJob('paused', { tasks: 4, run: 300, deadline: 8_000 }))
  const first = trial.caller.send(job, trial.entry(1).callersUrl)
  await trial.waitUntilStarted('paused')

  trial.agent(1).process?.pause()
  const answer = (await first).answer
  const before = await trial.startsOfJob('paused')
  trial.agent(1).process?.resume()
  await trial.waitUntilReady()
  await trial.waitUntilConnected()
  const again = await trial.caller.send(job, trial.entry(2).callersUrl)
  const later = await trial.caller.send(trial.caller.addJob(newJob('later', { tasks: 4, run: 50 })), trial.entry(3).callersUrl)

  expect(['failed', 'mayHaveRun']).toInclude(answer?.kind ?? '')
  expect(again.answer).toEqual(answer)
  expect(answerKind(later)).toEqual('complete')
  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect((await trial.startsOfJob('paused')).length).toEqual(before.length)
})
