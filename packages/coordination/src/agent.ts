/**
 * Decision logic of an agent: which dispatches it accepts, when a task starts, and which entry receives the outcome.
 * Tasks are started by agents only.
 */
import type { AgentGuards } from './agentguards.ts'
import type { AgentEffect, AgentEvent } from './agenttypes.ts'
import type { Timings } from './defaults.ts'
import type { MessageHandlers } from './messagehandlers.ts'
import type { AgentToEntry, Dispatch, EntryToAgent, Instance, TargetDescription, TargetReport, View } from './messages.ts'
import type { Slots } from './slots.ts'
import { ALL_AGENT_GUARDS } from './agentguards.ts'
import { AgentStop } from './agentstop.ts'
import { AgentTasks } from './agenttasks.ts'
import { AgentState } from './agenttypes.ts'
import { ViewConfirmation } from './viewconfirmation.ts'
import { DEFAULT_MEMORY_LIMITS, DEFAULT_TIMINGS } from './defaults.ts'
import { Ledger, DispatchStatus } from './ledger.ts'
import { handleMessage } from './messagehandlers.ts'
import { LedgerState } from './messages.ts'
import { ownerOf } from './rendezvous.ts'
import { EMPTY_VIEW, epochOf, isMember, liveMembers, mergeViews } from './view.ts'

export interface AgentOptions {
  instance: Instance
  target: TargetDescription
  slots: Slots
  timings?: Timings
  /** Maximum bytes of results held for entries that may ask again. @default DEFAULT_MEMORY_LIMITS.ledgerBytes */
  ledgerBytes?: number
  /** Guards to switch off, to show that a proof fails without them. @internal */
  guards?: AgentGuards
}

/** Figures for status pages. */
export interface AgentStatus {
  state: AgentState
  view: View
  running: number
  queued: number
  ledgerLines: number
  ledgerBytes: number
  configurationVersion: number
  started: number
  refused: number
}

export class Agent {
  readonly #instance: Instance
  readonly #target: TargetDescription
  readonly #slots: Slots
  readonly #timings: Timings
  readonly #guards: AgentGuards
  readonly #ledger: Ledger
  readonly #confirmation: ViewConfirmation
  readonly #connected = new Set<Instance>()
  readonly #tasks: AgentTasks
  readonly #stop = new AgentStop()
  #view: View = EMPTY_VIEW
  #configurationVersion = 0
  #knownToAllEntries = false
  #stopped = false
  #state = AgentState.Joining
  #lastHeartbeat = Number.NEGATIVE_INFINITY
  #lastViewRead = Number.NEGATIVE_INFINITY
  #effects: AgentEffect[] = []

