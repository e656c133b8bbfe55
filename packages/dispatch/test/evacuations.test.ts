/** Evacuated data centres: no task starts there, whichever process decides and whichever updates it has received. */
import { test } from 'node:test'
import { expect } from 'earl'
import { Evacuations } from '../src/evacuations.ts'
import { Cause, Outcome } from '../src/messages.ts'
import { AgentBench, order } from './agentbench.ts'
import { EntryBench, step } from './entrybench.ts'

const ENTRY = 'entry-1#a'

function entryWithAgentsIn (...dataCentres: string[]): EntryBench {
  const bench = EntryBench.withAgents()
  for (const dataCentre of dataCentres) bench.link(dataCentre, { dataCentre })
  bench.take()
  return bench
}

function readEvacuations (bench: EntryBench, revision: number, ...dataCentres: string[]): void {
  bench.do({ type: 'evacuationsRead', state: { revision, dataCentres } })
}

/** Evacuations sent to agents: agent and data centres. */
function sentToAgents (bench: EntryBench): string[] {
  return bench.take().flatMap(effect => effect.type === 'send' && effect.message.type === 'evacuations' ? [`${effect.agent} ${effect.message.state?.dataCentres.join(',') ?? '-'}`] : [])
}

test('an older state is ignored', () => {
  const known = new Evacuations()
  expect(known.learn({ revision: 7, dataCentres: ['one'] })).toEqual(true)
  expect(known.learn({ revision: 6, dataCentres: [] })).toEqual(false)
  expect(known.learn({ revision: 8, dataCentres: ['one'] })).toEqual(false)
  expect(known.has('one')).toEqual(true)
  expect(known.learn({ revision: 9, dataCentres: [] })).toEqual(true)
  expect(known.has('one')).toEqual(false)
})

test('an entry places nothing in an evacuated data centre', () => {
  const bench = entryWithAgentsIn('one', 'two')
  readEvacuations(bench, 5, 'one')
  bench.take()
  bench.submit('job', [step(6)])
  expect(bench.starts().map(start => start.split(' ')[0])).toEqual(['two', 'two', 'two', 'two'])
})

test('tasks that run in a data centre finish there when it is evacuated', () => {
  const bench = entryWithAgentsIn('one')
  const request = bench.submit('job')
  readEvacuations(bench, 5, 'one')
  expect(bench.stops()).toEqual([])
  bench.end('one', 'job.0.0')
  expect(bench.answers()).toEqual([[request, 'completed']])
})

test('a data centre takes tasks again when the evacuation is revoked', () => {
  const bench = entryWithAgentsIn('one')
  readEvacuations(bench, 5, 'one')
  readEvacuations(bench, 6)
  bench.take()
  bench.submit('job')
  expect(bench.starts()).toEqual(['one job.0.0 1'])
})

// A job that waits until its deadline while all data centres are evacuated blocks its caller for nothing.
test('a job is refused at once while every data centre is evacuated', () => {
  const bench = entryWithAgentsIn('one', 'two')
  readEvacuations(bench, 5, 'one', 'two')
  const request = bench.submit('job')
  expect(bench.answers()).toEqual([[request, 'refused evacuated']])
})

test('a job that waits is refused when the last data centre is evacuated', () => {
  const bench = entryWithAgentsIn('one')
  bench.submit('first', [step(4)])
  const waiting = bench.submit('second')
  readEvacuations(bench, 5, 'one')
  bench.now += 20
  bench.do({ type: 'tick' })
  expect(bench.answers()).toEqual([[waiting, 'refused evacuated']])
})

test('agents are sent the evacuations before the first start on a link, and after each change', () => {
  const bench = entryWithAgentsIn('one')
  readEvacuations(bench, 5, 'one')
  expect(sentToAgents(bench)).toEqual(['one one', 'one one'])
  readEvacuations(bench, 6, 'one')
  expect(sentToAgents(bench)).toEqual([])
  bench.link('two', { dataCentre: 'two' })
  expect(sentToAgents(bench)).toEqual(['two one'])
})

