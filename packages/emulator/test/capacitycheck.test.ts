/** Checks of the starts at targets, including targets that do not refuse tasks over their capacity. */
import { test } from 'node:test'
import { expect } from 'earl'
import { CapacityCheck } from '../src/capacitycheck.ts'
import { playDay } from '../src/day.ts'
import { TroubleKind } from '../src/troubletypes.ts'
import { shortExperiment, trouble } from './experiments.ts'

test('a start over the capacity is counted; after the capacity has shrunk, only once the grace period is over', () => {
  const check = new CapacityCheck(8000, 100)
  check.recordStart(8000, 0)
  check.recordCapacity(4000, 1000)
  check.recordStart(8000, 1099)
  expect(check.startsOver).toEqual(0)
  check.recordStart(8000, 1100)
  check.recordStart(9000, 1100)
  expect(check.startsOver).toEqual(2)
})

test('tasks that start at a leaving target and are cut off are counted', () => {
  const check = new CapacityCheck(8000, 100)
  check.recordStart(1000, 0)
  check.recordLeaving(1000)
  check.recordStart(1000, 1500)
  check.recordEnd([0, 1500])
  expect([check.begunLeaving, check.cutOff]).toEqual([1, 1])
})

// Half of the targets shrink under full load and grow again, while orders are lost and agents are killed.
test('targets that do not refuse overload receive no start over their capacity', () => {
  const shrink = trouble(TroubleKind.Shrink, { at: 1, for: 3, share: 0.5, factor: 0.4 })
  const experiment = shortExperiment({ load: 1, seconds: 6, troubles: [shrink, trouble(TroubleKind.LateOrders, { at: 0, for: 6, share: 0.1 }), trouble(TroubleKind.KillAgents, { for: 0.3 })] })
  const unguarded = { ...experiment, fleet: { ...experiment.fleet, rejectsOverload: false } }
  for (const seed of [1, 2, 3]) expect(playDay(unguarded, seed, {}).figures.startsOver).toEqual(0)
})

// A third of the targets ends two seconds after its notice: tasks that start there must finish before that.
test('leaving targets are used, and their end cuts off at most 1% of the tasks started there', () => {
  const experiment = shortExperiment({ load: 0.6, seconds: 6, troubles: [trouble(TroubleKind.Notice, { for: 2, share: 0.3 })] })
  const [without, using] = [false, true].map(usesLeaving => [1, 2, 3].map(seed => playDay(experiment, seed, { usesLeaving }).figures))
  const sum = (days: typeof using = [], of: 'credit' | 'begunLeaving' | 'cutOff'): number => days.reduce((total, day) => total + day[of], 0)
  expect(sum(using, 'begunLeaving') > 100).toEqual(true)
  expect(sum(using, 'cutOff') <= 0.01 * sum(using, 'begunLeaving')).toEqual(true)
  expect(sum(using, 'credit') >= sum(without, 'credit') - 0.01).toEqual(true)
})
