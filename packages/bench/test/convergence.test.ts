/** Tests that the simulation of a configuration change detects faulty implementations of the adoption. */
import { test } from 'node:test'
import type { VersionedDocument } from '@amaranthmast/coordination/adoption'
import { ConfigurationAdoption, PeerSelection } from '@amaranthmast/coordination/adoption'
import { expect } from 'earl'
import type { ConvergenceOptions, ConvergenceResult } from '../src/convergencemodel.ts'
import { applyBeforeOutage, resetLinks, runFleetCase } from '../src/convergencecores.ts'
import { Disturbance, runConvergence } from '../src/convergencemodel.ts'
import { reportTraffic } from '../src/convergencereports.ts'

/** Sends its configuration to no peer. */
class NonForwardingAdoption extends ConfigurationAdoption {
  override due (): string[] {
    return []
  }
}

/** Adopts whatever document it received last, also an older version. */
class LastWriteAdoption extends ConfigurationAdoption {
  #last: VersionedDocument = { version: 0, document: new Uint8Array() }

  override get inForce (): VersionedDocument {
    return this.#last
  }

  override offer (offered: VersionedDocument, now: number): boolean {
    super.offer(offered, now)
    this.#last = offered
    return true
  }
}

/** Sends repeatedly to every peer that is recorded as behind. */
class RepeatingAdoption extends ConfigurationAdoption {
  override due (): string[] {
    return this.behind()
  }
}

function run (disturbance: Disturbance, makeAdoption?: ConvergenceOptions['makeAdoption']): ConvergenceResult {
  const broken = makeAdoption === undefined ? {} : { makeAdoption }
  return runConvergence({ entries: 3, agents: 11, disturbance, choice: PeerSelection.KnownBehind, documentBytes: 500, seed: 1, ...broken })
}

for (const disturbance of Object.values(Disturbance)) {
  test(`every instance adopts the change: ${disturbance}`, () => {
    const { unfinished, backwards } = run(disturbance)
    expect({ unfinished, backwards }).toEqual({ unfinished: 0, backwards: 0 })
  })
}

// Guards against an entry that doesn't forward a configuration: the store goes down after one entry
// has read a change, and the rest of the fleet applies the old shares until the outage ends.
test('instances stay behind when entries do not forward a change', () => {
  const { inForce, unfinished } = run(Disturbance.Outage, options => new NonForwardingAdoption(options))
  expect({ inForce: inForce.length, unfinished }).toEqual({ inForce: 1, unfinished: 13 })
})

// Guards against an entry that reverts a change because a lagging replica of the store answers a
// read with the version before it.
test('a return to an older version is counted', () => {
  const { backwards } = run(Disturbance.None, options => new LastWriteAdoption(options))
  expect(backwards).toBeGreaterThan(0)
})

test('documents sent to instances that already have the version are counted as useless', () => {
  const { useless } = run(Disturbance.None, options => new RepeatingAdoption(options))
  expect({ real: run(Disturbance.None).useless, repeating: useless > 0 }).toEqual({ real: 0, repeating: true })
})

test('the same seed gives the same run', () => {
  expect(run(Disturbance.StoreUneven)).toEqual(run(Disturbance.StoreUneven))
})

const FLEET = { entries: 3, agents: 11 }

// Guards against needless documents: the links of one entry are reset while nothing changes, each end
// treats the other as an entry without a configuration until its greeting arrives, and sends it the
// whole document.
test('a reset of links sends no document', () => {
  const { toEntries, toAgents } = runFleetCase(FLEET, resetLinks, 1)
  expect({ toEntries, toAgents }).toEqual({ toEntries: 0, toAgents: 0 })
})

// Guards against duplicates: an agent starts long after the last change, and every entry sends it the
// version although one suffices.
test('one entry sends the version to an agent that starts', () => {
  expect(runFleetCase(FLEET, fleet => { fleet.startAgent('agent-late') }, 1).toAgents).toEqual(1)
})

// Agents use only the version of a configuration. Sending whole documents to 1,100 agents would take
// 32 MB per change, which is the whole bandwidth budget of an entry.
test('agents receive no document', () => {
  const { toAgents, bytes } = runFleetCase({ entries: 1, agents: 11 }, fleet => fleet.store.apply(2, true), 1)
  expect({ toAgents, bytes }).toEqual({ toAgents: 11, bytes: 0 })
})

// Guards against a delay: the store goes down when only one entry has the change. If that entry waits
// for the others to read the store, they apply the old shares for another half second.
test('an entry that has a change sends it to the others at once', () => {
  expect(runFleetCase(FLEET, applyBeforeOutage, 1).whole).toBeLessThan(100)
})

const BUDGET_CASES = [
  { title: '11 agents and 3 entries, every second', reporting: { agents: 11, entries: 3, subset: 3, interval: 1_000, peerInterval: 1_000 }, fits: 'yes' },
  { title: '1,100 agents to all of 12 entries', reporting: { agents: 1_100, entries: 12, subset: 12, interval: 400, peerInterval: 400 }, fits: 'no: agent' },
  { title: '1,100 agents to one of 12 entries each', reporting: { agents: 1_100, entries: 12, subset: 1, interval: 400, peerInterval: 400 }, fits: 'no: entry' },
  { title: 'more entries than a worker has connections', reporting: { agents: 1_100, entries: 70, subset: 70, interval: 400, peerInterval: 400 }, fits: 'no: connections' }
]

for (const { title, reporting, fits } of BUDGET_CASES) {
  test(`traffic budget of reports: ${title}`, () => {
    expect(reportTraffic(reporting)['fits']).toEqual(fits)
  })
}
