/**
 * The records that a stopping entry hands over. Each job goes to the entry that owns the job id next, and a receipt
 * of it to one more entry, so that two entries have a record of each job after the stop.
 */
import type { Answer, Instance, JobKey, Member, Receipt } from './messages.ts'
import { backupsOf, ownerOf } from './rendezvous.ts'

/** A job held by this entry, answered or not. */
export interface HeldJob {
  readonly key: JobKey
  readonly digest: string
  readonly answer: Answer | undefined
}

export interface HandoverInput {
  self: Instance
  remaining: readonly Member[]
  jobs: Iterable<HeldJob>
  receipts: Iterable<Receipt>
}

/** Job key of the last receipt of a handover, which marks the handover as complete. */
const END_MARKER_JOB: JobKey = ''

/** Receipts by the entry they are sent to; each list ends with the end marker. */
export function handoverOf ({ self, remaining, jobs, receipts }: HandoverInput): Map<Instance, Receipt[]> {
  const handover = new Map<Instance, Receipt[]>(remaining.map(member => [member.instance, []]))
  const add = (to: Instance | undefined, receipt: Receipt): void => {
    if (to !== undefined) handover.get(to)?.push(receipt)
  }
  for (const { key, digest, answer } of jobs) {
    const owner = ownerOf(key, remaining)
    if (owner === undefined) continue
    add(owner, { job: key, digest, executor: self, ...(answer !== undefined && { answer }) })
    add(backupsOf(key, owner, remaining)[0], { job: key, digest, executor: self })
  }
  for (const { job, digest, executor } of receipts) {
    const [first, second] = backupsOf(job, executor, remaining)
    add(first, { job, digest, executor })
    if (!handover.has(executor)) add(second, { job, digest, executor })
  }
  for (const list of handover.values()) list.push({ job: END_MARKER_JOB, digest: '', executor: self })
  return handover
}

/** Whether these receipts are the complete handover of a stopping entry. */
export function isHandover (receipts: readonly Receipt[]): boolean {
  return receipts.at(-1)?.job === END_MARKER_JOB
}

/** The receipts without the end marker. */
export function receiptsOfJobs (receipts: readonly Receipt[]): Receipt[] {
  return receipts.filter(receipt => receipt.job !== END_MARKER_JOB)
}
