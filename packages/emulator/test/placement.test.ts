import type { Experiment } from '../src/experiment.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { playDay } from '../src/day.ts'
import { drawDay } from '../src/dayplan.ts'
import { creditByKind } from '../src/figures.ts'
import { shortExperiment } from './experiments.ts'

const SLACK = { placesBySlack: true, learnsKinds: true }
const SEEDS = [1, 2, 3]

/** An experiment with twenty targets of the same size. */
function fleetOf (changes: Partial<Experiment['fleet']>, load: number): Experiment {
  const experiment = shortExperiment({ load, seconds: 10, sizes: [1], speeds: [1] })
  return { ...experiment, fleet: { ...experiment.fleet, targets: 20, cpu: 24_000, ...changes } }
}

function worstKind (experiment: Experiment, policy: Parameters<typeof playDay>[2]): number {
  const worst = SEEDS.map(seed => Math.min(...Object.values(creditByKind(playDay(experiment, seed, policy).results))))
  return worst.reduce((sum, credit) => sum + credit, 0) / SEEDS.length
}

// Guards against short tasks that occupy the fast targets, so that long tasks only find targets on which they end late.
test('on targets of different speeds placement by slack improves the credit of the worst kind of job', () => {
  const uneven = fleetOf({ speeds: [0.55, 1.2, 1.2, 1.2] }, 0.75)
  const today = worstKind(uneven, { sharesRoom: false })
  expect(worstKind(uneven, { sharesRoom: false, ...SLACK }) > today + 0.02).toEqual(true)
})

test('on targets of the same speed learned run times and placement by slack do not reduce the credit', () => {
  const even = fleetOf({}, 0.6)
  expect(worstKind(even, { sharesRoom: false, ...SLACK }) >= worstKind(even, { sharesRoom: false }) - 0.001).toEqual(true)
})

test('kinds and racks are assigned to the targets of each data centre in turn', () => {
  const { targets } = drawDay(fleetOf({ kinds: [{ label: 'a', speed: 1, size: 1 }, { label: 'b', speed: 1.3, size: 1.5 }], racks: 2 }, 0.5), 1)
  expect(targets.slice(0, 4).map(({ labels }) => labels.join())).toEqual(['a,dc0-rack0', 'a,dc1-rack0', 'a,dc2-rack0', 'b,dc0-rack0'])
  expect([targets[3]?.speed, targets[3]?.capacity.cpu]).toEqual([1.3, 36_000])
})

test('the peaks of the data centres follow each other', () => {
  const jobs = drawDay({ ...shortExperiment({ seconds: 11 }), peaks: 0.9 }, 1).jobs
  const share = (dataCentre: string, from: number, to: number): number => {
    const within = jobs.filter(({ at }) => at >= from && at < to)
    return within.filter(job => job.dataCentre === dataCentre).length / within.length
  }
  expect(share('dc0', 1000, 4500) > 2 * share('dc0', 6500, 10_000)).toEqual(true)
})

test('a tail prolongs its share of the tasks', () => {
  const plain = shortExperiment()
  const tailed = { ...plain, kinds: plain.kinds.map(kind => ({ ...kind, tail: { share: 0.03, factor: 7 } })) }
  const stretched = drawDay(tailed, 1).jobs.flatMap(({ tailFactors }) => tailFactors)
  const fraction = stretched.filter(factor => factor === 7).length / stretched.length
  expect([fraction > 0.02 && fraction < 0.04, stretched.every(factor => factor === 1 || factor === 7)]).toEqual([true, true])
})
