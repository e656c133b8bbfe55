/** Targets that have announced their end: what still starts there, and until when. */
import { test } from 'node:test'
import { expect } from 'earl'
import { PollFailure } from '../src/agenttypes.ts'
import { START_TIMEOUT_MILLISECONDS } from '../src/defaults.ts'
import { AgentBench, NEW_ID_EACH_LIFE, order, TARGET, TIMINGS } from './agentbench.ts'
import { EntryBench, NO_LOAD, step } from './entrybench.ts'

const DRAIN = 1500
const USES = { drain: DRAIN, policy: { usesLeaving: true } }

/** Starts a task, and tells how that ended at once; nothing when it was sent to the target. */
function tryStart (bench: AgentBench, task: string, expected = 300): string[] {
  bench.take()
  bench.echo()
  bench.start([{ ...order(task), expected }])
  return bench.ends()
}

/** Time left as the agent announced it last; undefined when it announced none. */
function told (bench: AgentBench): number | undefined {
  const last = bench.sent('announce').at(-1)
  return last?.type === 'announce' ? last.target?.remaining : undefined
}

test('a leaving target gets nothing while the setting is off', () => {
  const bench = AgentBench.ready({ drain: DRAIN })
  bench.seen({ leaving: true, remaining: 2000 })
  expect(told(bench)).toEqual(undefined)
  expect(tryStart(bench, 'a')).toEqual(['a notStarted leaving'])
})

test('a leaving target that states no remaining time gets nothing', () => {
  const bench = AgentBench.ready(USES)
  bench.seen({ leaving: true })
  expect(tryStart(bench, 'a')).toEqual(['a notStarted leaving'])
})

test('a leaving target gets what can end in time', () => {
  const bench = AgentBench.ready(USES)
  bench.seen({ leaving: true, remaining: 1000 })
  expect(told(bench)).toEqual(1000)
  expect(tryStart(bench, 'long', 1000)).toEqual(['long notStarted leaving'])
  expect(tryStart(bench, 'short', 900)).toEqual([])
})

// By the users' rule nothing starts there later than `drain` after the acknowledgement; each heartbeat says again that it leaves.
test('nothing starts later than the time to drain after the first heartbeat that says so', () => {
  const bench = AgentBench.ready(USES)
  bench.seen({ leaving: true, remaining: 5000 })
  bench.pass(DRAIN - START_TIMEOUT_MILLISECONDS - 10)
  bench.seen({ leaving: true, remaining: 5000 })
  expect(tryStart(bench, 'a')).toEqual([])
  bench.now += 10
  expect(tryStart(bench, 'b')).toEqual(['b notStarted leaving'])
})

test('entries hear that a leaving target takes no more', () => {
  const bench = AgentBench.ready(USES)
  bench.seen({ leaving: true, remaining: 5000 })
  expect(told(bench)).toEqual(5000)
  bench.take()
  bench.pass(DRAIN)
  expect(bench.sent('announce').length).toEqual(1)
  expect(told(bench)).toEqual(undefined)
})

// An earlier run of the agent has acknowledged the notice, nobody here knows when.
test('a run that finds its target leaving starts nothing there', () => {
  const bench = new AgentBench(undefined, USES)
  bench.do({ type: 'targetRemembered', facts: TARGET })
  bench.link()
  bench.polled()
  bench.seen({ leaving: true, remaining: 5000 })
  expect(tryStart(bench, 'a')).toEqual(['a notStarted leaving'])
})

// Its steady clock stood still while the time to drain ran out.
test('after a suspension nothing starts at a leaving target', () => {
  const bench = AgentBench.ready(USES)
  bench.seen({ leaving: true, remaining: 5000 })
  bench.do({ type: 'woke', asleep: 3000 })
  bench.seen({ leaving: true, remaining: 5000 })
  expect(tryStart(bench, 'a')).toEqual(['a notStarted leaving'])
})

// A frozen process reads the heartbeat seconds after it was sent.
test('a heartbeat that lay in a queue leaves only what is left by the clock of the target', () => {
  const bench = AgentBench.ready(USES)
  bench.pass(1000)
  bench.polled()
  bench.do({ type: 'targetSeen', facts: { ...TARGET, leaving: true, remaining: 1000 }, sequence: 9, clock: bench.now - 600 })
  expect(told(bench)).toEqual(400)
})

test('an agent that is stopping offers its leaving target to nobody', () => {
  const bench = AgentBench.ready(USES)
  bench.seen({ leaving: true, remaining: 5000 })
  bench.do({ type: 'stopOrdered' })
  expect(told(bench)).toEqual(undefined)
  expect(tryStart(bench, 'a')).toEqual(['a notStarted leaving'])
})

test('a leaving target that falls silent is offered to nobody', () => {
  const bench = AgentBench.ready(USES)
  bench.seen({ leaving: true, remaining: 5000 })
  bench.run('a')
  bench.pollFailed(PollFailure.Silent)
  bench.pass(200)
  expect(told(bench)).toEqual(undefined)
})

// The notice, then a crash before the announced end.
test('a leaving target that refuses connections is offered to nobody, and loses its tasks with their lease', () => {
  const bench = AgentBench.ready(USES, NEW_ID_EACH_LIFE)
  bench.seen({ leaving: true, remaining: 5000 })
  bench.run('a')
  bench.take()
  bench.pollFailed(PollFailure.NoListener)
  expect(bench.ends()).toEqual([])
  expect(told(bench)).toEqual(undefined)
  bench.pass(TIMINGS.lapse)
  expect(bench.ends()).toEqual(['a gone lapsed'])
})

test('a target that takes work again is used like any other', () => {
  const bench = AgentBench.ready(USES)
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

// Estimates are off by 40%: what would probably be cut off goes where it is not.
test('a long task goes to the target that stays, though the leaving one is emptier', () => {
  const bench = EntryBench.withPolicy({ usesLeaving: true }, 'agent-1', 'agent-2')
  bench.ping('agent-2', 4000)
  leave(bench, 'agent-1', 1000)
  bench.submit('long', [step(1, { estimated: 900 })])
  bench.submit('short', [step(1, { estimated: 100 })])
  expect(bench.starts()).toEqual(['agent-2 long.0.0 1', 'agent-1 short.0.0 1'])
})

test('the time of a leaving target runs down at the entry too', () => {
  const bench = EntryBench.withPolicy({ usesLeaving: true }, 'agent-1')
  leave(bench, 'agent-1', 1000)
  bench.pass(500, ['agent-1'])
  bench.submit('a', [step(1)])
  expect(bench.starts()).toEqual([])
})
