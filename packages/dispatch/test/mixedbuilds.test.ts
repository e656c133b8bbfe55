import type { AgentMessage, EntryMessage } from '../src/messages.ts'
import type { PeerMessage } from '../src/roommessages.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { SETTLING_MILLISECONDS } from '../src/defaults.ts'
import { AgentBench, ENTRY } from './agentbench.ts'
import { EntryBench, step } from './entrybench.ts'

const UNKNOWN = { type: 'of a later build' }

// Guards against a rolling replacement in which a newer process speaks first: an unknown message ended the process.
test('an entry goes on after messages of kinds that it does not know', () => {
  const bench = EntryBench.withAgents('one')
  bench.peer('other')
  bench.receive('other', UNKNOWN as unknown as PeerMessage)
  bench.do({ type: 'agentMessage', agent: 'one', message: UNKNOWN as unknown as AgentMessage })
  bench.submit('job')
  bench.pass(50, ['one'])
  expect(bench.take().filter(effect => effect.type === 'note' && effect.what === 'message of an unknown kind ignored').length).toEqual(2)
})

// Guards against a rolling replacement in which entries that do not say by when a task must end ask in vain.
test('an entry that places by slack gives room to one that does not say how long its tasks may take', () => {
  const bench = new EntryBench({ policy: { placesBySlack: true }, strength: 1 }).serving('one')
  bench.peer('other')
  bench.pass(SETTLING_MILLISECONDS + 100, ['one'])
  bench.take()
  const { needs, label, rack, perTarget } = step(1)
  const steps = [{ index: 0, needs, label, rack, perTarget, expected: 300, tasks: [{ name: 'job.0.0', avoid: '' }], placed: [] }]
  bench.receive('other', { type: 'ask', group: '', service: 'checks', job: 'job', within: 200, waits: false, steps, except: [] })
  expect(bench.told('other').map(({ type }) => type)).toEqual(['grant'])
})

test('an agent goes on after a message of a kind that it does not know', () => {
  const bench = AgentBench.ready()
  bench.do({ type: 'entryMessage', entry: ENTRY, message: UNKNOWN as unknown as EntryMessage })
  bench.run('task')
  expect(bench.of('start').length).toEqual(1)
})
