import type { TroublePlan } from '../src/experiment.ts'
import type { DayFigures } from '../src/figures.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { playDay } from '../src/day.ts'
import { readExperiment } from '../src/experiment.ts'
import { TroubleKind } from '../src/troubletypes.ts'

const KIND = { cpu: { mean: 5000, spread: 0.2, most: 7600 }, slackFactor: 1.6, latency: 60, deadline: 5000, attempts: 4, estimateError: 0.4 }

/** Plays a day of a fleet with 60 targets in two data centres. */
function play (changes: { entries?: number, troubles?: TroublePlan[] } = {}): DayFigures {
  const { entries = 12, troubles = [] } = changes
  const experiment = readExperiment(JSON.stringify({
    name: 'large',
    seconds: 4,
    load: 0.7,
    fleet: { dataCentres: 2, entries, targets: 60, cpu: 32_000, memory: 65_536, sizes: [1, 1, 1.5], speeds: [1], within: 0.2, between: 1.4, callers: 1, entryMilliseconds: 0, agentMilliseconds: 0, entryCores: [1.35, 0.324], agentCores: 0.405, startMilliseconds: 500 },
    kinds: [
      { ...KIND, name: 'check', perSecond: 234, tasks: { mean: 8, spread: 0.4, most: 32 }, milliseconds: { mean: 86, spread: 0.4, most: 340 }, priority: 0 },
      { ...KIND, name: 'record', perSecond: 53, tasks: { mean: 4, spread: 0.4, most: 16 }, milliseconds: { mean: 1286, spread: 0.4, most: 5100 }, priority: 2 },
      { ...KIND, name: 'stamp', perSecond: 681, tasks: { mean: 2, spread: 0.4, most: 8 }, milliseconds: { mean: 286, spread: 0.4, most: 1140 }, priority: 1 }
    ],
    troubles,
    seeds: { first: 1, count: 1 },
    variants: { today: {} }
  }))._unsafeUnwrap()
  return playDay(experiment, 1, {}).figures
}

// Guards against entries that all choose from the same free capacity: with twelve of them a third of the starts was refused as full.
test('with 12 and with 24 entries fewer than 5% of the starts are refused as full', () => {
  expect(play().startsFullPart < 0.05).toEqual(true)
  expect(play({ entries: 24 }).startsFullPart < 0.05).toEqual(true)
})

test('messages per task grow by less than 35% when the number of entries doubles', () => {
  expect(play({ entries: 24 }).messagesPerTask < 1.35 * play().messagesPerTask).toEqual(true)
})

// Half of the entries are killed at the same time, including those that grant capacity.
test('callers are served again after half of the entries are killed', () => {
  const { credit } = play({ troubles: [{ kind: TroubleKind.KillEntries, at: 1.5, for: 1, share: 0.5, factor: 1 }] })
  expect(credit > 0.85).toEqual(true)
})
