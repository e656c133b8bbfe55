/**
 * Estimates target speeds from the speed ratios that agents report, each with its standard error.
 *
 * Differences that measurement errors explain are ignored: all targets, or all of a kind, then count as equally fast. A label
 * identifies a machine kind when the targets with it differ from the others far beyond their errors. A target without
 * measurements is assumed to have the mean speed of its kind.
 */
import { CERTAIN_ERROR, KIND_DEVIATIONS, MIN_KIND_TARGETS, OUTLIER_DEVIATIONS, MIN_SPEED_RATIO_ERROR, GROUP_DEVIATIONS } from './speeddefaults.ts'

/** Measured speed ratio of one target. */
export interface ObservedSpeedRatio {
  name: string
  labels: readonly string[]
  /** Speed relative to what entries expect of an average target; 0 when not measured. */
  pace: number
  /** Standard error of its logarithm. */
  error: number
}

export interface LearnedSpeed {
  /** Speed relative to the mean of the fleet. */
  speed: number
  /** Standard error of its logarithm; infinite when the speed is assumed and not measured. */
  error: number
  /** Label of the machine kind from which the speed is inferred; empty for none. */
  kind: string
}

export interface LearnedSpeeds {
  byTarget: ReadonlyMap<string, LearnedSpeed>
  /** Mean speed of the targets of each machine kind, by its label. */
  byKind: ReadonlyMap<string, number>
}

interface Measurement {
  labels: readonly string[]
  log: number
  /** Squared standard error of the logarithm. */
  variance: number
}

interface Group {
  kind: string
  mean: number
  /** Squared standard error of the mean. */
  variance: number
  /** Variance between the targets of the group beyond their measurement errors; 0 when the errors explain all of it. */
  between: number
}

export function learnSpeeds (observed: readonly ObservedSpeedRatio[]): LearnedSpeeds {
  const known = new Map<string, Measurement>()
  for (const { name, labels, pace, error } of observed) {
    if (pace > 0) known.set(name, { labels, log: Math.log(pace), variance: error ** 2 + MIN_SPEED_RATIO_ERROR ** 2 })
  }
  const fleet = groupOf('', [...known.values()])
  const kinds = kindsOf([...known.values()])
  const byTarget = new Map<string, LearnedSpeed>()
  for (const { name, labels } of observed) {
    const group = strongestKind(labels, kinds) ?? fleet
    byTarget.set(name, inferSpeed(known.get(name), group, fleet.mean))
  }
  return { byTarget, byKind: new Map([...kinds.values()].map(({ group }) => [group.kind, Math.exp(group.mean - fleet.mean)])) }
}

/** Combines the measurement of a target with the mean of its group, weighted by their variances. Outliers keep their own speed. */
function inferSpeed (known: Measurement | undefined, { kind, mean, variance, between }: Group, fleetMean: number): LearnedSpeed {
  if (known === undefined) return { speed: Math.exp(mean - fleetMean), error: Infinity, kind }
  const isOutlier = Math.abs(known.log - mean) > OUTLIER_DEVIATIONS * Math.sqrt(known.variance)
  const weight = isOutlier ? 1 : between / (between + known.variance)
  const log = mean + weight * (known.log - mean)
  return { speed: Math.exp(log - fleetMean), error: Math.sqrt(weight * known.variance + (1 - weight) * variance), kind }
}

function groupOf (kind: string, members: readonly Measurement[]): Group {
  if (members.length === 0) return { kind, mean: 0, variance: Infinity, between: 0 }
  const weightedMean = meanOf(members)
  if (isNoise(members, weightedMean)) return { kind, mean: weightedMean, variance: 1 / weightOf(members), between: 0 }
  const mean = members.reduce((sum, { log }) => sum + log, 0) / members.length
  const spread = members.reduce((sum, { log }) => sum + (log - mean) ** 2, 0) / Math.max(1, members.length - 1)
  const errors = members.reduce((sum, { variance }) => sum + variance, 0) / members.length
  return { kind, mean, variance: spread / members.length, between: Math.max(0, spread - errors) }
}

/** Whether measurement errors alone explain the spread, with one false rejection in thousands (chi-squared test by its mean and deviation). */
function isNoise (members: readonly Measurement[], mean: number): boolean {
  const degrees = members.length - 1
  const squares = members.reduce((sum, { log, variance }) => sum + (log - mean) ** 2 / variance, 0)
  return squares <= degrees + GROUP_DEVIATIONS * Math.sqrt(2 * degrees)
}

function meanOf (members: readonly Measurement[]): number {
  return members.reduce((sum, { log, variance }) => sum + log / variance, 0) / weightOf(members)
}

function weightOf (members: readonly Measurement[]): number {
  return members.reduce((sum, { variance }) => sum + 1 / variance, 0)
}

interface Kind {
  group: Group
  /** Difference from the mean of the other targets, in standard errors. */
  deviations: number
}

/** Labels that identify machine kinds. A rack of one kind deviates less than the kind itself, which has more targets. */
function kindsOf (known: readonly Measurement[]): Map<string, Kind> {
  const kinds = new Map<string, Kind>()
  const certain = known.filter(({ variance }) => variance < CERTAIN_ERROR ** 2)
  for (const label of new Set(certain.flatMap(({ labels }) => labels))) {
    const members = certain.filter(({ labels }) => labels.includes(label))
    const others = certain.filter(({ labels }) => !labels.includes(label))
    if (Math.min(members.length, others.length) < MIN_KIND_TARGETS) continue
    const group = groupOf(label, members)
    const rest = groupOf('', others)
    const deviations = Math.abs(group.mean - rest.mean) / Math.sqrt(group.variance + rest.variance)
    if (deviations > KIND_DEVIATIONS) kinds.set(label, { group, deviations })
  }
  return kinds
}

function strongestKind (labels: readonly string[], kinds: ReadonlyMap<string, Kind>): Group | undefined {
  let best: Kind | undefined
  for (const label of labels) {
    const kind = kinds.get(label)
    if (kind !== undefined && kind.deviations > (best?.deviations ?? 0)) best = kind
  }
  return best?.group
}
