/**
 * Decision logic of an entry. It combines membership, the memory of the entry's job ids, the jobs it runs, the requests
 * of its callers, and the configuration in force.
 */
import type { AgentSummary } from './agentlinks.ts'
import type { Timings } from './defaults.ts'
import type { EntryOptions, EntryComponents } from './entrycomponents.ts'
import type { EntryEffect, EntryEvent } from './entrytypes.ts'
import type { EntryToAgent, Instance, Member, PeerMessage, View } from './messages.ts'
import type { SchedulerStatus } from './scheduling.ts'
import { DEFAULT_TIMINGS } from './defaults.ts'
import { assembleEntry } from './entrycomponents.ts'
import { EntryState } from './entrytypes.ts'
import { epochOf, isMember, liveMembers } from './view.ts'

export type { EntryOptions } from './entrycomponents.ts'

/**
 * How long an entry that has just joined waits for its agents and its configuration before it refuses jobs that it
 * could not run without them.
 */
const SETTLE_MILLISECONDS = 3000

/** Figures for status pages. */
export interface EntryStatus {
  state: EntryState
  view: View
  configurationVersion: number
  /** Instances known to be behind the configuration in force. */
  configurationBehind: Instance[]
  agents: AgentSummary[]
  openJobs: number
  heldJobs: number
  receipts: number
  waiting: number
  /** Start of the period for which the memory is complete, in milliseconds since 1970; 0 when it always was. */
  horizon: number
  scheduler: SchedulerStatus
}

type EventHandlers = {
  [Type in EntryEvent['type']]: (event: Extract<EntryEvent, { type: Type }>, now: number) => void
}

export class Entry {
  readonly #instance: Instance
  readonly #timings: Timings
  readonly #components: EntryComponents
  /** Members of the epoch that began last. */
  #members: Member[] = []
  #state = EntryState.Joining
  #lastHeartbeat = Number.NEGATIVE_INFINITY
  #joinedAt: number | undefined
  #stopped = false
  #effects: EntryEffect[] = []

