/** Allocator map by data centre: one entry allocates the capacity of all targets of a group. */
import type { Fleet } from './fleet.ts'
import type { AgentView } from './fleetview.ts'
import type { Peers } from './peers.ts'
import type { AllocatorMap } from './allocatormap.ts'
import type { MemberFacts } from './peermessages.ts'
import { TargetGroups } from './targetgroups.ts'

export interface GroupMapDependencies {
  dataCentre: string
  fleet: Fleet
  peers: Peers
  /** Whether groups have allocators; else each entry chooses targets itself. */
  shares: boolean
  note: (what: string, fields: Record<string, unknown>) => void
}

export class GroupMap implements AllocatorMap {
  readonly #dependencies: GroupMapDependencies
  readonly #groups = new TargetGroups()
  #allocators = new Map<string, string | undefined>()
  #home = ''

  constructor (dependencies: GroupMapDependencies) {
    this.#dependencies = dependencies
  }

  get groups (): readonly string[] {
    return this.#groups.names
  }

  get home (): string {
    return this.#home
  }

  groupOf ({ dataCentre }: Pick<AgentView, 'dataCentre'>): string {
    return this.#groups.of(dataCentre ?? '')
  }

  allocatorOf (group: string): string | undefined {
    return this.#allocators.get(group)
  }

  refreshTargets (): void {
    this.#groups.update(this.#dependencies.fleet.targetsByDataCentre())
    this.#home = this.#groups.home(this.#dependencies.dataCentre)
  }

  update (own: MemberFacts): boolean {
    const { peers, shares, note } = this.#dependencies
    const allocators = new Map<string, string | undefined>()
    let changed = false
    for (const group of this.#groups.names) {
      const allocator = shares ? peers.allocatorOf(group, dataCentre => this.#groups.of(dataCentre) === group, own) : undefined
      allocators.set(group, allocator)
      if (allocator === this.#allocators.get(group)) continue
      changed = true
      note('allocator of group changed', { group, entry: allocator })
    }
    changed ||= allocators.size !== this.#allocators.size
    this.#allocators = allocators
    return changed
  }
}
