/** Lives of a target: one that starts again under its name, and announcements that come late. */
import { test } from 'node:test'
import { expect } from 'earl'
import { PollFailure } from '../src/agenttypes.ts'
import { AgentBench, NEW_ID_EACH_LIFE, order, TARGET, TIMINGS } from './agentbench.ts'

const NEXT = 'target-1/2'

/** The target has started again under its name: calls meant for the life before reach the next one. */
function replaced (bench: AgentBench): void {
  bench.seen({ instance: NEXT })
  bench.pollFailed(PollFailure.OtherInstance)
}

test('another life is gone by once the known one answers no more', () => {
  const bench = AgentBench.ready()
  bench.seen({ instance: NEXT })
  expect(bench.agent.status().target?.instance).toEqual(TARGET.instance)
  bench.pollFailed(PollFailure.OtherInstance)
  expect(bench.agent.status().target?.instance).toEqual(NEXT)
})

// A partition holds the heartbeat of an earlier life up, which this run of the agent has never heard of. Believed, it ended
// all that runs at the present one; the entry placed it elsewhere, and it ran twice.
test('a late announcement of an unknown life ends nothing', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.take()
  bench.seen({ instance: 'target-0' })
  bench.polled([{ task: 'job.0.0', run: 1, percent: 10 }])
  expect(bench.ends()).toEqual([])
  expect(bench.agent.status().target?.instance).toEqual(TARGET.instance)
})

test('a late announcement of a life that is over does not bring it back', () => {
  const bench = AgentBench.ready()
  replaced(bench)
  bench.take()
  bench.seen()
  expect(bench.of('poll')).toEqual([])
  expect(bench.agent.status().target?.instance).toEqual(NEXT)
})

test('what the life before was seen to run is gone with it', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.polled([{ task: 'job.0.0', run: 1, percent: 10 }])
  bench.take()
  replaced(bench)
  expect(bench.ends()).toEqual(['job.0.0 gone targetLost'])
})

// The target starts again under its name, and a start meant for the life before reaches the next one, which accepts it. Told
// as gone with its life, the task was placed elsewhere while it ran here.
test('a start that may have reached the next life is stopped there before it counts as gone', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.take()
  replaced(bench)
  expect(bench.ends()).toEqual([])
  const [stop] = bench.of('stop').filter(({ instance }) => instance === NEXT)
  expect(stop?.task).toEqual('job.0.0')
  bench.do({ type: 'stopAnswered', instance: NEXT, task: 'job.0.0', run: 1, answered: true })
  bench.now += 60
  bench.do({ type: 'tick' })
  bench.polled([], [], NEXT)
  expect(bench.ends()).toEqual(['job.0.0 gone unanswered'])
})

// Its clock has started anew, so that the deadline of a start meant for the life before lies far ahead there: it grants its
// longest lease.
test('what may run in the next life counts as lapsed only after the longest lease', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.take()
  bench.pollFailed(PollFailure.OtherInstance)
  bench.pass(TIMINGS.lapse + 100)
  expect(bench.ends()).toEqual([])
  bench.pass(TIMINGS.longestLapse)
  expect(bench.ends()).toEqual(['job.0.0 gone lapsed'])
})

test('the next life is used under a higher token', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  const [start] = bench.of('start')
  replaced(bench)
  bench.polled([], [], NEXT)
  const poll = bench.of('poll').at(-1)
  expect(poll?.instance).toEqual(NEXT)
  expect((poll?.token ?? 0) > (start?.token ?? 0)).toEqual(true)
})

test('ends of the next life are acknowledged by its own numbers', () => {
  const bench = AgentBench.ready()
  bench.run('job.0.0')
  bench.polled([], [{ number: 57, task: 'other', run: 1, end: 'done' as never }])
  replaced(bench)
  expect(bench.of('poll').at(-1)?.acknowledged).toEqual(0)
})

test('nothing starts in the next life before a poll has shown it clear', () => {
  const bench = AgentBench.ready()
  replaced(bench)
  bench.take()
  bench.start([order('job.0.0')])
  expect(bench.ends()).toEqual(['job.0.0 notStarted noTarget'])
  bench.polled([], [], NEXT)
  bench.start([order('job.0.1')])
  expect(bench.of('start').map(({ instance, task }) => [instance, task])).toEqual([[NEXT, 'job.0.1']])
})

test('another life is gone by when the known one is silent until all has lapsed', () => {
  const bench = AgentBench.ready({}, NEW_ID_EACH_LIFE)
  bench.run('job.0.0')
  bench.seen({ instance: NEXT })
  for (let elapsed = 0; elapsed < 800; elapsed += 50) {
    bench.pollFailed(PollFailure.Silent)
    bench.pass(50)
  }
  expect(bench.agent.status().target?.instance).toEqual(NEXT)
  expect(bench.ends()).toEqual(['job.0.0 gone lapsed'])
})

// All processes are killed and start again while the targets run on. Each agent waited for the next heartbeat of its own, up to
// 1.5 s, and the fleet came back target by target.
test('a restarted agent offers the target that its earlier run knew as soon as that answers', () => {
  const bench = new AgentBench()
  bench.link()
  bench.do({ type: 'targetRemembered', facts: TARGET })
  bench.start([order('job.0.0')])
  expect(bench.ends()).toEqual(['job.0.0 notStarted noTarget'])
  bench.polled()
  bench.start([order('job.0.1')])
  expect(bench.of('start').map(({ task }) => task)).toEqual(['job.0.1'])
})

test('a remembered target that another life has followed is given up, and the other offered with its heartbeat', () => {
  const bench = new AgentBench()
  bench.do({ type: 'targetRemembered', facts: TARGET })
  bench.pollFailed(PollFailure.OtherInstance)
  expect(bench.agent.status().target).toEqual(undefined)
  bench.seen({ instance: NEXT })
  bench.polled([], [], NEXT)
  expect(bench.agent.status()).toEqual(expect.subset({ cleared: true }))
})

test('what the target has said itself goes before what was remembered', () => {
  const bench = AgentBench.ready()
  bench.do({ type: 'targetRemembered', facts: { ...TARGET, instance: 'target-0' } })
  expect(bench.agent.status().target?.instance).toEqual(TARGET.instance)
})

test('a target is kept for the next run once it is clear, and when it begins to leave', () => {
  const bench = new AgentBench()
  bench.seen()
  expect(bench.of('rememberTarget')).toEqual([])
  bench.polled()
  bench.seen({ leaving: true })
  expect(bench.of('rememberTarget').map(({ facts }) => facts.leaving)).toEqual([false, true])
})

// The worker is cut off. Its agent turned each start down, and the target, empty and silent, drew the next tasks again.
test('a silent target is offered to nobody until it answers again', () => {
  const bench = AgentBench.ready()
  bench.pass(1000)
  bench.pollFailed(PollFailure.Silent)
  bench.pass(100)
  expect(bench.sent('announce')).toEqual([])
  bench.pollFailed(PollFailure.Silent)
  bench.pass(100)
  expect(bench.sent('announce').map(message => message.type === 'announce' && message.target?.leaving)).toEqual([true])
  bench.take()
  bench.polled()
  expect(bench.sent('announce').map(message => message.type === 'announce' && message.target?.leaving)).toEqual([false])
})
