/**
 * Decision logic of an entry, composed of its parts: membership, the memory of its job ids, the
 * jobs it runs, the requests of its callers, and the configuration in force.
 */
import type { Configuration } from './configuration.ts'
import type { MemoryLimits, Timings } from './defaults.ts'
import type { EntryContext, EntryGuards } from './entrycontext.ts'
import type { EntryEffect, EntryEvent } from './entrytypes.ts'
import type { AgentToEntry, EntryToAgent, Instance, Member, PeerMessage, Receipt, TargetDescription, TargetReport, Transfer, View } from './messages.ts'
import type { Scheduler, SchedulerStatus } from './scheduling.ts'
import { ConfigurationAdoption, Responsibility } from './adoption.ts'
import { AgentLinks } from './agentlinks.ts'
import { DEFAULT_MEMORY_LIMITS, DEFAULT_TIMINGS } from './defaults.ts'
import { ALL_ENTRY_GUARDS } from './entrycontext.ts'
import { EntryState } from './entrytypes.ts'
import { Jobs } from './jobs.ts'
import { Membership } from './membership.ts'
import { Receipts } from './receipts.ts'
import { handoverOf, isHandover, receiptsOfJobs } from './handover.ts'
import { backupsOf, ownerOf } from './rendezvous.ts'
import { Router } from './router.ts'
import { Takeover } from './takeover.ts'
import { epochOf, isMember, liveMembers } from './view.ts'

/** How long a stopping entry goes on taking requests that were already on their way. */
const LINGER_MILLISECONDS = 1000
/** How long a stopping entry that has handed everything over waits to be removed from the view. */
const DEPARTURE_PATIENCE_MILLISECONDS = 3000
/** How long an entry that has joined waits for its agents and its configuration before it refuses for want of them. */
const SETTLE_MILLISECONDS = 3000
/** An agent is remembered until no job that it may have started for a lost entry is. */
const AGENT_RETENTION_FACTOR = 2
/** Stands for a configuration's document where the version is all that is used. */
const NO_DOCUMENT = new Uint8Array()
/** Stands for the agent runs that nobody remembers any more. */
const UNKNOWN_AGENTS = 'unknown before '
/** Stands for a confirmation by the store that never came. */
const NEVER_CONFIRMED_MILLISECONDS = 1e12

export interface EntryOptions {
  instance: Instance
  /** URL of the inner listener, as other processes reach it. */
  address: string
  dataCentre: string
  scheduler: Scheduler
  /** Reads a configuration document of a peer; undefined when it cannot be read. */
  parseConfiguration: (document: Uint8Array, version: number) => Configuration | undefined
  random: () => number
  wallClock: () => number
  /** @default DEFAULT_TIMINGS */
  timings?: Timings
  /** @default DEFAULT_MEMORY_LIMITS */
  limits?: MemoryLimits
  /** Guards switched off, to show that a proof fails without them. @internal */
  guards?: EntryGuards
}

/** Figures for status pages. */
export interface EntryStatus {
  state: EntryState
  view: View
  configurationVersion: number
  /** Instances known to be behind the configuration in force. */
  configurationBehind: Instance[]
  agents: Array<{ instance: Instance, target: string, provider: string, connected: boolean }>
  openJobs: number
  heldJobs: number
  receipts: number
  waiting: number
  /** Since when the memory is complete, in milliseconds since 1970; 0 for ever. */
  horizon: number
  scheduler: SchedulerStatus
}

type Handlers<Kind extends { case: string, value: unknown }> = {
  [Case in Kind['case']]: (from: Instance, value: Extract<Kind, { case: Case }>['value'], now: number) => void
}
type EventHandlers = {
  [Type in EntryEvent['type']]: (event: Extract<EntryEvent, { type: Type }>, now: number) => void
}

