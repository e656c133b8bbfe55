/** Incarnations of a target: restarts under the same name, and late announcements. */
import { test } from 'node:test'
import { expect } from 'earl'
import { PollFailure } from '../src/agenttypes.ts'
import { AgentBench, NEW_ID_EACH_INCARNATION, order, TARGET, TIMINGS } from './agentbench.ts'

const NEW_INCARNATION = 'target-1/2'

/** Restarts the target under the same name: calls meant for the previous incarnation reach the new one. */
function restart (bench: AgentBench): void {
  bench.seen({ instance: NEW_INCARNATION })
  bench.pollFailed(PollFailure.OtherInstance)
}

test('a new incarnation is used once the current one no longer answers', () => {
  const bench = AgentBench.ready()
  bench.seen({ instance: NEW_INCARNATION })
  expect(bench.agent.status().target?.instance).toEqual(TARGET.instance)
  bench.pollFailed(PollFailure.OtherInstance)
  expect(bench.agent.status().target?.instance).toEqual(NEW_INCARNATION)
})

// A partition delays the heartbeat of an earlier incarnation that is unknown to this incarnation of the agent. Accepting it
// would end all tasks of the current one, which the entry would place elsewhere: they would run twice.
test('a late announcement of an unknown incarnation ends no task', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.take()
  bench.seen({ instance: 'target-0' })
  bench.polled([{ task: 'job.0.0', run: 1, percent: 10 }])
  expect(bench.ends()).toEqual([])
  expect(bench.agent.status().target?.instance).toEqual(TARGET.instance)
})

test('a late announcement of an ended incarnation is ignored', () => {
  const bench = AgentBench.ready()
  restart(bench)
  bench.take()
  bench.seen()
  expect(bench.effectsOfType('poll')).toEqual([])
  expect(bench.agent.status().target?.instance).toEqual(NEW_INCARNATION)
})

test('tasks that the previous incarnation has listed are gone with it', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.polled([{ task: 'job.0.0', run: 1, percent: 10 }])
  bench.take()
  restart(bench)
  expect(bench.ends()).toEqual(['job.0.0 gone targetLost'])
})

// The target restarts under the same name, and a start meant for the previous incarnation is accepted by the new one. If the
// task were reported as gone with the previous incarnation, it would be placed elsewhere while it runs here.
test('a start that may have reached the new incarnation is stopped there before it counts as gone', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.take()
  restart(bench)
  expect(bench.ends()).toEqual([])
  const [stop] = bench.effectsOfType('stop').filter(({ instance }) => instance === NEW_INCARNATION)
  expect(stop?.task).toEqual('job.0.0')
  bench.do({ type: 'stopAnswered', instance: NEW_INCARNATION, task: 'job.0.0', run: 1, answered: true })
  bench.now += 60
  bench.do({ type: 'tick' })
  bench.polled([], [], NEW_INCARNATION)
  expect(bench.ends()).toEqual(['job.0.0 gone unanswered'])
})

// The clock of the new incarnation starts anew, so the deadline of a start meant for the previous one lies far in the future
// there, and the new incarnation grants its longest lease.
test('a task that may run in the new incarnation expires only after the longest lease', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.take()
  bench.pollFailed(PollFailure.OtherInstance)
  bench.advance(TIMINGS.expiry + 100)
  expect(bench.ends()).toEqual([])
  bench.advance(TIMINGS.maxExpiry)
  expect(bench.ends()).toEqual(['job.0.0 gone lapsed'])
})

test('the new incarnation is called with a higher token', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  const [start] = bench.effectsOfType('start')
  restart(bench)
  bench.polled([], [], NEW_INCARNATION)
  const poll = bench.effectsOfType('poll').at(-1)
  expect(poll?.instance).toEqual(NEW_INCARNATION)
  expect((poll?.token ?? 0) > (start?.token ?? 0)).toEqual(true)
})

