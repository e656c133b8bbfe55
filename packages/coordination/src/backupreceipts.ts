/** That a second entry knows of a job before anything of it is dispatched. */
import type { EntryContext } from './entrycontext.ts'
import type { Attachment, Execution } from './execution.ts'
import type { Instance } from './messages.ts'
import { backupsOf } from './rendezvous.ts'
import { liveMembers } from './view.ts'

export class BackupReceipts {
  readonly #context: EntryContext
  /** Told once for each job that is known to a second entry, or that nobody else can know of. */
  readonly #onBackedUp: (execution: Execution, now: number) => void

  constructor (context: EntryContext, onBackedUp: (execution: Execution, now: number) => void) {
    this.#context = context
    this.#onBackedUp = onBackedUp
  }

  /**
   * A job that came through another entry is known there; one that did not needs a receipt. An
   * entry that is stopping is no second memory: it may have handed over what it knows already.
   */
  ensure (execution: Execution, from: Attachment | undefined, now: number): void {
    const source = liveMembers(this.#context.view()).find(member => member.instance === from?.entry)
    const backedUp = source !== undefined && source.instance !== this.#context.instance && !source.leaving
    if (backedUp || !this.#context.guards.secondMemory) this.#onBackedUp(execution, now)
    else this.#sendReceipt(execution, now)
  }

  /** The backup has the receipt: the first dispatch may go out. */
  confirmed (execution: Execution | undefined, backup: Instance, now: number): void {
    if (execution?.awaitedBackup !== backup) return
    execution.awaitedBackup = undefined
    this.#onBackedUp(execution, now)
  }

  /** A peer is gone: receipts that it was to keep go to the next one. */
  peerLost (held: Iterable<Execution>, peer: Instance, now: number): void {
    for (const execution of held) {
      if (execution.awaitedBackup === peer) this.#sendReceipt(execution, now)
    }
  }

  /** A link to a peer is up: receipts that could not be sent, or were lost with the old link, go out. */
  peerConnected (held: Iterable<Execution>, peer: Instance, now: number): void {
    for (const execution of held) {
      const awaited = execution.awaitedBackup
      if (awaited === undefined || execution.answer !== undefined) continue
      if (awaited === peer || !this.#context.peerConnected(awaited)) this.#sendReceipt(execution, now)
    }
  }

  /**
   * Gives another entry the receipt, and dispatches nothing until it has confirmed. If this entry
   * and an agent are lost together, the receipt is what tells a later submission that the job was
   * there. With no other entry in the view there is nobody to ask, and the horizon covers the loss.
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
