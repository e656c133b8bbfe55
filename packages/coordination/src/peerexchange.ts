/** Messages between entries. */
import type { ConfigurationAdoption } from './adoption.ts'
import type { ConfigurationExchange } from './configurationexchange.ts'
import type { EntryContext } from './entrycontext.ts'
import type { EntryLinks } from './entrylinks.ts'
import type { Jobs } from './jobs.ts'
import type { Instance, PeerMessage, View } from './messages.ts'
import type { Membership } from './membership.ts'
import type { MessageHandlers } from './messagehandlers.ts'
import type { Receipts } from './receipts.ts'
import type { Router } from './router.ts'
import type { Transfers } from './transfers.ts'
import { Responsibility } from './adoption.ts'
import { handleMessage } from './messagehandlers.ts'
import { isMember } from './view.ts'

export interface PeerExchangeDependencies {
  context: EntryContext
  links: EntryLinks
  membership: Membership
  adoption: ConfigurationAdoption
  configurations: ConfigurationExchange
  receipts: Receipts
  jobs: Jobs
  router: Router
  transfers: Transfers
  hello: () => PeerMessage
  membersChanged: (now: number) => void
  /** Called when a peer has sent the jobs it holds. */
  memoryUpdated: (now: number) => void
}

export class PeerExchange {
  readonly #context: EntryContext
  readonly #links: EntryLinks
  readonly #membership: Membership
  readonly #adoption: ConfigurationAdoption
  readonly #configurations: ConfigurationExchange
  readonly #receipts: Receipts
  readonly #jobs: Jobs
  readonly #router: Router
  readonly #transfers: Transfers
  readonly #hello: () => PeerMessage
  readonly #membersChanged: (now: number) => void
  readonly #memoryUpdated: (now: number) => void

  readonly #handlers: MessageHandlers<PeerMessage> = {
    hello: (peer, { view, configurationVersion }, now) => {
      this.#adoption.noteVersion(peer, configurationVersion)
      this.#merge(view, now)
    },
    heartbeat: (peer, { viewVersion, configurationVersion }) => {
      this.#adoption.noteVersion(peer, configurationVersion)
      this.#membership.noteViewVersion(viewVersion)
      if (viewVersion < this.#membership.view.version) this.#sendHello(peer)
    },
    submit: (peer, { job, submission }, now) => this.#router.forwarded(job, { entry: peer, submission }, now),
    submitted: (peer, { job, submission, holder }, now) => this.#router.redirected(peer, job, submission, holder, now),
    answer: (peer, { job, submission, answer }) => this.#router.answered(peer, job, submission, answer),
    receipt: (peer, receipt, now) => {
      this.#receipts.keep(receipt, now)
      this.#context.sendPeer(peer, { case: 'receiptKept', value: { job: receipt.job } })
    },
    receiptKept: (peer, { job }, now) => this.#jobs.receiptKept(job, peer, now),
    cancel: (peer, { job, submission }, now) => this.#router.cancelFor({ entry: peer, submission }, job, now),
    lookUp: (peer, { job, submission }) => this.#router.lookUpFor({ entry: peer, submission }, job),
    lookedUp: (peer, { job, submission, state, answer }) => this.#router.lookedUp(submission, job, state, answer),
    transfer: (peer, transfer, now) => {
      this.#merge(transfer.view, now)
      this.#transfers.receive(peer, transfer, now)
      this.#memoryUpdated(now)
    },
    refused: (peer, { instance }, now) => {
      if (this.#membership.refused(instance, peer, now)) this.#membersChanged(now)
    },
    configuration: (peer, { version, document }, now) => this.#configurations.received(version, document, now)
  }

  constructor (dependencies: PeerExchangeDependencies) {
    this.#context = dependencies.context
    this.#links = dependencies.links
    this.#membership = dependencies.membership
    this.#adoption = dependencies.adoption
    this.#configurations = dependencies.configurations
    this.#receipts = dependencies.receipts
    this.#jobs = dependencies.jobs
    this.#router = dependencies.router
    this.#transfers = dependencies.transfers
    this.#hello = dependencies.hello
    this.#membersChanged = dependencies.membersChanged
    this.#memoryUpdated = dependencies.memoryUpdated
  }

  connected (peer: Instance, now: number): void {
    this.#links.peerConnected(peer)
    this.#membership.noteContact(peer, now)
    this.#adoption.connected(peer, undefined, Responsibility.Watcher, now)
    this.#sendHello(peer)
    if (!this.#membership.joined) return
    this.#transfers.send(peer)
    this.#router.peerConnected(peer, now)
    this.#jobs.peerConnected(peer, now)
  }

  /** @param refused whether a new connection to the peer's own address was refused */
  disconnected (peer: Instance, refused: boolean, now: number): void {
    this.#links.peerDisconnected(peer)
    this.#adoption.disconnected(peer)
    if (refused && this.#membership.refused(peer, this.#context.instance, now)) this.#membersChanged(now)
  }

  message (peer: Instance, message: PeerMessage, now: number): void {
    if (this.#context.peerConnected(peer)) this.#membership.noteContact(peer, now)
    if (!this.#accepts(peer, message)) return
    handleMessage(this.#handlers, peer, message, now)
  }

  /** Sends the view to linked entries that it no longer contains. */
  notifyRemovedPeers (): void {
    for (const peer of this.#links.peers) if (!isMember(this.#membership.view, peer)) this.#sendHello(peer)
  }

  /**
   * Whether a message is processed: views from any entry, other messages only from members.
   *
   * A removed entry that resumes from a pause and still forwards jobs must not count as a second record of them,
   * because its records will not be handed over. This is an additional safeguard: no schedule of faults is known in
   * which only this check prevents a violation.
   */
  #accepts (peer: Instance, message: PeerMessage): boolean {
    if (message.case === 'hello' || message.case === 'transfer') return true
    return isMember(this.#membership.view, peer)
  }

  #merge (view: View, now: number): void {
    if (this.#membership.merge(view)) this.#membersChanged(now)
  }

  #sendHello (peer: Instance): void {
    this.#context.sendPeer(peer, this.#hello())
  }
}
