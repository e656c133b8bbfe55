/** Figures on how an entry shares room, for status pages and metrics. */
import type { ProcessorLag } from './processorlag.ts'
import type { RoomClient } from './roomclient.ts'
import type { RoomMap } from './roommap.ts'
import type { RoomRequests } from './roomrequests.ts'

/** One group of targets, or the partition of one entry. */
export interface GroupStatus {
  group: string
  /** The entry that gives out its room; empty when none does. */
  entry: string
  /** Free processors in thousandths of a core, as known here. */
  free: number
}

export interface SharingStatus {
  groups: GroupStatus[]
  /** Lateness of this entry's ticks, in milliseconds. */
  lag: number
  /** Whether it holds no targets for its lag. */
  lagging: boolean
  /** Requests of this entry's jobs that are under way, and those of them that wait for room elsewhere. */
  asked: number
  waiting: number
  /** Mean time of answers to them, in milliseconds. */
  answerMilliseconds: number
  /** Requests of other entries that wait here. */
  requests: number
}

export function sharingStatus (name: string, map: RoomMap, lag: ProcessorLag, client: RoomClient, requests: RoomRequests): SharingStatus {
  const groups = map.groups.map(group => {
    const entry = map.allocatorOf(group) ?? ''
    return { group, entry, free: entry === name ? requests.freeOf(group) : client.roomOf(group) ?? 0 }
  })
  return { groups, lag: Math.round(lag.milliseconds), lagging: lag.lagging, ...client.status(), requests: requests.size }
}
