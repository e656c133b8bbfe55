/** Orders that the next life of a target may take, which has the name of the one before and grants its longest lease. */
import { test } from 'node:test'
import { expect } from 'earl'
import { faultNames, runSeed, findFirst, Theme } from '../explore/faults.ts'
import { PollFailure } from '../src/agenttypes.ts'
import { AgentBench, ENTRY, NEW_ID_EACH_LIFE, order, TIMINGS } from './agentbench.ts'

const OTHER = 'entry-2#a'

function startsIn (bench: AgentBench): string[] {
  return bench.of('start').map(({ task }) => task)
}

// Guards against a caller that is back while the next life runs its task: the contact outlasted what is left of its pause.
test('a start waits for an echo when its contact is older than the longest lease allows', () => {
  const bench = AgentBench.ready()
  bench.now += TIMINGS.freshContact
  bench.start([order('job.0.0')])
  expect(startsIn(bench)).toEqual([])
  expect(bench.sent('ping').length).toEqual(1)
  bench.echo()
  expect(startsIn(bench)).toEqual(['job.0.0'])
})

test('what a next life may run ends before the caller of a dead entry is back', () => {
  expect(TIMINGS.freshContact + TIMINGS.longestLapse).toBeLessThanOrEqual(TIMINGS.silence)
})

test('a target that turns down calls meant for other lives gets starts as long as the contact stands', () => {
  const bench = AgentBench.ready({}, NEW_ID_EACH_LIFE)
  bench.now += TIMINGS.contact - 1
  bench.polled()
  bench.start([order('job.0.0')])
  expect(startsIn(bench)).toEqual(['job.0.0'])
})

// Guards against a start for one entry that prolongs, in the next life, the task of another which has died.
test('no deadline is sent while a task that the next life may have taken is out of fresh contact', () => {
  const bench = AgentBench.ready()
  bench.link(OTHER)
  bench.run('job.0.0')
  bench.now += TIMINGS.freshContact
  bench.echo(bench.now, OTHER)
  bench.take()
  bench.start([order('other.0.0')], OTHER)
  expect(startsIn(bench)).toEqual([])
  expect(bench.ends()).toEqual(['other.0.0 notStarted unreachable'])
  bench.polled([{ task: 'job.0.0', run: 1, percent: 5 }])
  bench.start([order('next.0.0')], OTHER)
  expect(startsIn(bench)).toEqual(['next.0.0'])
})

test('a task that the present life has listed is renewed as long as its entry is in contact', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.polled([{ task: 'job.0.0', run: 1, percent: 5 }])
  bench.now += TIMINGS.contact - 1
  bench.take()
  bench.polled([{ task: 'job.0.0', run: 1, percent: 5 }])
  expect(bench.of('poll').map(({ deadline }) => deadline !== undefined)).toEqual([true])
})

// Guards against an end by the lease of the present life while the next one runs the task under its longest lease.
test('a task that the next life may have taken has lapsed only with the longest lease', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.pollFailed(PollFailure.Silent)
  bench.pass(TIMINGS.longestLapse - 50)
  expect(bench.ends()).toEqual([])
  bench.pass(100)
  expect(bench.ends()).toEqual(['job.0.0 gone lapsed'])
})

test('a start under what is left of a lease counts for the longest lease from when it was sent', () => {
  const bench = AgentBench.ready()
  const listed = [{ task: 'first.0.0', run: 1, percent: 5 }]
  bench.link(OTHER)
  bench.run('first.0.0')
  bench.polled(listed)
  bench.now += TIMINGS.contact - 200
  bench.polled(listed)
  bench.now += 250
  bench.echo(bench.now, OTHER)
  bench.start([order('second.0.0')], OTHER)
  expect(startsIn(bench).at(-1)).toEqual('second.0.0')
  bench.pollFailed(PollFailure.Silent)
  bench.pass(TIMINGS.longestLapse - 50)
  expect(bench.ends().includes('second.0.0 gone lapsed')).toEqual(false)
  bench.pass(100)
  expect(bench.ends().includes('second.0.0 gone lapsed')).toEqual(true)
})

test('a task that the present life has listed lapses with its lease', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.polled([{ task: 'job.0.0', run: 1, percent: 5 }])
  bench.pollFailed(PollFailure.Silent)
  bench.pass(TIMINGS.lapse)
  expect(bench.ends()).toEqual(['job.0.0 gone lapsed'])
})

// Guards against a run that counts as over and goes on: the renewals of the tasks beside it kept it for 400 ms more.
test('the lease is not renewed while a run is listed that nobody asked for', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.take()
  bench.polled([{ task: 'job.0.0', run: 1, percent: 5 }, { task: 'stray.0.0', run: 1, percent: 5 }])
  expect(bench.of('poll').map(({ deadline }) => deadline)).toEqual([undefined])
  bench.take()
  bench.polled([{ task: 'job.0.0', run: 1, percent: 5 }])
  expect(bench.of('poll').map(({ deadline }) => deadline !== undefined)).toEqual([true])
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
  expect(startsIn(bench)).toEqual([])
})

/** Seeds of orders that reach the next life, with their causes. */
const SEEDS = [
  // A start under what was left of the lease, and an end by the lease of the life before: 705 ms beside each other.
  9190,
  // Renewals for the tasks of the next life prolonged a run that counted as lapsed.
  9233, 9117
]

for (const seed of SEEDS) {
  test(`seed ${seed} of orders that reach the next life of a target starts nothing twice`, () => {
    expect(runSeed(seed, Theme.Lateness, { only: 'nextLifeUnstopped' }).violation).toEqual(undefined)
  })
}

test('orders that reach the next life of a target start nothing twice on fresh seeds', () => {
  expect(findFirst(30_000, 60, Theme.Lateness, { only: 'nextLifeUnstopped' })).toEqual(undefined)
})

test('faults that are played by name only are named like the others', () => {
  expect(faultNames(Theme.Lateness).includes('nextLifeUnstopped')).toEqual(true)
})
