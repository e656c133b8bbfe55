import type { Holder, PartitionTarget } from '../src/partitions.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { PARTITION_SLACK } from '../src/partitiondefaults.ts'
import { choosePartition, UNKNOWN_CAPACITY } from '../src/partitionchoice.ts'
import { partition } from '../src/partitions.ts'
import { EventLoopLag } from '../src/eventlooplag.ts'

const DATA_CENTRES = ['one', 'two', 'three', 'four']

function targets (count: number, dataCentres = DATA_CENTRES): PartitionTarget[] {
  return Array.from({ length: count }, (_none, index) => ({ name: `agent${index}`, service: 'checks', dataCentre: dataCentres[index % dataCentres.length] as string }))
}

function holders (count: number, strength = 0, dataCentres = DATA_CENTRES): Holder[] {
  return Array.from({ length: count }, (_none, index) => ({ name: `entry${index}`, strength, dataCentre: dataCentres[index % dataCentres.length] as string }))
}

function sizesOf (held: ReadonlyMap<string, string>): number[] {
  const sizes = new Map<string, number>()
  for (const holder of held.values()) sizes.set(holder, (sizes.get(holder) ?? 0) + 1)
  return [...sizes.values()]
}

test('each target has one holder, regardless of the order of targets and holders', () => {
  const held = partition(targets(48), holders(8))
  expect(held.size).toEqual(48)
  expect(new Map([...partition(targets(48).reverse(), holders(8).reverse())].sort())).toEqual(new Map([...held].sort()))
})

// Floating-point sums depend on their order in the last digit; rounding a share up turns that into a whole target.
test('the shares of holders with unequal processors do not depend on the order of the holders', () => {
  const unequal = holders(4).map((holder, index) => ({ ...holder, strength: index < 2 ? 2.1 : 0.1 }))
  const few = ['agent3.0', 'agent3.1', 'agent3.2', 'agent3.3'].map(name => ({ name, service: 'checks', dataCentre: 'five' }))
  expect(partition(few, [...unequal].reverse())).toEqual(partition(few, unequal))
})

test('no entry holds much more than its share', () => {
  expect(Math.max(...sizesOf(partition(targets(48), holders(8)))) <= Math.ceil(6 * PARTITION_SLACK)).toEqual(true)
  expect(Math.max(...sizesOf(partition(targets(160), holders(70)))) <= Math.ceil(160 / 70 * PARTITION_SLACK)).toEqual(true)
})

test('targets are held in their own data centre while its entries are below their share', () => {
  const entries = new Map(holders(8).map(({ name, dataCentre }) => [name, dataCentre]))
  const held = partition(targets(48), holders(8))
  expect(targets(48).every(({ name, dataCentre }) => entries.get(held.get(name) as string) === dataCentre)).toEqual(true)
  const away = partition(targets(48, ['one']), holders(8))
  expect(new Set(away.values()).size).toEqual(8)
})

test('an entry with a slower processor holds fewer targets, and one with a far slower processor none', () => {
  const mixed = [...holders(4), { name: 'half', strength: -1, dataCentre: 'one' }, { name: 'weak', strength: -3, dataCentre: 'one' }]
  const names = [...partition(targets(60), mixed).values()]
  expect(names.filter(name => name === 'half').length <= Math.ceil(60 / 4.5 / 2 * PARTITION_SLACK)).toEqual(true)
  expect(names.includes('weak')).toEqual(false)
})

test('the targets of a holder that leaves are distributed, and few others move', () => {
  const before = partition(targets(48), holders(8))
  const after = partition(targets(48), holders(8).slice(1))
  const moved = [...after].filter(([target, holder]) => before.get(target) !== holder)
  const own = [...before.values()].filter(holder => holder === 'entry0').length
  expect(moved.length >= own && moved.length <= 3 * own).toEqual(true)
})

test('capacity is requested from a partition with ample capacity before one with scarce or unknown capacity', () => {
  const partitionWith = (name: string, free: number, near = true): { name: string, free: number, near: boolean } => ({ name, free, near })
  expect(choosePartition('job', 4000, 2000, [partitionWith('scarce', 3000), partitionWith('ample', 9000, false), partitionWith('unknown', UNKNOWN_CAPACITY)])).toEqual('ample')
  expect(choosePartition('job', 4000, 2000, [partitionWith('scarce', 3000), partitionWith('unknown', UNKNOWN_CAPACITY), partitionWith('none', 0)])).toEqual('scarce')
  expect(choosePartition('job', 4000, 2000, [partitionWith('unknown', UNKNOWN_CAPACITY), partitionWith('none', 0)])).toEqual('unknown')
  expect(choosePartition('job', 4000, 2000, [partitionWith('none', 0)])).toEqual(undefined)
})

// All entries receive the same free capacity at the same moment.
test('jobs request capacity from different partitions with equal free capacity', () => {
  const equalPartitions = ['first', 'second', 'third', 'fourth'].map(name => ({ name, free: 50_000, near: true }))
  const chosen = Array.from({ length: 200 }, (_none, index) => choosePartition(`job${index}`, 4000, 2000, equalPartitions))
  for (const { name } of equalPartitions) expect(chosen.filter(holder => holder === name).length > 25).toEqual(true)
})

test('a process with late ticks lags until its ticks have been on time for a while', () => {
  const lag = new EventLoopLag()
  let now = 0
  const tick = (pause: number): boolean => {
    now += pause
    lag.tick(now, true)
    return lag.lagging
  }
  tick(100)
  expect([tick(50), tick(60), tick(110)]).toEqual([false, false, true])
  expect(tick(50)).toEqual(true)
  for (let count = 0; count < 14; count += 1) tick(50)
  expect(lag.lagging).toEqual(false)
})

test('the longer tick interval of an idle process does not count as lag', () => {
  const lag = new EventLoopLag()
  for (let now = 0; now < 2000; now += 100) lag.tick(now, false)
  expect([lag.lagging, lag.milliseconds]).toEqual([false, 0])
})
