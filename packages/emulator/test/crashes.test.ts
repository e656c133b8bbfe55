import type { TroublePlan } from '../src/experiment.ts'
import type { DayFigures } from '../src/figures.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { playDay } from '../src/day.ts'
import { TroubleKind } from '../src/troubletypes.ts'
import { shortExperiment, trouble } from './experiments.ts'

/** A part of one kind of job has a task that crashes its targets, each of which is back three seconds later. */
const CRASHING = trouble(TroubleKind.Crashing, { at: 0, for: 8, share: 0.02, factor: 0.3, kindOfJob: 'lookup' })

function play (seed: number, isolates: boolean, others: TroublePlan[] = []): DayFigures {
  return playDay(shortExperiment({ load: 0.3, troubles: [CRASHING, ...others] }), seed, { isolatesSuspects: isolates }).figures
}

const SEEDS = [1, 2, 3]

test('without isolation a task goes on crashing targets, and the count of such starts shows it', () => {
  expect(SEEDS.some(seed => play(seed, false).startsAfterCrashes > 0)).toEqual(true)
})

test('no task is started after three crashes, and no job beside is failed', () => {
  for (const seed of SEEDS) {
    const { crashes, startsAfterCrashes, failedSound } = play(seed, true)
    expect([crashes > 0, startsAfterCrashes, failedSound]).toEqual([true, 0, 0])
  }
})

test('callers of other jobs get more with isolation than without', () => {
  for (const seed of SEEDS) expect(play(seed, true).credit > play(seed, false).credit).toEqual(true)
})

/** One failure each, while tasks crash their targets: a start or two more than the three are allowed (the users' rule). */
const FAILURES: ReadonlyArray<[string, TroublePlan]> = [
  // An entry dies after the first crash, and its caller comes back through another.
  ['an entry dies', trouble(TroubleKind.KillEntries, { for: 1, share: 0.3 })],
  // An agent that has seen a crash starts again and remembers nothing.
  ['agents start again', trouble(TroubleKind.KillAgents, { for: 0.2, share: 0.3 })],
  // Targets that go down together convict nobody.
  ['a rack goes', trouble(TroubleKind.Crash, { for: 2, share: 0.45 })],
  // A target is back under its id, and knows nothing.
  ['targets start again under their names', trouble(TroubleKind.Restart, { for: 0.1, share: 0.3 })],
  // An entry is cut off from the agents that tell it of crashes.
  ['an entry is cut off', trouble(TroubleKind.CutEntries, { for: 2, share: 0.3 })]
]

for (const [what, failure] of FAILURES) {
  test(`while ${what} no task is started more than twice after three crashes, and no job beside is failed`, () => {
    for (const seed of SEEDS) {
      const { startsAfterCrashes, failedSound } = play(seed, true, [failure])
      expect([startsAfterCrashes <= 2, failedSound]).toEqual([true, 0])
    }
  })
}