export class Entry {
  readonly #instance: Instance
  readonly #parseConfiguration: EntryOptions['parseConfiguration']
  readonly #wallClock: () => number
  readonly #timings: Timings
  readonly #scheduler: Scheduler
  readonly #membership: Membership
  readonly #takeover: Takeover
  readonly #jobs: Jobs
  readonly #receipts: Receipts
  readonly #router: Router
  readonly #agents = new AgentLinks()
  readonly #adoption: ConfigurationAdoption
  readonly #peers = new Set<Instance>()
  readonly #context: EntryContext
  #members: Member[] = []
  /** Entries that stop and have handed their memory over. */
  readonly #handedOver = new Set<Instance>()
  /** When entries were lost without handing over, by this entry's clock. */
  #losses: number[] = []
  #horizon = 0
  #memoryComplete = false
  /** Whether some member with a complete memory has sent its transfer in this epoch. */
  #peerMemoryComplete = false
  #state = EntryState.Joining
  #lastHeartbeat = Number.NEGATIVE_INFINITY
  #joinedAt: number | undefined
  #stopOrderedAt: number | undefined
  #departingSince: number | undefined
  #stopped = false
  #effects: EntryEffect[] = []

  readonly #onEvent: EventHandlers = {
    submitted: ({ request, job }, now) => this.#router.submit(request, job, now),
    callerGone: ({ request }) => this.#router.callerGone(request),
    cancelRequested: ({ request, job }, now) => this.#router.cancel(request, job, now),
    lookUpRequested: ({ request, job }, now) => this.#router.lookUp(request, job, now),
    agentMessage: ({ agent, message }, now) => this.#agentMessage(agent, message, now),
    agentDisconnected: ({ agent }, now) => this.#agentDisconnected(agent, now),
    peerConnected: ({ peer }, now) => this.#peerConnected(peer, now),
    peerMessage: ({ peer, message }, now) => this.#peerMessage(peer, message, now),
    peerDisconnected: ({ peer, refused }, now) => this.#peerDisconnected(peer, refused, now),
    viewRead: ({ view, revision, readStarted }, now) => {
      if (this.#membership.viewRead(view, revision, readStarted)) this.#membersChanged(now)
    },
    viewReadFailed: (event, now) => {
      if (this.#membership.viewReadFailed()) this.#membersChanged(now)
    },
    viewWritten: () => this.#membership.viewWritten(),
    configurationRead: ({ configuration, document }, now) => this.#offerConfiguration(configuration, document, now),
    tick: (event, now) => this.#tick(now),
    stopOrdered: (event, now) => this.#stopOrdered(now)
  }

  readonly #onAgentMessage: Handlers<AgentToEntry> = {
    announce: (agent, { target, report }, now) => this.#announced(agent, target, report, now),
    report: (agent, report, now) => {
      this.#scheduler.targetReport(agent, report, now)
      this.#adoption.stated(agent, report.configurationVersion)
    },
    result: (agent, result, now) => this.#jobs.result(agent, result, now),
    recalled: (agent, { epoch, lines }, now) => {
      for (const line of lines) this.#jobs.adoptLine(agent, line, now)
      this.#takeover.recalled(agent, epoch)
      this.#memoryProgressed(now)
    },
    heartbeat: (agent, heartbeat, now) => this.#agentHeartbeat(agent, heartbeat, now)
  }

  readonly #onPeerMessage: Handlers<PeerMessage> = {
    hello: (peer, hello, now) => this.#peerHello(peer, hello, now),
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
    lookedUp: (peer, { job, submission, state, answer }) => {
      this.#router.lookedUp({ entry: this.#instance, submission }, job, state, answer)
    },
    transfer: (peer, transfer, now) => this.#transferred(peer, transfer, now),
    refused: (peer, { instance }, now) => {
      if (this.#membership.refused(instance, peer, now)) this.#membersChanged(now)
    },
    configuration: (peer, { version, document }, now) => {
      const configuration = this.#parseConfiguration(document, version)
      if (configuration !== undefined) this.#offerConfiguration(configuration, document, now)
    }
  }

