import { test } from 'node:test'
import { expect } from 'earl'
import { RunTimeEstimates } from '../src/estimates.ts'

function estimatesFrom (declare: (run: number, number: number) => number): RunTimeEstimates {
  const estimates = new RunTimeEstimates()
  for (let number = 0; number < 600; number += 1) {
    const run = 100 * 10 ** ((number * 7 % 10) / 10)
    estimates.learn('tenant', 'service', declare(run, number), run)
  }
  return estimates
}

test('uses the declared run time while nothing is learned', () => {
  expect(new RunTimeEstimates().predict('tenant', 'service', 250)).toEqual(250)
})

test('assumes half a second when nothing is learned or declared', () => {
  expect(new RunTimeEstimates().predict('tenant', 'service', 0)).toEqual(500)
})

test('uses the learned mean for a task without declaration', () => {
  const estimates = new RunTimeEstimates()
  for (let number = 0; number < 50; number += 1) estimates.learn('tenant', 'service', 0, 120)
  expect(estimates.predict('tenant', 'service', 0)).toBeCloseTo(120, 1)
})

// Declarations can be off by a constant factor: the caller confuses seconds with milliseconds, or measures
// on a machine of another speed.
const factors = [0.1, 1, 10]
for (const factor of factors) {
  test(`corrects declarations that are always off by ${factor}`, () => {
    const estimates = estimatesFrom(run => run * factor)
    const predicted = estimates.predict('tenant', 'service', 200 * factor)
    expect(predicted > 160 && predicted < 240).toEqual(true)
  })
}

test('ignores declarations that do not correlate with the run time', () => {
  const estimates = estimatesFrom((_, number) => 10 ** (1 + (number * 13 % 30) / 10))
  const low = estimates.predict('tenant', 'service', 10)
  const high = estimates.predict('tenant', 'service', 10_000)
  expect(high / low < 1.5).toEqual(true)
})

test('predicts no more than the longest run time seen', () => {
  const estimates = estimatesFrom(run => run)
  expect(estimates.predict('tenant', 'service', 1e6) <= 1000).toEqual(true)
})

test('learns separately for each tenant', () => {
  const estimates = estimatesFrom(run => run * 10)
  expect(estimates.predict('other', 'service', 300)).toEqual(300)
})
