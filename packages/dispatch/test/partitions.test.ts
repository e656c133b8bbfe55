import type { Holder, PartitionTarget } from '../src/partitions.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { PARTITION_SLACK } from '../src/partitiondefaults.ts'
import { choosePartition, UNKNOWN_ROOM } from '../src/partitionchoice.ts'
import { partition } from '../src/partitions.ts'
import { ProcessorLag } from '../src/processorlag.ts'

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

test('each target has one holder, the same in whatever order targets and holders are known', () => {
  const held = partition(targets(48), holders(8))
  expect(held.size).toEqual(48)
  expect(new Map([...partition(targets(48).reverse(), holders(8).reverse())].sort())).toEqual(new Map([...held].sort()))
})

// Sums of fractions depend on their order by the last digit, which a share that is rounded up makes a whole target.
test('the shares of holders with unequal processors are the same in whatever order they are known', () => {
  const unequal = holders(4).map((holder, index) => ({ ...holder, strength: index < 2 ? 2.1 : 0.1 }))
  const few = ['agent3.0', 'agent3.1', 'agent3.2', 'agent3.3'].map(name => ({ name, service: 'checks', dataCentre: 'five' }))
  expect(partition(few, [...unequal].reverse())).toEqual(partition(few, unequal))
})

test('no entry holds much more than its share', () => {
  expect(Math.max(...sizesOf(partition(targets(48), holders(8)))) <= Math.ceil(6 * PARTITION_SLACK)).toEqual(true)
  expect(Math.max(...sizesOf(partition(targets(160), holders(70)))) <= Math.ceil(160 / 70 * PARTITION_SLACK)).toEqual(true)
})

test('targets are held in their own data centre where its entries have not their share yet', () => {
  const entries = new Map(holders(8).map(({ name, dataCentre }) => [name, dataCentre]))
  const held = partition(targets(48), holders(8))
  expect(targets(48).every(({ name, dataCentre }) => entries.get(held.get(name) as string) === dataCentre)).toEqual(true)
  const away = partition(targets(48, ['one']), holders(8))
  expect(new Set(away.values()).size).toEqual(8)
})

test('a slower processor holds less, and one that is far slower nothing', () => {
  const mixed = [...holders(4), { name: 'half', strength: -1, dataCentre: 'one' }, { name: 'weak', strength: -3, dataCentre: 'one' }]
  const names = [...partition(targets(60), mixed).values()]
  expect(names.filter(name => name === 'half').length <= Math.ceil(60 / 4.5 / 2 * PARTITION_SLACK)).toEqual(true)
  expect(names.includes('weak')).toEqual(false)
})

test('the targets of a holder that leaves are spread, and few others move', () => {
  const before = partition(targets(48), holders(8))
  const after = partition(targets(48), holders(8).slice(1))
  const moved = [...after].filter(([target, holder]) => before.get(target) !== holder)
  const own = [...before.values()].filter(holder => holder === 'entry0').length
  expect(moved.length >= own && moved.length <= 3 * own).toEqual(true)
})

test('room that is known to be ample is asked for before scarce or unknown room', () => {
  const room = (name: string, free: number, near = true): { name: string, free: number, near: boolean } => ({ name, free, near })
  expect(choosePartition('job', 4000, 2000, [room('scarce', 3000), room('ample', 9000, false), room('unknown', UNKNOWN_ROOM)])).toEqual('ample')
  expect(choosePartition('job', 4000, 2000, [room('scarce', 3000), room('unknown', UNKNOWN_ROOM), room('none', 0)])).toEqual('scarce')
  expect(choosePartition('job', 4000, 2000, [room('unknown', UNKNOWN_ROOM), room('none', 0)])).toEqual('unknown')
  expect(choosePartition('job', 4000, 2000, [room('none', 0)])).toEqual(undefined)
})

// All entries hear of the same room at the same moment.
test('jobs ask different partitions with the same room', () => {
  const rooms = ['first', 'second', 'third', 'fourth'].map(name => ({ name, free: 50_000, near: true }))
  const asked = Array.from({ length: 200 }, (_none, index) => choosePartition(`job${index}`, 4000, 2000, rooms))
  for (const { name } of rooms) expect(asked.filter(holder => holder === name).length > 25).toEqual(true)
})

test('late ticks make a process lag until they have been punctual for a while', () => {
  const lag = new ProcessorLag()
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

test('a process without work is not late when its ticks come more seldom', () => {
  const lag = new ProcessorLag()
  for (let now = 0; now < 2000; now += 100) lag.tick(now, false)
  expect([lag.lagging, lag.milliseconds]).toEqual([false, 0])
})
