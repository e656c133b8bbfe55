import { test } from 'node:test'

import { expect } from 'earl'

import { answerKind } from '../src/client.ts'
import { TEST_TIMEOUT } from '../src/defaults.ts'
import { newJob } from '../src/jobs.ts'
import { Trial } from '../src/trial.ts'

test('an entry that wakes from a pause past its lease starts nothing', { timeout: TEST_TIMEOUT }, async t => {
  // An entry stops for seconds (SIGSTOP) with tasks running and waiting; the others remove it and
  // serve its jobs. It wakes with its old queue. No agent obeys it any more, and the caller that
  // still waits at it gets an honest answer. The same happens to its next run.
  const trial = await Trial.begin({ slots: 1 })
  t.after(() => trial.end())
  for (const round of ['first', 'second']) {
    const [id = ''] = await trial.idsOwnedBy(trial.entry(1), 1, round)
    const job = trial.caller.addJob(newJob(id, { tasks: 12, run: 250 }))
    const held = trial.caller.send(job, trial.entry(1).callersUrl)
    await trial.waitUntilStarted(id, 4)

    trial.entry(1).process?.pause()
    await trial.waitUntilMembers(trial.entry(2), [trial.entry(2), trial.entry(3)])
    const elsewhere = await trial.caller.send(job, trial.entry(2).callersUrl)
    trial.entry(1).process?.resume()
    const late = await held
    await trial.entry(1).process?.ended

    expect(answerKind(elsewhere)).toEqual('complete')
    expect(['complete', 'mayHaveRun']).toInclude(answerKind(late))
    await trial.fleet.startDaemon(trial.entry(1))
    await trial.waitUntilReady()
  }
  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(report.starts).toEqual(24)
})

test('an entry that pauses for less than its lease goes on as if nothing had been', { timeout: TEST_TIMEOUT }, async t => {
  // The entry misses a heartbeat or two and wakes before the others remove it. It stays a member, and
  // its job is answered by it.
  const trial = await Trial.begin({ slots: 1 })
  t.after(() => trial.end())
  const [id = ''] = await trial.idsOwnedBy(trial.entry(1), 1, 'short')
  const job = trial.caller.addJob(newJob(id, { tasks: 6, run: 200 }))
  const held = trial.caller.send(job, trial.entry(1).callersUrl)
  await trial.waitUntilStarted(id, 2)

  trial.entry(1).process?.pause()
  await trial.waitUntilStarted(id, 3)
  trial.entry(1).process?.resume()

  expect(answerKind(await held)).toEqual('complete')
  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(report.starts).toEqual(6)
})

test('an agent that wakes from a pause starts nothing of what is answered already', { timeout: TEST_TIMEOUT }, async t => {
  // An agent stops for seconds with one task running and others waiting for its slot. The deadline of
  // the job passes and the caller is told that it may have run. The agent wakes: what waited there is
  // not started after that answer, and later jobs are served by it as before.
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
