/** Targets that depart, are followed by another life, or are found by no successor of their agent. */
import { test } from 'node:test'
import { expect } from 'earl'
import { PollFailure, RunEnd } from '../src/agenttypes.ts'
import { runSeed, Theme } from '../explore/faults.ts'
import { AgentBench, ENTRY, order, TARGET, TIMINGS } from './agentbench.ts'
import { EntryBench } from './entrybench.ts'

// The bound that holds for a silent agent does not hold for its successor: a task waited until the deadline of its job.
test('tasks of an earlier run of an agent are placed again once they must have lapsed, though its successor never finds the target', () => {
  const bench = EntryBench.withAgents('one', 'two')
  bench.submit('job', undefined, { remaining: 20_000 })
  const agent = bench.starts()[0]?.split(' ')[0] as string
  const other = agent === 'one' ? 'two' : 'one'
  bench.take()
  bench.do({ type: 'agentUnlinked', agent })
  bench.link(agent, { incarnation: 'b', target: false })
  bench.pass(10 * TIMINGS.silence, [agent, other])
  expect(bench.starts().map(start => start.split(' ')[0])).toEqual([other])
})

// After its last task has been listed as ended, nothing looks at the deregistration again: it is polled for ever.
test('a target that has deregistered is dropped when its last task has ended and it does not answer any more', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.do({ type: 'targetLeft', instance: TARGET.instance })
  bench.polled([], [{ number: 1, task: 'job.0.0', run: 1, end: RunEnd.Done }])
  bench.pass(1000)
  for (let passed = 0; passed < 10 * TIMINGS.maxExpiry; passed += 50) {
    bench.pass(50)
    if (bench.agent.status().target !== undefined) bench.pollFailed(PollFailure.Silent)
  }
  expect(bench.agent.status().target).toEqual(undefined)
})

// An entry counts the lease of the present life, the agent the longest one: the entry ends the task while the agent holds it.
test('a task that may have reached the next life is not ended by its entry before the agent ends it', () => {
  const bench = AgentBench.ready()
  bench.echo()
  const echoed = bench.now
  bench.now += TIMINGS.contact - 1
  bench.polled()
  bench.start([order('job.0.0')])
  bench.do({ type: 'entryUnlinked', entry: ENTRY })
  bench.pollFailed(PollFailure.OtherInstance)
  bench.pass(echoed + TIMINGS.silence - bench.now)
  expect(bench.agent.status().tasks).toEqual(0)
})

// A life that has said that it ends counted as crashed when the next one was there before the lease had lapsed.
test('a target that has deregistered and is followed by another life has not crashed under its tasks', () => {
  const bench = AgentBench.ready({ policy: { isolatesSuspects: true } })
  bench.run('job.0.0')
  bench.polled([{ task: 'job.0.0', run: 1, percent: 5 }])
  bench.take()
  bench.do({ type: 'targetLeft', instance: TARGET.instance })
  bench.pass(50)
  bench.pollFailed(PollFailure.OtherInstance)
  expect(bench.sent('crashes')).toEqual([])
  expect(bench.ends()).toEqual(['job.0.0 gone targetLost'])
})

// A poll with a deadline of the old clock reaches the next life of the same id, which grants the longest lease for all that runs there.
test('a task in the next life of a target ends by its lease no sooner than a poll meant for the life before may have let it run', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.polled([{ task: 'job.0.0', run: 1, percent: 5 }])
  bench.now += 5
  bench.do({ type: 'tick' })
  const [renewal] = bench.of('poll').slice(-1)
  expect(renewal?.deadline !== undefined).toEqual(true)
  const sent = renewal?.sent as number
  bench.pollFailed(PollFailure.OtherInstance)
  bench.do({ type: 'targetSeen', facts: { ...TARGET, instance: 'target-2' }, sequence: 1, clock: 3 })
  bench.do({ type: 'polled', instance: 'target-2', sent: bench.now, clock: 4, running: [], ended: [] })
  bench.echo()
  bench.take()
  bench.start([order('next.0.0')])
  expect(bench.of('start').length).toEqual(1)
  bench.pass(sent + TIMINGS.maxExpiry - 20 - bench.now)
  expect(bench.ends()).toEqual([])
})

/** Seeds of the fault `nextLifeUnstopped` alone, with their causes. */
const SEEDS = [
  // A renewal meant for the life before let the tasks of the next life run on; the agent had counted its own lease only.
  9042, 9040,
  // The agent held the run for the longest lease, and its caller came back before that had lapsed.
  9149, 9116
]

for (const seed of SEEDS) {
  test(`seed ${seed} of orders that reach the next life of a target starts nothing twice`, () => {
    expect(runSeed(seed, Theme.Lateness, { only: 'nextLifeUnstopped' }).violation).toEqual(undefined)
  })
}
