/**
 * Decision logic of an agent: which dispatches it obeys, when a task starts, and who is told the
 * outcome. A task starts here and nowhere else.
 */
import type { AgentEffect, AgentEvent } from './agenttypes.ts'
import type { Timings } from './defaults.ts'
import type { AgentToEntry, Dispatch, EntryToAgent, Instance, TargetDescription, TargetReport, TaskReference, View } from './messages.ts'
import type { Slots } from './slots.ts'
import { AgentState } from './agenttypes.ts'
import { DEFAULT_MEMORY_LIMITS, DEFAULT_TIMINGS } from './defaults.ts'
import { Ledger, Verdict } from './ledger.ts'
import { ownerOf } from './rendezvous.ts'
import { Confirmation } from './confirmation.ts'
import { EMPTY_VIEW, epochOf, isMember, liveMembers, mergeViews } from './view.ts'

export interface AgentOptions {
  instance: Instance
  target: TargetDescription
  slots: Slots
  timings?: Timings
  /** Bytes of results held for entries that may ask again. @default DEFAULT_MEMORY_LIMITS.ledgerBytes */
  ledgerBytes?: number
  /** Guards switched off, to show that a proof fails without them. @internal */
  guards?: AgentGuards
}

/** Guards of the agent, each of which some proof needs. @internal */
export interface AgentGuards {
  /** Refuse entries that are not members of the view. */
  fence: boolean
  /** Refuse dispatches that are meant for another incarnation. */
  incarnation: boolean
  /** Look dispatches up in the ledger. */
  ledger: boolean
  /** Start nothing while cut off from the view. */
  isolation: boolean
  /** Start nothing before every entry of the view knows the agent. */
  rooted: boolean
}

/** How long a planned stop waits for entries to learn of it. */
const RELIEF_PATIENCE_MILLISECONDS = 3000

const ALL_AGENT_GUARDS: AgentGuards = { fence: true, incarnation: true, ledger: true, isolation: true, rooted: true }

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

type Handlers<Kind extends { case: string, value: unknown }> = {
  [Case in Kind['case']]: (entry: Instance, value: Extract<Kind, { case: Case }>['value'], now: number) => void
}

export class Agent {
  readonly #instance: Instance
  readonly #target: TargetDescription
  readonly #slots: Slots
  readonly #timings: Timings
  readonly #guards: AgentGuards
  readonly #ledger: Ledger
  readonly #confirmation: Confirmation
  readonly #connected = new Set<Instance>()
  readonly #dispatches = new Map<number, Dispatch>()
  readonly #running = new Set<number>()
  #view: View = EMPTY_VIEW
  #configurationVersion = 0
  #rooted = false
  #leaving = false
  #leavingSince: number | undefined
  /** Entries that have answered a heartbeat sent after the planned stop was ordered. */
  readonly #relievedBy = new Set<Instance>()
  #stopped = false
  #state = AgentState.Joining
  #lastHeartbeat = Number.NEGATIVE_INFINITY
  #lastViewRead = Number.NEGATIVE_INFINITY
  #started = 0
  #refused = 0
  #effects: AgentEffect[] = []

