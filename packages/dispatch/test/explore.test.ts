import { test } from 'node:test'
import { expect } from 'earl'
import { runSeed, findFirst, Theme } from '../explore/faults.ts'

/** Seeds that found concurrent runs of one task, with their causes. */
const FAILED_SEEDS = [
  // The stop of an unanswered start overtook it. The target refused the start as an old run, and it was sent again.
  247
]

/** Seeds to try for each guard: without the guard, at least one of them must violate an invariant. */
const GUARDS: Record<string, { first: number, runs: number, theme?: Theme, only?: string }> = {
  contact: { first: 1, runs: 60 },
  takeBack: { first: 1, runs: 60 },
  clearing: { first: 1, runs: 120 },
  echoAge: { first: 1, runs: 60 },
  heldStarts: { first: 1, runs: 60 },
  silence: { first: 1, runs: 60 },
  cleared: { first: 1, runs: 60 },
  nextLife: { first: 1, runs: 60, theme: Theme.Lateness, only: 'nextLifeUnstopped' },
  freshContact: { first: 9048, runs: 60, theme: Theme.Lateness, only: 'nextLifeUnstopped' },
  lifeProof: { first: 1, runs: 60, theme: Theme.Operators },
  evacuation: { first: 121, runs: 60, theme: Theme.Operators },
  evacuationReads: { first: 1, runs: 60, theme: Theme.Operators },
  stopAgain: { first: 1, runs: 40, theme: Theme.Cancels },
  cancelMemory: { first: 1, runs: 40, theme: Theme.Cancels },
  cancelNews: { first: 1, runs: 40, theme: Theme.Losses },
  cancelStored: { first: 1, runs: 40, theme: Theme.Losses },
  capacityNews: { first: 1, runs: 60, theme: Theme.Capacity },
  drain: { first: 1, runs: 60, theme: Theme.Capacity },
  grantedOnce: { first: 1, runs: 60, theme: Theme.Partitions },
  refusals: { first: 1, runs: 60, theme: Theme.Lateness },
  boundedLease: { first: 1, runs: 60, theme: Theme.Lateness }
}

test('no task has two concurrent runs under random faults', () => {
  expect(findFirst(5000, 40, Theme.Processes)).toEqual(undefined)
})

test('evacuations and targets that restart under their names violate no invariant', () => {
  expect(findFirst(5000, 60, Theme.Operators)).toEqual(undefined)
})

test('no task of a cancelled job runs beyond the bound, with late orders and removed entries and agents', () => {
  expect(findFirst(5000, 40, Theme.Cancels)).toEqual(undefined)
})

test('no task of a cancelled job runs beyond the bound when all entries or all processes are lost at once', () => {
  expect(findFirst(5000, 40, Theme.Losses)).toEqual(undefined)
})

test('targets that shrink, grow and leave receive no start beyond their capacity or their drain time', () => {
  expect(findFirst(5000, 60, Theme.Capacity)).toEqual(undefined)
})

test('entries that grant capacity of the same targets start no task twice', () => {
  expect(findFirst(5000, 60, Theme.Partitions)).toEqual(undefined)
})

test('delayed processes and targets that refuse connections start no task twice', () => {
  expect(findFirst(5000, 60, Theme.Lateness)).toEqual(undefined)
})

test('targets that fail, crash and lose answers let no job fail without as many listed failures as its queue allows', () => {
  expect(findFirst(5000, 60, Theme.Failures)).toEqual(undefined)
})

test('jobs are answered as failed while all targets fail everything', () => {
  const { violation, answers } = runSeed(2, Theme.Failures, { only: 'failAllEach' })
  expect([violation, (answers.get('failed') ?? 0) > 0]).toEqual([undefined, true])
})

test('a job that is answered as failed after too few listed failures violates an invariant', () => {
  const { violation } = runSeed(2, Theme.Failures, { only: 'failAllEach', attempts: 2 })
  expect(violation?.detail ?? '').toMatchRegex(/ answered as failed after at most 2 listed failures of one task, 3 are required$/)
})

for (const seed of FAILED_SEEDS) {
  test(`seed ${seed}, which found a fault, violates no invariant`, () => {
    expect(runSeed(seed, Theme.Processes).violation).toEqual(undefined)
  })
}

for (const [guard, { first, runs, theme = Theme.Processes, only }] of Object.entries(GUARDS)) {
  test(`without the guard "${guard}" an invariant is violated`, () => {
    expect(findFirst(first, runs, theme, { broken: guard, only }) === undefined).toEqual(false)
  })
}
