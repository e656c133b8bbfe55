/** Targets whose capacity changes while tasks run. The targets of these tests accept every start. */
import type { Resources } from '../src/resources.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { RunEnd, StartAnswer } from '../src/agenttypes.ts'
import { AllocationRole } from '../src/messages.ts'
import { AgentBench, BOUNDS, ENTRY, NEW_ID_EACH_INCARNATION, order, TARGET } from './agentbench.ts'
import { EntryBench, NO_LOAD, step } from './entrybench.ts'

/** Capacity with the given processors; a task of the bench needs 2000. */
function size (cpu: number): { capacity: Resources } {
  return { capacity: { cpu, memory: 1000, accelerators: 0 } }
}

/** Starts a task and returns its immediate ends; empty when the start was sent to the target. */
function tryStart (bench: AgentBench, task: string): string[] {
  bench.take()
  bench.echo()
  bench.start([order(task)])
  return bench.ends()
}

function listed (...tasks: string[]): Array<{ task: string, run: number, percent: number }> {
  return tasks.map(task => ({ task, run: 1, percent: 10 }))
}

test('no more is started at a shrunk target than it has capacity left', () => {
  const bench = AgentBench.ready()
  bench.run('a')
  bench.run('b')
  bench.seen(size(5000))
  expect(tryStart(bench, 'c')).toEqual(['c notStarted full'])
})

test('running tasks continue when their target shrinks below their needs', () => {
  const bench = AgentBench.ready()
  bench.run('a')
  bench.run('b')
  bench.take()
  bench.seen(size(1000))
  expect(bench.effectsOfType('stop')).toEqual([])
  expect(bench.ends()).toEqual([])
})

// A stop takes the target up to 50 ms, during which the task holds its capacity.
test('a task that is being stopped holds its capacity until its end is listed', () => {
  const bench = AgentBench.ready()
  bench.run('a')
  bench.seen(size(2000))
  bench.do({ type: 'entryMessage', entry: ENTRY, message: { type: 'stop', tasks: [{ task: 'a', attempt: 1 }] } })
  bench.do({ type: 'stopAnswered', instance: TARGET.instance, task: 'a', run: 1, answered: true })
  expect(tryStart(bench, 'b')).toEqual(['b notStarted full'])
  bench.polled([], [{ number: 1, task: 'a', run: 1, end: RunEnd.Stopped }])
  expect(tryStart(bench, 'c')).toEqual([])
})

test('a start in transit while the target shrinks holds its capacity and is not stopped', () => {
  const bench = AgentBench.ready()
  bench.start([order('a')])
  bench.seen(size(2000))
  bench.startAnswered('a')
  expect(bench.effectsOfType('stop')).toEqual([])
  expect(tryStart(bench, 'b')).toEqual(['b notStarted full'])
})

// The target refuses a run number as old while it shrinks. Repeating the start with a higher number would exceed its
// capacity.
test('a start refused as old is not repeated when the capacity is gone', () => {
  const bench = AgentBench.ready()
  bench.start([order('a')])
  bench.seen(size(1000))
  bench.take()
  bench.startAnswered('a', StartAnswer.OldRun)
  expect(bench.effectsOfType('start')).toEqual([])
  expect(bench.ends()).toEqual(['a notStarted full'])
})

// Heartbeats may arrive out of order; an older one must not restore capacity that is gone.
test('a late heartbeat does not restore capacity', () => {
  const bench = AgentBench.ready()
  bench.run('a')
  bench.do({ type: 'targetSeen', facts: { ...TARGET, ...size(2000) }, sequence: 9, clock: bench.now })
  bench.do({ type: 'targetSeen', facts: TARGET, sequence: 8, clock: bench.now })
  expect(tryStart(bench, 'b')).toEqual(['b notStarted full'])
})

// The needs of an unknown run are not known; it may use the whole target.
test('nothing is started beside an unknown run until it is gone', () => {
  const bench = AgentBench.ready()
  bench.advance(1000)
  bench.polled(listed('unknown'))
  expect(tryStart(bench, 'a')).toEqual(['a notStarted full'])
  bench.advance(1000)
  bench.polled()
  expect(tryStart(bench, 'b')).toEqual(['b notStarted full'])
  bench.now += BOUNDS.stop
  expect(tryStart(bench, 'c')).toEqual([])
})

// The lease expires at the agent while the target still runs the task. If its capacity counted as free, the next start
// would exceed the target's capacity.
test('a run that counts as gone but is still listed holds its capacity', () => {
  const bench = AgentBench.ready({}, NEW_ID_EACH_INCARNATION)
  bench.seen(size(3000))
  bench.run('a')
  bench.advance(400)
  bench.echo()
  bench.advance(400)
  expect(bench.ends()).toEqual(['a gone lapsed'])
  bench.polled(listed('a'))
  expect(tryStart(bench, 'b')).toEqual(['b notStarted full'])
})

// Two polls overlap while answers are lost, and the first may be answered last.
test('an ended run in a late poll answer holds no capacity', () => {
  const bench = AgentBench.ready()
  bench.seen(size(2000))
  bench.run('a')
  bench.polled([], [{ number: 1, task: 'a', run: 1, end: RunEnd.Done }])
  bench.polled(listed('a'))
  expect(tryStart(bench, 'b')).toEqual([])
})

