import { test } from 'node:test'
import { expect } from 'earl'
import { RunEnd } from '../src/agenttypes.ts'
import { AllocationRole } from '../src/messages.ts'
import { AgentBench, ENTRY, order, TIMINGS } from './agentbench.ts'

const OTHER_ENTRY = 'entry-2#a'

function sendRole (bench: AgentBench, role = AllocationRole.Asks, entry = ENTRY): void {
  bench.do({ type: 'entryMessage', entry, message: { type: 'role', role } })
}

function quietBench (): AgentBench {
  const bench = AgentBench.ready()
  sendRole(bench)
  bench.advance(TIMINGS.contact + 50)
  bench.take()
  return bench
}

// Most of the 5,600 links between 35 entries and 160 agents carry no task at any time. With frequent pings, pings and echoes on
// them are more than half of all messages of the fleet.
test('links to entries that ask others for capacity are pinged rarely when there are many', () => {
  const bench = AgentBench.ready()
  for (let number = 2; number <= 35; number += 1) {
    bench.link(`entry-${number}#a`)
    sendRole(bench, AllocationRole.Asks, `entry-${number}#a`)
  }
  bench.take()
  bench.advance(2000)
  expect(bench.effectsOfType('send').filter(({ entry }) => entry === 'entry-20#a').length).toEqual(1)
})

test('the first start on a quiet link is carried out once the entry has echoed a ping', () => {
  const bench = quietBench()
  bench.start([order('job.0.0')])
  expect(bench.effectsOfType('start')).toEqual([])
  expect(bench.sent('ping').length).toEqual(1)
  bench.now += 2
  bench.echo(bench.now - 2)
  expect(bench.effectsOfType('start').map(({ task }) => task)).toEqual(['job.0.0'])
})

// A partition delays a start for seconds, and the entry, which counts the task as gone, has closed the link.
test('a start that waits for an echo is dropped when the link ends', () => {
  const bench = quietBench()
  bench.start([order('job.0.0')])
  bench.do({ type: 'entryUnlinked', entry: ENTRY })
  bench.link()
  bench.echo()
  expect(bench.effectsOfType('start')).toEqual([])
})

// The entry is frozen, or only the direction to the agent is interrupted. The start must not wait without a limit.
test('a start that gets no echo is refused by closing the link', () => {
  const bench = quietBench()
  bench.start([order('job.0.0')])
  bench.advance(TIMINGS.contact + 50)
  expect(bench.effectsOfType('unlink').length).toEqual(1)
  bench.echo()
  expect(bench.effectsOfType('start')).toEqual([])
})

// The machine is suspended between the start and the echo of the ping that it caused, which then looks fresh.
test('a start that waits for an echo is dropped by a suspension', () => {
  const bench = quietBench()
  bench.start([order('job.0.0')])
  const pinged = bench.now
  bench.do({ type: 'woke', asleep: 5000 })
  bench.echo(pinged)
  expect(bench.effectsOfType('start')).toEqual([])
  expect(bench.effectsOfType('unlink').length).toEqual(1)
})

// Guards against sending freed capacity only with the next ping, up to half a second later.
test('an entry that allocates capacity is sent the starts of other entries, and at once the capacity that they free', () => {
  const bench = AgentBench.ready()
  bench.link(OTHER_ENTRY)
  sendRole(bench, AllocationRole.Allocates, OTHER_ENTRY)
  bench.run('job.0.0')
  bench.take()
  bench.polled([], [{ number: 1, task: 'job.0.0', run: 1, end: RunEnd.Done }])
  const messages = bench.effectsOfType('send').filter(({ entry }) => entry === OTHER_ENTRY).map(({ message }) => message)
  expect(messages).toEqual([{ type: 'load', load: { pace: expect.a(Number), others: { cpu: 0, memory: 0, accelerators: 0 }, taken: ['job.0.0'] } }])
})

// A job that is cancelled while its start waits must not begin afterwards, and the entry must be informed that it has not run.
test('a start that waits for an echo can be stopped', () => {
  const bench = quietBench()
  bench.start([order('job.0.0'), order('job.0.1')])
  bench.do({ type: 'entryMessage', entry: ENTRY, message: { type: 'stop', tasks: [{ task: 'job.0.0', attempt: 1 }] } })
  expect(bench.ends()).toEqual(['job.0.0 notStarted stopped'])
  bench.echo()
  expect(bench.effectsOfType('start').map(({ task }) => task)).toEqual(['job.0.1'])
})

test('waiting starts are carried out before a later one that carries an echo', () => {
  const bench = quietBench()
  bench.start([order('job.0.0')])
  const echo = { sent: bench.now, received: 0, waiting: false }
  bench.do({ type: 'entryMessage', entry: ENTRY, message: { type: 'start', payload: '', tasks: [order('next.0.0')], echo } })
  expect(bench.effectsOfType('start').map(({ task }) => task)).toEqual(['job.0.0', 'next.0.0'])
})
