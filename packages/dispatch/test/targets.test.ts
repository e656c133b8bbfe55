/** Which targets an entry places tasks at: healthy ones with capacity, local ones first. */
import { test } from 'node:test'
import { expect } from 'earl'
import { Cause, Outcome } from '../src/messages.ts'
import { EntryBench, step } from './entrybench.ts'

test('a task without progress is moved to another target', () => {
  const bench = EntryBench.withAgents('one', 'two')
  bench.submit('job')
  const stuck = bench.starts()[0]?.split(' ')[0] as string
  const other = stuck === 'one' ? 'two' : 'one'
  bench.do({ type: 'agentMessage', agent: stuck, message: { type: 'slow', tasks: [{ task: 'job.0.0', attempt: 1, remaining: -1 }] } })
  expect(bench.stops()).toEqual([`${stuck} job.0.0`])
  expect(bench.starts().length).toEqual(1)
  bench.end(stuck, 'job.0.0', Outcome.Gone, Cause.Stopped)
  expect(bench.starts().at(-1)).toEqual(`${other} job.0.0 2`)
})

test('a slow task is moved once', () => {
  const bench = EntryBench.withAgents('one', 'two')
  bench.submit('job')
  for (let attempt = 1; attempt <= 2; attempt += 1) {
    const agent = bench.starts().at(-1)?.split(' ')[0] as string
    bench.do({ type: 'agentMessage', agent, message: { type: 'slow', tasks: [{ task: 'job.0.0', attempt, remaining: 2000 }] } })
    bench.end(agent, 'job.0.0', Outcome.Gone, Cause.Stopped, attempt)
  }
  expect(bench.stops().length).toEqual(1)
})

test('a target whose tasks fail is ejected', () => {
  const bench = EntryBench.withAgents('one', 'two', 'three', 'four')
  for (let job = 0; job < 8; job += 1) {
    bench.submit(`job${job}`)
    const agent = bench.starts().at(-1)?.split(' ')[0] as string
    bench.end(agent, `job${job}.0.0`, agent === 'one' ? Outcome.Failed : Outcome.Done)
  }
  bench.take()
  for (let job = 10; job < 14; job += 1) bench.submit(`job${job}`)
  expect(bench.starts().filter(start => start.startsWith('one')).length).toBeLessThanOrEqual(1)
})

// Starts get lost at any target at times. Three in a row at one target are chance; a target that answers none at all
// takes work from the others until it is ejected.
test('a target is ejected when it answers no start at all, not for a few lost ones', () => {
  const bench = EntryBench.withAgents('one', 'two', 'three', 'four')
  bench.submit('wide', [step(16)])
  loseStarts(bench, 'one')
  expect(startsAt(bench, 'one').length).toEqual(4)
  loseStarts(bench, 'one')
  bench.take()
  bench.submit('next')
  expect(startsAt(bench, 'one')).toEqual([])
})

function startsAt (bench: EntryBench, agent: string): string[] {
  return bench.starts().filter(start => start.startsWith(`${agent} `))
}

/** The starts sent to a target get no answer. */
function loseStarts (bench: EntryBench, agent: string): void {
  const lost = startsAt(bench, agent)
  bench.take()
  for (const start of lost) {
    const [, task = '', attempt = ''] = start.split(' ')
    bench.end(agent, task, Outcome.Gone, Cause.Unanswered, Number(attempt))
  }
}

test('a slow target gets one task at a time', () => {
  const bench = EntryBench.withAgents('one', 'two', 'three')
  bench.ping('one', 0, 0.12)
  bench.ping('two', 0, 1)
  bench.ping('three', 0, 1)
  bench.do({ type: 'tick' })
  bench.submit('job', [step(12)])
  expect(bench.starts().filter(start => start.startsWith('one')).length).toEqual(1)
  expect(bench.starts().length).toEqual(9)
})

// A slow target without work has no speed ratio to report. If it then counts as average and empty, the whole of the
// next wide job is placed there.
test('a target that was slow gets one task at a time until its speed ratio has recovered', () => {
  const bench = EntryBench.withAgents('one', 'two', 'three')
  for (const pace of [0.12, 0]) {
    bench.ping('one', 0, pace)
    bench.ping('two', 0, 1)
    bench.ping('three', 0, 1)
    bench.do({ type: 'tick' })
  }
  bench.submit('job', [step(12)])
  expect(startsAt(bench, 'one').length).toEqual(1)
  bench.ping('one', 0, 0.9)
  bench.do({ type: 'tick' })
  expect(startsAt(bench, 'one').length).toEqual(4)
})

test('the local data centre is used first, and another one before tasks wait', () => {
  const bench = EntryBench.withAgents('near')
  bench.link('far', { dataCentre: 'two' })
  bench.take()
  bench.submit('job', [step(5)])
  expect(bench.starts().map(start => start.split(' ')[0])).toEqual(['near', 'near', 'near', 'near', 'far'])
})

test('a step goes only to targets with its label', () => {
  const bench = EntryBench.withAgents('plain')
  bench.link('special', { labels: ['b'] })
  bench.take()
  bench.submit('job', [step(5, { label: 'b' })])
  expect(bench.starts().map(start => start.split(' ')[0])).toEqual(['special', 'special', 'special', 'special'])
})

test('no more tasks of a step than allowed run on one target', () => {
  const bench = EntryBench.withAgents('one', 'two')
  bench.submit('job', [step(6, { perTarget: 2 })])
  expect(bench.starts().map(start => start.split(' ')[0]).sort()).toEqual(['one', 'one', 'two', 'two'])
})

// Machines are replaced by others under new names. If lost ones counted as targets forever, a job that no present
// target can run would wait for them until its deadline.
test('an agent that stays away is removed', () => {
  const bench = EntryBench.withAgents('one')
  bench.link('large', { cpu: 32_000 })
  bench.do({ type: 'agentUnlinked', agent: 'large' })
  bench.advance(14_000, ['one'])
  const needs = { cpu: 20_000, memory: 10, accelerators: 0 }
  bench.submit('early', [step(1, { needs })])
  expect(bench.answers()).toEqual([])
  bench.advance(2000, ['one'])
  const late = bench.submit('late', [step(1, { needs })])
  expect(bench.answers().at(-1)).toEqual([late, 'refused neverRunnable'])
})
