/** Ensures that a second entry has a record of a job before any of its tasks is dispatched. */
import type { EntryContext } from './entrycontext.ts'
import type { Attachment, Execution } from './execution.ts'
import type { Instance } from './messages.ts'
import { backupsOf } from './rendezvous.ts'
import { liveMembers } from './view.ts'

export class BackupReceipts {
  readonly #context: EntryContext
  /** Called once for each job, when a second entry has a record of it or when there is no other entry. */
  readonly #onBackedUp: (execution: Execution, now: number) => void

  constructor (context: EntryContext, onBackedUp: (execution: Execution, now: number) => void) {
    this.#context = context
    this.#onBackedUp = onBackedUp
  }

  /**
   * Ensures a second record of a job. A job forwarded by another entry is already recorded there; any other job needs a
   * receipt. A stopping entry does not count, since it may already have handed over its records.
   */
  ensure (execution: Execution, from: Attachment | undefined, now: number): void {
    const source = liveMembers(this.#context.view()).find(member => member.instance === from?.entry)
    const backedUp = source !== undefined && source.instance !== this.#context.instance && !source.leaving
    if (backedUp || !this.#context.guards.secondMemory) this.#onBackedUp(execution, now)
    else this.#sendReceipt(execution, now)
  }

  /** The backup entry has confirmed the receipt: the first dispatch may be sent. */
  confirmed (execution: Execution | undefined, backup: Instance, now: number): void {
    if (execution?.awaitedBackup !== backup) return
    execution.awaitedBackup = undefined
    this.#onBackedUp(execution, now)
  }

  /** A peer is lost: receipts that it has not confirmed are sent to the next backup. */
  peerLost (held: Iterable<Execution>, peer: Instance, now: number): void {
    for (const execution of held) {
      if (execution.awaitedBackup === peer) this.#sendReceipt(execution, now)
    }
  }

  /** A link to a peer is established: sends the receipts that could not be sent, or were lost with the old link. */
  peerConnected (held: Iterable<Execution>, peer: Instance, now: number): void {
    for (const execution of held) {
      const awaited = execution.awaitedBackup
      if (awaited === undefined || execution.answer !== undefined) continue
      if (awaited === peer || !this.#context.peerConnected(awaited)) this.#sendReceipt(execution, now)
    }
  }

  /**
   * Sends the receipt to a backup entry; nothing is dispatched until the backup confirms it.
   *
   * If this entry and an agent are lost together, the receipt shows a later submission that the job existed. With no
   * other entry in the view no backup is possible, and the horizon covers the loss.
   */
  #sendReceipt (execution: Execution, now: number): void {
    const members = liveMembers(this.#context.view())
    const candidates = backupsOf(execution.key, this.#context.instance, members)
    execution.awaitedBackup = candidates.find(candidate => this.#context.peerConnected(candidate)) ?? candidates[0]
    if (execution.awaitedBackup === undefined) {
      this.#onBackedUp(execution, now)
      return
    }
    const receipt = { job: execution.key, digest: execution.digest, executor: this.#context.instance }
    this.#context.sendPeer(execution.awaitedBackup, { case: 'receipt', value: receipt })
  }
}
