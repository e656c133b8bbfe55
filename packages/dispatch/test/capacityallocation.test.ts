import type { PeerMessage } from '../src/peermessages.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { ALLOCATOR_TIMEOUT_MILLISECONDS, GRANT_TIMEOUT_MILLISECONDS, MIN_GROUP_TARGETS, SETTLING_MILLISECONDS } from '../src/defaults.ts'
import { Cause, Outcome } from '../src/messages.ts'
import { EntryBench, QUEUE, step } from './entrybench.ts'

type MessageOf<Type extends PeerMessage['type']> = Extract<PeerMessage, { type: Type }>

const SETTLED_MILLISECONDS = SETTLING_MILLISECONDS + 100

/** An entry that sends requests to `chief`, which has the faster processor. */
function asking (...agents: string[]): EntryBench {
  const bench = EntryBench.withAgents(...agents)
  bench.peer('chief', 1)
  bench.advance(SETTLED_MILLISECONDS, agents)
  bench.take()
  return bench
}

/** An entry that allocates capacity for `other`. */
function allocating (...agents: string[]): EntryBench {
  const bench = EntryBench.withAgents(...agents)
  bench.peer('other', -1)
  bench.advance(SETTLED_MILLISECONDS, agents)
  bench.take()
  return bench
}

function ask (job: string, count: number, changes: Partial<MessageOf<'ask'>> = {}): MessageOf<'ask'> {
  const { needs, label, rack, perTarget } = step(count)
  const tasks = Array.from({ length: count }, (_none, index) => ({ name: `${job}.0.${index}`, avoid: '' }))
  return { type: 'ask', group: '', service: 'checks', job, within: 200, waits: true, steps: [{ index: 0, needs, label, rack, perTarget, expected: 300, endBy: 500, tasks, placed: [] }], except: [], ...changes }
}

function messages<Type extends PeerMessage['type']> (bench: EntryBench, peer: string, type: Type): Array<MessageOf<Type>> {
  return bench.told(peer).filter((message): message is MessageOf<Type> => message.type === type)
}

/** Tasks of `other` with granted capacity, with their agents. */
function grants (bench: EntryBench): string[] {
  return messages(bench, 'other', 'grant').flatMap(message => message.grants.map(({ task, agent }) => `${task} ${agent}`))
}

test('an entry requests capacity from the allocator, and starts the granted tasks', () => {
  const bench = asking('one', 'two')
  bench.submit('job', [step(2)])
  expect(bench.starts()).toEqual([])
  expect(messages(bench, 'chief', 'ask').map(({ job, waits }) => [job, waits])).toEqual([['job', true]])
  bench.receive('chief', { type: 'grant', job: 'job', grants: [{ task: 'job.0.0', agent: 'two' }, { task: 'job.0.1', agent: 'one' }], waited: 0 })
  expect(bench.starts()).toEqual(['two job.0.0 1', 'one job.0.1 1'])
})

// Guards against several entries sending starts for the same capacity, of which one is rejected a round trip later. A start
// in transit uses capacity before the target receives it.
test('granted capacity is not granted again before its start arrives', () => {
  const bench = allocating('one')
  bench.receive('other', ask('first', 3))
  bench.receive('other', ask('second', 2))
  expect(grants(bench)).toEqual(['first.0.0 one', 'first.0.1 one', 'first.0.2 one', 'second.0.0 one'])
  bench.take()
  bench.do({ type: 'agentMessage', agent: 'one', message: { type: 'load', load: { others: { cpu: 6000, memory: 0, accelerators: 0 }, pace: 0, taken: ['first.0.0', 'first.0.1', 'first.0.2', 'second.0.0'] } } })
  expect(grants(bench)).toEqual(['second.0.1 one'])
})

test('own jobs and requests of others get capacity in one order', () => {
  const bench = allocating('one')
  bench.submit('filler', [step(4)])
  bench.submit('own')
  bench.receive('other', ask('pressing', 1, { within: 0 }))
  bench.end('one', 'filler.0.0')
  expect(grants(bench)).toEqual(['pressing.0.0 one'])
  bench.end('one', 'filler.0.1')
  expect(bench.starts().at(-1)).toEqual('one own.0.0 1')
})

