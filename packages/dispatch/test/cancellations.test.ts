import { test } from 'node:test'
import { expect } from 'earl'
import { StartAnswer } from '../src/agenttypes.ts'
import { CANCELLATION_PATIENCE_MILLISECONDS, CANCELLATION_RETENTION_MILLISECONDS, CANCELLATION_WRITE_INTERVAL_MILLISECONDS, MAX_CANCELLATIONS, MAX_CANCELLATIONS_PER_MESSAGE, RECOVERY_ASK_MILLISECONDS } from '../src/cancellationdefaults.ts'
import { ORPHANED_RUN_MILLISECONDS } from '../src/crashdefaults.ts'
import { AgentBench, BOUNDS, order } from './agentbench.ts'
import { nameOf } from '../src/jobname.ts'
import { EntryBench, QUEUE } from './entrybench.ts'

const CANCEL = 90

function cancel (bench: EntryBench, id: string): void {
  bench.do({ type: 'cancelAsked', request: CANCEL, job: nameOf(id, QUEUE), remaining: 4000 })
}

// A caller submits a job again that it, or another holder of the id, has cancelled meanwhile.
test('a cancelled job that is submitted again is not started', () => {
  const bench = EntryBench.withAgents('one')
  bench.submit('job')
  cancel(bench, 'job')
  bench.end('one', 'job.0.0')
  bench.take()
  const again = bench.submit('job')
  bench.advance(500, ['one'])
  expect([bench.starts(), bench.answers()]).toEqual([[], [[again, 'cancelled cancelled']]])
})

// The cancellation overtakes the submission.
test('a job whose cancellation arrives first is not started', () => {
  const bench = EntryBench.withAgents('one')
  cancel(bench, 'job')
  expect(bench.answers()).toEqual([[CANCEL, 'unknown']])
  bench.submit('job')
  expect(bench.starts()).toEqual([])
})