test('an entry that cannot read the store receives evacuations from another entry', () => {
  const bench = entryWithAgentsIn('one', 'two')
  bench.peer('other')
  bench.receive('other', { type: 'evacuations', state: { revision: 5, dataCentres: ['one'] } })
  bench.take()
  bench.submit('job')
  expect(bench.starts()).toEqual(['two job.0.0 1'])
})

test('the state is sent to an entry with an older one, but not to an entry with the same one', () => {
  const bench = entryWithAgentsIn('one')
  bench.peer('other')
  readEvacuations(bench, 9, 'one')
  bench.take()
  bench.receive('other', { type: 'evacuations', state: { revision: 8, dataCentres: ['one'] } })
  expect(bench.told('other')).toEqual([])
  bench.receive('other', { type: 'evacuations', state: { revision: 7, dataCentres: [] } })
  expect(bench.told('other')).toEqual([{ type: 'evacuations', state: { revision: 9, dataCentres: ['one'] } }])
})

// The entry has not received the evacuation. Guards against counting each refusal as an attempt: after sixty refusals of one task
// its job was abandoned although another data centre had free capacity.
test('a start that an agent refuses for an evacuation is placed elsewhere and does not count as an attempt', () => {
  const bench = entryWithAgentsIn('one', 'two')
  bench.submit('job')
  bench.do({ type: 'agentMessage', agent: 'one', message: { type: 'evacuations', state: { revision: 5, dataCentres: ['one'] } } })
  bench.end('one', 'job.0.0', Outcome.NotStarted, Cause.Evacuated)
  expect(bench.starts()).toEqual(['one job.0.0 1', 'two job.0.0 2'])
})

test('an agent refuses starts in its evacuated data centre and sends the entry the evacuations once', () => {
  const bench = AgentBench.ready()
  bench.link('entry-2#a')
  bench.do({ type: 'entryMessage', entry: 'entry-2#a', message: { type: 'evacuations', state: { revision: 5, dataCentres: ['one'] }, confirmed: true } })
  bench.take()
  bench.start([order('job.0.0')])
  bench.start([order('job.0.1')])
  expect(bench.effectsOfType('start')).toEqual([])
  expect(bench.ends()).toEqual(['job.0.0 notStarted evacuated', 'job.0.1 notStarted evacuated'])
  expect(bench.sent('evacuations')).toEqual([{ type: 'evacuations', state: { revision: 5, dataCentres: ['one'] } }])
})

test('an agent in another data centre continues to start tasks', () => {
  const bench = AgentBench.ready()
  bench.do({ type: 'entryMessage', entry: ENTRY, message: { type: 'evacuations', state: { revision: 5, dataCentres: ['two'] }, confirmed: true } })
  bench.start([order('job.0.0')])
  expect(bench.effectsOfType('start').length).toEqual(1)
})

// No entry can read the store while the operators evacuate a data centre. The agents receive no update, but can read the store.
test('an agent reads the store itself while an entry cannot', () => {
  const bench = AgentBench.ready()
  bench.do({ type: 'entryMessage', entry: ENTRY, message: { type: 'evacuations', confirmed: false } })
  bench.advance(50)
  expect(bench.effectsOfType('readEvacuations').length).toEqual(1)
  bench.do({ type: 'evacuationsRead', state: { revision: 5, dataCentres: ['one'] } })
  bench.start([order('job.0.0')])
  expect(bench.effectsOfType('start')).toEqual([])
  bench.do({ type: 'entryMessage', entry: ENTRY, message: { type: 'evacuations', confirmed: true } })
  bench.take()
  bench.advance(3000)
  expect(bench.effectsOfType('readEvacuations')).toEqual([])
})

test('an entry that cannot read the store reports this to its agents', () => {
  const bench = entryWithAgentsIn('one')
  readEvacuations(bench, 5)
  bench.take()
  bench.advance(2500, ['one'])
  const confirmations = bench.take().flatMap(effect => effect.type === 'send' && effect.message.type === 'evacuations' ? [effect.message.confirmed] : [])
  expect(confirmations).toEqual([false])
})