  constructor (options: EntryOptions) {
    this.#instance = options.instance
    this.#parseConfiguration = options.parseConfiguration
    this.#wallClock = options.wallClock
    this.#timings = options.timings ?? DEFAULT_TIMINGS
    this.#scheduler = options.scheduler
    this.#context = this.#newContext(options)
    this.#adoption = new ConfigurationAdoption({ random: options.random })
    this.#membership = new Membership({
      self: { instance: options.instance, address: options.address, dataCentre: options.dataCentre, leaving: false },
      timings: this.#timings,
      guards: this.#context.guards,
      emit: effect => this.#emit(effect),
      announceRefused: instance => this.#broadcast({ case: 'refused', value: { instance } })
    })
    this.#takeover = new Takeover(this.#timings)
    this.#receipts = new Receipts(this.#timings.retention)
    this.#jobs = new Jobs(this.#context, this.#scheduler, (to, job, answer, now) => this.#router.reply(to, job, answer, now))
    this.#router = new Router({
      context: this.#context,
      jobs: this.#jobs,
      receipts: this.#receipts,
      takeover: this.#takeover,
      horizon: () => this.#horizon,
      ready: () => this.#ready,
      settling: now => this.#settling(now),
      inForce: now => this.#membership.inForce(now)
    })
  }

  /** Takes one event in and returns what is to be done for it, in order. */
  handle (event: EntryEvent, now: number): EntryEffect[] {
    this.#effects = []
    if (this.#stopped) return this.#effects
    this.#membership.observe(now)
    const handler = this.#onEvent[event.type] as (event: EntryEvent, now: number) => void
    handler(event, now)
    if (this.#state !== EntryState.Fenced) this.#jobs.dispatch(now)
    this.#sendConfigurations(now)
    return this.#effects
  }

  status (): EntryStatus {
    return {
      state: this.#state,
      view: this.#membership.view,
      configurationVersion: this.#adoption.inForce.version,
      configurationBehind: this.#adoption.behind(),
      agents: this.#agents.known().map(instance => this.#agentStatus(instance)),
      openJobs: this.#jobs.open,
      heldJobs: this.#jobs.size,
      receipts: this.#receipts.size,
      waiting: this.#router.waiting,
      horizon: this.#horizon,
      scheduler: this.#scheduler.status()
    }
  }

  #newContext (options: EntryOptions): EntryContext {
    return {
      instance: options.instance,
      timings: this.#timings,
      limits: options.limits ?? DEFAULT_MEMORY_LIMITS,
      guards: options.guards ?? ALL_ENTRY_GUARDS,
      wallClock: options.wallClock,
      emit: effect => this.#emit(effect),
      view: () => this.#membership.view,
      peerConnected: peer => this.#peers.has(peer),
      agentConnected: agent => this.#agents.connected(agent),
      sendPeer: (peer, message) => this.#sendPeer(peer, message),
      sendAgent: (agent, message) => this.#sendAgent(agent, message)
    }
  }

  /** Whether the memory has ever been complete, and the entry is not just waking. */
  get #ready (): boolean {
    return this.#memoryComplete && !this.#membership.waking
  }

  /** Whether this entry has just joined, and its agents and its configuration may still be on their way. */
  #settling (now: number): boolean {
    return this.#joinedAt !== undefined && now - this.#joinedAt < SETTLE_MILLISECONDS
  }

  #agentStatus (instance: Instance): EntryStatus['agents'][number] {
    const target = this.#agents.targetOf(instance)
    return { instance, target: target?.target ?? '', provider: target?.provider ?? '', connected: this.#agents.connected(instance) }
  }

  // Agents

  #agentMessage (agent: Instance, message: AgentToEntry, now: number): void {
    const handler = this.#onAgentMessage[message.case] as (agent: Instance, value: unknown, now: number) => void
    handler(agent, message.value, now)
  }

  #announced (agent: Instance, target: TargetDescription, report: TargetReport, now: number): void {
    const replaced = this.#agents.announced(agent, target)
    if (replaced !== undefined) this.#giveUpAgent(replaced, now)
    this.#sendAgent(agent, this.#hello())
    this.#scheduler.targetUp(agent, target, report, now)
    this.#adoption.connected(agent, report.configurationVersion, this.#responsibilityFor(agent), now)
    this.#takeover.learned(agent, undefined, now)
    this.#recall(agent)
    this.#jobs.agentReconnected(agent, now)
  }

  #agentHeartbeat (agent: Instance, heartbeat: { sent: number, viewVersion: number, configurationVersion: number }, now: number): void {
    const { view } = this.#membership
    this.#membership.heardOf(heartbeat.viewVersion)
    if (heartbeat.viewVersion < view.version) this.#sendAgent(agent, { case: 'view', value: { view } })
    this.#adoption.stated(agent, heartbeat.configurationVersion)
    if (!this.#membership.joined) return
    const confirmedAgeMilliseconds = Math.min(this.#membership.confirmedAge(now), NEVER_CONFIRMED_MILLISECONDS)
    const value = { sent: heartbeat.sent, viewVersion: view.version, confirmedAgeMilliseconds }
    this.#sendAgent(agent, { case: 'heartbeatReply', value })
  }

  #agentDisconnected (agent: Instance, now: number): void {
    this.#agents.disconnected(agent, now)
    this.#scheduler.targetDown(agent, now)
    this.#adoption.disconnected(agent)
  }

  #giveUpAgent (agent: Instance, now: number): void {
    this.#agents.disconnected(agent, now)
    if (!this.#agents.giveUp(agent)) return
    this.#scheduler.targetDown(agent, now)
    this.#jobs.agentLost(agent, now)
  }

  #recall (agent: Instance): void {
    if (!this.#takeover.awaitedAgents.has(agent)) return
    this.#sendAgent(agent, { case: 'recall', value: { epoch: this.#takeover.epoch, view: this.#membership.view } })
  }

  /** One entry sends an agent new configurations at once; the others only when it stays behind. */
  #responsibilityFor (agent: Instance): Responsibility {
    return ownerOf(agent, this.#members) === this.#instance ? Responsibility.Own : Responsibility.Other
  }

  // Peers

  #peerConnected (peer: Instance, now: number): void {
    this.#peers.add(peer)
    this.#membership.heard(peer, now)
    this.#adoption.connected(peer, undefined, Responsibility.Watcher, now)
    this.#sendHello(peer)
    if (!this.#membership.joined) return
    this.#sendTransfer(peer)
    this.#router.peerConnected(peer, now)
    this.#jobs.peerConnected(peer, now)
  }

  #peerDisconnected (peer: Instance, refused: boolean, now: number): void {
    this.#peers.delete(peer)
    this.#adoption.disconnected(peer)
    if (refused && this.#membership.refused(peer, this.#instance, now)) this.#membersChanged(now)
  }

  #peerMessage (peer: Instance, message: PeerMessage, now: number): void {
    if (this.#peers.has(peer)) this.#membership.heard(peer, now)
    if (!this.#obeys(peer, message)) return
    const handler = this.#onPeerMessage[message.case] as (peer: Instance, value: unknown, now: number) => void
    handler(peer, message.value, now)
  }

  /**
   * An entry that was removed, woke from a pause and still forwards jobs is no second memory for
   * them: what it holds will not be handed over. Views are taken from anybody.
   */
  #obeys (peer: Instance, message: PeerMessage): boolean {
    if (!this.#context.guards.view || message.case === 'hello' || message.case === 'transfer') return true
    return isMember(this.#membership.view, peer)
  }

  #peerHello (peer: Instance, hello: { view: View, configurationVersion: number }, now: number): void {
    this.#adoption.stated(peer, hello.configurationVersion)
    if (this.#membership.merge(hello.view)) this.#membersChanged(now)
  }

  #transferred (peer: Instance, transfer: Transfer, now: number): void {
    if (this.#membership.merge(transfer.view)) this.#membersChanged(now)
    this.#horizon = Math.max(this.#horizon, transfer.horizon)
    this.#learnLosses(transfer.losses, now)
    for (const agent of transfer.agents) {
      if (this.#agents.learn(agent, now)) this.#takeover.learned(agent, undefined, now)
    }
    const receipts = receiptsOfJobs(transfer.receipts)
    if (epochOf(transfer.view) === this.#takeover.epoch) {
      this.#dropDenied(peer, receipts)
      if (transfer.complete) this.#peerHasMemory()
    }
    for (const receipt of receipts) this.#keepTransferred(peer, receipt, now)
    if (isHandover(transfer.receipts)) this.#handedOver.add(peer)
    this.#takeover.transferred(peer, epochOf(transfer.view))
    this.#memoryProgressed(now)
  }

  /**
   * A member that has begun this epoch takes nothing more of this entry's job ids, so what it does
   * not name it does not hold: a receipt that still names it is of a job that it passed on.
   */
  #dropDenied (peer: Instance, receipts: readonly Receipt[]): void {
    const held = new Set(receipts.filter(receipt => receipt.executor === peer).map(receipt => receipt.job))
    this.#receipts.dropStale(peer, job => !held.has(job) && ownerOf(job, this.#members) === this.#instance)
  }

  #peerHasMemory (): void {
    this.#peerMemoryComplete = true
    this.#membership.acquaint()
  }

  /** A member that names for itself what it holds of this entry's job ids does not name this job. */
  #deniedBy ({ job, executor }: Receipt): boolean {
    if (ownerOf(job, this.#members) !== this.#instance) return false
    return isMember(this.#membership.view, executor) && this.#takeover.hasTransferred(executor)
  }

  #keepTransferred (peer: Instance, receipt: Receipt, now: number): void {
    if (receipt.executor !== peer && this.#deniedBy(receipt)) return

    if (receipt.answer !== undefined) {
      this.#receipts.delete(receipt.job)
      this.#jobs.adoptAnswered(receipt.job, receipt.digest, receipt.answer, now)
      return
    }
    const held = this.#jobs.get(receipt.job)
    if (held !== undefined && (!held.orphan || held.answer !== undefined)) return
    const known = this.#receipts.get(receipt.job)
    if (known !== undefined && isMember(this.#membership.view, known.executor)) return
    this.#receipts.keep(receipt, now)
  }

  /**
   * Tells a peer which of the job ids it now owns are known here, and which jobs held here it is to
   * remember as well: the second memory of a job may have gone with the last change of members, or
   * there was nobody to keep it.
   */
  #sendTransfer (peer: Instance): void {
    const receipts: Receipt[] = []
    for (const { key, digest } of this.#jobs.values()) {
      const concerned = ownerOf(key, this.#members) === peer || backupsOf(key, this.#instance, this.#members)[0] === peer
      if (concerned) receipts.push({ job: key, digest, executor: this.#instance })
    }
    for (const { job, digest, executor } of this.#receipts.values()) {
      if (ownerOf(job, this.#members) === peer) receipts.push({ job, digest, executor })
    }
    this.#sendPeer(peer, { case: 'transfer', value: this.#transfer(receipts) })
  }

  #transfer (receipts: Receipt[]): Transfer {
    return {
      view: this.#membership.view,
      receipts,
      agents: this.#agents.known(),
      complete: this.#memoryComplete,
      horizon: this.#horizon,
      losses: this.#losses.length
    }
  }

  // Membership

  #membersChanged (now: number): void {
    if (this.#membership.removed) {
      this.#replaced(now)
      return
    }
    if (!this.#membership.joined) return
    this.#joinedAt ??= now
    this.#noteLosses(now)
    this.#members = liveMembers(this.#membership.view)
    this.#scheduler.setEntryCount(this.#members.filter(member => !member.leaving).length || 1, now)
    this.#beginTakeover(now)
    this.#releaseOrphans(now)
    for (const peer of this.#peers) if (!isMember(this.#membership.view, peer)) this.#sendHello(peer)
    const peers = this.#otherMembers()
    this.#emit({ type: 'connectPeers', peers: peers.map(({ instance, address }) => ({ instance, address })) })
    for (const agent of this.#agents.live()) {
      this.#adoption.reassigned(agent, this.#responsibilityFor(agent))
      this.#recall(agent)
    }
    for (const peer of peers) this.#sendTransfer(peer.instance)
    for (const peer of peers) if (!this.#peers.has(peer.instance)) this.#jobs.peerLost(peer.instance, now)
    this.#settleMemory(now)
    this.#router.membersChanged(now)
    this.#memoryProgressed(now)
  }

  /** An entry that goes without having left takes one memory of some jobs with it. */
  #noteLosses (now: number): void {
    const { view } = this.#membership
    for (const member of this.#members) {
      if (isMember(view, member.instance)) continue
      this.#jobs.peerLost(member.instance, now)
      if (!this.#handedOver.delete(member.instance)) this.#losses.push(now)
    }
    this.#losses = this.#losses.filter(at => now - at <= this.#timings.retention)
  }

  #beginTakeover (now: number): void {
    this.#peerMemoryComplete = false
    this.#takeover.begin({
      epoch: epochOf(this.#membership.view),
      peers: this.#otherMembers().map(member => member.instance),
      agents: this.#agents.disconnections(),
      memoriesLost: this.#losses.length > 1,
      now
    })
  }

  #releaseOrphans (now: number): void {
    if (!this.#context.guards.release) return
    const released = this.#jobs.releaseOrphans(job => ownerOf(job, this.#members) === this.#instance)
    for (const receipt of released) {
      if (this.#receipts.get(receipt.job) === undefined) this.#receipts.keep(receipt, now)
    }
  }

  #learnLosses (losses: number, now: number): void {
    while (this.#losses.length < losses) this.#losses.push(now)
    if (this.#losses.length > 1) this.#takeover.noteMemoriesLost()
  }

  #memoryProgressed (now: number): void {
    this.#settleMemory(now)
    this.#router.unpark(now)
    this.#refreshState()
  }

  /** Raises the horizon where memory is gone, before any job id is taken as new. */
  #settleMemory (now: number): void {
    if (this.#membership.joined && !this.#memoryComplete && this.#takeover.transfersComplete) this.#inheritMemory(now)
    if (this.#takeover.takeMemoryLoss(now)) this.#raiseHorizon()
  }

  /**
   * The memory of a new entry is as complete as that of any other member whose memory was. With
   * none, what ran before is forgotten, unless this entry wrote the first view there ever was; and
   * so is which agents ran it, for which an agent run stands that nobody will ever reach.
   */
  #inheritMemory (now: number): void {
    this.#memoryComplete = true
    this.#membership.acquaint()
    if (this.#peerMemoryComplete || this.#membership.view.version === 1) return
    this.#raiseHorizon()
    const unknown = `${UNKNOWN_AGENTS}${this.#instance}`
    this.#agents.learn(unknown, now)
    this.#takeover.forgotten(unknown)
  }

  #raiseHorizon (): void {
    this.#horizon = Math.max(this.#horizon, this.#wallClock())
  }

  #refreshState (): void {
    if (this.#stopOrderedAt !== undefined) {
      this.#changeState(EntryState.Leaving)
      return
    }
    if (this.#state === EntryState.Joining && this.#membership.joined && this.#takeover.transfersComplete) {
      this.#changeState(EntryState.Serving)
    }
  }

  #changeState (state: EntryState): void {
    if (state === this.#state) return
    this.#state = state
    const members = this.#members.map(member => member.instance).join(', ')
    this.#emit({ type: 'stateChanged', state, detail: `view ${this.#membership.view.version}: ${members}` })
  }

  /** Another entry has taken over: nothing of what is held here may be acted on any more. */
  #replaced (now: number): void {
    const departed = this.#departingSince !== undefined
    if (!departed) this.#changeState(EntryState.Fenced)
    this.#stop()
  }

  #stop (): void {
    this.#router.stopped()
    this.#stopped = true
    this.#emit({ type: 'stopped' })
  }

  // Planned stop

  #stopOrdered (now: number): void {
    if (this.#stopOrderedAt !== undefined) return
    this.#stopOrderedAt = now
    this.#membership.leave()
    this.#refreshState()
    if (!this.#membership.joined) this.#stop()
  }

  #departWhenDone (now: number): void {
    if (this.#stopOrderedAt === undefined) return
    if (this.#departingSince !== undefined) {
      if (now - this.#departingSince >= DEPARTURE_PATIENCE_MILLISECONDS) this.#stop()
      return
    }
    const lingered = now - this.#stopOrderedAt >= LINGER_MILLISECONDS
    const relieved = this.#membership.leavingInForce || this.#otherMembers().length === 0
    const linked = this.#otherMembers().every(member => this.#peers.has(member.instance))
    if (!lingered || !relieved || !linked || this.#jobs.open > 0 || this.#router.waiting > 0) return
    this.#departingSince = now
    this.#handOver()
    this.#membership.depart()
  }

  /** Gives every memory held here to the entries that stay. */
  #handOver (): void {
    const handover = handoverOf({
      self: this.#instance,
      remaining: this.#otherMembers(),
      jobs: this.#jobs.values(),
      receipts: this.#receipts.values()
    })
    for (const [peer, receipts] of handover) this.#sendPeer(peer, { case: 'transfer', value: this.#transfer(receipts) })
  }

  // Time

  #tick (now: number): void {
    this.#membership.tick(now)
    this.#takeover.tick(now)
    for (const agent of this.#agents.overdue(this.#timings.agentLost, now)) this.#giveUpAgent(agent, now)
    this.#agents.expire(this.#timings.retention * AGENT_RETENTION_FACTOR, now)
    this.#receipts.expire(now)
    this.#jobs.tick(now)
    this.#router.tick(now)
    this.#memoryProgressed(now)
    if (now - this.#lastHeartbeat >= this.#timings.heartbeat) this.#heartbeat(now)
    this.#departWhenDone(now)
  }

  #heartbeat (now: number): void {
    this.#lastHeartbeat = now
    const value = { sent: now, viewVersion: this.#membership.view.version, configurationVersion: this.#adoption.inForce.version }
    this.#broadcast({ case: 'heartbeat', value })
  }

  // Configuration

  /** The heartbeat tells the other entries that they need not send it here. */
  #offerConfiguration (configuration: Configuration, document: Uint8Array, now: number): void {
    if (!this.#adoption.offer({ version: configuration.version, document }, now)) return
    this.#heartbeat(now)
    this.#scheduler.configure(configuration, now)
    this.#emit({ type: 'configurationAdopted', configuration })
  }

  /** Agents are told the version alone: what it changes is decided by the entries. */
  #sendConfigurations (now: number): void {
    const { version, document } = this.#adoption.inForce
    for (const to of this.#adoption.due(now)) {
      if (this.#peers.has(to)) this.#sendPeer(to, { case: 'configuration', value: { version, document } })
      else this.#sendAgent(to, { case: 'configuration', value: { version, document: NO_DOCUMENT } })
    }
  }

  // Links

  #otherMembers (): Member[] {
    return liveMembers(this.#membership.view).filter(member => member.instance !== this.#instance)
  }

  #hello (): EntryToAgent & PeerMessage {
    const value = { instance: this.#instance, view: this.#membership.view, configurationVersion: this.#adoption.inForce.version }
    return { case: 'hello', value }
  }

  #sendHello (peer: Instance): void {
    this.#sendPeer(peer, this.#hello())
  }

  #broadcast (message: PeerMessage): void {
    for (const peer of this.#peers) this.#sendPeer(peer, message)
  }

  #sendPeer (peer: Instance, message: PeerMessage): boolean {
    if (!this.#peers.has(peer)) return false
    this.#emit({ type: 'sendPeer', peer, message })
    return true
  }

  #sendAgent (agent: Instance, message: EntryToAgent): boolean {
    if (!this.#agents.connected(agent)) return false
    this.#emit({ type: 'sendAgent', agent, message })
    return true
  }

  #emit (effect: EntryEffect): void {
    this.#effects.push(effect)
  }
}