test('granted capacity is free again when the entry releases it, or its start does not arrive', () => {
  const bench = allocating('one')
  bench.receive('other', ask('first', 4))
  bench.receive('other', ask('second', 2))
  bench.take()
  bench.receive('other', { type: 'release', grants: [{ task: 'first.0.0', agent: 'one' }] })
  expect(grants(bench)).toEqual(['second.0.0 one'])
  bench.take()
  bench.advance(GRANT_TIMEOUT_MILLISECONDS + 50, ['one'])
  expect(grants(bench)).toEqual(['second.0.1 one'])
})

test('a request that is withdrawn, or whose entry is gone, gets nothing', () => {
  const bench = allocating('one')
  bench.submit('filler', [step(4)])
  bench.receive('other', ask('withdrawn', 1))
  bench.receive('other', { type: 'unask', job: 'withdrawn' })
  bench.peer('gone', -1)
  bench.receive('gone', ask('orphan', 1))
  bench.do({ type: 'peerUnlinked', peer: 'gone' })
  bench.end('one', 'filler.0.0')
  expect(bench.told('gone').concat(bench.told('other')).filter(({ type }) => type === 'grant')).toEqual([])
})

// A target may fail all starts of one entry while the allocator observes no failure; and failures that the allocator observes
// are no reason to deny the requesting entry a target that works for it.
test('each entry judges the health of a target independently', () => {
  const bench = asking('one', 'two')
  bench.submit('job', [step(1)])
  bench.receive('chief', { type: 'grant', job: 'job', grants: [{ task: 'job.0.0', agent: 'one' }], waited: 0 })
  bench.take()
  bench.end('one', 'job.0.0', Outcome.NotStarted, Cause.Unhealthy)
  expect(messages(bench, 'chief', 'ask').map(({ except }) => except)).toEqual([['one']])
})

test('an agent that the requesting entry cannot use is not granted to it', () => {
  const bench = allocating('one', 'two')
  bench.receive('other', ask('job', 2, { except: ['one'] }))
  expect(grants(bench)).toEqual(['job.0.0 two', 'job.0.1 two'])
})

test('a grant that arrives too late is released', () => {
  const bench = asking('one')
  const request = bench.submit('job')
  bench.do({ type: 'requestGone', request })
  bench.receive('chief', { type: 'grant', job: 'job', grants: [{ task: 'job.0.0', agent: 'one' }], waited: 0 })
  expect(bench.starts()).toEqual([])
  expect(bench.told('chief').map(({ type }) => type)).toEqual(['ask', 'unask', 'release'])
})

// The allocator is frozen or its machine has lost power without closing links. Its own callers are lost; those of other
// entries must not be.
test('a job does not wait for an unresponsive allocator', () => {
  const bench = asking('one')
  bench.submit('job')
  bench.advance(ALLOCATOR_TIMEOUT_MILLISECONDS + 50, ['one'])
  expect(bench.starts()).toEqual(['one job.0.0 1'])
})

test('a job does not wait for an allocator whose link has ended', () => {
  const bench = asking('one')
  bench.submit('job')
  bench.do({ type: 'peerUnlinked', peer: 'chief' })
  expect(bench.starts()).toEqual(['one job.0.0 1'])
})

test('an entry that has just started allocates no capacity', () => {
  const bench = EntryBench.withAgents('one')
  bench.peer('other', -1)
  bench.advance(SETTLING_MILLISECONDS - 100, ['one'])
  bench.submit('job')
  expect(messages(bench, 'other', 'ask').length).toEqual(1)
})

test('an entry that stops leaves the allocation to another', () => {
  const bench = allocating('one')
  bench.do({ type: 'stopOrdered' })
  bench.advance(100, ['one'])
  expect(messages(bench, 'other', 'member').map(({ able }) => able)).toEqual([false])
})

