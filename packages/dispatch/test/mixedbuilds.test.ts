import type { AgentMessage, EntryMessage } from '../src/messages.ts'
import type { PeerMessage } from '../src/roommessages.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { AgentBench, ENTRY } from './agentbench.ts'
import { EntryBench } from './entrybench.ts'

const UNKNOWN = { type: 'of a later build' }

// Guards against a rolling replacement in which a newer process speaks first: an unknown message ended the process.
test('an entry goes on after messages of kinds that it does not know', () => {
  const bench = EntryBench.withAgents('one')
  bench.peer('other')
  bench.hear('other', UNKNOWN as unknown as PeerMessage)
  bench.do({ type: 'agentMessage', agent: 'one', message: UNKNOWN as unknown as AgentMessage })
  bench.submit('job')
  bench.pass(50, ['one'])
  expect(bench.take().filter(effect => effect.type === 'note' && effect.what === 'message of an unknown kind ignored').length).toEqual(2)
})

test('an agent goes on after a message of a kind that it does not know', () => {
  const bench = AgentBench.ready()
  bench.do({ type: 'entryMessage', entry: ENTRY, message: UNKNOWN as unknown as EntryMessage })
  bench.run('task')
  expect(bench.of('start').length).toEqual(1)
})