// A second submission waits until the tasks of the first have stopped. Without the guard it is started after the
// cancellation.
test('a repeated submission that waits is cancelled with its job', () => {
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

// The cancellation reaches another entry than the one that runs the job.
test('a cancellation sent by another entry stops the job here', () => {
  const bench = EntryBench.withAgents('one')
  bench.peer('other')
  const request = bench.submit('job')
  bench.receive('other', { type: 'cancel', jobs: [{ job: 'job', ago: 5 }] })
  expect([bench.stops(), bench.answers()]).toEqual([['one job.0.0'], [[request, 'cancelled cancelled']]])
})

// The answer of a completed job was lost, its caller submitted it to another entry, and cancels it here.
test('a cancellation of a job that was answered here is sent to the other entries and stored', () => {
  const bench = EntryBench.withAgents('one')
  bench.peer('other')
  bench.submit('job')
  bench.end('one', 'job.0.0')
  bench.take()
  cancel(bench, 'job')
  expect(bench.told('other').filter(({ type }) => type === 'cancel')).toEqual([{ type: 'cancel', jobs: [{ job: 'job', address: 'h/checks/job', ago: 0 }] }])
  expect([stored(bench), bench.entry.status().cancelled]).toEqual([[['job']], 1])
})

test('a completed job that is cancelled and submitted again here keeps its answer', () => {
  const bench = EntryBench.withAgents('one')
  bench.submit('job')
  bench.end('one', 'job.0.0')
  cancel(bench, 'job')
  bench.take()
  const again = bench.submit('job')
  expect(bench.answers()).toEqual([[again, 'completed']])
})

// The other entry is away for a moment, or starts after the cancellation.
test('a cancellation is sent to linked entries at once, and to others when they link', () => {
  const bench = EntryBench.withAgents('one')
  bench.peer('first')
  bench.take()
  cancel(bench, 'job')
  bench.advance(200, ['one'])
  bench.do({ type: 'peerLinked', peer: 'second' })
  const cancels = (peer: string): unknown[] => bench.told(peer).filter(({ type }) => type === 'cancel')
  expect(cancels('first')).toEqual([{ type: 'cancel', jobs: [{ job: 'job', address: 'h/checks/job', ago: 0 }] }])
  expect(cancels('second')).toEqual([{ type: 'cancel', jobs: [{ job: 'job', address: 'h/checks/job', ago: 200 }] }])
})

test('a received cancellation is not forwarded to linked entries', () => {
  const bench = EntryBench.withAgents('one')
  for (const peer of ['first', 'second']) bench.peer(peer)
  bench.take()
  bench.receive('first', { type: 'cancel', jobs: [{ job: 'job', ago: 0 }] })
  expect(bench.told('second').filter(({ type }) => type === 'cancel')).toEqual([])
})

test('cancellations expire, and their number is bounded', () => {
  const bench = EntryBench.withAgents('one')
  for (let number = 0; number <= MAX_CANCELLATIONS; number += 1) cancel(bench, `job${number}`)
  while (bench.entry.status().unstored > 0) bench.advance(CANCELLATION_WRITE_INTERVAL_MILLISECONDS)
  expect(bench.entry.status().cancelled).toEqual(MAX_CANCELLATIONS)
  bench.advance(CANCELLATION_RETENTION_MILLISECONDS)
  expect(bench.entry.status().cancelled).toEqual(0)
})

// An entry that forgets an acknowledged cancellation, because others follow, would run the job when it is submitted again.
test('no cancellation is acknowledged beyond those that an entry can remember', () => {
  const bench = EntryBench.withAgents('one')
  for (let number = 0; number < MAX_CANCELLATIONS; number += 1) cancel(bench, `job${number}`)
  bench.advance(CANCELLATION_WRITE_INTERVAL_MILLISECONDS)
  bench.take()
  cancel(bench, 'further')
  expect(bench.answers()).toEqual([[CANCEL, 'refused overload']])
})

// A message above the size limit closes the link, and would do so each time that the entries link again.
test('many cancellations are sent to an entry in several messages', () => {
  const bench = EntryBench.withAgents('one')
  for (let number = 0; number <= MAX_CANCELLATIONS_PER_MESSAGE; number += 1) cancel(bench, `job${number}`)
  bench.take()
  bench.do({ type: 'peerLinked', peer: 'other' })
  const messages = bench.told('other').flatMap(message => message.type === 'cancel' ? [[message.jobs.length, message.complete ?? false]] : [])
  expect(messages).toEqual([[MAX_CANCELLATIONS_PER_MESSAGE, false], [1, false]])
})

// While the store is away cancellations expire in memory and still wait to be written.
test('no more cancellations wait for the store than an entry can remember', () => {
  const bench = EntryBench.withAgents('one')
  bench.storeAway = true
  for (let number = 0; number < MAX_CANCELLATIONS; number += 1) cancel(bench, `job${number}`)
  bench.advance(CANCELLATION_RETENTION_MILLISECONDS)
  bench.take()
  cancel(bench, 'further')
  expect([bench.answers(), bench.entry.status().unstored]).toEqual([[[CANCEL, 'refused overload']], MAX_CANCELLATIONS])
})

// The store

function stored (bench: EntryBench): string[][] {
  return bench.take().flatMap(effect => effect.type === 'storeCancellations' ? [effect.jobs.map(({ id }) => id)] : [])
}

// All entries are killed right after a cancellation was acknowledged, and nobody remembers it.
test('a cancellation is acknowledged once it is stored', () => {
  const bench = EntryBench.withAgents('one')
  bench.submit('job')
  bench.storeAway = true
  cancel(bench, 'job')
  expect([bench.stops(), bench.answers().some(([request]) => request === CANCEL)]).toEqual([['one job.0.0'], false])
  expect(stored(bench)).toEqual([['job']])
  bench.do({ type: 'cancellationsStored' })
  expect(bench.answers()).toEqual([[CANCEL, 'cancelled cancelled']])
})

// A job that was cancelled before all entries were killed is submitted again after their start.
test('a job whose cancellation was read from the store is not started', () => {
  const bench = EntryBench.withAgents('one')
  bench.do({ type: 'cancellationsRead', jobs: [nameOf('job', QUEUE)] })
  const request = bench.submit('job')
  expect([bench.starts(), bench.answers()]).toEqual([[], [[request, 'cancelled cancelled']]])
})

// A repetition reaches an entry that has started and has not read the store yet.
test('an entry accepts no job, and is not ready, before it knows the stored cancellations', () => {
  const bench = new EntryBench()
  bench.configure(false)
  bench.link('one')
  bench.take()
  const request = bench.submit('job')
  expect([bench.entry.ready, bench.starts(), bench.answers()]).toEqual([false, [], [[request, 'refused recovering']]])
  bench.do({ type: 'cancellationsRead', jobs: [] })
  expect(bench.entry.ready).toEqual(true)
})

// The store is away when an entry starts; the others know all cancellations.
test('an entry that cannot read the store learns the cancellations from another entry', () => {
  const bench = new EntryBench()
  bench.configure(false)
  bench.link('one')
  bench.peer('other')
  bench.receive('other', { type: 'cancel', jobs: [{ job: 'job', ago: 5 }] })
  bench.advance(RECOVERY_ASK_MILLISECONDS + 50, ['one'])
  expect([bench.entry.ready, bench.told('other').filter(({ type }) => type === 'cancel')]).toEqual([false, [{ type: 'cancel', jobs: [], asks: true }]])
  bench.receive('other', { type: 'cancel', jobs: [], complete: true })
  expect(bench.entry.ready).toEqual(true)
})

test('an entry that is asked sends all cancellations once it knows the stored ones', () => {
  const bench = new EntryBench()
  bench.configure(false)
  cancel(bench, 'job')
  const answerTo = (): unknown[] => {
    bench.take()
    bench.receive('other', { type: 'cancel', jobs: [], asks: true })
    return bench.told('other')
  }
  expect(answerTo()).toEqual([])
  bench.do({ type: 'cancellationsRead', jobs: [] })
  expect(answerTo()).toEqual([{ type: 'cancel', jobs: [{ job: 'job', address: 'h/checks/job', ago: 0 }] }, { type: 'cancel', jobs: [], complete: true }])
})

// The message of another entry is lost on a silent link, and its cancellation is read from the store.
test('a cancellation read from the store stops the job here', () => {
  const bench = EntryBench.withAgents('one')
  const request = bench.submit('job')
  bench.do({ type: 'cancellationsRead', jobs: [nameOf('job', QUEUE)] })
  expect([bench.stops(), bench.answers()]).toEqual([['one job.0.0'], [[request, 'cancelled cancelled']]])
})

// A wave of cancellations must not use up the calls that the store grants to all entries.
test('cancellations are written one batch at a time, at a limited rate', () => {
  const bench = EntryBench.withAgents('one')
  bench.storeAway = true
  for (const id of ['first', 'second', 'third']) cancel(bench, id)
  bench.advance(2 * CANCELLATION_WRITE_INTERVAL_MILLISECONDS)
  expect(stored(bench)).toEqual([['first']])
  bench.do({ type: 'cancellationsStored' })
  expect(stored(bench)).toEqual([['second', 'third']])
  bench.do({ type: 'cancellationsStored' })
  cancel(bench, 'fourth')
  expect(stored(bench)).toEqual([])
  bench.advance(CANCELLATION_WRITE_INTERVAL_MILLISECONDS)
  expect(stored(bench)).toEqual([['fourth']])
})

// While the store is away a caller would wait until its own time limit.
test('a cancellation that is not stored in time is refused, and further ones at once', () => {
  const bench = EntryBench.withAgents('one')
  bench.storeAway = true
  cancel(bench, 'job')
  bench.advance(CANCELLATION_PATIENCE_MILLISECONDS)
  expect(bench.answers()).toEqual([[CANCEL, 'refused notStored']])
  bench.take()
  cancel(bench, 'next')
  expect(bench.answers()).toEqual([[CANCEL, 'refused notStored']])
})

test('a refused cancellation is still in force, and acknowledged at once when it was stored later', () => {
  const bench = EntryBench.withAgents('one')
  bench.storeAway = true
  cancel(bench, 'job')
  bench.advance(CANCELLATION_PATIENCE_MILLISECONDS)
  bench.submit('job')
  expect(bench.starts()).toEqual([])
  bench.do({ type: 'cancellationsStored' })
  bench.take()
  cancel(bench, 'job')
  expect(bench.answers()).toEqual([[CANCEL, 'unknown']])
})

// The process exits before the store has confirmed the cancellation.
test('a request to cancel that waits for the store is answered when the entry ends', () => {
  const bench = EntryBench.withAgents('one')
  bench.storeAway = true
  cancel(bench, 'job')
  bench.do({ type: 'ending' })
  expect(bench.answers()).toEqual([[CANCEL, 'refused notStored']])
})

// Another queue

const OTHER_QUEUE = { ...QUEUE, name: 'other', prefix: '/other/' }

function cancelElsewhere (bench: EntryBench): void {
  bench.do({ type: 'cancelAsked', request: CANCEL, job: nameOf('job', OTHER_QUEUE), remaining: 4000 })
}

// Two workspaces have chosen the same id, and one cancels its job.
test('a cancellation does not stop the job of another queue with the same id', () => {
  const bench = EntryBench.withAgents('one')
  bench.submit('job')
  bench.take()
  cancelElsewhere(bench)
  bench.do({ type: 'cancellationsRead', jobs: [nameOf('job', OTHER_QUEUE)] })
  bench.receive('other', { type: 'cancel', jobs: [{ job: 'job', address: 'h/other/job', ago: 0 }] })
  expect([bench.stops(), bench.answers()]).toEqual([[], [[CANCEL, 'unknown']]])
})

test('a cancelled job of another queue with the same id does not keep a job from starting', () => {
  const bench = EntryBench.withAgents('one')
  cancelElsewhere(bench)
  bench.submit('job')
  expect(bench.starts()).toEqual(['one job.0.0 1'])
})

// An earlier build sends the id alone.
test('a cancellation without an address stops the job of any queue', () => {
  const bench = EntryBench.withAgents('one')
  bench.submit('job')
  bench.receive('earlier', { type: 'cancel', jobs: [{ job: 'job', ago: 5 }, { job: 'later', ago: 5 }] })
  const later = bench.submit('later')
  expect([bench.stops(), bench.answers().at(-1)]).toEqual([['one job.0.0'], [later, 'cancelled cancelled']])
})

// The link breaks and loses the stop; without another stop the task runs to its end.
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

/** An agent with a task of its own, beside which an orphaned run is listed: a start that was carried out late. */
function withOrphanedRun (milliseconds: number): AgentBench {
  const bench = AgentBench.ready()
  bench.run('own')
  for (let passed = 0; passed <= milliseconds; passed += 50) {
    bench.polled([{ task: 'own', run: 1, percent: passed / 100 }, { task: 'stray', run: 3, percent: 0 }])
    bench.now += 50
    bench.echo()
  }
  return bench
}

test('an orphaned run is ordered to stop with each poll', () => {
  expect(withOrphanedRun(100).effectsOfType('stop').map(({ task, run }) => [task, run])).toEqual([['stray', 3], ['stray', 3], ['stray', 3]])
})

// All stops of an orphaned run are lost, and other tasks keep the lease alive.
test('an orphaned run that does not stop ends with the lease', () => {
  const bench = withOrphanedRun(ORPHANED_RUN_MILLISECONDS)
  bench.take()
  bench.start([order('next')])
  bench.polled([{ task: 'own', run: 1, percent: 9 }, { task: 'stray', run: 3, percent: 0 }])
  expect(bench.ends()).toEqual(['next notStarted unreachable'])
  expect([bench.effectsOfType('start').length, bench.effectsOfType('poll').some(({ deadline }) => deadline !== undefined)]).toEqual([0, false])
})

// While the lease runs out every start at the target is refused. Offering the target would cost jobs their limited
// attempts.
test('a target whose lease has to expire is announced as leaving until the run has gone', () => {
  const bench = withOrphanedRun(ORPHANED_RUN_MILLISECONDS)
  const offered = (): unknown[] => bench.sent('announce').map(message => message.type === 'announce' && message.target?.leaving)
  bench.polled([{ task: 'own', run: 1, percent: 9 }, { task: 'stray', run: 3, percent: 0 }])
  expect(offered().at(-1)).toEqual(true)
  bench.take()
  bench.polled([{ task: 'own', run: 1, percent: 9 }])
  expect(offered()).toEqual([false])
})

test('when the run has gone the lease is renewed again', () => {
  const bench = withOrphanedRun(ORPHANED_RUN_MILLISECONDS)
  bench.polled([{ task: 'own', run: 1, percent: 9 }])
  bench.now += BOUNDS.stop
  bench.take()
  bench.start([order('next')])
  bench.startAnswered('next', StartAnswer.Started)
  expect([bench.effectsOfType('start').length, bench.ends()]).toEqual([1, []])
})

// Two runs of one task are listed. If only the last counts, the agent's own run is taken for expired while it runs.
test('a task continues beside an orphaned run of the same task', () => {
  const bench = AgentBench.ready()
  bench.run('own')
  bench.now += 10
  bench.polled([{ task: 'own', run: 1, percent: 5 }])
  bench.now += 10
  bench.take()
  bench.polled([{ task: 'own', run: 1, percent: 10 }, { task: 'own', run: 3, percent: 0 }])
  expect(bench.ends()).toEqual([])
  expect(bench.effectsOfType('stop').map(({ task, run }) => [task, run])).toEqual([['own', 3]])
})
