/**
 * Speeds of targets from the paces that their agents tell, each with its error.
 *
 * Nothing is inferred from a spread that chance explains: then all targets, or all of a kind, count as equally fast. What
 * explains speed besides the target itself is found out: a label counts as a kind when its carriers differ from the others
 * far beyond their errors, and a target that nobody knows yet is taken for one of its kind.
 */
import { CERTAIN_ERROR, KIND_DEVIATIONS, LEAST_KIND_TARGETS, OUTLIER_DEVIATIONS, PACE_FLOOR_ERROR, UNLIKELY_DEVIATIONS } from './speeddefaults.ts'

/** What is known about one target. */
export interface PaceObserved {
  name: string
  labels: readonly string[]
  /** In parts of what entries expect of an average target; 0 when nothing is known. */
  pace: number
  /** Standard error of its logarithm. */
  error: number
}

export interface SpeedLearned {
  /** Speed against the fleet's mean. */
  speed: number
  /** Standard error of its logarithm; infinite when it is only assumed. */
  error: number
  /** The label from which it is inferred; empty for none. */
  kind: string
}

export interface SpeedsLearned {
  byTarget: ReadonlyMap<string, SpeedLearned>
  /** Mean speed of the carriers of each label that explains speed. */
  byKind: ReadonlyMap<string, number>
}

interface Known {
  labels: readonly string[]
  log: number
  /** Squared error of the logarithm. */
  variance: number
}

interface Group {
  kind: string
  mean: number
  /** Squared error of that mean. */
  variance: number
  /** How much targets of the group differ beyond chance, squared; 0 when chance explains all of it. */
  between: number
}

export function learnSpeeds (observed: readonly PaceObserved[]): SpeedsLearned {
  const known = new Map<string, Known>()
  for (const { name, labels, pace, error } of observed) {
    if (pace > 0) known.set(name, { labels, log: Math.log(pace), variance: error ** 2 + PACE_FLOOR_ERROR ** 2 })
  }
  const whole = groupOf('', [...known.values()])
  const kinds = kindsOf([...known.values()])
  const byTarget = new Map<string, SpeedLearned>()
  for (const { name, labels } of observed) {
    const group = strongest(labels, kinds) ?? whole
    byTarget.set(name, inferred(known.get(name), group, whole.mean))
  }
  return { byTarget, byKind: new Map([...kinds.values()].map(({ group }) => [group.kind, Math.exp(group.mean - whole.mean)])) }
}

/** Between what was observed there and the mean of its group, by how certain either is. */
function inferred (known: Known | undefined, { kind, mean, variance, between }: Group, centre: number): SpeedLearned {
  if (known === undefined) return { speed: Math.exp(mean - centre), error: Infinity, kind }
  const outlies = Math.abs(known.log - mean) > OUTLIER_DEVIATIONS * Math.sqrt(known.variance)
  const part = outlies ? 1 : between / (between + known.variance)
  const log = mean + part * (known.log - mean)
  return { speed: Math.exp(log - centre), error: Math.sqrt(part * known.variance + (1 - part) * variance), kind }
}

function groupOf (kind: string, members: readonly Known[]): Group {
  if (members.length === 0) return { kind, mean: 0, variance: Infinity, between: 0 }
  const chance = meanOf(members)
  if (isChance(members, chance)) return { kind, mean: chance, variance: 1 / weightOf(members), between: 0 }
  const mean = members.reduce((sum, { log }) => sum + log, 0) / members.length
  const spread = members.reduce((sum, { log }) => sum + (log - mean) ** 2, 0) / Math.max(1, members.length - 1)
  const errors = members.reduce((sum, { variance }) => sum + variance, 0) / members.length
  return { kind, mean, variance: spread / members.length, between: Math.max(0, spread - errors) }
}

/** Whether errors alone would spread them as much, but for one case in thousands (chi-squared, by its mean and deviation). */
function isChance (members: readonly Known[], mean: number): boolean {
  const degrees = members.length - 1
  const squares = members.reduce((sum, { log, variance }) => sum + (log - mean) ** 2 / variance, 0)
  return squares <= degrees + UNLIKELY_DEVIATIONS * Math.sqrt(2 * degrees)
}

function meanOf (members: readonly Known[]): number {
  return members.reduce((sum, { log, variance }) => sum + log / variance, 0) / weightOf(members)
}

function weightOf (members: readonly Known[]): number {
  return members.reduce((sum, { variance }) => sum + 1 / variance, 0)
}

interface Kind {
  group: Group
  /** Difference to the other targets, in standard errors. */
  deviations: number
}

/** Labels that explain speed. A rack within a kind explains less than the kind, which has more targets. */
function kindsOf (known: readonly Known[]): Map<string, Kind> {
  const kinds = new Map<string, Kind>()
  const certain = known.filter(({ variance }) => variance < CERTAIN_ERROR ** 2)
  for (const label of new Set(certain.flatMap(({ labels }) => labels))) {
    const carriers = certain.filter(({ labels }) => labels.includes(label))
    const others = certain.filter(({ labels }) => !labels.includes(label))
    if (Math.min(carriers.length, others.length) < LEAST_KIND_TARGETS) continue
    const group = groupOf(label, carriers)
    const rest = groupOf('', others)
    const deviations = Math.abs(group.mean - rest.mean) / Math.sqrt(group.variance + rest.variance)
    if (deviations > KIND_DEVIATIONS) kinds.set(label, { group, deviations })
  }
  return kinds
}

function strongest (labels: readonly string[], kinds: ReadonlyMap<string, Kind>): Group | undefined {
  let best: Kind | undefined
  for (const label of labels) {
    const kind = kinds.get(label)
    if (kind !== undefined && kind.deviations > (best?.deviations ?? 0)) best = kind
  }
  return best?.group
}
