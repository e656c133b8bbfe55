import type { ObservedSpeedRatio } from '../src/targetspeeds.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { SeededRandom } from '@amaranthmast/standins/random'
import { randomNormal } from 'd3-random'
import { learnSpeeds } from '../src/targetspeeds.ts'

const ERROR = 0.08

/** Speed ratios of targets, each with a random measurement error. */
function observe (speeds: readonly number[], seed: number, labelsOf: (index: number) => string[] = () => []): ObservedSpeedRatio[] {
  const random = new SeededRandom(seed)
  const off = randomNormal.source(() => random.next())(0, ERROR)
  return speeds.map((speed, index) => ({ name: `agent${index}`, labels: labelsOf(index), pace: speed * Math.exp(off()), error: ERROR }))
}

function repeat (count: number, ...speeds: number[]): number[] {
  return Array.from({ length: count }, (_none, index) => speeds[index % speeds.length] as number)
}

const kindAndRack = (index: number): string[] => [`rack${index % 5}`, index % 2 === 0 ? 'a' : 'b']

test('differences explained by measurement errors are ignored', () => {
  let unequal = 0
  for (let seed = 1; seed <= 300; seed += 1) {
    const { byTarget, byKind } = learnSpeeds(observe(repeat(48, 1), seed, kindAndRack))
    if (byKind.size > 0 || [...byTarget.values()].some(({ speed }) => speed !== 1)) unequal += 1
  }
  expect(unequal <= 1).toEqual(true)
})

test('one slow target among equal ones is detected', () => {
  const { byTarget } = learnSpeeds(observe([...repeat(47, 1), 0.5], 1))
  expect([(byTarget.get('agent47')?.speed ?? 1) < 0.6, (byTarget.get('agent0')?.speed ?? 0) > 0.9]).toEqual([true, true])
})

test('the label that explains speed is found, and rack labels are not mistaken for it', () => {
  const { byKind } = learnSpeeds(observe(repeat(48, 1, 1.3), 2, kindAndRack))
  expect([...byKind.keys()].sort()).toEqual(['a', 'b'])
  expect(Math.abs((byKind.get('b') ?? 0) / (byKind.get('a') ?? 1) - 1.3) < 0.06).toEqual(true)
})

test('racks within a machine kind are not mistaken for kinds', () => {
  const { byTarget } = learnSpeeds(observe(repeat(48, 1, 1.3), 3, index => [`rack${index % 8}`, index % 2 === 0 ? 'a' : 'b']))
  expect(new Set([...byTarget.values()].map(({ kind }) => kind))).toEqual(new Set(['a', 'b']))
})

// Guards against treating a new target as an average one: a slow kind would then get long tasks until its first tasks end.
test('a target without measurements has the speed of its machine kind', () => {
  const unknown = { name: 'new', labels: ['rack3', 'b'], pace: 0, error: Infinity }
  const { byTarget } = learnSpeeds([...observe(repeat(20, 1, 1.3), 4, kindAndRack), unknown])
  const { speed, error, kind } = byTarget.get('new') ?? { speed: 0, error: 0, kind: '' }
  expect([Math.abs(speed / (byTarget.get('agent1')?.speed ?? 1) - 1) < 0.1, error, kind]).toEqual([true, Infinity, 'b'])
})

test('without any measurements all targets are equally fast', () => {
  const { byTarget } = learnSpeeds([{ name: 'one', labels: ['a'], pace: 0, error: 1 }, { name: 'two', labels: [], pace: 0, error: 1 }])
  expect([...byTarget.values()].map(({ speed }) => speed)).toEqual([1, 1])
})
