/** Determines which entry holds a job, or would hold it, as far as this entry knows. */
import type { EntryContext } from './entrycontext.ts'
import type { Attachment } from './execution.ts'
import type { Jobs } from './jobs.ts'
import type { Instance, JobKey } from './messages.ts'
import type { Receipts } from './receipts.ts'
import { SubmitStatus } from './messages.ts'
import { ownerOf } from './rendezvous.ts'
import { isMember, liveMembers } from './view.ts'

export class Holders {
  readonly #context: EntryContext
  readonly #jobs: Jobs
  readonly #receipts: Receipts

  constructor (context: EntryContext, jobs: Jobs, receipts: Receipts) {
    this.#context = context
    this.#jobs = jobs
    this.#receipts = receipts
  }

  /** The other entry that holds or would hold the job; undefined when it is this one. */
  otherHolder (job: JobKey): Instance | undefined {
    const holder = this.#holderOf(job)
    return holder === this.#context.instance ? undefined : holder
  }

  /** Reports to the requesting entry which entry holds the job. */
  redirect (from: Attachment, job: JobKey, holder: Instance): void {
    const value = { job, submission: from.submission, status: SubmitStatus.HeldElsewhere, holder }
    this.#context.sendPeer(from.entry, { case: 'submitted', value })
  }

  #holderOf (job: JobKey): Instance | undefined {
    const held = this.#jobs.get(job)
    if (held !== undefined && !held.resumable) return this.#context.instance
    const view = this.#context.view()
    const receipt = this.#context.guards.claim ? this.#receipts.get(job) : undefined
    if (receipt !== undefined && isMember(view, receipt.executor)) return receipt.executor
    return ownerOf(job, liveMembers(view))
  }
}
