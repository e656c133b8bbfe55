import type { EntryOptions } from '../src/entrytypes.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { RunEnd } from '../src/agenttypes.ts'
import { ALL_FLEET_GUARDS } from '../src/fleetguards.ts'
import { AgentBench, ENTRY, NEW_ID_EACH_INCARNATION, order, TIMINGS } from './agentbench.ts'
import { EntryBench, QUEUE, step } from './entrybench.ts'

/** Echoes that the entry has sent: as separate messages or with a start. */
function echoes (bench: EntryBench): string[] {
  return bench.take().flatMap(effect => {
    if (effect.type !== 'send') return []
    const { message } = effect
    if (message.type === 'echo') return [`alone ${message.sent}`]
    return message.type === 'start' && message.echo !== undefined ? [`on a start ${message.echo.sent}`] : []
  })
}

test('the echo of an end is sent with the next start', () => {
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

// If no start follows for a while and no echo is sent, the agent stops the remaining tasks.
test('the echo of an end is sent as a separate message when no start follows', () => {
  const bench = EntryBench.withAgents('one')
  bench.submit('job', [step(2)])
  bench.take()
  const ended = bench.now
  bench.end('one', 'job.0.0')
  bench.advance(TIMINGS.ping + 50)
  expect(echoes(bench)).toEqual([`alone ${ended}`])
})

test('a ping is echoed at once', () => {
  const bench = EntryBench.withAgents('one')
  bench.ping('one')
  expect(echoes(bench)).toEqual([`alone ${bench.now}`])
})

/** Stops and echoes sent to an agent, in order. */
function stopsAndEchoes (bench: EntryBench): string[] {
  return bench.take().flatMap(effect => {
    if (effect.type !== 'send') return []
    const { message } = effect
    if (message.type === 'stop') return message.tasks.map(({ task }) => `stop ${task}`)
    return message.type === 'echo' ? [`echo ${message.sent}`] : []
  })
}

/** A caller disconnects. The link to the agent breaks, possibly with the stop on it, and a new link opens with a ping. */
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

// An earlier echo would keep the tasks of a disconnected caller running, since the network may delay the announcement that triggers the stop.
test('on a new link no echo is sent before the stops that the previous link may have lost are repeated', () => {
  const bench = relinkedAfterStop()
  const pinged = bench.now
  bench.advance(TIMINGS.ping * 2)
  expect(stopsAndEchoes(bench)).toEqual([])
  bench.announce('one', { held: HELD })
  expect(stopsAndEchoes(bench)).toEqual(['stop job.0.0', `echo ${pinged}`])
})

test('without the guard "announcedEcho" the echo is sent before the stop', () => {
  const bench = relinkedAfterStop({ guards: { ...ALL_FLEET_GUARDS, announcedEcho: false } })
  bench.announce('one', { held: HELD })
  expect(stopsAndEchoes(bench)).toEqual([`echo ${bench.now}`, 'stop job.0.0'])
})

test('only the last ping is echoed if an agent pings again before its announcement', () => {
  const bench = relinkedAfterStop()
  bench.now += TIMINGS.ping
  bench.ping('one')
  bench.announce('one', { held: HELD })
  expect(stopsAndEchoes(bench)).toEqual(['stop job.0.0', `echo ${bench.now}`])
})

test('pings of an agent without a target are echoed once it has sent its announcement', () => {
  const bench = new EntryBench()
  bench.do({ type: 'agentLinked', agent: 'one', incarnation: 'a' })
  bench.ping('one')
  bench.announce('one', { target: false })
  expect(stopsAndEchoes(bench)).toEqual([`echo ${bench.now}`])
})

// If an entry places tasks before it has sent its echo, they are refused for lack of contact.
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
  bench.advance(150)
  bench.take()
  bench.polled([{ task: 'job.0.1', run: 1, percent: 50 }], [{ number: 1, task: 'job.0.0', run: 1, end: RunEnd.Done }])
  bench.advance(150)
  expect(bench.sent('ping').length).toEqual(0)
  bench.advance(100)
  expect(bench.sent('ping').length).toEqual(1)
})

test('after the contact has ended, a start with an echo is carried out and one without it is not', () => {
  const bench = AgentBench.ready()
  bench.now += TIMINGS.contact + 1
  const echo = { sent: bench.now - 5, received: 0, waiting: false }
  bench.do({ type: 'entryMessage', entry: ENTRY, message: { type: 'start', payload: '', tasks: [order('job.0.0')], echo } })
  expect(bench.effectsOfType('start').length).toEqual(1)
  bench.now += TIMINGS.contact + 1
  bench.start([order('job.0.1')])
  expect(bench.effectsOfType('start').length).toEqual(1)
})

// A partition delays a start for seconds, and the entry has placed its task elsewhere. The echo in the start is as old.
test('the old echo in a delayed start does not renew the contact', () => {
  const bench = AgentBench.ready()
  const echo = { sent: bench.now, received: 0, waiting: false }
  bench.now += 5000
  bench.do({ type: 'entryMessage', entry: ENTRY, message: { type: 'start', payload: '', tasks: [order('job.0.0')], echo } })
  expect(bench.effectsOfType('start').length).toEqual(0)
})

test('among equally urgent jobs the queue with the higher priority comes first', () => {
  const bench = EntryBench.withAgents('one')
  bench.submit('filler', [step(4)])
  bench.submit('usual', [step(1)], { queue: { ...QUEUE, priority: 1 } })
  bench.submit('urgent')
  bench.end('one', 'filler.0.0')
  expect(bench.starts().at(-1)).toEqual('one urgent.0.0 1')
})

// The fleet is full. A job that can begin only when it is likely to be late is refused earlier, with a retry time. Guards against
// keeping it until the last moment, so that it ends late and its work is wasted.
test('a waiting job is refused while it could still begin in time, if many jobs are refused', () => {
  const bench = EntryBench.withAgents('one')
  bench.submit('filler', [step(4)])
  for (const job of ['refused1', 'refused2', 'refused3']) bench.submit(job, [step(1)], { remaining: 100 })
  bench.advance(50, ['one'])
  bench.take()
  const waiting = bench.submit('waiting')
  bench.submit('other', [step(1, { estimated: 2000 })])
  bench.advance(100, ['one'])
  expect(bench.answers()).toEqual([[waiting, 'refused overload']])
})

// The load swings, and the fleet is full for a moment. If jobs are refused as early as in a long burst, one job in a hundred is
// refused that would have been in time.
test('a waiting job is kept while nearly all jobs are in time', () => {
  const bench = EntryBench.withAgents('one')
  bench.submit('filler', [step(4)])
  const waiting = bench.submit('waiting')
  bench.submit('other', [step(1, { estimated: 2000 })])
  bench.advance(200, ['one'])
  expect(bench.answers()).toEqual([])
  bench.end('one', 'filler.0.0')
  expect(bench.starts().at(-1)).toEqual('one waiting.0.0 1')
  bench.end('one', 'waiting.0.0')
  expect(bench.answers()).toEqual([[waiting, 'completed']])
})