// The start was carried out but its answer lost, and the stop may take up to `stop`; polls need not list the run.
test('the capacity of a cancelled unconfirmed start is free once the stop must have ended', () => {
  const bench = AgentBench.ready()
  bench.seen(size(2000))
  bench.start([order('a')])
  bench.startAnswered('a', StartAnswer.NoResponse)
  bench.do({ type: 'stopAnswered', instance: TARGET.instance, task: 'a', run: 1, answered: true })
  bench.polled()
  expect(bench.ends()).toEqual(['a gone unanswered'])
  expect(tryStart(bench, 'b')).toEqual(['b notStarted full'])
  bench.now += BOUNDS.stop
  expect(tryStart(bench, 'c')).toEqual([])
})

/** Processors held by others, as last reported to the entry. */
function reportedOthers (bench: AgentBench): number | undefined {
  const last = bench.effectsOfType('send').map(({ message }) => message).filter(message => 'load' in message).at(-1)
  return last !== undefined && 'load' in last ? last.load.others.cpu : undefined
}

// Without this report entries place tasks there again, where they are refused: a tenth of all starts while orders are
// lost.
test('capacity held without a task is reported to entries, and also when it becomes free', () => {
  const bench = AgentBench.ready()
  bench.do({ type: 'entryMessage', entry: ENTRY, message: { type: 'role', role: AllocationRole.Allocates } })
  bench.start([order('a')])
  bench.startAnswered('a', StartAnswer.NoResponse)
  bench.do({ type: 'stopAnswered', instance: TARGET.instance, task: 'a', run: 1, answered: true })
  bench.polled()
  expect(reportedOthers(bench)).toEqual(2000)
  bench.take()
  bench.advance(BOUNDS.stop)
  expect(reportedOthers(bench)).toEqual(0)
})

test('a changed capacity is reported to entries with the heartbeat that carries it', () => {
  const bench = AgentBench.ready()
  for (const cpu of [4000, 9000]) {
    bench.seen(size(cpu))
    expect(bench.sent('announce').map(message => message.type === 'announce' && message.target?.capacity.cpu)).toEqual([cpu])
    bench.take()
  }
  bench.seen(size(9000))
  expect(bench.sent('announce')).toEqual([])
})

// A restarted agent uses the stored capacity until the first heartbeat: too large a value is unsafe, too small a value
// is not.
test('the stored target facts are rewritten when the target shrinks, not when it grows', () => {
  const bench = AgentBench.ready()
  bench.seen(size(9000))
  expect(bench.effectsOfType('rememberTarget')).toEqual([])
  bench.seen(size(4000))
  expect(bench.effectsOfType('rememberTarget').map(({ facts }) => facts.capacity.cpu)).toEqual([4000])
})

test('an agent restarted during a shrink applies the stored capacity, then the received one', () => {
  const bench = new AgentBench()
  bench.do({ type: 'targetRemembered', facts: { ...TARGET, ...size(4000) } })
  bench.link()
  bench.polled()
  bench.run('a')
  bench.seen(size(2000))
  expect(tryStart(bench, 'b')).toEqual(['b notStarted full'])
})

function announce (bench: EntryBench, agent: string, cpu: number): void {
  const target = { instance: `${agent}-target`, service: 'checks', dataCentre: 'one', ...size(cpu), labels: [], leaving: false }
  const held = bench.starts().map(start => ({ task: start.split(' ')[1] as string, attempt: 1 }))
  bench.do({ type: 'agentMessage', agent, message: { type: 'announce', target, held, load: NO_LOAD } })
}

test('a job that waits for capacity is served when its target grows', () => {
  const bench = EntryBench.withAgents('agent-1')
  bench.submit('a', [step(4)])
  bench.submit('b', [step(1)])
  expect(bench.starts().length).toEqual(4)
  announce(bench, 'agent-1', 10_000)
  expect(bench.starts().slice(4)).toEqual(['agent-1 b.0.0 1'])
})

// Guards against refusing the job as never runnable, with a retry after five seconds.
test('a job waits while its only target has shrunk below it', () => {
  const bench = EntryBench.withAgents('agent-1')
  announce(bench, 'agent-1', 1000)
  bench.submit('a', [step(1)])
  expect(bench.answers()).toEqual([])
  announce(bench, 'agent-1', 8000)
  expect(bench.starts()).toEqual(['agent-1 a.0.0 1'])
})

test('an entry places no more than a shrunk capacity allows', () => {
  const bench = EntryBench.withAgents('agent-1', 'agent-2')
  announce(bench, 'agent-1', 1000)
  bench.submit('a', [step(4)])
  expect(bench.starts().every(start => start.startsWith('agent-2'))).toEqual(true)
})

test('another entry that waits for capacity gets a grant when a target grows', () => {
  const bench = EntryBench.withAgents('agent-1')
  bench.advance(600, ['agent-1'])
  bench.peer('weaker', -5)
  bench.advance(100, ['agent-1'])
  bench.submit('own', [step(4)])
  const ask = { type: 'ask' as const, group: '', service: 'checks', job: 'j', within: 500, waits: true, except: [], steps: [{ ...step(1), index: 0, expected: 300, endBy: 400, tasks: [{ name: 'j.0.0', avoid: '' }], placed: [] }] }
  bench.receive('weaker', ask)
  expect(bench.told('weaker').filter(({ type }) => type === 'grant')).toEqual([])
  announce(bench, 'agent-1', 10_000)
  expect(bench.told('weaker').filter(({ type }) => type === 'grant').length).toEqual(1)
})
