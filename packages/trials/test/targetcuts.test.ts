import { test } from 'node:test'

import { LinkState } from '@amaranthmast/standins/cutter'
import { LinkKind } from '@amaranthmast/standins/fleet'
import type { Attempt } from '@amaranthmast/standins/records'
import { AnswerWord } from '@amaranthmast/standins/records'
import { expect } from 'earl'

import { answerKind } from '../src/client.ts'
import { TEST_TIMEOUT } from '../src/defaults.ts'
import { newJob } from '../src/jobs.ts'
import { Trial } from '../src/trial.ts'

test('a task whose call is reset may have run and is not started again', { timeout: TEST_TIMEOUT }, async t => {
  // The connection of an agent to its target breaks while the target runs a task, and the target
  // runs on. The caller is told that the job may have run, also when it submits it again.
  const trial = await Trial.begin({ relays: true, agents: 1, shares: { 'provider-a': 100 } })
  t.after(() => trial.end())
  const job = trial.caller.addJob(newJob('reset', { run: 800 }))
  const first = trial.caller.send(job, trial.entry(1).callersUrl)
  await trial.waitUntilStarted('reset')

  trial.fleet.link(LinkKind.Target, 'agent-1').cut()
  const answer = (await first).answer
  trial.fleet.link(LinkKind.Target, 'agent-1').restore()
  const again = await trial.caller.send(job, trial.entry(2).callersUrl)

  expect(answer?.kind).toEqual(AnswerWord.MayHaveRun)
  expect(again.answer).toEqual(answer)
  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(report.starts).toEqual(1)
})

test('a target that cannot be reached starts nothing and its tasks run elsewhere', { timeout: TEST_TIMEOUT }, async t => {
  // Connections to one target are reset before anything is sent. Nothing started there for certain,
  // so the tasks go to the other targets, and the caller gets a whole answer.
  const trial = await Trial.begin({ relays: true })
  t.after(() => trial.end())
  trial.fleet.link(LinkKind.Target, 'agent-2').cut()
  const ids = await trial.idsOwnedBy(trial.entry(1), 6, 'unreached')
  const jobs = ids.map(id => trial.caller.addJob(newJob(id, { tasks: 3, run: 50 })))

  const answers = await Promise.all(jobs.map(job => trial.caller.send(job, trial.entry(1).callersUrl)))

  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(answers.map(answerOf).filter(text => !/complete|mayHaveRun/.test(text))).toEqual([])
})

test('a silent target delays its tasks and loses none', { timeout: TEST_TIMEOUT }, async t => {
  // Nothing passes between an agent and its target for a while, as when a switch restarts. The answer
  // comes when the link is back, and is the answer to that task.
  const trial = await Trial.begin({ relays: true, agents: 1, shares: { 'provider-a': 100 } })
  t.after(() => trial.end())
  const job = trial.caller.addJob(newJob('silent', { tasks: 6, run: 100 }))
  const first = trial.caller.send(job, trial.entry(1).callersUrl)
  await trial.waitUntilStarted('silent')

  trial.fleet.link(LinkKind.Target, 'agent-1').freeze(LinkState.SilentToClient)
  const again = trial.caller.send(job, trial.entry(2).callersUrl)
  await trial.waitUntil('the first tasks to end', async () => (await trial.startsOfJob('silent')).some(start => start.finishedAt !== undefined))
  trial.fleet.link(LinkKind.Target, 'agent-1').restore()

  expect(answerKind(await first)).toEqual('complete')
  expect((await again).answer).toEqual((await first).answer)
  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(report.starts).toEqual(6)
})

function answerOf ({ answer }: Attempt): string {
  return `${answer?.kind} ${answer?.cause} ${answer?.detail}`
}
