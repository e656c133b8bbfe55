import type { PaceObserved } from '../src/targetspeeds.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { SeededRandom } from '@amaranthmast/standins/random'
import { randomNormal } from 'd3-random'
import { learnSpeeds } from '../src/targetspeeds.ts'

const ERROR = 0.08

/** Paces of targets, each off by its error. */
function observe (speeds: readonly number[], seed: number, labelsOf: (index: number) => string[] = () => []): PaceObserved[] {
  const random = new SeededRandom(seed)
  const off = randomNormal.source(() => random.next())(0, ERROR)
  return speeds.map((speed, index) => ({ name: `agent${index}`, labels: labelsOf(index), pace: speed * Math.exp(off()), error: ERROR }))
}

function repeat (count: number, ...speeds: number[]): number[] {
  return Array.from({ length: count }, (_none, index) => speeds[index % speeds.length] as number)
}

const kindAndRack = (index: number): string[] => [`rack${index % 5}`, index % 2 === 0 ? 'a' : 'b']

test('nothing is inferred from a spread that chance explains', () => {
  let unequal = 0
  for (let seed = 1; seed <= 300; seed += 1) {
    const { byTarget, byKind } = learnSpeeds(observe(repeat(48, 1), seed, kindAndRack))
    if (byKind.size > 0 || [...byTarget.values()].some(({ speed }) => speed !== 1)) unequal += 1
  }
  expect(unequal <= 1).toEqual(true)
})

test('one slow target among equal ones is seen', () => {
  const { byTarget } = learnSpeeds(observe([...repeat(47, 1), 0.5], 1))
  expect([(byTarget.get('agent47')?.speed ?? 1) < 0.6, (byTarget.get('agent0')?.speed ?? 0) > 0.9]).toEqual([true, true])
})

test('the label that explains speed is found, and a rack is not taken for it', () => {
  const { byKind } = learnSpeeds(observe(repeat(48, 1, 1.3), 2, kindAndRack))
  expect([...byKind.keys()].sort()).toEqual(['a', 'b'])
  expect(Math.abs((byKind.get('b') ?? 0) / (byKind.get('a') ?? 1) - 1.3) < 0.06).toEqual(true)
})

test('a rack within a kind explains no more than the kind', () => {
  const { byTarget } = learnSpeeds(observe(repeat(48, 1, 1.3), 3, index => [`rack${index % 8}`, index % 2 === 0 ? 'a' : 'b']))
  expect(new Set([...byTarget.values()].map(({ kind }) => kind))).toEqual(new Set(['a', 'b']))
})

// A target that has just arrived was taken for an average one, and a slow kind drew long tasks until its first ends.
test('a target whose speed is told by nobody is taken for one of its kind', () => {
  const unknown = { name: 'new', labels: ['rack3', 'b'], pace: 0, error: Infinity }
  const { byTarget } = learnSpeeds([...observe(repeat(20, 1, 1.3), 4, kindAndRack), unknown])
  const { speed, error, kind } = byTarget.get('new') ?? { speed: 0, error: 0, kind: '' }
  expect([Math.abs(speed / (byTarget.get('agent1')?.speed ?? 1) - 1) < 0.1, error, kind]).toEqual([true, Infinity, 'b'])
})

test('without any word on speeds all targets are equal', () => {
  const { byTarget } = learnSpeeds([{ name: 'one', labels: ['a'], pace: 0, error: 1 }, { name: 'two', labels: [], pace: 0, error: 1 }])
  expect([...byTarget.values()].map(({ speed }) => speed)).toEqual([1, 1])
})
