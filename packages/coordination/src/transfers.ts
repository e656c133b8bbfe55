/** What entries tell each other of the jobs that they hold or have receipts of, when members change. */
import type { AgentLinks } from './agentlinks.ts'
import type { EntryContext } from './entrycontext.ts'
import type { Jobs } from './jobs.ts'
import type { Instance, Member, Receipt, Transfer } from './messages.ts'
import type { RangeMemory } from './rangememory.ts'
import type { Receipts } from './receipts.ts'
import type { Takeover } from './takeover.ts'
import { handoverOf, isHandover, receiptsOfJobs } from './handover.ts'
import { backupsOf, ownerOf } from './rendezvous.ts'
import { epochOf, isMember } from './view.ts'

export interface TransfersParts {
  context: EntryContext
  jobs: Jobs
  receipts: Receipts
  agents: AgentLinks
  takeover: Takeover
  memory: RangeMemory
  /** Members of the epoch that was begun last. */
  members: () => readonly Member[]
}

export class Transfers {
  readonly #context: EntryContext
  readonly #jobs: Jobs
  readonly #receipts: Receipts
  readonly #agents: AgentLinks
  readonly #takeover: Takeover
  readonly #memory: RangeMemory
  readonly #members: () => readonly Member[]

  constructor (parts: TransfersParts) {
    this.#context = parts.context
    this.#jobs = parts.jobs
    this.#receipts = parts.receipts
    this.#agents = parts.agents
    this.#takeover = parts.takeover
    this.#memory = parts.memory
    this.#members = parts.members
  }

  /**
   * Tells a peer which of the job ids it now owns are known here, and which jobs held here it is to
   * remember as well: the second memory of a job may have gone with the last change of members, or
   * there was nobody to keep it.
   */
  send (peer: Instance): void {
    const receipts: Receipt[] = []
    for (const { key, digest } of this.#jobs.values()) {
      const concerned = ownerOf(key, this.#members()) === peer || backupsOf(key, this.#context.instance, this.#members())[0] === peer
      if (concerned) receipts.push({ job: key, digest, executor: this.#context.instance })
    }
    for (const { job, digest, executor } of this.#receipts.values()) {
      if (ownerOf(job, this.#members()) === peer) receipts.push({ job, digest, executor })
    }
    this.#context.sendPeer(peer, { case: 'transfer', value: this.#transfer(receipts) })
  }

  /** Gives every memory held here to the entries that stay. */
  handOver (remaining: readonly Member[]): void {
    const handover = handoverOf({
      self: this.#context.instance,
      remaining,
      jobs: this.#jobs.values(),
      receipts: this.#receipts.values()
    })
    for (const [peer, receipts] of handover) this.#context.sendPeer(peer, { case: 'transfer', value: this.#transfer(receipts) })
  }

  /** Takes the transfer of a peer in; its view has been merged before. */
  take (peer: Instance, transfer: Transfer, now: number): void {
    this.#memory.learn(transfer, now)
    for (const agent of transfer.agents) {
      if (this.#agents.learn(agent, now)) this.#takeover.learned(agent, undefined, now)
    }
    const receipts = receiptsOfJobs(transfer.receipts)
    const epoch = epochOf(transfer.view)
    if (epoch === this.#takeover.epoch) {
      this.#dropDenied(peer, receipts)
      if (transfer.complete) this.#memory.peerComplete()
    }
    for (const receipt of receipts) this.#keep(peer, receipt, now)
    if (isHandover(transfer.receipts)) this.#memory.handedOver(peer)
    this.#takeover.transferred(peer, epoch)
  }

  /** Keeps receipts, for their new owners, of jobs of lost entries whose ids are not this entry's any more. */
  releaseOrphans (now: number): void {
    if (!this.#context.guards.release) return
    const released = this.#jobs.releaseOrphans(job => ownerOf(job, this.#members()) === this.#context.instance)
    for (const receipt of released) {
      if (this.#receipts.get(receipt.job) === undefined) this.#receipts.keep(receipt, now)
    }
  }

  /**
   * A member that has begun this epoch takes nothing more of this entry's job ids, so what it does
   * not name it does not hold: a receipt that still names it is of a job that it passed on.
   */
  #dropDenied (peer: Instance, receipts: readonly Receipt[]): void {
    const held = new Set(receipts.filter(receipt => receipt.executor === peer).map(receipt => receipt.job))
    this.#receipts.dropStale(peer, job => !held.has(job) && ownerOf(job, this.#members()) === this.#context.instance)
  }

  #keep (peer: Instance, receipt: Receipt, now: number): void {
    if (receipt.executor !== peer && this.#deniedBy(receipt)) return
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

  /** A member that names for itself what it holds of this entry's job ids does not name this job. */
  #deniedBy ({ job, executor }: Receipt): boolean {
    if (ownerOf(job, this.#members()) !== this.#context.instance) return false
    return isMember(this.#context.view(), executor) && this.#takeover.hasTransferred(executor)
  }

  #transfer (receipts: Receipt[]): Transfer {
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
