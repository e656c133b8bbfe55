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
  readonly #parts: EntryComponents
  /** Members of the epoch that began last. */
  #members: Member[] = []
  #state = EntryState.Joining
  #lastHeartbeat = Number.NEGATIVE_INFINITY
  #joinedAt: number | undefined
  #stopped = false
  #effects: EntryEffect[] = []

  readonly #handlers: EventHandlers = {
    submitted: ({ request, job }, now) => this.#parts.router.submit(request, job, now),
    callerGone: ({ request }) => this.#parts.router.callerGone(request),
    cancelRequested: ({ request, job }, now) => this.#parts.router.cancel(request, job, now),
    lookUpRequested: ({ request, job }, now) => this.#parts.router.lookUp(request, job, now),
    agentMessage: ({ agent, message }, now) => this.#parts.agentExchange.message(agent, message, now),
    agentDisconnected: ({ agent }, now) => this.#parts.agentExchange.disconnected(agent, now),
    peerConnected: ({ peer }, now) => this.#parts.peerExchange.connected(peer, now),
    peerMessage: ({ peer, message }, now) => this.#parts.peerExchange.message(peer, message, now),
    peerDisconnected: ({ peer, refused }, now) => this.#parts.peerExchange.disconnected(peer, refused, now),
    viewRead: ({ view, revision, readStarted }, now) => {
      if (this.#parts.membership.viewRead(view, revision, readStarted)) this.#membersChanged(now)
    },
    viewReadFailed: (event, now) => {
      if (this.#parts.membership.viewReadFailed()) this.#membersChanged(now)
    },
    viewWritten: () => this.#parts.membership.viewWritten(),
    configurationRead: ({ configuration, document }, now) => this.#parts.configurations.offer(configuration, document, now),
    tick: (event, now) => this.#tick(now),
    stopOrdered: (event, now) => this.#stopOrdered(now)
  }

  constructor (options: EntryOptions) {
    this.#instance = options.instance
    this.#timings = options.timings ?? DEFAULT_TIMINGS
    this.#parts = assembleEntry(options, {
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
    this.#parts.membership.detectPause(now)
    const handler = this.#handlers[event.type] as (event: EntryEvent, now: number) => void
    handler(event, now)
    if (this.#state !== EntryState.Fenced) this.#parts.jobs.dispatch(now)
    this.#parts.configurations.send(now)
    return this.#effects
  }

  status (): EntryStatus {
    return {
      state: this.#state,
      view: this.#parts.membership.view,
      configurationVersion: this.#parts.adoption.inForce.version,
      configurationBehind: this.#parts.adoption.behind(),
      agents: this.#parts.agents.summaries(),
      openJobs: this.#parts.jobs.open,
      heldJobs: this.#parts.jobs.size,
      receipts: this.#parts.receipts.size,
      waiting: this.#parts.router.waiting,
      horizon: this.#parts.memory.horizon,
      scheduler: this.#parts.scheduler.status()
    }
  }

  // Membership

  #membersChanged (now: number): void {
    if (this.#parts.membership.removed) {
      this.#replaced()
      return
    }
    if (!this.#parts.membership.joined) return
    this.#joinedAt ??= now
    this.#handleRemovedMembers(now)
    this.#members = liveMembers(this.#parts.membership.view)
    this.#parts.scheduler.setEntryCount(this.#members.filter(member => !member.leaving).length || 1, now)
    this.#beginTakeover(now)
    this.#parts.transfers.releaseOrphans(now)
    this.#parts.peerExchange.notifyRemovedPeers()
    const peers = this.#otherMembers()
    this.#emit({ type: 'connectPeers', peers: peers.map(({ instance, address }) => ({ instance, address })) })
    this.#parts.agentExchange.membersChanged()
    for (const peer of peers) this.#parts.transfers.send(peer.instance)
    for (const peer of peers) if (!this.#parts.links.peers.has(peer.instance)) this.#parts.jobs.peerLost(peer.instance, now)
    this.#parts.memory.update(now)
    this.#parts.router.membersChanged(now)
    this.#memoryUpdated(now)
  }

  #handleRemovedMembers (now: number): void {
    for (const { instance } of this.#members) {
      if (isMember(this.#parts.membership.view, instance)) continue
      this.#parts.jobs.peerLost(instance, now)
      this.#parts.memory.memberRemoved(instance, now)
    }
    this.#parts.memory.expireLosses(now)
  }

  #beginTakeover (now: number): void {
    this.#parts.memory.beginEpoch()
    this.#parts.takeover.begin({
      epoch: epochOf(this.#parts.membership.view),
      peers: this.#otherMembers().map(member => member.instance),
      agents: this.#parts.agents.disconnections(),
      bothCopiesLost: this.#parts.memory.losses > 1,
      now
    })
  }

  #otherMembers (): Member[] {
    return liveMembers(this.#parts.membership.view).filter(member => member.instance !== this.#instance)
  }

  // State

  /** Whether the memory has ever been complete and the entry is not resuming from a pause. */
  get #ready (): boolean {
    return this.#parts.memory.complete && !this.#parts.membership.resuming
  }

  /** Whether this entry has just joined, so that its agents and its configuration may not have arrived yet. */
  #settling (now: number): boolean {
    return this.#joinedAt !== undefined && now - this.#joinedAt < SETTLE_MILLISECONDS
  }

  #memoryUpdated (now: number): void {
    this.#parts.memory.update(now)
    this.#parts.router.retryParked(now)
    this.#refreshState()
  }

  #refreshState (): void {
    if (this.#parts.plannedStop.ordered) {
      this.#changeState(EntryState.Leaving)
      return
    }
    if (this.#state === EntryState.Joining && this.#parts.membership.joined && this.#parts.takeover.transfersComplete) {
      this.#changeState(EntryState.Serving)
    }
  }

  #changeState (state: EntryState): void {
    if (state === this.#state) return
    this.#state = state
    const members = this.#members.map(member => member.instance).join(', ')
    this.#emit({ type: 'stateChanged', state, detail: `view ${this.#parts.membership.view.version}: ${members}` })
  }

  /** Another entry has taken over, so nothing held here may be acted on any more. */
  #replaced (): void {
    if (!this.#parts.plannedStop.departing) this.#changeState(EntryState.Fenced)
    this.#stop()
  }

  #stopOrdered (now: number): void {
    if (!this.#parts.plannedStop.order(now)) return
    this.#refreshState()
    if (!this.#parts.membership.joined) this.#stop()
  }

  #stop (): void {
    this.#parts.router.stopped()
    this.#stopped = true
    this.#emit({ type: 'stopped' })
  }

  // Time

  #tick (now: number): void {
    this.#parts.membership.tick(now)
    this.#parts.takeover.tick(now)
    this.#parts.agentExchange.tick(now)
    this.#parts.receipts.expire(now)
    this.#parts.jobs.tick(now)
    this.#parts.router.tick(now)
    this.#memoryUpdated(now)
    if (now - this.#lastHeartbeat >= this.#timings.heartbeat) this.#heartbeat(now)
    this.#parts.plannedStop.tick(now)
  }

  #heartbeat (now: number): void {
    this.#lastHeartbeat = now
    const value = { sent: now, viewVersion: this.#parts.membership.view.version, configurationVersion: this.#parts.adoption.inForce.version }
    this.#parts.links.broadcast({ case: 'heartbeat', value })
  }

  #hello (): EntryToAgent & PeerMessage {
    const value = { instance: this.#instance, view: this.#parts.membership.view, configurationVersion: this.#parts.adoption.inForce.version }
    return { case: 'hello', value }
  }

  #emit (effect: EntryEffect): void {
    this.#effects.push(effect)
  }
}
