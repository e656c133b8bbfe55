import { test } from 'node:test'
import { expect } from 'earl'
import { handoverOf, isHandover, receiptsOfJobs } from '../src/handover.ts'
import { AnswerKind, Cause } from '../src/messages.ts'

const REMAINING = ['b', 'c', 'd'].map(instance => ({ instance, address: '', dataCentre: instance, leaving: false }))
const ANSWER = { kind: AnswerKind.Complete, cause: Cause.None, detail: '', results: [], retryAfterMilliseconds: 0 }

// A job would run twice in a rolling replacement if the stopping entry gave each answer to one entry only. When that
// one is lost a second later, a resubmission finds no entry with a record of the job.
test('two entries have a record of each job after an entry has stopped', () => {
  const handover = handoverOf({ self: 'a', remaining: REMAINING, jobs: [{ key: 'tenant/1', digest: 'd', answer: ANSWER }], receipts: [] })
  const lists = [...handover.values()].map(receiptsOfJobs).filter(receipts => receipts.length > 0)
  expect(lists.length).toEqual(2)
  expect(lists.flat().filter(receipt => receipt.answer !== undefined).length).toEqual(1)
})

test('a receipt passes to an entry other than the one that runs the job', () => {
  const handover = handoverOf({ self: 'a', remaining: REMAINING, jobs: [], receipts: [{ job: 'tenant/1', digest: 'd', executor: 'b' }] })
  const keepers = [...handover].filter(([, receipts]) => receiptsOfJobs(receipts).length > 0).map(([instance]) => instance)
  expect(keepers.length).toEqual(1)
  expect(keepers).not.toEqual(['b'])
})

test('a handover is marked as complete, even when it is empty', () => {
  const handover = handoverOf({ self: 'a', remaining: REMAINING, jobs: [], receipts: [] })
  expect([...handover.values()].map(isHandover)).toEqual([true, true, true])
  expect(isHandover([])).toEqual(false)
})
