/**
 * How a target is chosen among those of one provider that have room. The first four are baselines
 * to measure against; the default is the one that did best on the same work (see docs/DECISIONS.md).
 */
import type { IndexedHeap } from './heap.ts'
import type { Target } from './target.ts'

/** Names of the policies, as settings give them. */
export enum PolicyName {
  /** Any target with room. */
  Random = 'random',
  /** The less loaded of two drawn at random, by last reported load. */
  PowerOfTwo = 'powerOfTwo',
  /** The shortest expected wait by last reported load, aged, and own dispatches since. */
  LeastExpectedWait = 'leastExpectedWait',
  /** Fewest own outstanding, within a fixed equal part of the slots that no other entry uses. */
  SlotCredits = 'slotCredits',
  /** Fewest own outstanding per trusted slot, within credits that overlap. */
  EvenSpread = 'evenSpread'
}

/** One way to choose. */
export interface Policy {
  /** Order of the targets with room: smallest first. Read again whenever the target changes. */
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

function equalPart (target: Target, entries: number): number {
  return Math.max(1, Math.floor(target.description.slots / entries + target.tieBreaker))
}

function ownLoad (target: Target, now: number): number {
  const slowness = target.health.slowness(now)
  return ((target.outstanding + target.tieBreaker) / target.description.slots) * slowness * slowness + slowness - 1
}

/** Expected wait, in parts of the slots' mean run time; own load decides where no wait is expected. */
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
  [PolicyName.SlotCredits]: { rank: ownLoad, choose: first, limit: equalPart },
  [PolicyName.EvenSpread]: { rank: ownLoad, choose: first, limit: credit }
}