  readonly #handlers: MessageHandlers<EntryToAgent> = {
    hello: (entry, hello, now) => this.#adopt(hello.view, now),
    view: (entry, change, now) => this.#adopt(change.view, now),
    dispatch: (entry, dispatch, now) => this.#dispatched(entry, dispatch, now),
    cancel: (entry, cancel, now) => {
      for (const task of cancel.tasks) this.#tasks.cancel(task, now)
    },
    acknowledge: (entry, acknowledge) => {
      for (const task of acknowledge.tasks) this.#ledger.acknowledge(task)
    },
    recall: (entry, recall, now) => this.#recallLedger(entry, recall, now),
    heartbeatReply: (entry, reply, now) => {
      this.#stop.heartbeatAnswered(entry, reply.sent)
      this.#confirmation.replied(entry, reply, this.#view.version)
      this.#refreshState(now)
    },
    configuration: (entry, configuration) => {
      this.#configurationVersion = Math.max(this.#configurationVersion, configuration.version)
    }
  }

  constructor (options: AgentOptions) {
    this.#instance = options.instance
    this.#target = options.target
    this.#slots = options.slots
    this.#timings = options.timings ?? DEFAULT_TIMINGS
    this.#guards = options.guards ?? ALL_AGENT_GUARDS
    this.#ledger = new Ledger(this.#timings.retention, options.ledgerBytes ?? DEFAULT_MEMORY_LIMITS.ledgerBytes)
    this.#confirmation = new ViewConfirmation(this.#timings.contact)
    this.#tasks = new AgentTasks({
      slots: this.#slots,
      ledger: this.#ledger,
      guards: this.#guards,
      mayStart: now => this.#mayStart(now),
      emit: effect => this.#emit(effect),
      send: (entry, message) => this.#send(entry, message)
    })
  }

  /** Handles one event; returns the resulting effects in order. */
  handle (event: AgentEvent, now: number): AgentEffect[] {
    this.#effects = []
    if (this.#stopped) return this.#effects
    switch (event.type) {
      case 'entryConnected': this.#entryConnected(event.entry, now); break
      case 'entryDisconnected': this.#entryDisconnected(event.entry, now); break
      case 'entryMessage': handleMessage(this.#handlers, event.entry, event.message, now); break
      case 'viewRead': this.#adopt(event.view, now); break
      case 'taskEnded': this.#tasks.ended(event, now); break
      case 'tick': this.#tick(now); break
      case 'stopOrdered': this.#stopOrdered(now); break
    }
    this.#sendChangedReports()
    this.#stopWhenDone(now)
    return this.#effects
  }

  status (): AgentStatus {
    return {
      state: this.#state,
      view: this.#view,
      running: this.#tasks.running,
      queued: this.#tasks.queued,
      ledgerLines: this.#ledger.size,
      ledgerBytes: this.#ledger.payloadBytes,
      configurationVersion: this.#configurationVersion,
      started: this.#tasks.started,
      refused: this.#tasks.refused
    }
  }

  #entryConnected (entry: Instance, now: number): void {
    this.#connected.add(entry)
    this.#slots.setEntries([...this.#connected])
    this.#send(entry, { case: 'announce', value: { instance: this.#instance, target: this.#target, report: this.#report(entry) } })
    this.#heartbeat(entry, now)
    for (const result of this.#ledger.unacknowledged(entry)) this.#send(entry, { case: 'result', value: result })
  }

  #entryDisconnected (entry: Instance, now: number): void {
    this.#connected.delete(entry)
    this.#slots.setEntries([...this.#connected])
    this.#refreshState(now)
  }

  #adopt (view: View, now: number): void {
    const merged = mergeViews(this.#view, view)
    const changed = epochOf(merged) !== epochOf(this.#view)
    this.#view = merged
    if (!changed) return
    const entries = liveMembers(merged).map(member => ({ instance: member.instance, address: member.address }))
    this.#emit({ type: 'connectEntries', entries })
    this.#askForConfirmation(now)
    this.#tasks.withdrawWaiting(holder => !isMember(merged, holder), 'the entry is no longer a member', now)
    this.#refreshState(now)
  }

  #dispatched (entry: Instance, dispatch: Dispatch, now: number): void {
    if (this.#guards.incarnation && dispatch.agent !== this.#instance) return
    const status = this.#guards.ledger ? this.#ledger.statusOf(dispatch) : DispatchStatus.New
    if (status !== DispatchStatus.New && isMember(this.#view, entry)) this.#ledger.claim(dispatch, entry)
    if (status === DispatchStatus.Known) return
    if (status === DispatchStatus.Settled) {
      this.#resendResult(entry, dispatch)
      return
    }
    const reason = this.#refusalReason(entry, now)
    if (reason !== undefined) {
      this.#note('dispatch refused', { entry, job: dispatch.job, index: dispatch.index, detail: reason, connected: this.#connected.has(entry), member: isMember(this.#view, entry) })
      this.#tasks.refuse(entry, dispatch, reason, now)
      return
    }
    this.#tasks.admit(entry, dispatch, now)
  }

  #resendResult (entry: Instance, dispatch: Dispatch): void {
    const result = this.#ledger.resultFor(dispatch.job, dispatch.index)
    if (result === undefined) return
    this.#send(entry, { case: 'result', value: result })
  }

  /** Why nothing from this entry may start now; undefined when it may. */
  #refusalReason (entry: Instance, now: number): string | undefined {
    if (this.#guards.fence && !isMember(this.#view, entry)) return 'the entry is not a member of the view'
    if (this.#guards.rooted && !this.#knownToAllEntries) return 'the agent is not yet known to every entry'
    if (this.#guards.isolation && !this.#mayStart(now)) return 'the agent is cut off from the view'
    if (this.#stop.ordered) return 'the agent is leaving'
    return undefined
  }

  /**
   * Replies with the ledger records of the epoch that this agent is in. If the agent has a newer view than the
   * requesting entry, the owner computed here differs from the one computed by that entry. A reply marked with the
   * older epoch would then state that none of these jobs was ever started.
   */
  #recallLedger (entry: Instance, recall: { epoch: string, view: View }, now: number): void {
    this.#adopt(recall.view, now)
    const members = liveMembers(this.#view)
    const lines = this.#ledger.handOver(entry, job => ownerOf(job, members) === entry, holder => !isMember(this.#view, holder))
    this.#send(entry, { case: 'recalled', value: { epoch: epochOf(this.#view), lines } })
  }

  #tick (now: number): void {
    this.#ledger.expire(now)
    if (now - this.#lastHeartbeat >= this.#timings.heartbeat) {
      this.#lastHeartbeat = now
      for (const entry of this.#connected) this.#heartbeat(entry, now)
    }
    this.#refreshState(now)
    const disconnected = this.#connected.size === 0 || this.#state === AgentState.Isolated
    if (!disconnected || now - this.#lastViewRead < this.#timings.viewRead) return
    this.#lastViewRead = now
    this.#emit({ type: 'readView' })
  }

  /** Nothing starts in a new view before it is confirmed, so its confirmation is not left to the next heartbeat. */
  #askForConfirmation (now: number): void {
    for (const entry of this.#connected) this.#heartbeat(entry, now)
  }

  #heartbeat (entry: Instance, now: number): void {
    const value = { sent: now, viewVersion: this.#view.version, configurationVersion: this.#configurationVersion }
    this.#send(entry, { case: 'heartbeat', value })
  }

  #mayStart (now: number): boolean {
    return this.#confirmation.holds(this.#view, now)
  }

  /**
   * Updates the state. An agent accepts work only once every entry of its view has answered it. If an entry is lost,
   * the remaining ones then know of every agent that may have started a task for it.
   */
  #refreshState (now: number): void {
    if (!this.#knownToAllEntries && this.#confirmation.everyMemberReplied(this.#view)) {
      this.#knownToAllEntries = true
      this.#reportAll()
    }
    const state = this.#currentState(now)
    if (state === this.#state) return
    this.#state = state
    this.#emit({ type: 'stateChanged', state, detail: `view ${this.#view.version}` })
  }

  #currentState (now: number): AgentState {
    if (this.#stop.ordered) return AgentState.Leaving
    if (!this.#knownToAllEntries) return AgentState.Joining
    return this.#mayStart(now) ? AgentState.Serving : AgentState.Isolated
  }

  #report (entry: Instance): TargetReport {
    const load = this.#slots.load(entry)
    return { ...load, leaving: this.#stop.ordered || (this.#guards.rooted && !this.#knownToAllEntries), viewVersion: this.#view.version, configurationVersion: this.#configurationVersion }
  }

  #reportAll (): void {
    for (const entry of this.#connected) this.#send(entry, { case: 'report', value: this.#report(entry) })
  }

  #sendChangedReports (): void {
    for (const entry of this.#slots.entriesToReport()) {
      if (this.#connected.has(entry)) this.#send(entry, { case: 'report', value: this.#report(entry) })
    }
  }

  #stopOrdered (now: number): void {
    if (this.#stop.ordered) return
    this.#stop.order(now)
    this.#note('stop ordered', { running: this.#tasks.running, queued: this.#tasks.queued, entries: this.#stopAcknowledgements() })
    this.#lastHeartbeat = Number.NEGATIVE_INFINITY
    this.#refreshState(now)
    this.#reportAll()
  }

  /** Ends a planned stop when nothing runs and every live entry has received the outcomes and refusals it waits for. */
  #stopWhenDone (now: number): void {
    const busy = this.#tasks.running + this.#tasks.queued > 0
    if (!this.#stop.ordered || busy || !this.#stop.acknowledgedByAll(this.#view, now)) return
    const isWaiting = (holder: Instance): boolean => isMember(this.#view, holder)
    if (!this.#ledger.allAcknowledged(LedgerState.Finished, isWaiting)) return
    if (!this.#stop.overdue(now) && !this.#ledger.allAcknowledged(LedgerState.Refused, isWaiting)) return
    this.#stopped = true
    this.#note('stopped', { after: Math.round(this.#stop.orderedFor(now)), entries: this.#stopAcknowledgements() })
    this.#emit({ type: 'stopped' })
  }

  /** Every connected entry, whether it is a member of the view, and whether it has acknowledged the stop. */
  #stopAcknowledgements (): Array<{ entry: Instance, member: boolean, knows: boolean }> {
    return [...this.#connected].map(entry => ({ entry, member: isMember(this.#view, entry), knows: this.#stop.acknowledgedBy(entry) }))
  }

  #note (what: string, fields: Record<string, unknown>): void {
    this.#emit({ type: 'note', what, fields: { ...fields, view: this.#view.version } })
  }

  #send (entry: Instance, message: AgentToEntry): void {
    if (!this.#connected.has(entry)) return
    this.#emit({ type: 'sendEntry', entry, message })
  }

  #emit (effect: AgentEffect): void {
    this.#effects.push(effect)
  }
}
