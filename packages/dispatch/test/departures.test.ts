/** Targets that depart, restart, or are not found by a new incarnation of their agent. */
import { test } from 'node:test'
import { expect } from 'earl'
import { PollFailure, RunEnd } from '../src/agenttypes.ts'
import { runSeed, Theme } from '../explore/faults.ts'
import { AgentBench, ENTRY, order, TARGET, TIMINGS } from './agentbench.ts'
import { EntryBench } from './entrybench.ts'

// Guards against a task that waits until the deadline of its job because the time limit for an unresponsive agent is not applied to
// its new incarnation.
test('tasks of an earlier incarnation of an agent are placed again once they have certainly expired, although the new one never finds the target', () => {
  const bench = EntryBench.withAgents('one', 'two')
  bench.submit('job', undefined, { remaining: 20_000 })
  const agent = bench.starts()[0]?.split(' ')[0] as string
  const other = agent === 'one' ? 'two' : 'one'
  bench.take()
  bench.do({ type: 'agentUnlinked', agent })
  bench.link(agent, { incarnation: 'b', target: false })
  bench.advance(10 * TIMINGS.silence, [agent, other])
  expect(bench.starts().map(start => start.split(' ')[0])).toEqual([other])
})

// Guards against a deregistration that is not checked again after the end of the last task: the target is then polled for ever.
test('a deregistered target is dropped when its last task has ended and it no longer answers', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.do({ type: 'targetLeft', instance: TARGET.instance })
  bench.polled([], [{ number: 1, task: 'job.0.0', run: 1, end: RunEnd.Done }])
  bench.advance(1000)
  for (let passed = 0; passed < 10 * TIMINGS.maxExpiry; passed += 50) {
    bench.advance(50)
    if (bench.agent.status().target !== undefined) bench.pollFailed(PollFailure.NoResponse)
  }
  expect(bench.agent.status().target).toEqual(undefined)
})

// Guards against an entry that applies the lease of the current incarnation while the agent applies the longest one: the entry would
// end a task that the agent still holds.
test('a task that may have reached a new incarnation is not ended by its entry before its agent ends it', () => {
  const bench = AgentBench.ready()
  bench.echo()
  const echoed = bench.now
  bench.now += TIMINGS.contact - 1
  bench.polled()
  bench.start([order('job.0.0')])
  bench.do({ type: 'entryUnlinked', entry: ENTRY })
  bench.pollFailed(PollFailure.OtherInstance)
  bench.advance(echoed + TIMINGS.silence - bench.now)
  expect(bench.agent.status().tasks).toEqual(0)
})

// Guards against counting a deregistered incarnation as crashed when the new one announces itself before the lease has expired.
test('a target that has deregistered and restarted does not count as crashed', () => {
  const bench = AgentBench.ready({ policy: { isolatesSuspects: true } })
  bench.run('job.0.0')
  bench.polled([{ task: 'job.0.0', run: 1, percent: 5 }])
  bench.take()
  bench.do({ type: 'targetLeft', instance: TARGET.instance })
  bench.advance(50)
  bench.pollFailed(PollFailure.OtherInstance)
  expect(bench.sent('crashes')).toEqual([])
  expect(bench.ends()).toEqual(['job.0.0 gone targetLost'])
})

// A poll with a deadline on the old clock reaches a new incarnation with the same id, which grants all its tasks the longest lease.
test('a task in a new incarnation does not expire before the lease that a poll for the previous one may have granted it', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.polled([{ task: 'job.0.0', run: 1, percent: 5 }])
  bench.now += 5
  bench.do({ type: 'tick' })
  const [renewal] = bench.effectsOfType('poll').slice(-1)
  expect(renewal?.deadline !== undefined).toEqual(true)
  const sent = renewal?.sent as number
  bench.pollFailed(PollFailure.OtherInstance)
  bench.do({ type: 'targetSeen', facts: { ...TARGET, instance: 'target-2' }, sequence: 1, clock: 3 })
  bench.do({ type: 'polled', instance: 'target-2', sent: bench.now, clock: 4, running: [], ended: [] })
  bench.echo()
  bench.take()
  bench.start([order('next.0.0')])
  expect(bench.effectsOfType('start').length).toEqual(1)
  bench.advance(sent + TIMINGS.maxExpiry - 20 - bench.now)
  expect(bench.ends()).toEqual([])
})

/** Seeds of failures with only the fault `nextLifeUnstopped`, with their causes. */
const SEEDS = [
  // A renewal for the previous incarnation extended the tasks of the new one, while the agent counted only its own lease.
  9042, 9040,
  // The agent counted the run for the longest lease, and its caller submitted the job again before that lease had expired.
  9149, 9116
]

for (const seed of SEEDS) {
  test(`seed ${seed} of orders that reach a new incarnation of a target starts no task twice`, () => {
    expect(runSeed(seed, Theme.Lateness, { only: 'nextLifeUnstopped' }).violation).toEqual(undefined)
  })
}
