import { readFile, writeFile } from 'node:fs/promises'
import { test } from 'node:test'

import { Outage } from '@amaranthmast/standins/keyvaluefaults'
import { expect } from 'earl'

import { TEST_TIMEOUT } from '../src/defaults.ts'
import { Trial } from '../src/trial.ts'

const LOAD = { seed: 31, rate: 20, seconds: 1, scale: 0.2, burstEvery: 0 }

for (const outage of [Outage.Refuse, Outage.Hang]) {
  test(`an agent that starts while the store is down finds the entries by its seeds (${outage})`, { timeout: TEST_TIMEOUT }, async t => {
    // Every agent of a provider is restarted during a store outage. Without the store they can't read the
    // list of entries, and the provider has no target until the store is back. The agents must get the list
    // from an entry in the seeds of their settings, and accept work once every entry has answered.
    const trial = await Trial.begin({ shares: { 'provider-a': 0, 'provider-b': 100 } })
    t.after(() => trial.end())
    const restarted = trial.agent(2)
    const settings = JSON.parse(await readFile(restarted.settingsFile, 'utf8')) as object
    const entry = JSON.parse(await readFile(trial.entry(1).settingsFile, 'utf8')) as { peers: { address: string } }
    await writeFile(restarted.settingsFile, JSON.stringify({ ...settings, seeds: ['http://127.0.0.1:1', entry.peers.address] }))

    await trial.fleet.killDaemon(restarted)
    await trial.setStoreFaults({ outage })
    await trial.fleet.startDaemon(restarted)
    await trial.waitUntilReady([restarted])
    await trial.waitUntilConfigured(1)
    await trial.load({ ...LOAD, prefix: 'outage' })

    const starts = await trial.startsOfJobs(trial.records.map(record => record.submission.job))
    expect([...new Set(starts.map(({ target }) => target))]).toEqual(['target-2'])
    const report = await trial.audit()
    expect(report.faults).toEqual([])
    expect(trial.notComplete()).toEqual([])
  })
}
