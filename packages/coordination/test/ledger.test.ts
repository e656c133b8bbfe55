import { test } from 'node:test'
import { expect } from 'earl'
import type { Dispatch } from '../src/messages.ts'
import { Ledger, DispatchStatus } from '../src/ledger.ts'
import { LedgerState, TaskOutcome } from '../src/messages.ts'

const RETENTION = 1000
const PAYLOAD_LIMIT = 10

function dispatch (attempt: number, index = 0): Dispatch {
  return {
    job: 'tenant/job',
    index,
    attempt,
    agent: 'agent#1',
    tenant: 'tenant',
    service: 'service',
    payload: new Uint8Array(),
    remainingMilliseconds: 1000,
    patienceMilliseconds: 0,
    runMilliseconds: 0,
    needs: { accelerators: 0, memoryMegabytes: 0 }
  }
}

function runTask (ledger: Ledger, index: number, bytes: number, now = 0): void {
  const number = ledger.accept(dispatch(1, index), 'entry#1', now)
  ledger.start(number, now)
  ledger.finish(number, { outcome: TaskOutcome.Succeeded, payload: new Uint8Array(bytes), detail: '', runMilliseconds: 1 }, now)
}

// A task would run twice: the link breaks after a dispatch was delivered, and the entry sends it again over the new
// link.
test('a copy of a dispatch is known while the task runs', () => {
  const ledger = new Ledger(RETENTION, PAYLOAD_LIMIT)
  ledger.start(ledger.accept(dispatch(1), 'entry#1', 0), 0)
  expect(ledger.statusOf(dispatch(1))).toEqual(DispatchStatus.Known)
})

// A job answered "not run" would run: the agent refuses a dispatch, and a late copy of it finds a free slot.
test('a late copy of a refused attempt stays refused', () => {
  const ledger = new Ledger(RETENTION, PAYLOAD_LIMIT)
  ledger.refuse(dispatch(3), 'entry#1', 'full', 0)
  expect([ledger.statusOf(dispatch(2)), ledger.statusOf(dispatch(3)), ledger.statusOf(dispatch(4))]).toEqual([DispatchStatus.Settled, DispatchStatus.Settled, DispatchStatus.New])
})

test('a finished task is settled for any attempt', () => {
  const ledger = new Ledger(RETENTION, PAYLOAD_LIMIT)
  runTask(ledger, 0, 1)
  expect(ledger.statusOf(dispatch(9))).toEqual(DispatchStatus.Settled)
})

// A job would run twice: the new owner of a lost entry's job asks for the ledger, and the reply is lost with the link.
// When asked again, the agent must return the same records.
test('records are handed over again when they are recalled again', () => {
  const ledger = new Ledger(RETENTION, PAYLOAD_LIMIT)
  runTask(ledger, 0, 1)
  const recall = (): number => ledger.handOver('entry#2', () => true, holder => holder === 'entry#1').length
  expect([recall(), recall()]).toEqual([1, 1])
})

// A job would run twice: the job ids of a lost entry move on to a third entry before the second has used the records.
// The third must receive them as well.
test('unclaimed records follow the job id to its next owner', () => {
  const ledger = new Ledger(RETENTION, PAYLOAD_LIMIT)
  runTask(ledger, 0, 1)
  ledger.handOver('entry#2', () => true, holder => holder === 'entry#1')
  const lines = ledger.handOver('entry#3', () => true, () => false)
  expect(lines.map(line => line.state)).toEqual([LedgerState.Finished])
})

test('claimed records stay with the entry that runs the job', () => {
  const ledger = new Ledger(RETENTION, PAYLOAD_LIMIT)
  runTask(ledger, 0, 1)
  ledger.handOver('entry#2', () => true, holder => holder === 'entry#1')
  ledger.claim(dispatch(1), 'entry#2')
  expect(ledger.handOver('entry#3', () => true, () => false)).toEqual([])
})

// A job would run twice: an agent drops the record of a start while an entry still holds the receipt, so that a missing
// record is taken as "never started".
test('a start is retained longer than the entries retain the job', () => {
  const ledger = new Ledger(RETENTION, PAYLOAD_LIMIT)
  runTask(ledger, 0, 1)
  ledger.expire(RETENTION * 1.5)
  expect(ledger.size).toEqual(1)
  ledger.expire(RETENTION * 2 + 1)
  expect(ledger.size).toEqual(0)
})

test('a task whose result was evicted is reported as one that may have run', () => {
  const ledger = new Ledger(RETENTION, PAYLOAD_LIMIT)
  runTask(ledger, 0, PAYLOAD_LIMIT)
  runTask(ledger, 1, PAYLOAD_LIMIT)
  expect(ledger.payloadBytes).toEqual(PAYLOAD_LIMIT)
  expect(ledger.resultFor('tenant/job', 0)?.outcome).toEqual(TaskOutcome.MayHaveRun)
})
