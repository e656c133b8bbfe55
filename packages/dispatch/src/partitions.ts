/** Partition of targets among entries: weighted rendezvous hashing with a bound on the targets of each. */
import { hashString, score } from '@amaranthmast/coordination/rendezvous'
import { PARTITION_SLACK, WEAK_PROCESSOR_PART } from './partitiondefaults.ts'

/** An entry that may hold targets. */
export interface Holder {
  name: string
  dataCentre: string
  /** Speed of its processor against others, in doublings. */
  strength: number
}

export interface PartitionTarget {
  /** Name of its agent. */
  name: string
  service: string
  dataCentre: string
}

const HASHES = 2 ** 32

/** Those of the holders whose processors are not far weaker than the strongest. */
export function strongEnough (holders: readonly Holder[]): Holder[] {
  const strongest = Math.max(...holders.map(({ strength }) => strength))
  return holders.filter(({ strength }) => 2 ** (strength - strongest) >= WEAK_PROCESSOR_PART)
}

/**
 * The holder of each target, the same in every process that knows the same targets and holders. A target goes to an entry of
 * its own data centre that has not its share yet, else to any other; a holder that leaves moves its own targets and few more.
 */
export function partition (targets: readonly PartitionTarget[], holders: readonly Holder[]): Map<string, string> {
  const held = new Map<string, string>()
  // In one order for all: a sum of fractions depends on it.
  const strong = strongEnough(holders).sort((one, other) => one.name < other.name ? -1 : 1)
  for (const service of new Set(targets.map(target => target.service))) {
    assign(targets.filter(target => target.service === service), strong, held)
  }
  return held
}

function assign (targets: readonly PartitionTarget[], holders: readonly Holder[], held: Map<string, string>): void {
  const weights = holders.reduce((sum, { strength }) => sum + 2 ** strength, 0)
  const left = new Map(holders.map(({ name, strength }) => [name, Math.ceil(targets.length * PARTITION_SLACK * 2 ** strength / weights)]))
  const ordered = targets.map(target => ({ target, hash: hashString(target.name) })).sort((one, other) => one.hash - other.hash || (one.target.name < other.target.name ? -1 : 1))
  for (const { target, hash } of ordered) {
    const open = holders.filter(({ name }) => (left.get(name) ?? 0) > 0)
    const near = open.filter(({ dataCentre }) => dataCentre === target.dataCentre)
    const holder = drawn(hash, near.length > 0 ? near : open, ({ strength }) => 2 ** strength)
    if (holder === undefined) continue
    left.set(holder.name, (left.get(holder.name) ?? 0) - 1)
    held.set(target.name, holder.name)
  }
}

/** The one of some named items that the hash of a key draws: each as often as its weight says, always the same. */
export function drawn<Item extends { name: string }> (keyHash: number, items: readonly Item[], weightOf: (item: Item) => number): Item | undefined {
  let best: Item | undefined
  let lowest = Infinity
  for (const item of items) {
    const cost = drawOf(keyHash, item.name, weightOf(item))
    if (cost > lowest || (cost === lowest && best !== undefined && item.name > best.name)) continue
    best = item
    lowest = cost
  }
  return best
}

/** Place of a named item in the order that a key draws: the lowest comes first. */
export function drawOf (keyHash: number, name: string, weight: number): number {
  return -Math.log((score(keyHash, name) + 1) / HASHES) / weight
}
