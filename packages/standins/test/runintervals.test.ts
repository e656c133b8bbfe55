import { test } from 'node:test'
import { findOverlaps } from '@amaranthmast/standins/runintervals'
import { expect } from 'earl'

function interval (task: string, from: number, to: number, run = 1) {
  return { task, run, from, to, how: 'done' }
}

test('runs of one task that follow each other do not overlap', () => {
  expect(findOverlaps([[interval('a', 0, 100), interval('b', 50, 150)], [interval('a', 100, 200)]])).toEqual([])
})

// Sampling every 4 ms misses overlaps that are shorter than that.
test('an overlap of one millisecond is found, with both workers', () => {
  const [overlap] = findOverlaps([[interval('a', 100, 200)], [], [interval('a', 0, 101, 2)]])
  expect(overlap?.first.place).toEqual(2)
  expect(overlap?.second.place).toEqual(0)
  expect(overlap?.lasted).toEqual(1)
})

test('a third run is compared with the earlier run that ends last', () => {
  const overlaps = findOverlaps([[interval('a', 0, 300)], [interval('a', 50, 100)], [interval('a', 200, 400)]])
  expect(overlaps.map(({ first, second, lasted }) => [first.place, second.place, lasted])).toEqual([[0, 1, 50], [0, 2, 100]])
})
