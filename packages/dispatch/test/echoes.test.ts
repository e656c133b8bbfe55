import type { EntryOptions } from '../src/entrytypes.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { RunEnd } from '../src/agenttypes.ts'
import { ALL_FLEET_GUARDS } from '../src/fleetguards.ts'
import { AgentBench, ENTRY, NEW_ID_EACH_INCARNATION, order, TIMINGS } from './agentbench.ts'
import { EntryBench, QUEUE, step } from './entrybench.ts'

/** Echoes of the entry, by how they went: by themselves or on a start. */
function echoes (bench: EntryBench): string[] {
  return bench.take().flatMap(effect => {
    if (effect.type !== 'send') return []
    const { message } = effect
    if (message.type === 'echo') return [`alone ${message.sent}`]
    return message.type === 'start' && message.echo !== undefined ? [`on a start ${message.echo.sent}`] : []
  })
}

test('the echo of an end rides on the next start', () => {
  const bench = EntryBench.withAgents('one')
  bench.submit('job')
  bench.take()
  bench.now += 30
  const ended = bench.now
  bench.end('one', 'job.0.0')
  bench.now += 5
  bench.submit('next')
  expect(echoes(bench)).toEqual([`on a start ${ended}`])
})

// Nothing is started for a while. Without an echo the agent would stop the tasks that still run there.
test('an end is echoed by itself when nothing is started', () => {
  const bench = EntryBench.withAgents('one')
  bench.submit('job', [step(2)])
  bench.take()
  const ended = bench.now
  bench.end('one', 'job.0.0')
  bench.pass(TIMINGS.ping + 50)
  expect(echoes(bench)).toEqual([`alone ${ended}`])
})

test('a ping is echoed at once', () => {
  const bench = EntryBench.withAgents('one')
  bench.ping('one')
  expect(echoes(bench)).toEqual([`alone ${bench.now}`])
})

/** Stops and echoes to an agent, in order. */
function stopsAndEchoes (bench: EntryBench): string[] {
  return bench.take().flatMap(effect => {
    if (effect.type !== 'send') return []
    const { message } = effect
    if (message.type === 'stop') return message.tasks.map(({ task }) => `stop ${task}`)
    return message.type === 'echo' ? [`echo ${message.sent}`] : []
  })
}

/** A caller goes; the link to the agent is lost, perhaps with the stop on it, and a new one opens with a ping. */
function relinkedAfterStop (options: Partial<EntryOptions> = {}): EntryBench {
  const bench = new EntryBench(options).serving('one')
  const request = bench.submit('job')
  bench.now += 10
  bench.do({ type: 'requestGone', request })
  bench.do({ type: 'agentUnlinked', agent: 'one' })
  bench.now += 10
  bench.take()
  bench.do({ type: 'agentLinked', agent: 'one', incarnation: 'a' })
  bench.ping('one')
  return bench
}

const HELD = [{ task: 'job.0.0', attempt: 1 }]

// The echo would keep the tasks of a caller that has gone alive; the announcement, and with it the stop, may be as late as the network.
test('on a new link nothing is echoed before the stops that the link before may have lost are sent again', () => {
  const bench = relinkedAfterStop()
  const pinged = bench.now
  bench.pass(TIMINGS.ping * 2)
  expect(stopsAndEchoes(bench)).toEqual([])
  bench.announce('one', { held: HELD })
  expect(stopsAndEchoes(bench)).toEqual(['stop job.0.0', `echo ${pinged}`])
})

test('without the guard "announcedEcho" the echo leaves before the stop', () => {
  const bench = relinkedAfterStop({ guards: { ...ALL_FLEET_GUARDS, announcedEcho: false } })
  bench.announce('one', { held: HELD })
  expect(stopsAndEchoes(bench)).toEqual([`echo ${bench.now}`, 'stop job.0.0'])
})

test('an agent that pings again before it announces itself is echoed the last ping alone', () => {
  const bench = relinkedAfterStop()
  bench.now += TIMINGS.ping
  bench.ping('one')
  bench.announce('one', { held: HELD })
  expect(stopsAndEchoes(bench)).toEqual(['stop job.0.0', `echo ${bench.now}`])
})