  readonly #handlers: EventHandlers = {
    submitted: ({ request, job }, now) => this.#components.router.submit(request, job, now),
    callerGone: ({ request }) => this.#components.router.callerGone(request),
    cancelRequested: ({ request, job }, now) => this.#components.router.cancel(request, job, now),
    lookUpRequested: ({ request, job }, now) => this.#components.router.lookUp(request, job, now),
    agentMessage: ({ agent, message }, now) => this.#components.agentExchange.message(agent, message, now),
    agentDisconnected: ({ agent }, now) => this.#components.agentExchange.disconnected(agent, now),
    peerConnected: ({ peer }, now) => this.#components.peerExchange.connected(peer, now),
    peerMessage: ({ peer, message }, now) => this.#components.peerExchange.message(peer, message, now),
    peerDisconnected: ({ peer, refused }, now) => this.#components.peerExchange.disconnected(peer, refused, now),
    viewRead: ({ view, revision, readStarted }, now) => {
      if (this.#components.membership.viewRead(view, revision, readStarted)) this.#membersChanged(now)
    },
    viewReadFailed: (event, now) => {
      if (this.#components.membership.viewReadFailed()) this.#membersChanged(now)
    },
    viewWritten: () => this.#components.membership.viewWritten(),
    configurationRead: ({ configuration, document }, now) => this.#components.configurations.offer(configuration, document, now),
    tick: (event, now) => this.#tick(now),
    stopOrdered: (event, now) => this.#stopOrdered(now)
  }

  constructor (options: EntryOptions) {
    this.#instance = options.instance
    this.#timings = options.timings ?? DEFAULT_TIMINGS
    this.#components = assembleEntry(options, {
      emit: effect => this.#emit(effect),
      hello: () => this.#hello(),
      heartbeat: now => this.#heartbeat(now),
      members: () => this.#members,
      otherMembers: () => this.#otherMembers(),
      membersChanged: now => this.#membersChanged(now),
      memoryUpdated: now => this.#memoryUpdated(now),
      ready: () => this.#ready,
      settling: now => this.#settling(now),
      stop: () => this.#stop()
    })
  }

  /** Handles one event; returns the resulting effects in order. */
  handle (event: EntryEvent, now: number): EntryEffect[] {
    this.#effects = []
    if (this.#stopped) return this.#effects
    this.#components.membership.detectPause(now)
    const handler = this.#handlers[event.type] as (event: EntryEvent, now: number) => void
    handler(event, now)
    if (this.#state !== EntryState.Fenced) this.#components.jobs.dispatch(now)
    this.#components.configurations.send(now)
    return this.#effects
  }

  status (): EntryStatus {
    return {
      state: this.#state,
      view: this.#components.membership.view,
      configurationVersion: this.#components.adoption.inForce.version,
      configurationBehind: this.#components.adoption.behind(),
      agents: this.#components.agents.summaries(),
      openJobs: this.#components.jobs.open,
      heldJobs: this.#components.jobs.size,
      receipts: this.#components.receipts.size,
      waiting: this.#components.router.waiting,
      horizon: this.#components.memory.horizon,
      scheduler: this.#components.scheduler.status()
    }
  }

  // Membership

  #membersChanged (now: number): void {
    if (this.#components.membership.removed) {
      this.#replaced()
      return
    }
    if (!this.#components.membership.joined) return
    this.#joinedAt ??= now
    this.#handleRemovedMembers(now)
    this.#members = liveMembers(this.#components.membership.view)
    this.#components.scheduler.setEntryCount(this.#members.filter(member => !member.leaving).length || 1, now)
    this.#beginTakeover(now)
    this.#components.transfers.releaseOrphans(now)
    this.#components.peerExchange.notifyRemovedPeers()
    const peers = this.#otherMembers()
    this.#emit({ type: 'connectPeers', peers: peers.map(({ instance, address }) => ({ instance, address })) })
    this.#components.agentExchange.membersChanged()
    for (const peer of peers) this.#components.transfers.send(peer.instance)
    for (const peer of peers) if (!this.#components.links.peers.has(peer.instance)) this.#components.jobs.peerLost(peer.instance, now)
    this.#components.memory.update(now)
    this.#components.router.membersChanged(now)
    this.#memoryUpdated(now)
  }

  #handleRemovedMembers (now: number): void {
    for (const { instance } of this.#members) {
      if (isMember(this.#components.membership.view, instance)) continue
      this.#components.jobs.peerLost(instance, now)
      this.#components.memory.memberRemoved(instance, now)
    }
    this.#components.memory.expireLosses(now)
  }

  #beginTakeover (now: number): void {
    this.#components.memory.beginEpoch()
    this.#components.takeover.begin({
      epoch: epochOf(this.#components.membership.view),
      peers: this.#otherMembers().map(member => member.instance),
      agents: this.#components.agents.disconnections(),
      bothCopiesLost: this.#components.memory.losses > 1,
      now
    })
  }

  #otherMembers (): Member[] {
    return liveMembers(this.#components.membership.view).filter(member => member.instance !== this.#instance)
  }

  // State

  /** Whether the memory has ever been complete and the entry is not resuming from a pause. */
  get #ready (): boolean {
    return this.#components.memory.complete && !this.#components.membership.resuming
  }

  /** Whether this entry has just joined, so that its agents and its configuration may not have arrived yet. */
  #settling (now: number): boolean {
    return this.#joinedAt !== undefined && now - this.#joinedAt < SETTLE_MILLISECONDS
  }

  #memoryUpdated (now: number): void {
    this.#components.memory.update(now)
    this.#components.router.retryParked(now)
    this.#refreshState()
  }

  #refreshState (): void {
    if (this.#components.plannedStop.ordered) {
      this.#changeState(EntryState.Leaving)
      return
    }
    if (this.#state === EntryState.Joining && this.#components.membership.joined && this.#components.takeover.transfersComplete) {
      this.#changeState(EntryState.Serving)
    }
  }

  #changeState (state: EntryState): void {
    if (state === this.#state) return
    this.#state = state
    const members = this.#members.map(member => member.instance).join(', ')
    this.#emit({ type: 'stateChanged', state, detail: `view ${this.#components.membership.view.version}: ${members}` })
  }

  /** Another entry has taken over, so nothing held here may be acted on any more. */
  #replaced (): void {
    if (!this.#components.plannedStop.departing) this.#changeState(EntryState.Fenced)
    this.#stop()
  }

  #stopOrdered (now: number): void {
    if (!this.#components.plannedStop.order(now)) return
    this.#refreshState()
    if (!this.#components.membership.joined) this.#stop()
  }

  #stop (): void {
    this.#components.router.stopped()
    this.#stopped = true
    this.#emit({ type: 'stopped' })
  }

  // Time

  #tick (now: number): void {
    this.#components.membership.tick(now)
    this.#components.takeover.tick(now)
    this.#components.agentExchange.tick(now)
    this.#components.receipts.expire(now)
    this.#components.jobs.tick(now)
    this.#components.router.tick(now)
    this.#memoryUpdated(now)
    if (now - this.#lastHeartbeat >= this.#timings.heartbeat) this.#heartbeat(now)
    this.#components.plannedStop.tick(now)
  }

  #heartbeat (now: number): void {
    this.#lastHeartbeat = now
    const value = { sent: now, viewVersion: this.#components.membership.view.version, configurationVersion: this.#components.adoption.inForce.version }
    this.#components.links.broadcast({ case: 'heartbeat', value })
  }

  #hello (): EntryToAgent & PeerMessage {
    const value = { instance: this.#instance, view: this.#components.membership.view, configurationVersion: this.#components.adoption.inForce.version }
    return { case: 'hello', value }
  }

  #emit (effect: EntryEffect): void {
    this.#effects.push(effect)
  }
}
