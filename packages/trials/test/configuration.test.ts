import { test } from 'node:test'

import { LinkKind } from '@amaranthmast/standins/fleet'
import { LostAnswer, Outage } from '@amaranthmast/standins/keyvaluefaults'
import { expect } from 'earl'

import { TEST_TIMEOUT } from '../src/defaults.ts'
import { Trial } from '../src/trial.ts'

const BEFORE = { 'provider-a': 50, 'provider-b': 50 }
const AFTER = { 'provider-a': 0, 'provider-b': 100 }
const LOAD = { seed: 21, rate: 20, seconds: 1, scale: 0.2, burstEvery: 0 }

test('an applied share is in force on every instance', { timeout: TEST_TIMEOUT }, async t => {
  // Operators move all work from one provider to the other with one apply. Once every instance has the
  // new version, nothing more starts at the first provider, through whichever entry it comes.
  const trial = await Trial.begin({ shares: BEFORE })
  t.after(() => trial.end())
  await trial.load({ ...LOAD, prefix: 'before' })

  await trial.apply(1, AFTER)
  await trial.waitUntilConfigured(2)
  const inForce = Date.now()
  await trial.load({ ...LOAD, prefix: 'after' })

  const starts = await trial.startsOfJobs(trial.records.map(record => record.submission.job))
  const byProvider = (from: number, to: number): string[] => targetsOf(starts.filter(({ startedAt }) => startedAt >= from && startedAt < to))
  expect(byProvider(0, inForce)).toEqual(['target-1', 'target-2', 'target-3'])
  expect(byProvider(inForce, Infinity)).toEqual(['target-2'])
  const report = await trial.audit()
  expect(report.faults).toEqual([])
  expect(trial.notComplete()).toEqual([])
})

test('an entry that has lost the store takes the configuration from its peers', { timeout: TEST_TIMEOUT }, async t => {
  // One entry cannot reach the store when operators apply, and then the store goes down for all. The
  // entry has the new version all the same, from the others, and so have the agents.
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

test('no instance goes back to an older version though the store answers stale', { timeout: TEST_TIMEOUT }, async t => {
  // The store answers reads with the state of some revisions ago, as a member of it that lags would.
  // Every entry keeps the version it has acted on, and an entry that starts has it from its peers.
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

for (const loseAnswersBy of [LostAnswer.Cut, LostAnswer.Hang]) {
  test(`an apply whose answer is lost is settled and not applied twice (${loseAnswersBy})`, { timeout: TEST_TIMEOUT }, async t => {
    // The store takes the write of an apply and its answer never arrives. The tool reads back that its
    // own apply is in force and says so. There is one new version and not two, so the next apply, edited
    // from it, is accepted.
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