test('ends of the new incarnation are acknowledged by its own numbers', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.polled([], [{ number: 57, task: 'other', run: 1, end: 'done' as never }])
  restart(bench)
  expect(bench.effectsOfType('poll').at(-1)?.acknowledged).toEqual(0)
})

test('no task starts in the new incarnation before a poll has shown that it is clear', () => {
  const bench = AgentBench.ready()
  restart(bench)
  bench.take()
  bench.start([order('job.0.0')])
  expect(bench.ends()).toEqual(['job.0.0 notStarted noTarget'])
  bench.polled([], [], NEW_INCARNATION)
  bench.start([order('job.0.1')])
  expect(bench.effectsOfType('start').map(({ instance, task }) => [instance, task])).toEqual([[NEW_INCARNATION, 'job.0.1']])
})

test('a new incarnation is used when the current one does not respond until all tasks have expired', () => {
  const bench = AgentBench.ready({}, NEW_ID_EACH_INCARNATION)
  bench.run('job.0.0')
  bench.seen({ instance: NEW_INCARNATION })
  for (let elapsed = 0; elapsed < 800; elapsed += 50) {
    bench.pollFailed(PollFailure.NoResponse)
    bench.advance(50)
  }
  expect(bench.agent.status().target?.instance).toEqual(NEW_INCARNATION)
  expect(bench.ends()).toEqual(['job.0.0 gone lapsed'])
})

// All processes are killed and restart while the targets continue. Guards against agents that wait for the next heartbeat of
// their target, up to 1.5 s, so that the fleet comes back target by target.
test('a restarted agent offers the stored target as soon as it answers', () => {
  const bench = new AgentBench()
  bench.link()
  bench.do({ type: 'targetRemembered', facts: TARGET })
  bench.start([order('job.0.0')])
  expect(bench.ends()).toEqual(['job.0.0 notStarted noTarget'])
  bench.polled()
  bench.start([order('job.0.1')])
  expect(bench.effectsOfType('start').map(({ task }) => task)).toEqual(['job.0.1'])
})

test('a stored target that was replaced by a new incarnation is dropped, and the new one is offered after its heartbeat', () => {
  const bench = new AgentBench()
  bench.do({ type: 'targetRemembered', facts: TARGET })
  bench.pollFailed(PollFailure.OtherInstance)
  expect(bench.agent.status().target).toEqual(undefined)
  bench.seen({ instance: NEW_INCARNATION })
  bench.polled([], [], NEW_INCARNATION)
  expect(bench.agent.status()).toEqual(expect.subset({ cleared: true }))
})

test('an announcement of the target takes precedence over stored facts', () => {
  const bench = AgentBench.ready()
  bench.do({ type: 'targetRemembered', facts: { ...TARGET, instance: 'target-0' } })
  expect(bench.agent.status().target?.instance).toEqual(TARGET.instance)
})

test('a target is stored for the next incarnation of the agent once it is clear, and when it begins to leave', () => {
  const bench = new AgentBench()
  bench.seen()
  expect(bench.effectsOfType('rememberTarget')).toEqual([])
  bench.polled()
  bench.seen({ leaving: true })
  expect(bench.effectsOfType('rememberTarget').map(({ facts }) => facts.leaving)).toEqual([false, true])
})

// The worker is unreachable. Guards against a target that keeps receiving tasks, since it is empty, while its agent refuses each start.
test('an unresponsive target is withdrawn until it answers again', () => {
  const bench = AgentBench.ready()
  bench.advance(1000)
  bench.pollFailed(PollFailure.NoResponse)
  bench.advance(100)
  expect(bench.sent('announce')).toEqual([])
  bench.pollFailed(PollFailure.NoResponse)
  bench.advance(100)
  expect(bench.sent('announce').map(message => message.type === 'announce' && message.target?.leaving)).toEqual([true])
  bench.take()
  bench.polled()
  expect(bench.sent('announce').map(message => message.type === 'announce' && message.target?.leaving)).toEqual([false])
})
