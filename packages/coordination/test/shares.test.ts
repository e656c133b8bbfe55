import { test } from 'node:test'
import { expect } from 'earl'
import { ShareSequence } from '../src/shares.ts'

function takeTasks (sequence: ShareSequence, tasks: number, present: string[]): string[] {
  const taken: string[] = []
  for (let task = 0; task < tasks; task += 1) {
    const provider = sequence.next(present, present) as string
    sequence.recordDispatch(provider, present)
    taken.push(provider)
  }
  return taken
}

function largestError (taken: string[], provider: string, share: number, window: number): number {
  let largest = 0
  for (let start = 0; start + window <= taken.length; start += 1) {
    const hits = taken.slice(start, start + window).filter(other => other === provider).length
    largest = Math.max(largest, Math.abs(100 * hits / window - share))
  }
  return largest
}

const cases: Array<{ shares: Record<string, number>, entries: number }> = [
  { shares: { a: 60, b: 40 }, entries: 1 },
  { shares: { a: 60, b: 40 }, entries: 3 },
  { shares: { a: 97, b: 3 }, entries: 3 },
  { shares: { a: 33, b: 33, c: 34 }, entries: 3 },
  { shares: { a: 70, b: 20, c: 10 }, entries: 3 }
]

for (const { shares, entries } of cases) {
  test(`${JSON.stringify(shares)} is kept within 2 points in every window of 200 over ${entries} entries`, () => {
    const present = Object.keys(shares)
    const sequences = Array.from({ length: entries }, (_, entry) => new ShareSequence(shares, entry * 0.37 % 1))
    const taken: string[] = []
    for (let task = 0; task < 3000; task += 1) {
      const sequence = sequences[(task * 7 + (task >> 3)) % entries] as ShareSequence
      taken.push(...takeTasks(sequence, 1, present))
    }
    const errors = Object.entries(shares).map(([provider, share]) => largestError(taken, provider, share, 200))
    expect(Math.max(...errors) <= 2).toEqual(true)
  })
}

test('a provider without a share gets nothing', () => {
  const sequence = new ShareSequence({ a: 100, b: 0 }, 0)
  expect(sequence.next(['b'], ['b'])).toEqual(undefined)
  expect(new Set(takeTasks(sequence, 50, ['a', 'b']))).toEqual(new Set(['a']))
})

// A provider is absent for an hour. If the tasks of the others in that time counted as its debt, it would
// receive every task for as long after its return.
test('a provider that was absent gets no extra tasks when it returns', () => {
  const sequence = new ShareSequence({ a: 50, b: 50 }, 0)
  takeTasks(sequence, 1000, ['a'])
  const after = takeTasks(sequence, 20, ['a', 'b'])
  expect(after.filter(provider => provider === 'b').length <= 11).toEqual(true)
})

test('tasks that a full provider missed are made up for, up to two of them', () => {
  const sequence = new ShareSequence({ a: 50, b: 50 }, 0)
  for (let task = 0; task < 100; task += 1) sequence.recordDispatch('a', ['a', 'b'])
  const after = takeTasks(sequence, 40, ['a', 'b'])
  const hits = after.filter(provider => provider === 'b').length
  expect(hits >= 21 && hits <= 23).toEqual(true)
})

test('entries with different offsets do not start with the same provider', () => {
  const firsts = [0, 0.3, 0.6, 0.9].map(offset => new ShareSequence({ a: 50, b: 50 }, offset).next(['a', 'b'], ['a', 'b']))
  expect(new Set(firsts).size).toEqual(2)
})
