/** Room given out by data centre: one entry for all targets of a group. */
import type { Fleet } from './fleet.ts'
import type { AgentView } from './fleetview.ts'
import type { Peers } from './peers.ts'
import type { RoomMap } from './roommap.ts'
import type { MemberFacts } from './roommessages.ts'
import { TargetGroups } from './groups.ts'

export interface GroupMapParts {
  dataCentre: string
  fleet: Fleet
  peers: Peers
  /** Whether any entry gives out room; else each chooses by itself. */
  shares: boolean
  note: (what: string, fields: Record<string, unknown>) => void
}

export class GroupMap implements RoomMap {
  readonly #parts: GroupMapParts
  readonly #groups = new TargetGroups()
  #allocators = new Map<string, string | undefined>()
  #home = ''

  constructor (parts: GroupMapParts) {
    this.#parts = parts
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

  observe (): void {
    this.#groups.update(this.#parts.fleet.targetsByDataCentre())
    this.#home = this.#groups.home(this.#parts.dataCentre)
  }

  renew (own: MemberFacts): boolean {
    const { peers, shares, note } = this.#parts
    const allocators = new Map<string, string | undefined>()
    let changed = false
    for (const group of this.#groups.names) {
      const allocator = shares ? peers.allocatorOf(group, dataCentre => this.#groups.of(dataCentre) === group, own) : undefined
      allocators.set(group, allocator)
      if (allocator === this.#allocators.get(group)) continue
      changed = true
      note('room given out by', { group, entry: allocator })
    }
    changed ||= allocators.size !== this.#allocators.size
    this.#allocators = allocators
    return changed
  }
}
