/** Which targets form a group, and which entry gives out the room of each group. */
import type { AgentView } from './fleetview.ts'
import type { MemberFacts } from './roommessages.ts'

export interface RoomMap {
  /** Groups that are known. */
  readonly groups: readonly string[]
  /** The group that serves this entry first. */
  readonly home: string
  groupOf: (agent: Pick<AgentView, 'name' | 'dataCentre'>) => string
  /** The entry that gives out the room of a group; undefined when none does. */
  allocatorOf: (group: string) => string | undefined
  /** Looks at which targets there are. */
  observe: () => void
  /**
   * Works out anew who gives out what.
   *
   * @param own facts of this entry
   * @returns whether anything has changed
   */
  renew: (own: MemberFacts) => boolean
}
