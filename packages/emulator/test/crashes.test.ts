import type { TroublePlan } from '../src/experiment.ts'
import type { DayFigures } from '../src/figures.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { playDay } from '../src/day.ts'
import { TroubleKind } from '../src/troubletypes.ts'
import { shortExperiment, trouble } from './experiments.ts'

/** Some jobs of one kind have a task that crashes its targets. Each target restarts three seconds later. */
const CRASHING = trouble(TroubleKind.Crashing, { at: 0, for: 8, share: 0.02, factor: 0.3, kindOfJob: 'lookup' })

function play (seed: number, isolates: boolean, others: TroublePlan[] = []): DayFigures {
  return playDay(shortExperiment({ load: 0.3, troubles: [CRASHING, ...others] }), seed, { isolatesSuspects: isolates }).figures
}

const SEEDS = [1, 2, 3]

test('without isolation tasks continue to crash targets, and startsAfterCrashes counts their starts', () => {
  expect(SEEDS.some(seed => play(seed, false).startsAfterCrashes > 0)).toEqual(true)
})

test('no task is started after three crashes, and no other job fails', () => {
  for (const seed of SEEDS) {
    const { crashes, startsAfterCrashes, failedSound } = play(seed, true)
    expect([crashes > 0, startsAfterCrashes, failedSound]).toEqual([true, 0, 0])
  }
})

test('the credit of the other jobs is higher with isolation than without', () => {
  for (const seed of SEEDS) expect(play(seed, true).credit > play(seed, false).credit).toEqual(true)
})

/** One additional failure each, while tasks crash targets. One or two starts after the third crash are allowed then (the users' rule). */
const FAILURES: ReadonlyArray<[string, TroublePlan]> = [
  // An entry is killed after the first crash, and the caller resubmits through another one.
  ['an entry is killed', trouble(TroubleKind.KillEntries, { for: 1, share: 0.3 })],
  // An agent that has observed a crash restarts without its state.
  ['agents restart', trouble(TroubleKind.KillAgents, { for: 0.2, share: 0.3 })],
  // Targets that fail together must not confirm any task as the cause.
  ['many targets crash together', trouble(TroubleKind.Crash, { for: 2, share: 0.45 })],
  // A target restarts under the same name without its state.
  ['targets restart under the same names', trouble(TroubleKind.Restart, { for: 0.1, share: 0.3 })],
  // An entry is cut off from the agents that report crashes to it.
  ['an entry is cut off', trouble(TroubleKind.CutEntries, { for: 2, share: 0.3 })]
]

for (const [what, failure] of FAILURES) {
  test(`while ${what} tasks are started at most twice after three crashes, and no other job fails`, () => {
    for (const seed of SEEDS) {
      const { startsAfterCrashes, failedSound } = play(seed, true, [failure])
      expect([startsAfterCrashes <= 2, failedSound]).toEqual([true, 0])
    }
  })
}
