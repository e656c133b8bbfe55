/** Allocator map with one partition of the targets per entry: each group is the partition of one entry and has its name. */
import type { Fleet } from './fleet.ts'
import type { AgentView } from './fleetview.ts'
import type { Holder, PartitionTarget } from './partitions.ts'
import type { Peers } from './peers.ts'
import type { AllocatorMap } from './allocatormap.ts'
import type { MemberFacts } from './peermessages.ts'
import { partition } from './partitions.ts'

/** Group of the targets without a holder. */
const UNHELD = ''

/** Maximum number of target names in one log line. */
const MAX_LOGGED_NAMES = 12

export interface PartitionMapDependencies {
  /** Name of this entry. */
  name: string
  fleet: Fleet
  peers: Peers
  /** Event loop lag of this process, in milliseconds. */
  lag: () => number
  note: (what: string, fields: Record<string, unknown>) => void
}

export class PartitionMap implements AllocatorMap {
  readonly #dependencies: PartitionMapDependencies
  #targets: PartitionTarget[] = []
  #holderOf: ReadonlyMap<string, string> = new Map()
  #sizes: ReadonlyMap<string, number> = new Map()
  /** Identifies the targets and holders for which the partition was computed. */
  #inputKey = ''

  constructor (dependencies: PartitionMapDependencies) {
    this.#dependencies = dependencies
  }

  get groups (): readonly string[] {
    return [...this.#sizes.keys()]
  }

  get home (): string {
    return this.#dependencies.name
  }

  /** Number of targets that each entry holds. */
  get sizes (): ReadonlyMap<string, number> {
    return this.#sizes
  }

  groupOf ({ name }: Pick<AgentView, 'name'>): string {
    return this.#holderOf.get(name) ?? UNHELD
  }

  allocatorOf (group: string): string | undefined {
    return this.#sizes.has(group) ? group : undefined
  }

  refreshTargets (): void {
    this.#targets = this.#dependencies.fleet.partitionTargets()
  }

  update (own: MemberFacts): boolean {
    const holders = this.#dependencies.peers.able()
    if (own.able) holders.push({ ...own, name: this.#dependencies.name })
    const inputKey = inputKeyOf(this.#targets, holders)
    if (inputKey === this.#inputKey) return false
    this.#inputKey = inputKey
    const before = this.#holderOf
    this.#holderOf = partition(this.#targets, holders)
    const sizes = new Map<string, number>()
    for (const holder of this.#holderOf.values()) sizes.set(holder, (sizes.get(holder) ?? 0) + 1)
    this.#sizes = sizes
    this.#logChange(before, own, holders.length)
    return true
  }

  #logChange (before: ReadonlyMap<string, string>, own: MemberFacts, holders: number): void {
    const { name, lag, note } = this.#dependencies
    const fields = { holders, able: own.able, strength: own.strength, lag: Math.round(lag()), holds: this.#sizes.get(name) ?? 0 }
    const gainedTargets = gainedBy(before, this.#holderOf, name)
    const lostTargets = gainedBy(this.#holderOf, before, name)
    if (gainedTargets.length > 0) note('partition taken', { targets: gainedTargets.length, names: gainedTargets.slice(0, MAX_LOGGED_NAMES), ...fields })
    if (lostTargets.length > 0) note('partition handed over', { targets: lostTargets.length, names: lostTargets.slice(0, MAX_LOGGED_NAMES), ...fields })
  }
}

/** Targets that an entry holds in the second map and not in the first. */
function gainedBy (first: ReadonlyMap<string, string>, second: ReadonlyMap<string, string>, name: string): string[] {
  return [...second].flatMap(([target, holder]) => holder === name && first.get(target) !== name ? [target] : [])
}

function inputKeyOf (targets: readonly PartitionTarget[], holders: readonly Holder[]): string {
  const places = targets.map(({ name, service, dataCentre }) => `${name}/${service}/${dataCentre}`)
  const entries = holders.map(({ name, dataCentre, strength }) => `${name}/${dataCentre}/${strength}`)
  return `${places.sort().join()} ${entries.sort().join()}`
}
