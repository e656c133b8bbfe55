/** What entries tell each other. */
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

export interface PeerExchangeParts {
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
  /** A peer has told what it holds. */
  memoryProgressed: (now: number) => void
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
  readonly #memoryProgressed: (now: number) => void

  readonly #handlers: MessageHandlers<PeerMessage> = {
    hello: (peer, { view, configurationVersion }, now) => {
      this.#adoption.stated(peer, configurationVersion)
      this.#merge(view, now)
    },
    heartbeat: (peer, { viewVersion, configurationVersion }) => {
      this.#adoption.stated(peer, configurationVersion)
      this.#membership.heardOf(viewVersion)
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
      this.#transfers.take(peer, transfer, now)
      this.#memoryProgressed(now)
    },
    refused: (peer, { instance }, now) => {
      if (this.#membership.refused(instance, peer, now)) this.#membersChanged(now)
    },
    configuration: (peer, { version, document }, now) => this.#configurations.received(version, document, now)
  }

  constructor (parts: PeerExchangeParts) {
    this.#context = parts.context
    this.#links = parts.links
    this.#membership = parts.membership
    this.#adoption = parts.adoption
    this.#configurations = parts.configurations
    this.#receipts = parts.receipts
    this.#jobs = parts.jobs
    this.#router = parts.router
    this.#transfers = parts.transfers
    this.#hello = parts.hello
    this.#membersChanged = parts.membersChanged
    this.#memoryProgressed = parts.memoryProgressed
  }

  connected (peer: Instance, now: number): void {
    this.#links.peerConnected(peer)
    this.#membership.heard(peer, now)
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
    if (this.#context.peerConnected(peer)) this.#membership.heard(peer, now)
    if (!this.#obeys(peer, message)) return
    handleMessage(this.#handlers, peer, message, now)
  }

  /** Tells linked entries that are members no more of the view without them. */
  greetRemoved (): void {
    for (const peer of this.#links.peers) if (!isMember(this.#membership.view, peer)) this.#sendHello(peer)
  }

  /**
   * An entry that was removed, woke from a pause and still forwards jobs is no second memory for
   * them: what it holds will not be handed over. Views are taken from anybody. This is a second line
   * of defence: no schedule of faults is known that only this check keeps from breaking a promise.
   */
  #obeys (peer: Instance, message: PeerMessage): boolean {
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
