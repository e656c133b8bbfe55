/** How a capacity is divided among kinds of job, and how soon it changes hands. */
import type { QueueDemand } from '../src/peermessages.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { maxMinShares } from '../src/capacityshares.ts'
import { WANTED_PART } from '../src/admissiondefaults.ts'
import { DemandMeter } from '../src/demandmeter.ts'
import { KeyShares } from '../src/keyshares.ts'
import { ShareGate } from '../src/sharegate.ts'
import { planShares, trimAfter } from '../src/shareplan.ts'

/** Cores wanted of 100 at which no more and no less is admitted. */
const AIM = 100 * WANTED_PART

const ONE = (): number => 1

function kind (name: string, offered: number, priority = 0): QueueDemand {
  return { name, service: 'service', priority, offered, running: 0, waiting: 0 }
}

/** Parts of three kinds that are admitted, of a fleet of 100 cores that are all in use. */
function thresholds (demands: QueueDemand[], weightOf: (priority: number) => number = ONE): number[] {
  return planShares({ capacity: 100, wanted: AIM, trim: 1, refuses: true }, demands, weightOf).map(({ threshold }) => Math.round(threshold * 100) / 100)
}

test('who wants less than his part gets all, and the others share what he leaves', () => {
  expect(maxMinShares(90, [{ demand: 10, weight: 1 }, { demand: 60, weight: 1 }, { demand: 100, weight: 1 }])).toEqual([10, 40, 40])
})

test('weights divide what is wanted by more than one', () => {
  expect(maxMinShares(90, [{ demand: 100, weight: 2 }, { demand: 100, weight: 1 }])).toEqual([60, 30])
})

test('nothing is kept for a kind that wants nothing', () => {
  expect(maxMinShares(90, [{ demand: 0, weight: 8 }, { demand: 100, weight: 1 }])).toEqual([0, 90])
})

test('a capacity beyond the demand refuses nobody', () => {
  expect(thresholds([kind('a', 30), kind('b', 60)])).toEqual([1, 1])
})

test('a kind that bursts is cut, the others are not', () => {
  expect(thresholds([kind('a', 20), kind('b', 30), kind('c', 200)])).toEqual([1, 1, 0.25])
})

test('the operators’ weights count under contention', () => {
  const [high = 0, low = 0] = thresholds([kind('a', 300, 0), kind('b', 300, 1)], priority => priority === 0 ? 3 : 1)
  expect(high / low).toBeCloseTo(3, 0.2)
})

test('what waits beyond the aim is charged to the kind that exceeds its share', () => {
  const plan = planShares({ capacity: 100, wanted: AIM + 15, trim: 1, refuses: true }, [kind('a', 30), kind('b', 200)], ONE)
  expect(plan.map(({ share }) => Math.round(share))).toEqual([30, 40])
})

// A load of three quarters swings above the capacity for some hundredths of a second: nobody need be refused for it.
test('a demand that swings above the capacity for a moment refuses nobody', () => {
  const plan = (wanted: number): number[] => planShares({ capacity: 100, wanted, trim: 1, refuses: false }, [kind('a', 150)], ONE).map(({ threshold }) => threshold)
  expect([plan(115), plan(130)[0] === 1]).toEqual([[1], false])
})

test('a share that is borrowed is shown', () => {
  const [, bursting] = planShares({ capacity: 100, wanted: AIM, trim: 1, refuses: true }, [kind('a', 10), kind('b', 200)], ONE)
  expect(Math.round(bursting?.borrowed ?? 0)).toEqual(40)
})

test('a share is borrowed and given back within a second', () => {
  const meter = new DemandMeter()
  const partOf = (name: string, now: number): number =>
    planShares({ capacity: 100, wanted: AIM, trim: 1, refuses: true }, ['quiet', 'busy'].map(known => kind(known, meter.rate(known, now))), ONE).find(share => share.name === name)?.share ?? 0
  for (let now = 0; now < 2000; now += 10) meter.note('busy', 2000, now)
  expect(partOf('busy', 2000)).toBeCloseTo(100, 1)
  for (let now = 2000; now < 3000; now += 10) {
    meter.note('busy', 2000, now)
    meter.note('quiet', 2000, now)
  }
  expect([partOf('busy', 3000), partOf('quiet', 3000)].map(Math.round)).toEqual([50, 50])
  for (let now = 3000; now < 4000; now += 10) meter.note('busy', 2000, now)
  expect(partOf('busy', 4000) > 90).toEqual(true)
})

// Work is estimated, and estimates may all be off one way: too high, and cores would stand idle while callers are refused.
test('cores that stay idle while jobs are refused raise what is admitted', () => {
  let trim = 1
  for (let step = 0; step < 50; step += 1) trim = trimAfter({ capacity: 100, wanted: 60, trim, refuses: true }, 20)
  expect(trim > 1.4).toEqual(true)
})

test('what was learned on estimates is forgotten when nobody is refused', () => {
  let trim = 2
  for (let step = 0; step < 250; step += 1) trim = trimAfter({ capacity: 100, wanted: 60, trim, refuses: false }, 20)
  expect(trim).toBeCloseTo(1, 0.05)
})

test('a gate lets its part through, evenly', () => {
  const gate = new ShareGate()
  const admitted = Array.from({ length: 100 }, () => gate.admits(0.3))
  expect(admitted.filter(Boolean).length).toEqual(31)
  expect(admitted.slice(10, 20).filter(Boolean).length).toEqual(3)
})

test('one key is held to its part while others of its kind want theirs', () => {
  const keys = new KeyShares()
  for (let now = 0; now < 1000; now += 10) {
    keys.note('kind', 'hot', 900, now)
    keys.note('kind', 'cold', 100, now)
  }
  expect(keys.part('kind', 'cold', 0.4, 1000)).toEqual(1)
  expect(keys.part('kind', 'hot', 0.4, 1000)).toBeCloseTo(1 / 3, 0.01)
  expect(keys.part('kind', '', 0.4, 1000)).toEqual(0.4)
})
