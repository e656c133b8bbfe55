/** When runs count as ended although the target has not listed their ends, and how long the lease is renewed for them. */
import { test } from 'node:test'
import { expect } from 'earl'
import { PollFailure, RunEnd, StartAnswer } from '../src/agenttypes.ts'
import { AgentBench, BOUNDS, ENTRY, NEW_ID_EACH_INCARNATION, order, TARGET, TIMINGS } from './agentbench.ts'
import { CLOCK_RATE_MARGIN } from '../src/defaults.ts'

const OTHER_ENTRY = 'entry-2#a'

/** Intervals at which an agent runs, in milliseconds: on time and late. */
const INTERVALS = [10, 150, 300, 600]

/** Time until which the target may run its tasks: the lease, on the slowest clock that the platform allows, and the time of a stop. */
function mayRunUntil (bench: AgentBench, deadline: number): number {
  return bench.now + (deadline - bench.now) * (1 + CLOCK_RATE_MARGIN) + BOUNDS.stop
}

/** Latest such time over all deadlines that the agent has sent since the last call. */
function lastMayRunUntil (bench: AgentBench): number {
  const deadlines = bench.take().flatMap(effect => (effect.type === 'poll' || effect.type === 'start') && effect.deadline !== undefined ? [effect.deadline] : [])
  return Math.max(-Infinity, ...deadlines.map(deadline => mayRunUntil(bench, deadline)))
}

/**
 * Runs an agent every `interval` milliseconds for five seconds. Its polls are answered and list `task`, its stops are not answered.
 *
 * @param before called before each round
 * @returns time until which the target may run the task
 */
function runAgent (bench: AgentBench, interval: number, task: string, before = () => {}): number {
  let runsUntil = -Infinity
  for (let passed = 0; passed < 5000; passed += interval) {
    bench.now += interval
    before()
    bench.do({ type: 'tick' })
    for (const { run } of bench.effectsOfType('stop')) bench.do({ type: 'stopAnswered', instance: TARGET.instance, task, run, answered: false })
    bench.polled([{ task, run: 1, percent: 5 }])
    runsUntil = Math.max(runsUntil, lastMayRunUntil(bench))
  }
  return runsUntil
}

test('a connection that the target refuses does not prove that its tasks are gone', () => {
  const bench = AgentBench.ready({}, NEW_ID_EACH_INCARNATION)
  bench.run('job.0.0')
  bench.pollFailed(PollFailure.NoListener)
  expect(bench.ends()).toEqual([])
  expect(bench.agent.status().target?.instance).toEqual(TARGET.instance)
  bench.advance(TIMINGS.expiry)
  expect(bench.ends()).toEqual(['job.0.0 gone lapsed'])
  expect(bench.agent.status().target).toEqual(undefined)
})

test('tasks at a target that refuses connections count as running until their lease has expired', () => {
  const bench = AgentBench.ready({}, NEW_ID_EACH_INCARNATION)
  bench.run('job.0.0')
  bench.pollFailed(PollFailure.NoListener)
  bench.take()
  bench.advance(TIMINGS.expiry - 50)
  expect(bench.ends()).toEqual([])
  expect(bench.effectsOfType('poll').every(({ deadline }) => deadline === undefined)).toEqual(true)
  bench.advance(100)
  expect(bench.ends()).toEqual(['job.0.0 gone lapsed'])
})

test('a target that refuses connections is withdrawn at once', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.take()
  bench.pollFailed(PollFailure.NoListener)
  bench.advance(50)
  const [announcement] = bench.sent('announce').slice(-1)
  expect(announcement?.type === 'announce' && announcement.target?.leaving).toEqual(true)
})

test('a target that accepts connections again before the lease has expired keeps its tasks', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.pollFailed(PollFailure.NoListener)
  bench.advance(200)
  bench.echo()
  bench.take()
  bench.polled([{ task: 'job.0.0', run: 1, percent: 40 }])
  bench.polled([], [{ number: 1, task: 'job.0.0', run: 1, end: RunEnd.Done }])
  expect(bench.ends()).toEqual(['job.0.0 done'])
})

