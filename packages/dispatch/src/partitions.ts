/** Partitions targets among entries by weighted rendezvous hashing, with an upper bound on the targets of each. */
import { hashString, score } from '@amaranthmast/coordination/rendezvous'
import { PARTITION_SLACK, WEAK_PROCESSOR_FRACTION } from './partitiondefaults.ts'

/** An entry that may hold targets. */
export interface Holder {
  name: string
  dataCentre: string
  /** Base-2 logarithm of the speed of its processor, relative to other entries. */
  strength: number
}

export interface PartitionTarget {
  /** Name of its agent. */
  name: string
  service: string
  dataCentre: string
}

const HASH_RANGE = 2 ** 32

/** Holders whose processors are not far slower than the fastest. */
export function fastEnough (holders: readonly Holder[]): Holder[] {
  const fastest = Math.max(...holders.map(({ strength }) => strength))
  return holders.filter(({ strength }) => 2 ** (strength - fastest) >= WEAK_PROCESSOR_FRACTION)
}

/**
 * Computes the holder of each target; the result is the same in every process with the same targets and holders. A target
 * goes to an entry of its own data centre that is below its upper bound, else to any other such entry. When a holder leaves,
 * its own targets move and few others.
 */
export function partition (targets: readonly PartitionTarget[], holders: readonly Holder[]): Map<string, string> {
  const held = new Map<string, string>()
  // Sorted, because the floating-point sum of the weights depends on the order.
  const eligible = fastEnough(holders).sort((one, other) => one.name < other.name ? -1 : 1)
  for (const service of new Set(targets.map(target => target.service))) {
    assign(targets.filter(target => target.service === service), eligible, held)
  }
  return held
}

function assign (targets: readonly PartitionTarget[], holders: readonly Holder[], held: Map<string, string>): void {
  const totalWeight = holders.reduce((sum, { strength }) => sum + 2 ** strength, 0)
  const remaining = new Map(holders.map(({ name, strength }) => [name, Math.ceil(targets.length * PARTITION_SLACK * 2 ** strength / totalWeight)]))
  const ordered = targets.map(target => ({ target, hash: hashString(target.name) })).sort((one, other) => one.hash - other.hash || (one.target.name < other.target.name ? -1 : 1))
  for (const { target, hash } of ordered) {
    const available = holders.filter(({ name }) => (remaining.get(name) ?? 0) > 0)
    const local = available.filter(({ dataCentre }) => dataCentre === target.dataCentre)
    const holder = drawWeighted(hash, local.length > 0 ? local : available, ({ strength }) => 2 ** strength)
    if (holder === undefined) continue
    remaining.set(holder.name, (remaining.get(holder.name) ?? 0) - 1)
    held.set(target.name, holder.name)
  }
}

/** Selects one of the named items by the hash of a key: deterministic for a key, and in proportion to the weights over many keys. */
export function drawWeighted<Item extends { name: string }> (keyHash: number, items: readonly Item[], weightOf: (item: Item) => number): Item | undefined {
  let best: Item | undefined
  let lowest = Infinity
  for (const item of items) {
    const cost = drawRank(keyHash, item.name, weightOf(item))
    if (cost > lowest || (cost === lowest && best !== undefined && item.name > best.name)) continue
    best = item
    lowest = cost
  }
  return best
}

/** Rank of a named item in the weighted random order of a key; the lowest rank comes first. */
export function drawRank (keyHash: number, name: string, weight: number): number {
  return -Math.log((score(keyHash, name) + 1) / HASH_RANGE) / weight
}
