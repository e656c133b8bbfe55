/**
 * Policies that choose a target among those of one provider with free capacity. The first four are
 * baselines for comparison; the default performed best on the same workloads (see docs/DECISIONS.md).
 */
import type { IndexedHeap } from './heap.ts'
import type { Target } from './target.ts'

/** Names of the policies, as used in settings. */
export enum PolicyName {
  /** A random target with free capacity. */
  Random = 'random',
  /** The less loaded of two random targets, by last reported load. */
  PowerOfTwo = 'powerOfTwo',
  /**
   * The shortest expected wait, from the last reported load, weighted by its age, and this entry's
   * dispatches since.
   */
  LeastExpectedWait = 'leastExpectedWait',
  /**
   * Fewest outstanding tasks of this entry, within a fixed equal fraction of the slots that no other entry
   * uses.
   */
  SlotCredits = 'slotCredits',
  /**
   * Fewest outstanding tasks of this entry per slot, weighted by slowness, within credits that overlap
   * between entries.
   */
  EvenSpread = 'evenSpread'
}

/** A policy: the rank of targets, the choice among them, and the limit per target. */
export interface Policy {
  /**
   * Sort key among targets with free capacity, smallest first. Computed again whenever the target changes.
   */
  rank: (target: Target, now: number) => number
  choose: (available: IndexedHeap<Target>, random: () => number) => Target | undefined
  /** Tasks that this entry may have outstanding at the target. */
  limit: (target: Target, entries: number, now: number) => number
}

function first (available: IndexedHeap<Target>): Target | undefined {
  return available.peek()
}

function sample (available: IndexedHeap<Target>, random: () => number): Target | undefined {
  return available.values()[Math.floor(random() * available.size)]
}

function betterOfTwo (available: IndexedHeap<Target>, random: () => number): Target | undefined {
  const one = sample(available, random)
  const other = sample(available, random)
  if (one === undefined || other === undefined) return undefined
  return one.reportedLoad() <= other.reportedLoad() ? one : other
}

function credit (target: Target): number {
  return target.report.credit
}

function equalShare (target: Target, entries: number): number {
  return Math.max(1, Math.floor(target.description.slots / entries + target.tieBreaker))
}

function ownLoad (target: Target, now: number): number {
  const slowness = target.health.slowness(now)
  return ((target.outstanding + target.tieBreaker) / target.description.slots) * slowness * slowness + slowness - 1
}

/**
 * Expected wait, as a fraction of the mean run time per slot; the load breaks ties when no wait is
 * expected.
 */
function expectedWait (target: Target, now: number): number {
  const { slots } = target.description
  const held = target.outstanding + target.othersLoad(now)
  const wait = Math.max(0, held + 1 - slots) / slots
  return wait + target.health.slowness(now) - 1 + held * 1e-3 + target.tieBreaker * 1e-4
}

/** The policies by name. */
export const policies: Readonly<Record<PolicyName, Policy>> = {
  [PolicyName.Random]: { rank: () => 0, choose: sample, limit: credit },
  [PolicyName.PowerOfTwo]: { rank: () => 0, choose: betterOfTwo, limit: credit },
  [PolicyName.LeastExpectedWait]: { rank: expectedWait, choose: first, limit: credit },
  [PolicyName.SlotCredits]: { rank: ownLoad, choose: first, limit: equalShare },
  [PolicyName.EvenSpread]: { rank: ownLoad, choose: first, limit: credit }
}
