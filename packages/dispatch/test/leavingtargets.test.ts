/** Targets that have announced their end: which tasks still start there, and until when. */
import { test } from 'node:test'
import { expect } from 'earl'
import { PollFailure } from '../src/agenttypes.ts'
import { MAX_START_TIMEOUT_MILLISECONDS } from '../src/defaults.ts'
import { AgentBench, NEW_ID_EACH_INCARNATION, order, TARGET, TIMINGS } from './agentbench.ts'
import { EntryBench, NO_LOAD, step } from './entrybench.ts'

const DRAIN = 1500
const USES_LEAVING = { drain: DRAIN, policy: { usesLeaving: true } }

/** Starts a task and returns its immediate end; empty if the start was sent to the target. */
function tryStart (bench: AgentBench, task: string, expected = 300): string[] {
  bench.take()
  bench.echo()
  bench.start([{ ...order(task), expected }])
  return bench.ends()
}

/** Time left as last announced by the agent; undefined if not announced. */
function announcedRemaining (bench: AgentBench): number | undefined {
  const last = bench.sent('announce').at(-1)
  return last?.type === 'announce' ? last.target?.remaining : undefined
}

test('a leaving target gets no tasks while the setting is off', () => {
  const bench = AgentBench.ready({ drain: DRAIN })
  bench.seen({ leaving: true, remaining: 2000 })
  expect(announcedRemaining(bench)).toEqual(undefined)
  expect(tryStart(bench, 'a')).toEqual(['a notStarted leaving'])
})

test('a leaving target that states no remaining time gets no tasks', () => {
  const bench = AgentBench.ready(USES_LEAVING)
  bench.seen({ leaving: true })
  expect(tryStart(bench, 'a')).toEqual(['a notStarted leaving'])
})

test('a leaving target gets tasks that can end in time', () => {
  const bench = AgentBench.ready(USES_LEAVING)
  bench.seen({ leaving: true, remaining: 1000 })
  expect(announcedRemaining(bench)).toEqual(1000)
  expect(tryStart(bench, 'long', 1000)).toEqual(['long notStarted leaving'])
  expect(tryStart(bench, 'short', 900)).toEqual([])
})

// By the users' rule no task starts there later than `drain` after the acknowledgement. Each heartbeat repeats the notice.
test('no task starts later than the drain time after the first heartbeat with the notice', () => {
  const bench = AgentBench.ready(USES_LEAVING)
  bench.seen({ leaving: true, remaining: 5000 })
  bench.advance(DRAIN - MAX_START_TIMEOUT_MILLISECONDS - 10)
  bench.seen({ leaving: true, remaining: 5000 })
  expect(tryStart(bench, 'a')).toEqual([])
  bench.now += 10
  expect(tryStart(bench, 'b')).toEqual(['b notStarted leaving'])
})

test('entries are informed when a leaving target takes no more tasks', () => {
  const bench = AgentBench.ready(USES_LEAVING)
  bench.seen({ leaving: true, remaining: 5000 })
  expect(announcedRemaining(bench)).toEqual(5000)
  bench.take()
  bench.advance(DRAIN)
  expect(bench.sent('announce').length).toEqual(1)
  expect(announcedRemaining(bench)).toEqual(undefined)
})

// An earlier incarnation of the agent has acknowledged the notice at an unknown time.
test('an agent that finds its target already leaving starts no tasks there', () => {
  const bench = new AgentBench(undefined, USES_LEAVING)
  bench.do({ type: 'targetRemembered', facts: TARGET })
  bench.link()
  bench.polled()
  bench.seen({ leaving: true, remaining: 5000 })
  expect(tryStart(bench, 'a')).toEqual(['a notStarted leaving'])
})

// The steady clock of the machine stands still while the drain time passes.
test('after a suspension no task starts at a leaving target', () => {
  const bench = AgentBench.ready(USES_LEAVING)
  bench.seen({ leaving: true, remaining: 5000 })
  bench.do({ type: 'woke', asleep: 3000 })
  bench.seen({ leaving: true, remaining: 5000 })
  expect(tryStart(bench, 'a')).toEqual(['a notStarted leaving'])
})

