/** Chooses the entry from whose partition capacity is requested. */
import { hashString } from '@amaranthmast/coordination/rendezvous'
import { REMOTE_CAPACITY_FACTOR } from './defaults.ts'
import { LOCAL_WEIGHT } from './partitiondefaults.ts'
import { drawWeighted } from './partitions.ts'

/** Free processors of a partition without a recent report. */
export const UNKNOWN_CAPACITY = -1

/** A partition of another entry, as its holder reports it. */
export interface PartitionCapacity {
  /** Name of its holder. */
  name: string
  /** Free processors, in thousandths of a core. */
  free: number
  /** Whether the holder is in the same data centre as this entry. */
  near: boolean
}

/**
 * Chooses the partition from which capacity for a job is requested: one with ample capacity, else one with enough for a task,
 * else one without a recent report. Jobs are spread at random in proportion to the free capacity, with a preference for local
 * partitions, so that entries with the same reports don't all choose the same one.
 *
 * @param neededCpu processors of the job's tasks, in thousandths of a core
 * @param minCpu processors of its smallest task, in thousandths of a core
 */
export function choosePartition (job: string, neededCpu: number, minCpu: number, partitions: readonly PartitionCapacity[]): string | undefined {
  const ample = partitions.filter(({ free }) => free >= neededCpu * REMOTE_CAPACITY_FACTOR)
  const sufficient = ample.length > 0 ? ample : partitions.filter(({ free }) => free >= minCpu)
  const eligible = sufficient.length > 0 ? sufficient : partitions.filter(({ free }) => free === UNKNOWN_CAPACITY)
  return drawWeighted(hashString(job), eligible, ({ free, near }) => Math.max(1, free) * (near ? LOCAL_WEIGHT : 1))?.name
}
