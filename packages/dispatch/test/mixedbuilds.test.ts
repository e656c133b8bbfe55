import type { AgentMessage, EntryMessage } from '../src/messages.ts'
import type { PeerMessage } from '../src/peermessages.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { PollFailure } from '../src/agenttypes.ts'
import { SETTLING_MILLISECONDS } from '../src/defaults.ts'
import { AgentBench, ENTRY, NEW_ID_EACH_INCARNATION, order } from './agentbench.ts'
import { EntryBench, step } from './entrybench.ts'

const UNKNOWN = { type: 'of a later build' }

// Guards against a crash by an unknown message during a rolling update, when a newer process sends the first message.
test('an entry ignores messages of unknown types', () => {
  const bench = EntryBench.withAgents('one')
  bench.peer('other')
  bench.receive('other', UNKNOWN as unknown as PeerMessage)
  bench.do({ type: 'agentMessage', agent: 'one', message: UNKNOWN as unknown as AgentMessage })
  bench.submit('job')
  bench.advance(50, ['one'])
  expect(bench.take().filter(effect => effect.type === 'note' && effect.what === 'message of an unknown kind ignored').length).toEqual(2)
})

// Guards against capacity requests that fail during a rolling update because older entries do not send the latest end of a task.
test('an entry that places by slack grants capacity to one that does not send how long its tasks may take', () => {
  const bench = new EntryBench({ policy: { placesBySlack: true }, strength: 1 }).serving('one')
  bench.peer('other')
  bench.advance(SETTLING_MILLISECONDS + 100, ['one'])
  bench.take()
  const { needs, label, rack, perTarget } = step(1)
  const steps = [{ index: 0, needs, label, rack, perTarget, expected: 300, tasks: [{ name: 'job.0.0', avoid: '' }], placed: [] }]
  bench.receive('other', { type: 'ask', group: '', service: 'checks', job: 'job', within: 200, waits: false, steps, except: [] })
  expect(bench.told('other').map(({ type }) => type)).toEqual(['grant'])
})

test('an agent ignores messages of unknown types', () => {
  const bench = AgentBench.ready()
  bench.do({ type: 'entryMessage', entry: ENTRY, message: UNKNOWN as unknown as EntryMessage })
  bench.run('task')
  expect(bench.effectsOfType('start').length).toEqual(1)
})

// Entries of earlier builds take any evidence that they don't know for a crash, and answer the job as failed.
test('a loss under a task whose start was not confirmed is no crash to entries of earlier builds', () => {
  for (const failure of [PollFailure.NoResponse, PollFailure.OtherInstance]) {
    const bench = AgentBench.ready({ policy: { isolatesSuspects: true } }, NEW_ID_EACH_INCARNATION)
    bench.start([order('one')])
    bench.pollFailed(failure)
    bench.advance(800)
    const records = bench.effectsOfType('send').flatMap(({ message }) => message.type === 'crashes' ? message.records : [])
    expect(records.map(({ evidence }) => evidence as string)).toEqual(['silent'])
  }
})
