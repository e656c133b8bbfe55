/** Maps targets to groups, and groups to the entry that allocates their capacity. */
import type { AgentView } from './fleetview.ts'
import type { MemberFacts } from './peermessages.ts'

export interface AllocatorMap {
  /** Names of the known groups. */
  readonly groups: readonly string[]
  /** The group that this entry requests from first. */
  readonly home: string
  groupOf: (agent: Pick<AgentView, 'name' | 'dataCentre'>) => string
  /** The entry that allocates the capacity of a group; undefined when none does. */
  allocatorOf: (group: string) => string | undefined
  /** Reads the current set of targets; `update` then uses it. */
  refreshTargets: () => void
  /**
   * Recomputes the allocator of each group.
   *
   * @param own facts of this entry
   * @returns whether anything has changed
   */
  update: (own: MemberFacts) => boolean
}
