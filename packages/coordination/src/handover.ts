/**
 * What an entry that stops leaves behind. Every job that it remembers goes to the entry that owns
 * the job id next, and a receipt of it to one more entry, so that each job is again remembered
 * twice when the stopping entry is gone.
 */
import type { Answer, Instance, JobKey, Member, Receipt } from './messages.ts'
import { backupsOf, ownerOf } from './rendezvous.ts'

/** A job that is held here, answered or not. */
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

/** The last receipt of a handover names no job: what an entry sent before it stopped is complete. */
const END_MARKER_JOB: JobKey = ''

/** Receipts by the entry that they go to; each list ends with the closing one. */
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

/** Whether these receipts are the whole handover of a stopping entry. */
export function isHandover (receipts: readonly Receipt[]): boolean {
  return receipts.at(-1)?.job === END_MARKER_JOB
}

/** The receipts that name jobs. */
export function receiptsOfJobs (receipts: readonly Receipt[]): Receipt[] {
  return receipts.filter(receipt => receipt.job !== END_MARKER_JOB)
}
