/** Which entry is asked for room in its partition. */
import { hashString } from '@amaranthmast/coordination/rendezvous'
import { FAR_ROOM_FACTOR, NEAR_WEIGHT } from './defaults.ts'
import { drawn } from './partitions.ts'

/** A partition of another entry, as its holder tells of it. */
export interface PartitionRoom {
  /** Name of its holder. */
  name: string
  /** Free processors, in thousandths of a core. */
  free: number
  /** Whether the holder is in the data centre of this entry. */
  near: boolean
}

/**
 * The partition that a job is asked for: one with ample room near, else one with ample room, else one with any. Jobs draw
 * among those in proportion to their room, so that entries which hear of the same room do not all go there.
 *
 * @param need processors of the job's tasks, in thousandths of a core
 * @param least processors of its smallest task
 */
export function choosePartition (job: string, need: number, least: number, rooms: readonly PartitionRoom[]): string | undefined {
  const ample = rooms.filter(({ free }) => free >= need * FAR_ROOM_FACTOR)
  const open = ample.length > 0 ? ample : rooms.filter(({ free }) => free >= least)
  return drawn(hashString(job), open, ({ free, near }) => free * (near ? NEAR_WEIGHT : 1))?.name
}
