import { test } from 'node:test'
import { expect } from 'earl'
import { search } from '../explore/search.ts'

/**
 * For each guard, a seed and the number of schedules within which switching it off must cause a violation.
 */
const GUARDS: Record<string, { seed: number, bound: number }> = {
  claim: { seed: 1, bound: 300 },
  takeover: { seed: 2, bound: 500 },
  secondMemory: { seed: 2, bound: 500 },
  ledgersComplete: { seed: 1, bound: 300 },
  horizon: { seed: 1, bound: 500 },
  submission: { seed: 2, bound: 1500 },
  attempt: { seed: 2, bound: 2000 },
  inForce: { seed: 3, bound: 2500 },
  acquaintance: { seed: 1, bound: 1000 },
  refusal: { seed: 1, bound: 6000 },
  release: { seed: 3, bound: 3000 },
  fence: { seed: 1, bound: 1000 },
  incarnation: { seed: 1, bound: 500 },
  ledger: { seed: 1, bound: 300 },
  isolation: { seed: 3, bound: 3000 },
  rooted: { seed: 1, bound: 500 }
}

test('no schedule of faults violates an invariant', () => {
  const found = search({ seed: 11, runs: 2000, shrink: false })
  expect(found.violation).toEqual(undefined)
  expect(found.runs).toEqual(2000)
})

for (const [guard, { seed, bound }] of Object.entries(GUARDS)) {
  test(`without the guard "${guard}" some schedule violates an invariant`, () => {
    const found = search({ seed, runs: bound, broken: guard, shrink: false })
    expect(found.violation === undefined).toEqual(false)
  })
}
