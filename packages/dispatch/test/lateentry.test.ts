import { test } from 'node:test'
import { expect } from 'earl'
import { Cause, Outcome } from '../src/messages.ts'
import { EntryBench, step } from './entrybench.ts'

const REMAINING = 3000
const WHILE_ON_TIME = 2500
const LATE = 1000

// Guards against starting tasks beside those of the caller's next submission through another entry.
test('a delayed entry does not place a task again that ends after the deadline of its job', () => {
  const bench = EntryBench.withAgents('one', 'two')
  bench.submit('job', [step(1)], { remaining: REMAINING })
  const [agent] = bench.starts().map(start => start.split(' ')[0] as string)
  bench.advance(WHILE_ON_TIME, ['one', 'two'])
  bench.take()
  bench.now += LATE
  bench.end(agent as string, 'job.0.0', Outcome.Gone, Cause.Stopped)
  expect(bench.starts()).toEqual([])
})

test('a task that ends before the deadline of its job is placed again', () => {
  const bench = EntryBench.withAgents('one', 'two')
  bench.submit('job', [step(1)], { remaining: REMAINING + LATE })
  const [agent] = bench.starts().map(start => start.split(' ')[0] as string)
  bench.advance(WHILE_ON_TIME, ['one', 'two'])
  bench.take()
  bench.end(agent as string, 'job.0.0', Outcome.Gone, Cause.Stopped)
  expect(bench.starts().length).toEqual(1)
})
