/** Small experiments for tests. The seed draws figures from the ranges. */
import type { Experiment, TroublePlan } from '../src/experiment.ts'
import { readExperiment } from '../src/experiment.ts'
import { TroubleKind } from '../src/troubletypes.ts'

const KIND = { slackFactor: 1.6, latency: 60, deadline: 6000, estimateError: 0.4, cpu: { mean: [1500, 3000], spread: 0.2, most: 4500 } }

/** Three kinds of job, from short ones with many tasks to long ones with few, on seven targets. */
export function shortExperiment (changes: { load?: number, seconds?: number, troubles?: TroublePlan[], sizes?: number[], speeds?: number[] } = {}): Experiment {
  const { load = 0.6, seconds = 8, troubles = [], sizes = [1, 1, 1.5], speeds = [0.8, 1, 1.25] } = changes
  return readExperiment(JSON.stringify({
    name: 'short',
    seconds,
    load,
    wave: 0,
    fleet: {
      dataCentres: 3,
      entries: 3,
      targets: 7,
      cpu: [14_000, 30_000],
      memory: 65_536,
      sizes,
      speeds,
      within: 0.1,
      between: 1,
      callers: 2,
      entryMilliseconds: 0.2,
      agentMilliseconds: 0.3,
      startMilliseconds: 300
    },
    kinds: [
      { ...KIND, name: 'check', perSecond: 25, tasks: { mean: 8, spread: 0.4, most: 32 }, milliseconds: { mean: [70, 100], spread: 0.4, most: 300 }, priority: 0, attempts: 2 },
      { ...KIND, name: 'quote', perSecond: 4, tasks: { mean: 4, spread: 0.4, most: 16 }, milliseconds: { mean: [900, 1300], spread: 0.4, most: 3000 }, priority: 2, attempts: 2 },
      { ...KIND, name: 'lookup', perSecond: 70, tasks: { mean: 2, spread: 0.4, most: 8 }, milliseconds: { mean: [200, 300], spread: 0.4, most: 900 }, priority: 1, attempts: 3 }
    ],
    troubles,
    seeds: { first: 1, count: 1 },
    variants: { today: {} }
  }))._unsafeUnwrap()
}

/** A trouble that starts after two seconds and lasts four, unless changed. */
export function trouble (kind: TroubleKind, changes: Partial<TroublePlan> = {}): TroublePlan {
  return { kind, at: 2, for: 4, share: 0.15, factor: 1, ...changes }
}