  readonly #onMessage: Handlers<EntryToAgent> = {
    hello: (entry, hello, now) => {
      this.#adopt(hello.view, now)
    },
    view: (entry, change, now) => {
      this.#adopt(change.view, now)
    },
    dispatch: (entry, dispatch, now) => {
      this.#dispatched(entry, dispatch, now)
    },
    cancel: (entry, cancel, now) => {
      for (const task of cancel.tasks) this.#cancel(task, now)
    },
    acknowledge: (entry, acknowledge) => {
      for (const task of acknowledge.tasks) this.#ledger.acknowledge(task)
    },
    recall: (entry, recall, now) => {
      this.#recall(entry, recall, now)
    },
    heartbeatReply: (entry, reply, now) => {
      if (this.#leavingSince !== undefined && reply.sent > this.#leavingSince) this.#relievedBy.add(entry)
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
    this.#confirmation = new Confirmation(this.#timings.contact)
  }

  /** Takes one event in and returns what is to be done for it, in order. */
  handle (event: AgentEvent, now: number): AgentEffect[] {
    this.#effects = []
    if (this.#stopped) return this.#effects
    switch (event.type) {
      case 'entryConnected': this.#entryConnected(event.entry, now); break
      case 'entryDisconnected': this.#entryDisconnected(event.entry, now); break
      case 'entryMessage': this.#message(event.entry, event.message, now); break
      case 'viewRead': this.#adopt(event.view, now); break
      case 'taskEnded': this.#taskEnded(event, now); break
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
      running: this.#running.size,
      queued: this.#dispatches.size - this.#running.size,
      ledgerLines: this.#ledger.size,
      ledgerBytes: this.#ledger.payloadBytes,
      configurationVersion: this.#configurationVersion,
      started: this.#started,
      refused: this.#refused
    }
  }

  #message (entry: Instance, message: EntryToAgent, now: number): void {
    const handler = this.#onMessage[message.case] as (entry: Instance, value: unknown, now: number) => void
    handler(entry, message.value, now)
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
    this.#effects.push({ type: 'connectEntries', entries })
    this.#withdrawWaiting(holder => !isMember(merged, holder), 'the entry is no longer a member', now)
    this.#refreshState(now)
  }

  /**
   * Waiting tasks of an entry that was removed are refused for good, so that the entry that takes
   * over may be told that they did not start.
   */
  #withdrawWaiting (concerns: (holder: Instance) => boolean, detail: string, now: number): void {
    if (!this.#guards.fence) return
    for (const number of this.#ledger.waitingOf(concerns)) {
      this.#slots.withdraw(number)
      this.#dispatches.delete(number)
      this.#ledger.withdraw(number, detail, now)
    }
  }

  #dispatched (entry: Instance, dispatch: Dispatch, now: number): void {
    if (this.#guards.incarnation && dispatch.agent !== this.#instance) return
    const verdict = this.#guards.ledger ? this.#ledger.examine(dispatch) : Verdict.New
    if (verdict !== Verdict.New && isMember(this.#view, entry)) this.#ledger.claim(dispatch, entry)
    if (verdict === Verdict.Known) return
    if (verdict === Verdict.Settled) {
      this.#resend(entry, dispatch)
      return
    }
    const objection = this.#objection(entry, now)
    if (objection !== undefined) {
      this.#refuse(entry, dispatch, objection, now)
      return
    }
    this.#place(entry, dispatch, now)
  }

  #resend (entry: Instance, dispatch: Dispatch): void {
    const result = this.#ledger.resultFor(dispatch.job, dispatch.index)
    if (result === undefined) return
    this.#send(entry, { case: 'result', value: result })
  }

  /** Why nothing from this entry may start now; undefined when nothing stands against it. */
  #objection (entry: Instance, now: number): string | undefined {
    if (this.#guards.fence && !isMember(this.#view, entry)) return 'the entry is not a member of the view'
    if (this.#guards.rooted && !this.#rooted) return 'the agent is not yet known to every entry'
    if (this.#guards.isolation && !this.#mayStart(now)) return 'the agent is cut off from the view'
    if (this.#leaving) return 'the agent is leaving'
    return undefined
  }

  #refuse (entry: Instance, dispatch: Dispatch, detail: string, now: number): void {
    this.#refused += 1
    this.#send(entry, { case: 'result', value: this.#ledger.refuse(dispatch, entry, detail, now) })
  }

  #place (entry: Instance, dispatch: Dispatch, now: number): void {
    const number = this.#ledger.accept(dispatch, entry, now)
    const { needs, runMilliseconds, patienceMilliseconds } = dispatch
    const place = this.#slots.offer({ id: number, entry, needs, runMilliseconds, patienceMilliseconds }, now)
    if (place === 'full') {
      const result = this.#ledger.withdraw(number, 'no slot is free', now)
      this.#refused += 1
      if (result !== undefined) this.#send(entry, { case: 'result', value: result })
      return
    }
    this.#dispatches.set(number, dispatch)
    if (place === 'start') this.#start(number, now)
  }

  #start (number: number, now: number): void {
    const dispatch = this.#dispatches.get(number)
    if (dispatch === undefined) return
    this.#ledger.start(number, now)
    this.#running.add(number)
    this.#started += 1
    this.#effects.push({ type: 'startTask', task: number, dispatch })
  }

  #taskEnded (event: Extract<AgentEvent, { type: 'taskEnded' }>, now: number): void {
    const { task, outcome, payload, detail, runMilliseconds } = event
    this.#dispatches.delete(task)
    this.#running.delete(task)
    const finished = this.#ledger.finish(task, { outcome, payload, detail, runMilliseconds }, now)
    if (finished !== undefined) this.#send(finished.holder, { case: 'result', value: finished.result })
    this.#startNext(this.#slots.release(task), now)
  }

  /** A task that waited while the agent was cut off is refused, as it would be on arrival. */
  #startNext (numbers: number[], now: number): void {
    for (const number of numbers) {
      if (!this.#guards.isolation || this.#mayStart(now)) {
        this.#start(number, now)
        continue
      }
      this.#giveBack(number, 'the agent is cut off from the view', now)
      this.#startNext(this.#slots.release(number), now)
    }
  }

