import { test } from 'node:test'

import { LinkKind } from '@amaranthmast/standins/fleet'
import { LostAnswerMode, Outage } from '@amaranthmast/standins/keyvaluefaults'
import { expect } from 'earl'

import { TEST_TIMEOUT } from '../src/defaults.ts'
import { Trial } from '../src/trial.ts'

const BEFORE = { 'provider-a': 50, 'provider-b': 50 }
const AFTER = { 'provider-a': 0, 'provider-b': 100 }
const LOAD = { seed: 21, rate: 20, seconds: 1, scale: 0.2, burstEvery: 0 }

test('an applied share is in force on every instance', { timeout: TEST_TIMEOUT }, async t => {
  // One apply moves all work from one provider to the other. Once every instance has the new version, no
  // task may start at the first provider, whichever entry receives the job.
  const trial = await Trial.begin({ shares: BEFORE })
  t.after(() => trial.end())
  await trial.load({ ...LOAD, prefix: 'before' })

  await trial.apply(1, AFTER)
  await trial.waitUntilConfigured(2)
  const inForceAt = Date.now()
  await trial.load({ ...LOAD, prefix: 'after' })

  const starts = await trial.startsOfJobs(trial.records.map(record => record.submission.job))
  const targetsStartedBetween = (from: number, to: number): string[] => targetsOf(starts.filter(({ startedAt }) => startedAt >= from && startedAt < to))
  expect(targetsStartedBetween(0, inForceAt)).toEqual(['target-1', 'target-2', 'target-3'])
  expect(targetsStartedBetween(inForceAt, Infinity)).toEqual(['target-2'])
  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(trial.notComplete()).toEqual([])
})

test('an entry without a connection to the store receives the configuration from its peers', { timeout: TEST_TIMEOUT }, async t => {
  // One entry cannot reach the store when a configuration is applied, and then the store goes down for
  // all. The entry must receive the new version from its peers, and so must the agents.
  const trial = await Trial.begin({ shares: BEFORE, relays: true })
  t.after(() => trial.end())
  trial.fleet.link(LinkKind.Store, 'entry-3').cut()
  await trial.apply(1, AFTER)
  await trial.waitUntilConfigured(2, [trial.entry(1), trial.entry(2)])

  await trial.setStoreFaults({ outage: Outage.Refuse })
  await trial.waitUntilConfigured(2)
  await trial.load({ ...LOAD, prefix: 'outage' })

  const starts = await trial.startsOfJobs(trial.records.map(record => record.submission.job))
  expect(targetsOf(starts)).toEqual(['target-2'])
  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(trial.notComplete()).toEqual([])
})

test('no instance returns to an older version when the store answers with stale data', { timeout: TEST_TIMEOUT }, async t => {
  // The store answers reads with the state of an earlier revision, as a lagging replica does. Every entry
  // must keep the newest version that it has applied.
  const trial = await Trial.begin({ shares: BEFORE })
  t.after(() => trial.end())
  await trial.apply(1, AFTER)
  await trial.waitUntilConfigured(2)

  await trial.setStoreFaults({ staleRevisions: 1 })
  await trial.load({ ...LOAD, seconds: 3, prefix: 'stale' })
  const versions = await Promise.all(trial.daemons.map(daemon => trial.status(daemon)))

  expect(versions.map(status => status.configurationVersion)).toEqual(trial.daemons.map(() => 2))
  const starts = await trial.startsOfJobs(trial.records.map(record => record.submission.job))
  expect(targetsOf(starts)).toEqual(['target-2'])
  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(trial.notComplete()).toEqual([])
})

for (const loseAnswersBy of [LostAnswerMode.Cut, LostAnswerMode.Hang]) {
  test(`an apply whose answer is lost is confirmed and not repeated (${loseAnswersBy})`, { timeout: TEST_TIMEOUT }, async t => {
    // The store performs the write of an apply and the answer is lost. The tool must read back that its
    // own configuration is in force. There must be one new version and not two, so that the next apply,
    // edited from it, is accepted.
    const trial = await Trial.begin({ shares: BEFORE })
    t.after(() => trial.end())
    await trial.setStoreFaults({ loseAnswers: 1, loseAnswersBy })

    await trial.apply(1, AFTER)
    await trial.waitUntilConfigured(2)
    await trial.apply(2, BEFORE)
    await trial.waitUntilConfigured(3)

    const pages = await Promise.all(trial.daemons.map(daemon => trial.status(daemon)))
    expect(pages.map(page => page.configurationVersion)).toEqual(trial.daemons.map(() => 3))
  })
}

function targetsOf (starts: ReadonlyArray<{ target: string }>): string[] {
  return [...new Set(starts.map(({ target }) => target))].sort()
}
