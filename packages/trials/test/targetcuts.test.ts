import { test } from 'node:test'

import { LinkState } from '@amaranthmast/standins/linkrelay'
import { LinkKind } from '@amaranthmast/standins/fleet'
import type { Attempt } from '@amaranthmast/standins/records'
import { AnswerKind } from '@amaranthmast/standins/records'
import { expect } from 'earl'

import { answerKind } from '../src/client.ts'
import { TEST_TIMEOUT } from '../src/defaults.ts'
import { newJob } from '../src/jobs.ts'
import { Trial } from '../src/trial.ts'

test('a task whose call is reset may have run and is not started again', { timeout: TEST_TIMEOUT }, async t => {
  // The connection from an agent to its target breaks while the target runs a task, and the target
  // continues. The job and its resubmission must be answered with mayHaveRun.
  const trial = await Trial.begin({ relays: true, agents: 1, shares: { 'provider-a': 100 } })
  t.after(() => trial.end())
  const job = trial.caller.addJob(newJob('reset', { run: 800 }))
  const first = trial.caller.send(job, trial.entry(1).callersUrl)
  await trial.waitUntilStarted('reset')

  trial.fleet.link(LinkKind.Target, 'agent-1').cut()
  const answer = (await first).answer
  trial.fleet.link(LinkKind.Target, 'agent-1').restore()
  const again = await trial.caller.send(job, trial.entry(2).callersUrl)

  expect(answer?.kind).toEqual(AnswerKind.MayHaveRun)
  expect(again.answer).toEqual(answer)
  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(report.starts).toEqual(1)
})

test('an unreachable target starts nothing and its tasks run elsewhere', { timeout: TEST_TIMEOUT }, async t => {
  // Connections to one target are reset before any data is sent, so no task can have started there. The
  // tasks must go to the other targets, and every job must be answered with complete or mayHaveRun.
  const trial = await Trial.begin({ relays: true })
  t.after(() => trial.end())
  trial.fleet.link(LinkKind.Target, 'agent-2').cut()
  const ids = await trial.idsOwnedBy(trial.entry(1), 6, 'unreached')
  const jobs = ids.map(id => trial.caller.addJob(newJob(id, { tasks: 3, run: 50 })))

  const answers = await Promise.all(jobs.map(job => trial.caller.send(job, trial.entry(1).callersUrl)))

  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(answers.map(describeAnswer).filter(text => !/complete|mayHaveRun/.test(text))).toEqual([])
})

test('an unresponsive target delays its tasks and loses none', { timeout: TEST_TIMEOUT }, async t => {
  // No data arrives from a target at its agent for a while, as when a switch restarts. When the link is
  // restored, the results must arrive, each for its own task.
  const trial = await Trial.begin({ relays: true, agents: 1, shares: { 'provider-a': 100 } })
  t.after(() => trial.end())
  const job = trial.caller.addJob(newJob('silent', { tasks: 6, run: 100 }))
  const first = trial.caller.send(job, trial.entry(1).callersUrl)
  await trial.waitUntilStarted('silent')

  trial.fleet.link(LinkKind.Target, 'agent-1').stall(LinkState.StalledToClient)
  const again = trial.caller.send(job, trial.entry(2).callersUrl)
  await trial.waitUntil('the first tasks to end', async () => (await trial.startsOfJob('silent')).some(start => start.finishedAt !== undefined))
  trial.fleet.link(LinkKind.Target, 'agent-1').restore()

  expect(answerKind(await first)).toEqual('complete')
  expect((await again).answer).toEqual((await first).answer)
  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(report.starts).toEqual(6)
})

function describeAnswer ({ answer }: Attempt): string {
  return `${answer?.kind} ${answer?.cause} ${answer?.detail}`
}
