/** The model of a change tells a good adoption from broken ones. */
import { test } from 'node:test'
import type { VersionedDocument } from '@amaranthmast/coordination/adoption'
import { ConfigurationAdoption, PeerSelection } from '@amaranthmast/coordination/adoption'
import { expect } from 'earl'
import type { ConvergenceOptions, ConvergenceResult } from '../src/convergencemodel.ts'
import { applyBeforeOutage, resetLinks, runCores } from '../src/convergencecores.ts'
import { Disturbance, runConvergence } from '../src/convergencemodel.ts'
import { reportsOf } from '../src/convergencereports.ts'

/** Tells nobody of what it has. */
class MuteAdoption extends ConfigurationAdoption {
  override due (): string[] {
    return []
  }
}

/** Takes whatever came last. */
class ObligingAdoption extends ConfigurationAdoption {
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

/** Sends to every peer known to be behind again and again. */
class InsistentAdoption extends ConfigurationAdoption {
  override due (): string[] {
    return this.behind()
  }
}

function run (disturbance: Disturbance, makeAdoption?: ConvergenceOptions['makeAdoption']): ConvergenceResult {
  const broken = makeAdoption === undefined ? {} : { makeAdoption }
  return runConvergence({ entries: 3, agents: 11, disturbance, choice: PeerSelection.KnownBehind, documentBytes: 500, seed: 1, ...broken })
}

for (const disturbance of Object.values(Disturbance)) {
  test(`every instance gets the change: ${disturbance}`, () => {
    const { unfinished, backwards } = run(disturbance)
    expect({ unfinished, backwards }).toEqual({ unfinished: 0, backwards: 0 })
  })
}

// An operator applies a change and the store goes down. One entry has it and keeps it to itself:
// the rest of the fleet goes on with the old shares for as long as the outage lasts.
test('entries that pass nothing on leave the others behind', () => {
  const { inForce, unfinished } = run(Disturbance.Outage, options => new MuteAdoption(options))
  expect({ inForce: inForce.length, unfinished }).toEqual({ inForce: 1, unfinished: 13 })
})

// A replica of the store lags and answers a read with the version before the change. An entry that
// believes it takes the change back.
test('a step back to an older version is counted', () => {
  const { backwards } = run(Disturbance.None, options => new ObligingAdoption(options))
  expect(backwards).toBeGreaterThan(0)
})

test('documents for instances that have the version are counted as useless', () => {
  const { useless } = run(Disturbance.None, options => new InsistentAdoption(options))
  expect({ real: run(Disturbance.None).useless, insistent: useless > 0 }).toEqual({ real: 0, insistent: true })
})

test('the same seed gives the same run', () => {
  expect(run(Disturbance.StoreUneven)).toEqual(run(Disturbance.StoreUneven))
})

const REAL = { entries: 3, agents: 11 }

// The links of one entry are reset while nothing changes. Each end takes the other for an entry
// without a configuration until its greeting has come, and sends it the whole document.
test('a reset of links sends no document', () => {
  const { toEntries, toAgents } = runCores(REAL, resetLinks, 1)
  expect({ toEntries, toAgents }).toEqual({ toEntries: 0, toAgents: 0 })
})

// An agent starts long after the last change. One entry has to tell it the version, and all do.
test('an agent that starts is told the version by one entry', () => {
  expect(runCores(REAL, fleet => { fleet.startAgent('agent-late') }, 1).toAgents).toEqual(1)
})

// Of a change that 1,100 agents are told, each uses the version alone: whole documents would be
// 32 MB a change, which is all that an entry may send.
test('agents get no document', () => {
  const { toAgents, bytes } = runCores({ entries: 1, agents: 11 }, fleet => fleet.store.apply(2, true), 1)
  expect({ toAgents, bytes }).toEqual({ toAgents: 11, bytes: 0 })
})

// The store goes down when one entry alone has the change. The others serve half a second longer by
// the old shares when the one that has it waits for the store to tell them.
test('an entry that has a change tells the others at once', () => {
  expect(runCores(REAL, applyBeforeOutage, 1).whole).toBeLessThan(100)
})

const BUDGETS = [
  { story: '11 agents and 3 entries, every second', reporting: { agents: 11, entries: 3, subset: 3, interval: 1_000, peerInterval: 1_000 }, fits: 'yes' },
  { story: '1,100 agents to all of 12 entries', reporting: { agents: 1_100, entries: 12, subset: 12, interval: 400, peerInterval: 400 }, fits: 'no: agent' },
  { story: '1,100 agents to one of 12 entries each', reporting: { agents: 1_100, entries: 12, subset: 1, interval: 400, peerInterval: 400 }, fits: 'no: entry' },
  { story: 'more entries than a worker has connections', reporting: { agents: 1_100, entries: 70, subset: 70, interval: 400, peerInterval: 400 }, fits: 'no: connections' }
]

for (const { story, reporting, fits } of BUDGETS) {
  test(`budget of reports: ${story}`, () => {
    expect(reportsOf(reporting)['fits']).toEqual(fits)
  })
}