test('an agent without a target is echoed once it has announced itself', () => {
  const bench = new EntryBench()
  bench.do({ type: 'agentLinked', agent: 'one', incarnation: 'a' })
  bench.ping('one')
  bench.announce('one', { target: false })
  expect(stopsAndEchoes(bench)).toEqual([`echo ${bench.now}`])
})

// An entry that placed tasks before its echo had left would see them refused as out of contact.
test('the first start on a link follows the echo of the first ping', () => {
  const bench = new EntryBench()
  bench.configure()
  bench.submit('job')
  bench.do({ type: 'agentLinked', agent: 'one', incarnation: 'a' })
  bench.ping('one')
  bench.announce('one')
  const sent = bench.take().flatMap(effect => effect.type === 'send' ? [effect.message.type] : [])
  expect(sent.indexOf('echo')).toBeGreaterThanOrEqual(0)
  expect(sent.indexOf('start')).toBeGreaterThan(sent.indexOf('echo'))
})

test('an end counts as a ping', () => {
  const bench = AgentBench.ready({}, NEW_ID_EACH_INCARNATION)
  bench.run('job.0.0')
  bench.run('job.0.1')
  bench.pass(150)
  bench.take()
  bench.polled([{ task: 'job.0.1', run: 1, percent: 50 }], [{ number: 1, task: 'job.0.0', run: 1, end: RunEnd.Done }])
  bench.pass(150)
  expect(bench.sent('ping').length).toEqual(0)
  bench.pass(100)
  expect(bench.sent('ping').length).toEqual(1)
})

test('a start that brings an echo is followed, one without it is not once the contact has ended', () => {
  const bench = AgentBench.ready()
  bench.now += TIMINGS.contact + 1
  const echo = { sent: bench.now - 5, received: 0, waiting: false }
  bench.do({ type: 'entryMessage', entry: ENTRY, message: { type: 'start', payload: '', tasks: [order('job.0.0')], echo } })
  expect(bench.of('start').length).toEqual(1)
  bench.now += TIMINGS.contact + 1
  bench.start([order('job.0.1')])
  expect(bench.of('start').length).toEqual(1)
})

// A partition held a start up for seconds, and the entry has placed its task elsewhere. The echo that it brings is as old.
test('a start that was held up brings no contact with its old echo', () => {
  const bench = AgentBench.ready()
  const echo = { sent: bench.now, received: 0, waiting: false }
  bench.now += 5000
  bench.do({ type: 'entryMessage', entry: ENTRY, message: { type: 'start', payload: '', tasks: [order('job.0.0')], echo } })
  expect(bench.of('start').length).toEqual(0)
})

test('of jobs that are equally pressing the more urgent queue comes first', () => {
  const bench = EntryBench.withAgents('one')
  bench.submit('filler', [step(4)])
  bench.submit('usual', [step(1)], { queue: { ...QUEUE, priority: 1 } })
  bench.submit('urgent')
  bench.end('one', 'filler.0.0')
  expect(bench.starts().at(-1)).toEqual('one urgent.0.0 1')
})

// The fleet is full. A job that could begin only when it is likely to be late is refused before that, and told when to
// come back; it was kept, begun at the last moment, and was late with all the work that it had used.
test('a job that waits among others is refused while it could still begin in time, when many are refused', () => {
  const bench = EntryBench.withAgents('one')
  bench.submit('filler', [step(4)])
  for (const job of ['refused1', 'refused2', 'refused3']) bench.submit(job, [step(1)], { remaining: 100 })
  bench.pass(50, ['one'])
  bench.take()
  const waiting = bench.submit('waiting')
  bench.submit('other', [step(1, { estimated: 2000 })])
  bench.pass(100, ['one'])
  expect(bench.answers()).toEqual([[waiting, 'refused overload']])
})

// The load swings, and the fleet is full for a moment. Refused as early as under a lasting burst, one job in a hundred went that
// would have been in time.
test('a job that waits among others is kept while nearly all are served in time', () => {
  const bench = EntryBench.withAgents('one')
  bench.submit('filler', [step(4)])
  const waiting = bench.submit('waiting')
  bench.submit('other', [step(1, { estimated: 2000 })])
  bench.pass(200, ['one'])
  expect(bench.answers()).toEqual([])
  bench.end('one', 'filler.0.0')
  expect(bench.starts().at(-1)).toEqual('one waiting.0.0 1')
  bench.end('one', 'waiting.0.0')
  expect(bench.answers()).toEqual([[waiting, 'completed']])
})
