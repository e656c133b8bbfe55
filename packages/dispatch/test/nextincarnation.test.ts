/** Orders that may reach a new incarnation of a target, which has the name of the previous one and grants its longest lease. */
import { test } from 'node:test'
import { expect } from 'earl'
import { faultNames, runSeed, findFirst, Theme } from '../explore/faults.ts'
import { PollFailure } from '../src/agenttypes.ts'
import { AgentBench, ENTRY, NEW_ID_EACH_INCARNATION, order, TIMINGS } from './agentbench.ts'

const OTHER_ENTRY = 'entry-2#a'

function startedTasks (bench: AgentBench): string[] {
  return bench.effectsOfType('start').map(({ task }) => task)
}

// Guards against a caller that submits a job again while the new incarnation runs its task: without this, contact lasts longer
// than the time until the resubmission minus the longest lease.
test('a start waits for an echo when its contact is older than the longest lease allows', () => {
  const bench = AgentBench.ready()
  bench.now += TIMINGS.freshContact
  bench.start([order('job.0.0')])
  expect(startedTasks(bench)).toEqual([])
  expect(bench.sent('ping').length).toEqual(1)
  bench.echo()
  expect(startedTasks(bench)).toEqual(['job.0.0'])
})

test('a task in a new incarnation ends before the caller of a dead entry submits the job again', () => {
  expect(TIMINGS.freshContact + TIMINGS.maxExpiry).toBeLessThanOrEqual(TIMINGS.silence)
})

test('a target that rejects calls meant for other incarnations gets starts as long as contact lasts', () => {
  const bench = AgentBench.ready({}, NEW_ID_EACH_INCARNATION)
  bench.now += TIMINGS.contact - 1
  bench.polled()
  bench.start([order('job.0.0')])
  expect(startedTasks(bench)).toEqual(['job.0.0'])
})

// Guards against a start for one entry that extends, in the new incarnation, the task of another entry that is dead.
test('no deadline is sent while a task that may have reached a new incarnation is without fresh contact', () => {
  const bench = AgentBench.ready()
  bench.link(OTHER_ENTRY)
  bench.run('job.0.0')
  bench.now += TIMINGS.freshContact
  bench.echo(bench.now, OTHER_ENTRY)
  bench.take()
  bench.start([order('other.0.0')], OTHER_ENTRY)
  expect(startedTasks(bench)).toEqual([])
  expect(bench.ends()).toEqual(['other.0.0 notStarted unreachable'])
  bench.polled([{ task: 'job.0.0', run: 1, percent: 5 }])
  bench.start([order('next.0.0')], OTHER_ENTRY)
  expect(startedTasks(bench)).toEqual(['next.0.0'])
})

test('the lease of a task that the current incarnation has listed is renewed as long as its entry is in contact', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.polled([{ task: 'job.0.0', run: 1, percent: 5 }])
  bench.now += TIMINGS.contact - 1
  bench.take()
  bench.polled([{ task: 'job.0.0', run: 1, percent: 5 }])
  expect(bench.effectsOfType('poll').map(({ deadline }) => deadline !== undefined)).toEqual([true])
})

// Guards against ending a task by the lease of the current incarnation while the new one runs it under its longest lease.
test('a task that may have reached a new incarnation expires only with the longest lease', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.pollFailed(PollFailure.NoResponse)
  bench.advance(TIMINGS.maxExpiry - 50)
  expect(bench.ends()).toEqual([])
  bench.advance(100)
  expect(bench.ends()).toEqual(['job.0.0 gone lapsed'])
})

test('a start under the rest of a lease counts for the longest lease from the time it was sent', () => {
  const bench = AgentBench.ready()
  const listed = [{ task: 'first.0.0', run: 1, percent: 5 }]
  bench.link(OTHER_ENTRY)
  bench.run('first.0.0')
  bench.polled(listed)
  bench.now += TIMINGS.contact - 200
  bench.polled(listed)
  bench.now += 250
  bench.echo(bench.now, OTHER_ENTRY)
  bench.start([order('second.0.0')], OTHER_ENTRY)
  expect(startedTasks(bench).at(-1)).toEqual('second.0.0')
  bench.pollFailed(PollFailure.NoResponse)
  bench.advance(TIMINGS.maxExpiry - 50)
  expect(bench.ends().includes('second.0.0 gone lapsed')).toEqual(false)
  bench.advance(100)
  expect(bench.ends().includes('second.0.0 gone lapsed')).toEqual(true)
})

test('a task that the current incarnation has listed expires with its lease', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.polled([{ task: 'job.0.0', run: 1, percent: 5 }])
  bench.pollFailed(PollFailure.NoResponse)
  bench.advance(TIMINGS.expiry)
  expect(bench.ends()).toEqual(['job.0.0 gone lapsed'])
})

// Guards against a run that counts as ended but continues: renewals for the other tasks kept one alive for another 400 ms.
test('the lease is not renewed while an orphaned run is listed', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.take()
  bench.polled([{ task: 'job.0.0', run: 1, percent: 5 }, { task: 'stray.0.0', run: 1, percent: 5 }])
  expect(bench.effectsOfType('poll').map(({ deadline }) => deadline)).toEqual([undefined])
  bench.take()
  bench.polled([{ task: 'job.0.0', run: 1, percent: 5 }])
  expect(bench.effectsOfType('poll').map(({ deadline }) => deadline !== undefined)).toEqual([true])
})

test('a start without a target is refused at once, however old the contact', () => {
  const bench = new AgentBench()
  bench.link()
  bench.now += TIMINGS.contact - 1
  bench.start([order('job.0.0')])
  expect(bench.ends()).toEqual(['job.0.0 notStarted noTarget'])
})

test('a start that waits for an echo ends with its link', () => {
  const bench = AgentBench.ready()
  bench.now += TIMINGS.freshContact
  bench.start([order('job.0.0')])
  bench.do({ type: 'entryUnlinked', entry: ENTRY })
  bench.link()
  expect(startedTasks(bench)).toEqual([])
})

/** Seeds of failures with orders that reach a new incarnation, with their causes. */
const SEEDS = [
  // A start under the rest of the lease, and an end by the lease of the previous incarnation: two runs overlapped for 705 ms.
  9190,
  // Renewals for the tasks of the new incarnation extended a run that counted as expired.
  9233, 9117
]

for (const seed of SEEDS) {
  test(`seed ${seed} of orders that reach a new incarnation of a target starts no task twice`, () => {
    expect(runSeed(seed, Theme.Lateness, { only: 'nextLifeUnstopped' }).violation).toEqual(undefined)
  })
}

test('orders that reach a new incarnation of a target start no task twice on fresh seeds', () => {
  expect(findFirst(30_000, 60, Theme.Lateness, { only: 'nextLifeUnstopped' })).toEqual(undefined)
})

test('faults that are injected only by name are listed with the others', () => {
  expect(faultNames(Theme.Lateness).includes('nextLifeUnstopped')).toEqual(true)
})
