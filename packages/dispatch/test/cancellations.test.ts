import { test } from 'node:test'
import { expect } from 'earl'
import { StartAnswer } from '../src/agenttypes.ts'
import { CANCELLATION_MEMORY_MILLISECONDS, CANCELLATIONS_REMEMBERED, STRAY_MILLISECONDS } from '../src/crashdefaults.ts'
import { AgentBench, BOUNDS, order } from './agentbench.ts'
import { EntryBench } from './entrybench.ts'

const CANCEL = 90

function cancel (bench: EntryBench, id: string): void {
  bench.do({ type: 'cancelAsked', request: CANCEL, id })
}

// Guards against a caller that submits again what it, or another holder of the id, has cancelled meanwhile.
test('a cancelled job that is submitted again is not begun', () => {
  const bench = EntryBench.withAgents('one')
  bench.submit('job')
  cancel(bench, 'job')
  bench.end('one', 'job.0.0')
  bench.take()
  const again = bench.submit('job')
  bench.pass(500, ['one'])
  expect([bench.starts(), bench.answers()]).toEqual([[], [[again, 'cancelled cancelled']]])
})

// Guards against a submission that is overtaken by its cancellation.
test('a job whose cancellation comes first is not begun', () => {
  const bench = EntryBench.withAgents('one')
  cancel(bench, 'job')
  expect(bench.answers()).toEqual([[CANCEL, 'unknown']])
  bench.submit('job')
  expect(bench.starts()).toEqual([])
})

// Guards against a submission that waits until the tasks of the one before have stopped: it was begun after the cancellation.
test('a further submission that waits is cancelled with its job', () => {
  const bench = EntryBench.withAgents('one')
  const first = bench.submit('job')
  bench.do({ type: 'requestGone', request: first })
  const second = bench.submit('job')
  bench.take()
  cancel(bench, 'job')
  expect(bench.answers()).toEqual([[second, 'cancelled cancelled'], [CANCEL, 'cancelled cancelled']])
  bench.end('one', 'job.0.0')
  expect(bench.starts()).toEqual([])
})

// Guards against a cancellation that reaches another entry than the one that runs the job.
test('a cancellation that another entry tells of stops the job here', () => {
  const bench = EntryBench.withAgents('one')
  bench.peer('other')
  const request = bench.submit('job')
  bench.hear('other', { type: 'cancel', jobs: [{ job: 'job', ago: 5 }] })
  expect([bench.stops(), bench.answers()]).toEqual([['one job.0.0'], [[request, 'cancelled cancelled']]])
})

// Guards against an entry that is away for a moment, or starts after the cancellation.
test('other entries are told of a cancellation at once, and those that link later', () => {
  const bench = EntryBench.withAgents('one')
  bench.peer('first')
  bench.take()
  cancel(bench, 'job')
  bench.pass(200, ['one'])
  bench.do({ type: 'peerLinked', peer: 'second' })
  const cancels = (peer: string): unknown[] => bench.told(peer).filter(({ type }) => type === 'cancel')
  expect(cancels('first')).toEqual([{ type: 'cancel', jobs: [{ job: 'job', ago: 0 }] }])
  expect(cancels('second')).toEqual([{ type: 'cancel', jobs: [{ job: 'job', ago: 200 }] }])
})

test('a cancellation that is heard is not told on to the entries that are linked', () => {
  const bench = EntryBench.withAgents('one')
  for (const peer of ['first', 'second']) bench.peer(peer)
  bench.take()
  bench.hear('first', { type: 'cancel', jobs: [{ job: 'job', ago: 0 }] })
  expect(bench.told('second').filter(({ type }) => type === 'cancel')).toEqual([])
})

test('cancellations are forgotten after a while, and only so many are remembered', () => {
  const bench = EntryBench.withAgents('one')
  for (let number = 0; number <= CANCELLATIONS_REMEMBERED; number += 1) cancel(bench, `job${number}`)
  expect(bench.entry.status().cancelled).toEqual(CANCELLATIONS_REMEMBERED)
  bench.pass(CANCELLATION_MEMORY_MILLISECONDS)
  expect(bench.entry.status().cancelled).toEqual(0)
})

// Guards against a link that breaks with the stop on it: the task ran to its end.
test('stops are sent again on a new link', () => {
  const bench = EntryBench.withAgents('one')
  bench.submit('job')
  cancel(bench, 'job')
  bench.do({ type: 'agentUnlinked', agent: 'one' })
  bench.take()
  bench.link('one', { held: [{ task: 'job.0.0', attempt: 1 }] })
  expect(bench.stops()).toEqual(['one job.0.0'])
})

// Agents

/** An agent with a task of its own, beside which a run is listed that it did not ask for: an order carried out late. */
function withStray (milliseconds: number): AgentBench {
  const bench = AgentBench.ready()
  bench.run('own')
  for (let passed = 0; passed <= milliseconds; passed += 50) {
    bench.polled([{ task: 'own', run: 1, percent: passed / 100 }, { task: 'stray', run: 3, percent: 0 }])
    bench.now += 50
    bench.echo()
  }
  return bench
}

test('a run that nobody asked for is ordered to stop with each poll', () => {
  expect(withStray(100).of('stop').map(({ task, run }) => [task, run])).toEqual([['stray', 3], ['stray', 3], ['stray', 3]])
})

// Guards against a stray run whose stops are all lost, under a lease that other tasks keep alive.
test('a run that stays though it is ordered to stop ends with the lease', () => {
  const bench = withStray(STRAY_MILLISECONDS)
  bench.take()
  bench.start([order('next')])
  bench.polled([{ task: 'own', run: 1, percent: 9 }, { task: 'stray', run: 3, percent: 0 }])
  expect(bench.ends()).toEqual(['next notStarted unreachable'])
  expect([bench.of('start').length, bench.of('poll').some(({ deadline }) => deadline !== undefined)]).toEqual([0, false])
})

// Guards against a target that is offered while every start there is turned down: each try cost a job one of those that it has.
test('a target whose lease has to end is offered to nobody until the run has gone', () => {
  const bench = withStray(STRAY_MILLISECONDS)
  const offered = (): unknown[] => bench.sent('announce').map(message => message.type === 'announce' && message.target?.leaving)
  bench.polled([{ task: 'own', run: 1, percent: 9 }, { task: 'stray', run: 3, percent: 0 }])
  expect(offered().at(-1)).toEqual(true)
  bench.take()
  bench.polled([{ task: 'own', run: 1, percent: 9 }])
  expect(offered()).toEqual([false])
})

test('when the run has gone the lease is renewed again', () => {
  const bench = withStray(STRAY_MILLISECONDS)
  bench.polled([{ task: 'own', run: 1, percent: 9 }])
  bench.now += BOUNDS.stop
  bench.take()
  bench.start([order('next')])
  bench.startAnswered('next', StartAnswer.Started)
  expect([bench.of('start').length, bench.ends()]).toEqual([1, []])
})

// Guards against two listed runs of one task, of which only the last counted: the own one passed for lapsed while it ran.
test('a task goes on beside a stray run of the same task', () => {
  const bench = AgentBench.ready()
  bench.run('own')
  bench.now += 10
  bench.polled([{ task: 'own', run: 1, percent: 5 }])
  bench.now += 10
  bench.take()
  bench.polled([{ task: 'own', run: 1, percent: 10 }, { task: 'own', run: 3, percent: 0 }])
  expect(bench.ends()).toEqual([])
  expect(bench.of('stop').map(({ task, run }) => [task, run])).toEqual([['own', 3]])
})
