/** Room given out by partition: each group is what one entry holds, and goes by the name of that entry. */
import type { Fleet } from './fleet.ts'
import type { AgentView } from './fleetview.ts'
import type { Holder, PartitionTarget } from './partitions.ts'
import type { Peers } from './peers.ts'
import type { RoomMap } from './roommap.ts'
import type { MemberFacts } from './roommessages.ts'
import { partition } from './partitions.ts'

/** The group of targets that nobody holds. */
const UNHELD = ''

/** Names of targets that one note lists. */
const NAMES_NOTED = 12

export interface PartitionMapParts {
  /** Name of this entry. */
  name: string
  fleet: Fleet
  peers: Peers
  /** Lag of this process, in milliseconds. */
  lag: () => number
  note: (what: string, fields: Record<string, unknown>) => void
}

export class PartitionMap implements RoomMap {
  readonly #parts: PartitionMapParts
  #targets: PartitionTarget[] = []
  #holderOf: ReadonlyMap<string, string> = new Map()
  #sizes: ReadonlyMap<string, number> = new Map()
  /** What the partition was worked out from. */
  #basis = ''

  constructor (parts: PartitionMapParts) {
    this.#parts = parts
  }

  get groups (): readonly string[] {
    return [...this.#sizes.keys()]
  }

  get home (): string {
    return this.#parts.name
  }

  /** Targets that each entry holds. */
  get sizes (): ReadonlyMap<string, number> {
    return this.#sizes
  }

  groupOf ({ name }: Pick<AgentView, 'name'>): string {
    return this.#holderOf.get(name) ?? UNHELD
  }

  allocatorOf (group: string): string | undefined {
    return this.#sizes.has(group) ? group : undefined
  }

  observe (): void {
    this.#targets = this.#parts.fleet.partitionTargets()
  }

  renew (own: MemberFacts): boolean {
    const holders = this.#parts.peers.able()
    if (own.able) holders.push({ ...own, name: this.#parts.name })
    const basis = basisOf(this.#targets, holders)
    if (basis === this.#basis) return false
    this.#basis = basis
    const before = this.#holderOf
    this.#holderOf = partition(this.#targets, holders)
    const sizes = new Map<string, number>()
    for (const holder of this.#holderOf.values()) sizes.set(holder, (sizes.get(holder) ?? 0) + 1)
    this.#sizes = sizes
    this.#noteChange(before, own, holders.length)
    return true
  }

  #noteChange (before: ReadonlyMap<string, string>, own: MemberFacts, holders: number): void {
    const { name, lag, note } = this.#parts
    const fields = { holders, able: own.able, strength: own.strength, lag: Math.round(lag()), holds: this.#sizes.get(name) ?? 0 }
    const taken = gained(before, this.#holderOf, name)
    const left = gained(this.#holderOf, before, name)
    if (taken.length > 0) note('partition taken', { targets: taken.length, names: taken.slice(0, NAMES_NOTED), ...fields })
    if (left.length > 0) note('partition handed over', { targets: left.length, names: left.slice(0, NAMES_NOTED), ...fields })
  }
}

/** Targets that an entry holds by the second map and not by the first. */
function gained (first: ReadonlyMap<string, string>, second: ReadonlyMap<string, string>, name: string): string[] {
  return [...second].flatMap(([target, holder]) => holder === name && first.get(target) !== name ? [target] : [])
}

function basisOf (targets: readonly PartitionTarget[], holders: readonly Holder[]): string {
  const places = targets.map(({ name, service, dataCentre }) => `${name}/${service}/${dataCentre}`)
  const entries = holders.map(({ name, dataCentre, strength }) => `${name}/${dataCentre}/${strength}`)
  return `${places.sort().join()} ${entries.sort().join()}`
}
