/** Exchanges between entries, when members change, of the jobs that they hold or have receipts of. */
import type { AgentLinks } from './agentlinks.ts'
import type { EntryContext } from './entrycontext.ts'
import type { Jobs } from './jobs.ts'
import type { Instance, Member, Receipt, Transfer } from './messages.ts'
import type { JobMemory } from './jobmemory.ts'
import type { Receipts } from './receipts.ts'
import type { Takeover } from './takeover.ts'
import { handoverOf, isHandover, receiptsOfJobs } from './handover.ts'
import { backupsOf, ownerOf } from './rendezvous.ts'
import { epochOf, isMember } from './view.ts'

export interface TransfersDependencies {
  context: EntryContext
  jobs: Jobs
  receipts: Receipts
  agents: AgentLinks
  takeover: Takeover
  memory: JobMemory
  /** Members of the epoch that began last. */
  members: () => readonly Member[]
}

export class Transfers {
  readonly #context: EntryContext
  readonly #jobs: Jobs
  readonly #receipts: Receipts
  readonly #agents: AgentLinks
  readonly #takeover: Takeover
  readonly #memory: JobMemory
  readonly #members: () => readonly Member[]

  constructor (dependencies: TransfersDependencies) {
    this.#context = dependencies.context
    this.#jobs = dependencies.jobs
    this.#receipts = dependencies.receipts
    this.#agents = dependencies.agents
    this.#takeover = dependencies.takeover
    this.#memory = dependencies.memory
    this.#members = dependencies.members
  }

  /**
   * Sends a peer the job ids it now owns that are known here, and the jobs held here whose backup receipt it is to
   * keep. The earlier backup may have been lost with the last change of members, or there was no entry to keep one.
   */
  send (peer: Instance): void {
    const receipts: Receipt[] = []
    for (const { key, digest } of this.#jobs.values()) {
      const relevant = ownerOf(key, this.#members()) === peer || backupsOf(key, this.#context.instance, this.#members())[0] === peer
      if (relevant) receipts.push({ job: key, digest, executor: this.#context.instance })
    }
    for (const { job, digest, executor } of this.#receipts.values()) {
      if (ownerOf(job, this.#members()) === peer) receipts.push({ job, digest, executor })
    }
    this.#context.sendPeer(peer, { case: 'transfer', value: this.#createTransfer(receipts) })
  }

  /** Hands all job records held here over to the remaining entries. */
  handOver (remaining: readonly Member[]): void {
    const handover = handoverOf({
      self: this.#context.instance,
      remaining,
      jobs: this.#jobs.values(),
      receipts: this.#receipts.values()
    })
    for (const [peer, receipts] of handover) this.#context.sendPeer(peer, { case: 'transfer', value: this.#createTransfer(receipts) })
  }

  /** Handles the transfer of a peer, whose view has already been merged. */
  receive (peer: Instance, transfer: Transfer, now: number): void {
    this.#memory.mergeLosses(transfer, now)
    for (const agent of transfer.agents) {
      if (this.#agents.addReported(agent, now)) this.#takeover.addAgent(agent, undefined, now)
    }
    const receipts = receiptsOfJobs(transfer.receipts)
    const epoch = epochOf(transfer.view)
    if (epoch === this.#takeover.epoch) {
      this.#dropOmitted(peer, receipts)
      if (transfer.complete) this.#memory.peerComplete()
    }
    for (const receipt of receipts) this.#keepReceipt(peer, receipt, now)
    if (isHandover(transfer.receipts)) this.#memory.handedOver(peer)
    this.#takeover.transferred(peer, epoch)
  }

  /** Converts jobs of lost entries whose ids this entry no longer owns to receipts for their new owners. */
  releaseOrphans (now: number): void {
    if (!this.#context.guards.release) return
    const released = this.#jobs.releaseOrphans(job => ownerOf(job, this.#members()) === this.#context.instance)
    for (const receipt of released) {
      if (this.#receipts.get(receipt.job) === undefined) this.#receipts.keep(receipt, now)
    }
  }

  /**
   * Drops receipts that name `peer` for jobs it did not list. A member that has begun this epoch accepts no more of
   * this entry's job ids, so a job it does not list is not held there: it has passed the job on.
   */
  #dropOmitted (peer: Instance, receipts: readonly Receipt[]): void {
    const held = new Set(receipts.filter(receipt => receipt.executor === peer).map(receipt => receipt.job))
    this.#receipts.dropStale(peer, job => !held.has(job) && ownerOf(job, this.#members()) === this.#context.instance)
  }

  #keepReceipt (peer: Instance, receipt: Receipt, now: number): void {
    if (receipt.executor !== peer && this.#isOmittedByExecutor(receipt)) return
    if (receipt.answer !== undefined) {
      this.#receipts.delete(receipt.job)
      this.#jobs.adoptAnswered(receipt.job, receipt.digest, receipt.answer, now)
      return
    }
    const held = this.#jobs.get(receipt.job)
    if (held !== undefined && !held.resumable) return
    const known = this.#receipts.get(receipt.job)
    if (known !== undefined && isMember(this.#context.view(), known.executor)) return
    this.#receipts.keep(receipt, now)
  }

  /** Whether the executor is a member that has listed what it holds of this entry's job ids, without this job. */
  #isOmittedByExecutor ({ job, executor }: Receipt): boolean {
    if (ownerOf(job, this.#members()) !== this.#context.instance) return false
    return isMember(this.#context.view(), executor) && this.#takeover.hasTransferred(executor)
  }

  #createTransfer (receipts: Receipt[]): Transfer {
    return {
      view: this.#context.view(),
      receipts,
      agents: this.#agents.known(),
      complete: this.#memory.complete,
      horizon: this.#memory.horizon,
      losses: this.#memory.losses
    }
  }
}
