/** Status of capacity allocation at an entry, for status pages and metrics. */
import type { EventLoopLag } from './eventlooplag.ts'
import type { AllocationClient } from './allocationclient.ts'
import type { AllocatorMap } from './allocatormap.ts'
import type { AllocationRequests } from './allocationrequests.ts'

/** One group of targets, or the partition of one entry. */
export interface GroupStatus {
  group: string
  /** The entry that allocates its capacity; empty when none does. */
  entry: string
  /** Free processors as known to this entry, in thousandths of a core. */
  free: number
}

export interface AllocationStatus {
  groups: GroupStatus[]
  /** Event loop lag of this entry, in milliseconds. */
  lag: number
  /** Whether the entry holds no targets because of its lag. */
  lagging: boolean
  /** Pending requests for jobs of this entry, and those of them that wait for free capacity. */
  asked: number
  waiting: number
  /** Moving average of the time to an answer, in milliseconds. */
  answerMilliseconds: number
  /** Requests of other entries that wait at this entry. */
  requests: number
}

export function allocationStatus (name: string, map: AllocatorMap, lag: EventLoopLag, client: AllocationClient, requests: AllocationRequests): AllocationStatus {
  const groups = map.groups.map(group => {
    const entry = map.allocatorOf(group) ?? ''
    return { group, entry, free: entry === name ? requests.freeOf(group) : client.freeCapacityOf(group) ?? 0 }
  })
  return { groups, lag: Math.round(lag.milliseconds), lagging: lag.lagging, ...client.status(), requests: requests.size }
}