  #cancel (task: TaskReference, now: number): void {
    const number = this.#ledger.numberOf(task)
    if (number === undefined) return
    if (this.#running.has(number)) {
      this.#effects.push({ type: 'abortTask', task: number })
      return
    }
    this.#slots.withdraw(number)
    this.#giveBack(number, 'cancelled before it started', now)
  }

  #giveBack (number: number, detail: string, now: number): void {
    const result = this.#ledger.withdraw(number, detail, now)
    this.#dispatches.delete(number)
    if (result === undefined) return
    const holder = this.#ledger.holderOf(result.job, result.index)
    if (holder !== undefined) this.#send(holder, { case: 'result', value: result })
  }

  /**
   * The lines go with the epoch that this agent is in. When it has gone further than the asking
   * entry, the owner that it names is not the one that the entry believes in, and the reply to the
   * older epoch would say that nothing of these jobs was ever started.
   */
  #recall (entry: Instance, recall: { epoch: string, view: View }, now: number): void {
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
    const lost = this.#connected.size === 0 || this.#state === AgentState.Isolated
    if (!lost || now - this.#lastViewRead < this.#timings.viewRead) return
    this.#lastViewRead = now
    this.#effects.push({ type: 'readView' })
  }

  #heartbeat (entry: Instance, now: number): void {
    const value = { sent: now, viewVersion: this.#view.version, configurationVersion: this.#configurationVersion }
    this.#send(entry, { case: 'heartbeat', value })
  }

  #mayStart (now: number): boolean {
    return this.#confirmation.holds(this.#view, now)
  }

  /**
   * An agent takes work only once every entry of its view has answered it: an entry that survives
   * another then knows every agent that may have started something for it.
   */
  #refreshState (now: number): void {
    if (!this.#rooted) this.#rooted = this.#confirmation.everyMemberReplied(this.#view)
    const state = this.#currentState(now)
    if (state === this.#state) return
    this.#state = state
    this.#effects.push({ type: 'stateChanged', state, detail: `view ${this.#view.version}` })
  }

  #currentState (now: number): AgentState {
    if (this.#leaving) return AgentState.Leaving
    if (!this.#rooted) return AgentState.Joining
    return this.#mayStart(now) ? AgentState.Serving : AgentState.Isolated
  }

  #report (entry: Instance): TargetReport {
    const load = this.#slots.load(entry)
    return { ...load, leaving: this.#leaving, viewVersion: this.#view.version, configurationVersion: this.#configurationVersion }
  }

  #reportAll (): void {
    for (const entry of this.#connected) this.#send(entry, { case: 'report', value: this.#report(entry) })
  }

  #sendChangedReports (): void {
    for (const entry of this.#slots.changedReports()) {
      if (this.#connected.has(entry)) this.#send(entry, { case: 'report', value: this.#report(entry) })
    }
  }

  #stopOrdered (now: number): void {
    if (this.#leavingSince !== undefined) return
    this.#leaving = true
    this.#leavingSince = now
    this.#lastHeartbeat = Number.NEGATIVE_INFINITY
    this.#refreshState(now)
    this.#reportAll()
  }

  /**
   * Whether every entry knows that this agent leaves. A dispatch that was on its way when the stop was
   * ordered would find nobody: its task, which never started, would be answered "may have run". What an
   * entry sends before it answers a heartbeat arrives before the answer, so that it is refused in time.
   */
  #relieved (now: number): boolean {
    if (now - (this.#leavingSince ?? now) >= RELIEF_PATIENCE_MILLISECONDS) return true
    return [...this.#connected].every(entry => !isMember(this.#view, entry) || this.#relievedBy.has(entry))
  }

  /** A planned stop ends when nothing runs and every live entry has the outcomes it waits for. */
  #stopWhenDone (now: number): void {
    if (!this.#leaving || this.#dispatches.size > 0 || !this.#relieved(now)) return
    if (!this.#ledger.allAcknowledged(holder => isMember(this.#view, holder))) return
    this.#stopped = true
    this.#effects.push({ type: 'stopped' })
  }

  #send (entry: Instance, message: AgentToEntry): void {
    if (!this.#connected.has(entry)) return
    this.#effects.push({ type: 'sendEntry', entry, message })
  }
}