// A frozen process reads a heartbeat seconds after it was sent.
test('the time that a heartbeat spent in a queue is subtracted from the remaining time', () => {
  const bench = AgentBench.ready(USES_LEAVING)
  bench.advance(1000)
  bench.polled()
  bench.do({ type: 'targetSeen', facts: { ...TARGET, leaving: true, remaining: 1000 }, sequence: 9, clock: bench.now - 600 })
  expect(announcedRemaining(bench)).toEqual(400)
})

test('an agent that is stopping does not offer its leaving target', () => {
  const bench = AgentBench.ready(USES_LEAVING)
  bench.seen({ leaving: true, remaining: 5000 })
  bench.do({ type: 'stopOrdered' })
  expect(announcedRemaining(bench)).toEqual(undefined)
  expect(tryStart(bench, 'a')).toEqual(['a notStarted leaving'])
})

test('a leaving target that stops responding is withdrawn', () => {
  const bench = AgentBench.ready(USES_LEAVING)
  bench.seen({ leaving: true, remaining: 5000 })
  bench.run('a')
  bench.pollFailed(PollFailure.NoResponse)
  bench.advance(200)
  expect(announcedRemaining(bench)).toEqual(undefined)
})

// The target crashes after its notice, before the announced end.
test('a leaving target that refuses connections is withdrawn, and its tasks end when their lease expires', () => {
  const bench = AgentBench.ready(USES_LEAVING, NEW_ID_EACH_INCARNATION)
  bench.seen({ leaving: true, remaining: 5000 })
  bench.run('a')
  bench.take()
  bench.pollFailed(PollFailure.NoListener)
  expect(bench.ends()).toEqual([])
  expect(announcedRemaining(bench)).toEqual(undefined)
  bench.advance(TIMINGS.expiry)
  expect(bench.ends()).toEqual(['a gone lapsed'])
})

test('a target that takes work again is used like any other', () => {
  const bench = AgentBench.ready(USES_LEAVING)
  bench.seen({ leaving: true, remaining: 100 })
  bench.seen()
  expect(tryStart(bench, 'a', 3000)).toEqual([])
})

function leave (bench: EntryBench, agent: string, remaining: number | undefined): void {
  const target = { instance: `${agent}-target`, service: 'checks', dataCentre: 'one', capacity: { cpu: 8000, memory: 1000, accelerators: 0 }, labels: [], leaving: true }
  bench.do({ type: 'agentMessage', agent, message: { type: 'announce', target: remaining === undefined ? target : { ...target, remaining }, held: [], load: NO_LOAD } })
}

for (const [name, policy, remaining, used] of [
  ['with time left is used', { usesLeaving: true }, 2000, true],
  ['with too little time left is not used', { usesLeaving: true }, 500, false],
  ['that states no time is not used', { usesLeaving: true }, undefined, false],
  ['is not used while the setting is off', {}, 2000, false]
] as const) {
  test(`an entry's only target that leaves ${name}`, () => {
    const bench = EntryBench.withPolicy(policy, 'agent-1')
    leave(bench, 'agent-1', remaining)
    bench.submit('a', [step(1)])
    expect(bench.starts()).toEqual(used ? ['agent-1 a.0.0 1'] : [])
  })
}

// Estimates are off by 40%, so a task that would probably be cut off is placed on a target that stays.
test('a long task is placed on the target that stays, although the leaving one has more free capacity', () => {
  const bench = EntryBench.withPolicy({ usesLeaving: true }, 'agent-1', 'agent-2')
  bench.ping('agent-2', 4000)
  leave(bench, 'agent-1', 1000)
  bench.submit('long', [step(1, { estimated: 900 })])
  bench.submit('short', [step(1, { estimated: 100 })])
  expect(bench.starts()).toEqual(['agent-2 long.0.0 1', 'agent-1 short.0.0 1'])
})

test('an entry also counts down the remaining time of a leaving target', () => {
  const bench = EntryBench.withPolicy({ usesLeaving: true }, 'agent-1')
  leave(bench, 'agent-1', 1000)
  bench.advance(500, ['agent-1'])
  bench.submit('a', [step(1)])
  expect(bench.starts()).toEqual([])
})
