import { test } from 'node:test'

import type { LinkRelay } from '@amaranthmast/standins/linkrelay'
import { LinkState } from '@amaranthmast/standins/linkrelay'
import { LinkKind } from '@amaranthmast/standins/fleet'
import { expect } from 'earl'

import { TEST_TIMEOUT } from '../src/defaults.ts'
import { Trial } from '../src/trial.ts'

const LOAD = { seed: 5, rate: 15, seconds: 5, scale: 0.3, burstEvery: 0 }

const CUTS: ReadonlyArray<{ name: string, cut: (link: LinkRelay) => void }> = [
  { name: 'reset', cut: link => link.cut() },
  { name: 'no data in either direction', cut: link => link.stall(LinkState.Stalled) },
  { name: 'no data to the listener', cut: link => link.stall(LinkState.StalledToServer) },
  { name: 'no data from the listener', cut: link => link.stall(LinkState.StalledToClient) }
]

for (const { name, cut } of CUTS) {
  test(`an entry is cut off from agents and entries under load (${name})`, { timeout: TEST_TIMEOUT }, async t => {
    // Callers still reach the entry, but every link from agents and other entries to it is cut while its
    // jobs run and wait. The others remove it and serve its job ids. When the links are restored, the entry
    // must exit because it was removed, and the others must run its remaining tasks, once each.
    const trial = await Trial.begin({ relays: true })
    t.after(() => trial.end())
    const load = trial.load(LOAD)
    await trial.waitUntil('the load to run', () => trial.records.length >= 15)

    cut(trial.fleet.link(LinkKind.Peers, 'entry-1'))
    await trial.waitUntilMembers(trial.entry(3), [trial.entry(2), trial.entry(3)])
    await trial.waitUntil('more load', () => trial.records.length >= 45)
    trial.fleet.link(LinkKind.Peers, 'entry-1').restore()
    await trial.entry(1).process?.ended
    await trial.fleet.startDaemon(trial.entry(1))
    await trial.waitUntilReady()
    await load

    const report = await trial.audit()
    expect(report.faults).toEqual([])
    expect(report.counts.complete).toBeGreaterThan(report.counts.jobs / 2)
  })
}

for (const { name, cut } of CUTS) {
  test(`entries lose their connection to the store one after the other under load (${name})`, { timeout: TEST_TIMEOUT }, async t => {
    // First one entry cannot reach the store, then a second one. As long as any entry confirms the view, or
    // every entry responds, agents must continue to start tasks, and every job must be completed.
    const trial = await Trial.begin({ relays: true })
    t.after(() => trial.end())
    const load = trial.load(LOAD)
    await trial.waitUntil('the load to run', () => trial.records.length >= 15)

    cut(trial.fleet.link(LinkKind.Store, 'entry-1'))
    await trial.waitUntil('more load', () => trial.records.length >= 35)
    cut(trial.fleet.link(LinkKind.Store, 'entry-2'))
    await trial.waitUntil('yet more load', () => trial.records.length >= 60)
    trial.fleet.link(LinkKind.Store, 'entry-1').restore()
    trial.fleet.link(LinkKind.Store, 'entry-2').restore()
    await load
    await trial.waitUntilMembers(trial.entry(1), trial.fleet.entries)

    const report = await trial.audit()
    expect(report.faults).toEqual([])
    expect(trial.notComplete()).toEqual([])
  })
}
