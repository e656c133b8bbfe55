import { test } from 'node:test'

import { AnswerKind } from '@amaranthmast/standins/records'
import { expect } from 'earl'

import { TEST_TIMEOUT } from '../src/defaults.ts'
import { Trial } from '../src/trial.ts'

test('every instance is replaced under load, one after the other, and no caller notices', { timeout: TEST_TIMEOUT }, async t => {
  // During the rollout of a new build, each entry and each agent is stopped (SIGTERM), exits, and is
  // restarted before the next one is stopped. No job may be cut off, refused, lost or run twice.
  // The load needs 6.4 slots on average, of the 8 that are left while one of the 3 agents is replaced.
  const trial = await Trial.begin()
  t.after(() => trial.end())
  const load = trial.load({ seed: 11, rate: 5, seconds: 24, scale: 0.4, burstEvery: 0 })
  await trial.waitUntil('the load to run', () => trial.records.length >= 12)

  for (const daemon of [...trial.fleet.entries, ...trial.fleet.agents]) {
    daemon.process?.signal('SIGTERM')
    await daemon.process?.ended
    expect(daemon.process?.exitCode).toEqual(0)
    await trial.fleet.startDaemon(daemon)
    await trial.waitUntilReady()
  }
  await load

  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(trial.notComplete()).toEqual([])
  const answers = trial.records.flatMap(({ attempts }) => attempts.flatMap(({ answer }) => answer ?? []))
  expect(answers.filter(({ kind }) => kind !== AnswerKind.Complete)).toEqual([])
})
