import { test } from 'node:test'
import { expect } from 'earl'
import type { TakeoverStart } from '../src/takeover.ts'
import { Takeover } from '../src/takeover.ts'

const TIMINGS = { agentLost: 2000, contact: 2500 }

function began (start: Partial<TakeoverStart>): Takeover {
  const takeover = new Takeover(TIMINGS)
  takeover.begin({ epoch: '7', peers: [], agents: new Map(), memoriesLost: false, now: 0, ...start })
  return takeover
}

// A job runs twice. Two entries survive a third; the one that owns its job ids now takes a job as
// new because it knows nothing of it, while the other still holds the receipt.
test('an unknown job id is not new before every member has told what it holds', () => {
  const takeover = began({ peers: ['a', 'b'] })
  takeover.transferred('a', '7')
  expect(takeover.unknownIsNew).toEqual(false)
  takeover.transferred('b', '7')
  expect(takeover.unknownIsNew).toEqual(true)
})

// A job runs twice. A transfer that was sent before the last change of members arrives after it and
// is taken for the answer to the present epoch, though it names the jobs of another range.
test('a transfer of an older epoch does not count', () => {
  const takeover = began({ peers: ['a'] })
  takeover.transferred('a', '6')
  expect(takeover.transfersComplete).toEqual(false)
})

test('an agent that stays silent is missing after its time, and its ledger unread', () => {
  const takeover = began({ agents: new Map([['x', undefined]]) })
  takeover.tick(1999)
  expect(takeover.recallEnded).toEqual(false)
  takeover.tick(2000)
  expect([takeover.recallEnded, takeover.ledgersComplete]).toEqual([true, false])
})

test('an agent that answers after it was missed completes the ledgers', () => {
  const takeover = began({ agents: new Map([['x', -5000]]) })
  expect(takeover.ledgersComplete).toEqual(false)
  takeover.recalled('x', '7')
  expect(takeover.ledgersComplete).toEqual(true)
})

// A certificate is issued twice. Two entries die with an agent; the third takes an unknown job as
// new in the instant in which the silent agent has had its time, before it has raised its horizon.
test('with both memories lost nothing is new until the loss is taken', () => {
  const takeover = began({ agents: new Map([['x', undefined]]), memoriesLost: true })
  takeover.tick(2750)
  expect(takeover.unknownIsNew).toEqual(false)
  expect(takeover.takeMemoryLoss(2750)).toEqual(true)
  expect(takeover.unknownIsNew).toEqual(true)
  expect(takeover.takeMemoryLoss(2751)).toEqual(false)
})

test('a cut-off agent has its time to stop before a loss of memory is taken', () => {
  const takeover = began({ agents: new Map([['x', -5000]]), memoriesLost: true })
  expect(takeover.takeMemoryLoss(2749)).toEqual(false)
})

// A job runs twice. Every entry is replaced at once; the new ones read all ledgers that they can
// reach, but nobody remembers the agent that has gone with the old entries.
test('ledgers are never complete when nobody remembers which agents there were', () => {
  const takeover = began({})
  takeover.forgotten('unknown')
  expect(takeover.ledgersComplete).toEqual(false)
})