test('a start whose connection is refused has not begun, and other tasks continue', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.start([order('job.0.1')])
  bench.startAnswered('job.0.1', StartAnswer.NoListener)
  expect(bench.ends()).toEqual(['job.0.1 notStarted unreachable'])
})

test('tasks at a deregistered target count as running until their lease has expired, whether it does not respond or refuses connections', () => {
  for (const failure of [PollFailure.NoListener, PollFailure.NoResponse]) {
    const bench = AgentBench.ready({}, NEW_ID_EACH_INCARNATION)
    bench.run('job.0.0')
    bench.take()
    bench.do({ type: 'targetLeft', instance: TARGET.instance })
    bench.pollFailed(failure)
    bench.advance(TIMINGS.expiry - 50)
    expect(bench.ends()).toEqual([])
    bench.advance(100)
    expect(bench.ends()).toEqual(['job.0.0 gone lapsed'])
  }
})

test('a deregistered target takes no new task and lists the ends of its tasks', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.take()
  bench.do({ type: 'targetLeft', instance: TARGET.instance })
  bench.start([order('job.0.1')])
  bench.polled([], [{ number: 1, task: 'job.0.0', run: 1, end: RunEnd.Done }])
  expect(bench.ends()).toEqual(['job.0.1 notStarted leaving', 'job.0.0 done'])
})

test('an agent that runs late keeps no task of a lost entry running until the resubmission, although stops are not answered', () => {
  for (const interval of INTERVALS) {
    const bench = AgentBench.ready()
    bench.run('job.0.0')
    bench.echo()
    const echoed = bench.now
    bench.take()
    expect(runAgent(bench, interval, 'job.0.0')).toBeLessThanOrEqual(echoed + BOUNDS.resubmission)
  }
})

test('an agent that runs late keeps no stopped task running until the resubmission, although the entry continues to echo', () => {
  for (const interval of INTERVALS) {
    const bench = AgentBench.ready()
    bench.run('job.0.0')
    bench.echo()
    const stopped = bench.now
    bench.do({ type: 'entryMessage', entry: ENTRY, message: { type: 'stop', tasks: [{ task: 'job.0.0', attempt: 1 }] } })
    bench.take()
    expect(runAgent(bench, interval, 'job.0.0', () => bench.echo())).toBeLessThanOrEqual(stopped + BOUNDS.resubmission)
  }
})

test('a start for one entry does not extend the lease of tasks whose entry is out of contact', () => {
  const bench = AgentBench.ready()
  bench.link(OTHER_ENTRY)
  bench.run('job.0.0')
  bench.advance(TIMINGS.contact - 50)
  bench.echo(bench.now, OTHER_ENTRY)
  bench.take()
  bench.polled([{ task: 'job.0.0', run: 1, percent: 5 }])
  const [renewal] = bench.effectsOfType('poll')
  bench.advance(100)
  bench.start([order('other.0.0')], OTHER_ENTRY)
  expect(bench.effectsOfType('start').map(({ deadline }) => deadline)).toEqual([renewal?.deadline as number])
})

test('no task starts under a lease that may not be renewed and is about to expire', () => {
  const bench = AgentBench.ready()
  bench.link(OTHER_ENTRY)
  bench.run('job.0.0')
  bench.advance(TIMINGS.contact - 50)
  bench.echo(bench.now, OTHER_ENTRY)
  bench.polled([{ task: 'job.0.0', run: 1, percent: 5 }])
  bench.advance(450)
  bench.echo(bench.now, OTHER_ENTRY)
  bench.take()
  bench.start([order('other.0.0')], OTHER_ENTRY)
  expect(bench.effectsOfType('start')).toEqual([])
  expect(bench.ends()).toEqual(['other.0.0 notStarted unreachable'])
})
