import { test } from 'node:test'
import { expect } from 'earl'
import type { TakeoverStart } from '../src/takeover.ts'
import { Takeover } from '../src/takeover.ts'

const TIMINGS = { agentLost: 2000, contact: 2500 }

function createTakeover (start: Partial<TakeoverStart>): Takeover {
  const takeover = new Takeover(TIMINGS)
  takeover.begin({ epoch: '7', peers: [], agents: new Map(), bothCopiesLost: false, now: 0, ...start })
  return takeover
}

// A job would run twice: two entries remain after a third is lost. The new owner of its job ids accepts a job as new
// while the other still holds the receipt.
test('an unknown job id is not new before every member has sent its transfer', () => {
  const takeover = createTakeover({ peers: ['a', 'b'] })
  takeover.transferred('a', '7')
  expect(takeover.unknownJobsAreNew).toEqual(false)
  takeover.transferred('b', '7')
  expect(takeover.unknownJobsAreNew).toEqual(true)
})

// A job would run twice: a transfer sent before the last change of members arrives after it and is taken as the one for
// the current epoch, although it lists the jobs of another range.
test('a transfer of an older epoch does not count', () => {
  const takeover = createTakeover({ peers: ['a'] })
  takeover.transferred('a', '6')
  expect(takeover.transfersComplete).toEqual(false)
})

test('an agent that does not respond counts as missing after its time, with its ledger unread', () => {
  const takeover = createTakeover({ agents: new Map([['x', undefined]]) })
  takeover.tick(1999)
  expect(takeover.recallEnded).toEqual(false)
  takeover.tick(2000)
  expect([takeover.recallEnded, takeover.ledgersComplete]).toEqual([true, false])
})

test('a missing agent that answers late completes the ledgers', () => {
  const takeover = createTakeover({ agents: new Map([['x', -5000]]) })
  expect(takeover.ledgersComplete).toEqual(false)
  takeover.recalled('x', '7')
  expect(takeover.ledgersComplete).toEqual(true)
})

// A job would run twice: two entries are lost with an agent. The third accepts an unknown job as new in the instant in
// which the agent times out, before it has raised its horizon.
test('with both copies lost no job id is new until the loss is confirmed', () => {
  const takeover = createTakeover({ agents: new Map([['x', undefined]]), bothCopiesLost: true })
  takeover.tick(2750)
  expect(takeover.unknownJobsAreNew).toEqual(false)
  expect(takeover.confirmMemoryLoss(2750)).toEqual(true)
  expect(takeover.unknownJobsAreNew).toEqual(true)
  expect(takeover.confirmMemoryLoss(2751)).toEqual(false)
})

test('a loss of memory is confirmed only after an isolated agent has had time to stop', () => {
  const takeover = createTakeover({ agents: new Map([['x', -5000]]), bothCopiesLost: true })
  expect(takeover.confirmMemoryLoss(2749)).toEqual(false)
})

// A job would run twice: every entry is replaced at once. The new ones read all ledgers that they can reach, but have
// no record of the agent that was lost with the old entries.
test('ledgers are never complete when the earlier agents are unknown', () => {
  const takeover = createTakeover({})
  takeover.addUnknownAgents('unknown')
  expect(takeover.ledgersComplete).toEqual(false)
})
