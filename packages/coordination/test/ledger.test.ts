import { test } from 'node:test'
import { expect } from 'earl'
import type { Dispatch } from '../src/messages.ts'
import { Ledger, Verdict } from '../src/ledger.ts'
import { LedgerState, TaskOutcome } from '../src/messages.ts'

const RETENTION = 1000
const ROOM = 10

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

function ran (ledger: Ledger, index: number, bytes: number, now = 0): void {
  const number = ledger.accept(dispatch(1, index), 'entry#1', now)
  ledger.start(number, now)
  ledger.finish(number, { outcome: TaskOutcome.Succeeded, payload: new Uint8Array(bytes), detail: '', runMilliseconds: 1 }, now)
}

// A photo is billed twice. The link breaks after a dispatch was delivered; the entry sends it again
// over the new link, and the agent starts the task a second time.
test('a copy of a dispatch is known while the task runs', () => {
  const ledger = new Ledger(RETENTION, ROOM)
  ledger.start(ledger.accept(dispatch(1), 'entry#1', 0), 0)
  expect(ledger.examine(dispatch(1))).toEqual(Verdict.Known)
})

// A job answered "not run" runs. The agent refuses a dispatch, the caller is told so, and a late
// copy of the same dispatch finds a free slot.
test('a refused attempt stays refused when a copy of it comes late', () => {
  const ledger = new Ledger(RETENTION, ROOM)
  ledger.refuse(dispatch(3), 'entry#1', 'full', 0)
  expect([ledger.examine(dispatch(2)), ledger.examine(dispatch(3)), ledger.examine(dispatch(4))]).toEqual([Verdict.Settled, Verdict.Settled, Verdict.New])
})

test('a finished task is settled whatever the attempt', () => {
  const ledger = new Ledger(RETENTION, ROOM)
  ran(ledger, 0, 1)
  expect(ledger.examine(dispatch(9))).toEqual(Verdict.Settled)
})

// A job runs twice. An entry is lost and its successor asks for the ledger; the reply is lost with
// the link. Asked again, the agent must not keep back what it believes handed over.
test('lines are handed over again when they are asked for again', () => {
  const ledger = new Ledger(RETENTION, ROOM)
  ran(ledger, 0, 1)
  const ask = (): number => ledger.handOver('entry#2', () => true, holder => holder === 'entry#1').length
  expect([ask(), ask()]).toEqual([1, 1])
})

// A job runs twice. The job ids of a lost entry move on to a third before the second has done
// anything with them: the third must get the lines as well.
test('lines that nobody has claimed follow the job id to its next owner', () => {
  const ledger = new Ledger(RETENTION, ROOM)
  ran(ledger, 0, 1)
  ledger.handOver('entry#2', () => true, holder => holder === 'entry#1')
  const lines = ledger.handOver('entry#3', () => true, () => false)
  expect(lines.map(line => line.state)).toEqual([LedgerState.Finished])
})

test('lines that were claimed stay with the entry that runs the job', () => {
  const ledger = new Ledger(RETENTION, ROOM)
  ran(ledger, 0, 1)
  ledger.handOver('entry#2', () => true, holder => holder === 'entry#1')
  ledger.claim(dispatch(1), 'entry#2')
  expect(ledger.handOver('entry#3', () => true, () => false)).toEqual([])
})

// A certificate is issued twice. Its agent forgets the start while an entry still holds the receipt:
// "no ledger names it" is then taken for "never started".
test('a start is remembered longer than the entries remember the job', () => {
  const ledger = new Ledger(RETENTION, ROOM)
  ran(ledger, 0, 1)
  ledger.expire(RETENTION * 1.5)
  expect(ledger.size).toEqual(1)
  ledger.expire(RETENTION * 2 + 1)
  expect(ledger.size).toEqual(0)
})

test('a result dropped for want of room is told as one that may have run', () => {
  const ledger = new Ledger(RETENTION, ROOM)
  ran(ledger, 0, ROOM)
  ran(ledger, 1, ROOM)
  expect(ledger.payloadBytes).toEqual(ROOM)
  expect(ledger.resultFor('tenant/job', 0)?.outcome).toEqual(TaskOutcome.MayHaveRun)
})
