/** When runs at a target count as ended though it has not listed their ends, and how long the lease is renewed for them. */
import { test } from 'node:test'
import { expect } from 'earl'
import { AgentBench, BOUNDS, ENTRY, order, TARGET, TIMINGS } from './agentbench.ts'
import { CLOCK_RATE_MARGIN } from '../src/defaults.ts'

const OTHER_ENTRY = 'entry-2#a'

/** How often an agent is served, in milliseconds: on time, and late. */
const INTERVALS = [10, 150, 300, 600]

/** Instant up to which the target holds its tasks, on a clock that is as slow as the platform allows: their lease, and the time of a stop. */
function heldUntil (bench: AgentBench, deadline: number): number {
  return bench.now + (deadline - bench.now) * (1 + CLOCK_RATE_MARGIN) + BOUNDS.stop
}

/** Latest such instant of all that the agent has sent since the last call. */
function lastHeldUntil (bench: AgentBench): number {
  const deadlines = bench.take().flatMap(effect => (effect.type === 'poll' || effect.type === 'start') && effect.deadline !== undefined ? [effect.deadline] : [])
  return Math.max(-Infinity, ...deadlines.map(deadline => heldUntil(bench, deadline)))
}

/**
 * Serves an agent each `interval` milliseconds for some seconds: its polls are answered and list `task`, its stops are not answered.
 *
 * @param before what reaches it each time before that
 * @returns until when the target held the task
 */
function serve (bench: AgentBench, interval: number, task: string, before = () => {}): number {
  let held = -Infinity
  for (let passed = 0; passed < 5000; passed += interval) {
    bench.now += interval
    before()
    bench.do({ type: 'tick' })
    for (const { run } of bench.of('stop')) bench.do({ type: 'stopAnswered', instance: TARGET.instance, task, run, answered: false })
    bench.polled([{ task, run: 1, percent: 5 }])
    held = Math.max(held, lastHeldUntil(bench))
  }
  return held
}

test('an agent that is late holds no task of a lost entry until its caller is back, though stops are not answered', () => {
  for (const interval of INTERVALS) {
    const bench = AgentBench.ready()
    bench.run('job.0.0')
    bench.echo()
    const echoed = bench.now
    bench.take()
    expect(serve(bench, interval, 'job.0.0')).toBeLessThanOrEqual(echoed + BOUNDS.resubmission)
  }
})

test('an agent that is late holds no task that it was told to stop until its caller is back, though the entry echoes on', () => {
  for (const interval of INTERVALS) {
    const bench = AgentBench.ready()
    bench.run('job.0.0')
    bench.echo()
    const stopped = bench.now
    bench.do({ type: 'entryMessage', entry: ENTRY, message: { type: 'stop', tasks: [{ task: 'job.0.0', attempt: 1 }] } })
    bench.take()
    expect(serve(bench, interval, 'job.0.0', () => bench.echo())).toBeLessThanOrEqual(stopped + BOUNDS.resubmission)
  }
})

test('a start for one entry does not prolong the lease of tasks whose entry is out of contact', () => {
  const bench = AgentBench.ready()
  bench.link(OTHER_ENTRY)
  bench.run('job.0.0')
  bench.pass(TIMINGS.contact - 50)
  bench.echo(bench.now, OTHER_ENTRY)
  bench.polled([{ task: 'job.0.0', run: 1, percent: 5 }])
  bench.pass(100)
  bench.take()
  bench.start([order('other.0.0')], OTHER_ENTRY)
  expect(bench.of('start')).toEqual([])
  expect(bench.ends()).toEqual(['other.0.0 notStarted unreachable'])
})