// The answer of a slow allocator takes 50 ms. Refusing jobs with little time meanwhile, although targets have capacity, costs
// 0.05 of a day's service on entries of 0.12 cores.
test('a job is not refused as late while its request merely awaits an answer', () => {
  const bench = asking('one')
  const queue = { ...QUEUE, slackFactor: 1, latency: 100 }
  bench.submit('first', [step(1, { estimated: 100 })], { queue })
  bench.submit('second', [step(1, { estimated: 100 })], { queue })
  bench.advance(90, ['one'])
  expect(bench.answers()).toEqual([])
  bench.receive('chief', { type: 'waiting', jobs: ['first', 'second'], crowded: true })
  bench.advance(20, ['one'])
  expect(bench.answers().map(([, answer]) => answer)).toEqual(['refused overload', 'refused overload'])
})

/** An entry in data centre `one` among two groups of targets. */
function withTwoGroups (): EntryBench {
  const bench = new EntryBench()
  bench.configure()
  const names = Array.from({ length: 2 * MIN_GROUP_TARGETS }, (_none, index) => `agent${index}`)
  for (const [index, name] of names.entries()) bench.link(name, { dataCentre: index % 2 === 0 ? 'one' : 'two' })
  bench.peer('far', 1, 'two')
  bench.advance(SETTLED_MILLISECONDS, names)
  return bench
}

// After a burst of callers in one data centre its targets are full while those of another are idle.
test('what does not fit in the home group is requested from a group with free capacity', () => {
  const bench = withTwoGroups()
  bench.peer('near', 1)
  bench.advance(100)
  bench.receive('near', { type: 'room', group: 'one', free: 0 })
  bench.receive('far', { type: 'room', group: 'two', free: 100_000 })
  bench.take()
  bench.submit('job')
  expect(messages(bench, 'far', 'ask').map(({ group, waits }) => [group, waits])).toEqual([['two', false]])
  bench.receive('far', { type: 'declined', job: 'job', group: 'two', free: 0 })
  expect(messages(bench, 'near', 'ask').map(({ group, waits }) => [group, waits])).toEqual([['one', true]])
})

test('the free capacity of a group is reported to the others, and again when it has changed', () => {
  const bench = withTwoGroups()
  const reported = (): number[] => messages(bench, 'far', 'room').map(({ free }) => free)
  expect(reported()).toEqual([MIN_GROUP_TARGETS * 8000])
  bench.submit('small')
  bench.advance(200)
  expect(reported()).toEqual([MIN_GROUP_TARGETS * 8000])
  bench.submit('large', [step(MIN_GROUP_TARGETS)])
  bench.advance(200)
  expect(reported()).toEqual([MIN_GROUP_TARGETS * 8000, MIN_GROUP_TARGETS * 6000 - 2000])
})

test('an entry whose own group is full requests capacity elsewhere', () => {
  const bench = withTwoGroups()
  bench.receive('far', { type: 'room', group: 'two', free: 100_000 })
  bench.submit('filler', [step(4 * MIN_GROUP_TARGETS)])
  bench.take()
  bench.submit('job')
  expect(messages(bench, 'far', 'ask').map(({ job }) => job)).toEqual(['job'])
})

test('a request that may not wait is declined when it does not fit', () => {
  const bench = allocating('one')
  bench.receive('other', ask('job', 5, { waits: false }))
  expect(grants(bench).length).toEqual(4)
  expect(messages(bench, 'other', 'declined').map(({ job, free }) => [job, free])).toEqual([['job', 0]])
})

// On processors of 0.12 cores an answer takes 20 to 60 ms, more than a rejected start costs, which makes jobs with little time
// late.
test('an entry whose requests are answered slowly chooses targets itself, and sends requests again when answers are fast', () => {
  const bench = asking('one', 'two')
  const answerAfter = (job: string, milliseconds: number): void => {
    bench.submit(job)
    bench.now += milliseconds
    bench.receive('chief', { type: 'grant', job, grants: [{ task: `${job}.0.0`, agent: 'one' }], waited: 0 })
    bench.end('one', `${job}.0.0`)
  }
  for (let number = 0; number < 20; number += 1) answerAfter(`slow${number}`, 40)
  bench.take()
  bench.submit('direct')
  expect(bench.starts().length).toEqual(1)
  for (let number = 0; number < 30; number += 1) {
    bench.advance(250, ['one', 'two'])
    answerAfter(`quick${number}`, 2)
  }
  bench.take()
  bench.submit('asked')
  expect(messages(bench, 'chief', 'ask').map(({ job }) => job)).toEqual(['asked'])
})
