/** Which entry is asked for room in its partition. */
import { hashString } from '@amaranthmast/coordination/rendezvous'
import { REMOTE_CAPACITY_FACTOR } from './defaults.ts'
import { NEAR_WEIGHT } from './partitiondefaults.ts'
import { drawn } from './partitions.ts'

/** Free processors of a partition of which nothing is known. */
export const UNKNOWN_ROOM = -1

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
 * The partition that a job is asked for: one with ample room, else one with any, else one of which nothing is known, those
 * near rather than others. Jobs draw among them in proportion to their room, so that entries which hear of the same room do
 * not all go there.
 *
 * @param need processors of the job's tasks, in thousandths of a core
 * @param least processors of its smallest task
 */
export function choosePartition (job: string, need: number, least: number, rooms: readonly PartitionRoom[]): string | undefined {
  const ample = rooms.filter(({ free }) => free >= need * REMOTE_CAPACITY_FACTOR)
  const open = ample.length > 0 ? ample : rooms.filter(({ free }) => free >= least)
  const asked = open.length > 0 ? open : rooms.filter(({ free }) => free === UNKNOWN_ROOM)
  return drawn(hashString(job), asked, ({ free, near }) => Math.max(1, free) * (near ? NEAR_WEIGHT : 1))?.name
}
