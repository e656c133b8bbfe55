/** Evacuated data centres: nothing is started there, whoever decides and whatever each of them has heard. */
import { test } from 'node:test'
import { expect } from 'earl'
import { Evacuations } from '../src/evacuations.ts'
import { Cause, Outcome } from '../src/messages.ts'
import { AgentBench, order } from './agentbench.ts'
import { EntryBench, step } from './entrybench.ts'

const ENTRY = 'entry-1#a'

function entryWith (...dataCentres: string[]): EntryBench {
  const bench = EntryBench.withAgents()
  for (const dataCentre of dataCentres) bench.link(dataCentre, { dataCentre })
  bench.take()
  return bench
}

function read (bench: EntryBench, revision: number, ...dataCentres: string[]): void {
  bench.do({ type: 'evacuationsRead', state: { revision, dataCentres } })
}

/** What agents were told of evacuations: agent, data centres. */
function toldAgents (bench: EntryBench): string[] {
  return bench.take().flatMap(effect => effect.type === 'send' && effect.message.type === 'evacuations' ? [`${effect.agent} ${effect.message.state?.dataCentres.join(',') ?? '-'}`] : [])
}

test('an older state is not learned', () => {
  const known = new Evacuations()
  expect(known.learn({ revision: 7, dataCentres: ['one'] })).toEqual(true)
  expect(known.learn({ revision: 6, dataCentres: [] })).toEqual(false)
  expect(known.learn({ revision: 8, dataCentres: ['one'] })).toEqual(false)
  expect(known.has('one')).toEqual(true)
  expect(known.learn({ revision: 9, dataCentres: [] })).toEqual(true)
  expect(known.has('one')).toEqual(false)
})

test('an entry places nothing in an evacuated data centre', () => {
  const bench = entryWith('one', 'two')
  read(bench, 5, 'one')
  bench.take()
  bench.submit('job', [step(6)])
  expect(bench.starts().map(start => start.split(' ')[0])).toEqual(['two', 'two', 'two', 'two'])
})

test('what runs in a data centre ends there when that is evacuated', () => {
  const bench = entryWith('one')
  const request = bench.submit('job')
  read(bench, 5, 'one')
  expect(bench.stops()).toEqual([])
  bench.end('one', 'job.0.0')
  expect(bench.answers()).toEqual([[request, 'completed']])
})

test('a data centre takes tasks again when the evacuation is taken back', () => {
  const bench = entryWith('one')
  read(bench, 5, 'one')
  read(bench, 6)
  bench.take()
  bench.submit('job')
  expect(bench.starts()).toEqual(['one job.0.0 1'])
})

// All data centres are evacuated. Kept until its deadline, a job holds its caller for nothing.
test('a job is refused at once while every data centre is evacuated', () => {
  const bench = entryWith('one', 'two')
  read(bench, 5, 'one', 'two')
  const request = bench.submit('job')
  expect(bench.answers()).toEqual([[request, 'refused evacuated']])
})

test('a job that waits is refused when the last data centre is evacuated', () => {
  const bench = entryWith('one')
  bench.submit('first', [step(4)])
  const waiting = bench.submit('second')
  read(bench, 5, 'one')
  bench.now += 20
  bench.do({ type: 'tick' })
  expect(bench.answers()).toEqual([[waiting, 'refused evacuated']])
})

test('agents hear of evacuations before the first start on a link, and of each change', () => {
  const bench = entryWith('one')
  read(bench, 5, 'one')
  expect(toldAgents(bench)).toEqual(['one one', 'one one'])
  read(bench, 6, 'one')
  expect(toldAgents(bench)).toEqual([])
  bench.link('two', { dataCentre: 'two' })
  expect(toldAgents(bench)).toEqual(['two one'])
})

test('an entry without the store hears of evacuations from another one', () => {
  const bench = entryWith('one', 'two')
  bench.peer('other')
  bench.receive('other', { type: 'evacuations', state: { revision: 5, dataCentres: ['one'] } })
  bench.take()
  bench.submit('job')
  expect(bench.starts()).toEqual(['two job.0.0 1'])
})

test('an entry that is behind is told, one that knows as much is not', () => {
  const bench = entryWith('one')
  bench.peer('other')
  read(bench, 9, 'one')
  bench.take()
  bench.receive('other', { type: 'evacuations', state: { revision: 8, dataCentres: ['one'] } })
  expect(bench.told('other')).toEqual([])
  bench.receive('other', { type: 'evacuations', state: { revision: 7, dataCentres: [] } })
  expect(bench.told('other')).toEqual([{ type: 'evacuations', state: { revision: 9, dataCentres: ['one'] } }])
})

// The entry has not heard of the evacuation. Sixty refusals of one task gave its job up, though another data centre had
// room, and each counted as a try.
test('a start that an agent turns down for an evacuation goes elsewhere and counts as no try', () => {
  const bench = entryWith('one', 'two')
  bench.submit('job')
  bench.do({ type: 'agentMessage', agent: 'one', message: { type: 'evacuations', state: { revision: 5, dataCentres: ['one'] } } })
  bench.end('one', 'job.0.0', Outcome.NotStarted, Cause.Evacuated)
  expect(bench.starts()).toEqual(['one job.0.0 1', 'two job.0.0 2'])
})

test('an agent turns down starts in its evacuated data centre and tells the entry why, once', () => {
  const bench = AgentBench.ready()
  bench.link('entry-2#a')
  bench.do({ type: 'entryMessage', entry: 'entry-2#a', message: { type: 'evacuations', state: { revision: 5, dataCentres: ['one'] }, confirmed: true } })
  bench.take()
  bench.start([order('job.0.0')])
  bench.start([order('job.0.1')])
  expect(bench.of('start')).toEqual([])
  expect(bench.ends()).toEqual(['job.0.0 notStarted evacuated', 'job.0.1 notStarted evacuated'])
  expect(bench.sent('evacuations')).toEqual([{ type: 'evacuations', state: { revision: 5, dataCentres: ['one'] } }])
})

test('an agent in another data centre goes on', () => {
  const bench = AgentBench.ready()
  bench.do({ type: 'entryMessage', entry: ENTRY, message: { type: 'evacuations', state: { revision: 5, dataCentres: ['two'] }, confirmed: true } })
  bench.start([order('job.0.0')])
  expect(bench.of('start').length).toEqual(1)
})

// The store turns every entry away, and the operators evacuate a data centre: nobody tells the agents, who reach the store.
test('an agent reads the store itself while an entry has lost it', () => {
  const bench = AgentBench.ready()
  bench.do({ type: 'entryMessage', entry: ENTRY, message: { type: 'evacuations', confirmed: false } })
  bench.pass(50)
  expect(bench.of('readEvacuations').length).toEqual(1)
  bench.do({ type: 'evacuationsRead', state: { revision: 5, dataCentres: ['one'] } })
  bench.start([order('job.0.0')])
  expect(bench.of('start')).toEqual([])
  bench.do({ type: 'entryMessage', entry: ENTRY, message: { type: 'evacuations', confirmed: true } })
  bench.take()
  bench.pass(3000)
  expect(bench.of('readEvacuations')).toEqual([])
})

test('an entry that has lost the store says so to its agents', () => {
  const bench = entryWith('one')
  read(bench, 5)
  bench.take()
  bench.pass(2500, ['one'])
  const told = bench.take().flatMap(effect => effect.type === 'send' && effect.message.type === 'evacuations' ? [effect.message.confirmed] : [])
  expect(told).toEqual([false])
})
