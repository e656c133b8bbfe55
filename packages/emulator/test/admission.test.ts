/** Short emulated days with fleet-wide admission. The limits are the goals in its documentation. */
import type { DayFigures } from '../src/figures.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { playDay } from '../src/day.ts'
import { TroubleKind } from '../src/troubletypes.ts'
import { shortExperiment, trouble } from './experiments.ts'

const FLEET = { fleetAdmission: true }

function figures (load: number, seed: number, policy = FLEET): DayFigures {
  return playDay(shortExperiment({ load, seconds: 6, sizes: [1], speeds: [1] }), seed, policy).figures
}

for (const seed of [1, 2]) {
  test(`at twice the load the fleet works on jobs that end in time, and refuses the others promptly (fleet ${seed})`, () => {
    const { usefulPart, soonRefusals, worstKindPart, largestTenthPart } = figures(2, seed)
    expect([usefulPart >= 0.95, soonRefusals >= 0.95, worstKindPart >= 0.5, largestTenthPart >= 0.5]).toEqual([true, true, true, true])
  })

  test(`as many cores work on jobs that end in time at three times the load as at the full load (fleet ${seed})`, () => {
    expect(figures(3, seed).coresInTime >= 0.95 * figures(1, seed).coresInTime).toEqual(true)
  })

  test(`with free capacity no caller is refused (fleet ${seed})`, () => {
    expect(figures(0.6, seed).refused).toEqual(0)
  })
}

// Guards against shares per data centre: callers of a busy data centre must not be refused while the others have capacity.
test('a burst from one data centre uses the capacity of all data centres', () => {
  const experiment = shortExperiment({ load: 0.5, seconds: 6, sizes: [1], speeds: [1], troubles: [trouble(TroubleKind.Burst, { factor: 2, dataCentre: 1 })] })
  const { results } = playDay(experiment, 1, FLEET)
  expect(results.filter(({ outcome }) => outcome === 'refused').length / results.length < 0.02).toEqual(true)
})

// Guards against entries that stop admitting work in an overload because some of them are cut off: each side must go on with what it can observe itself.
test('with a third of the entries cut off in an overload the fleet continues to work on jobs that end in time', () => {
  const experiment = shortExperiment({ load: 1.5, seconds: 6, sizes: [1], speeds: [1], troubles: [trouble(TroubleKind.CutEntries, { at: 2, for: 2, share: 0.34 })] })
  const fleet = playDay(experiment, 1, FLEET).figures
  const today = playDay(experiment, 1, {}).figures
  expect(fleet.coresInTime >= 0.9 * today.coresInTime).toEqual(true)
})
