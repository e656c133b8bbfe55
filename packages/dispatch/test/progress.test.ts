import { test } from 'node:test'
import { expect } from 'earl'
import { AgentBench, order } from './agentbench.ts'

// A task of one minute advances by one percent every 600 ms. If it counted as stuck between two of them, it would be moved for ever.
test('a long task that has not yet reached its next percent does not count as stuck', () => {
  const bench = AgentBench.ready()
  bench.start([{ ...order('job.0.0'), expected: 60_000 }])
  bench.startAnswered('job.0.0')
  for (let elapsed = 0; elapsed < 1200; elapsed += 100) {
    bench.now += 100
    bench.echo()
    bench.polled([{ task: 'job.0.0', run: 1, percent: Math.floor(elapsed / 600) }])
  }
  expect(bench.sent('slow')).toEqual([])
})
