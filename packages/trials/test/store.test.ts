import { test } from 'node:test'

import type { KeyValueFaults } from '@amaranthmast/standins/keyvaluefaults'
import { LostAnswerMode, Outage } from '@amaranthmast/standins/keyvaluefaults'
import { expect } from 'earl'

import { answerKind } from '../src/client.ts'
import { TEST_TIMEOUT } from '../src/defaults.ts'
import { newJob } from '../src/jobs.ts'
import { Trial } from '../src/trial.ts'

const LOAD = { rate: 15, seconds: 4, scale: 0.3, burstEvery: 0 }

for (const outage of [Outage.Refuse, Outage.Hang, Outage.NoLeader]) {
  test(`jobs are served while the store is down (${outage})`, { timeout: TEST_TIMEOUT }, async t => {
    // The store is down for longer than a confirmation of the view is valid for an agent. Every entry still
    // responds to every agent, so all jobs must be completed. Then an entry is killed: the other two both
    // find that its address refuses connections, and must fence it and serve its job ids.
    const trial = await Trial.begin()
    t.after(() => trial.end())
    const [id = ''] = await trial.idsOwnedBy(trial.entry(1), 1, 'outage')

    await trial.setStoreFaults({ outage })
    await trial.load({ ...LOAD, seed: 1, prefix: 'alive' })
    const job = trial.caller.addJob(newJob(id, { tasks: 8, run: 300 }))
    const first = trial.caller.send(job, trial.entry(1).callersUrl)
    await trial.waitUntilStarted(id, 2)
    await trial.fleet.killDaemon(trial.entry(1))
    const second = await trial.caller.send(job, trial.entry(2).callersUrl)
    await first
    await trial.setStoreFaults({ outage: Outage.None })
    await trial.waitUntilMembers(trial.entry(2), [trial.entry(2), trial.entry(3)])
    await trial.load({ ...LOAD, seconds: 1, seed: 2, prefix: 'after' })

    expect(answerKind(second)).toEqual('complete')
    const report = await trial.audit()
    expect(report.faults).toEqual([])
    expect(trial.notComplete()).toEqual([])
  })
}

const WRITE_FAULTS: ReadonlyArray<{ name: string, faults: Partial<KeyValueFaults> }> = [
  { name: 'the store is slow', faults: { readDelayMilliseconds: 600, writeDelayMilliseconds: 800 } },
  { name: 'the answers of view writes are cut off', faults: { loseAnswers: 2, loseAnswersBy: LostAnswerMode.Cut } },
  { name: 'the answers of view writes never come', faults: { loseAnswers: 2, loseAnswersBy: LostAnswerMode.Hang } }
]

for (const { name, faults } of WRITE_FAULTS) {
  test(`an entry is replaced while ${name}`, { timeout: TEST_TIMEOUT }, async t => {
    // An entry is killed under load and restarted. The writes that change the view take effect, but their
    // answers arrive late or never. No job may be lost, no task run twice, and the new entry must join.
    const trial = await Trial.begin()
    t.after(() => trial.end())
    await trial.setStoreFaults(faults)
    const load = trial.load({ ...LOAD, seed: 3, prefix: 'slow' })
    await trial.waitUntil('the load to run', () => trial.records.length >= 10)

    await trial.fleet.killDaemon(trial.entry(2))
    await trial.fleet.startDaemon(trial.entry(2))
    await load
    await trial.waitUntilMembers(trial.entry(1), trial.fleet.entries)
    await trial.waitUntilReady()

    const report = await trial.audit()
    expect(report.faults).toEqual([])
    expect(trial.notComplete()).toEqual([])
  })
}
