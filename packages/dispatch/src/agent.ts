/**
 * Decision logic of an agent: the only process that starts tasks at the target beside it.
 *
 * Three limits keep two runs of one task apart. The target ends everything when its lease lapses,
 * so a dead or frozen agent cannot leave a task running. The agent stops the tasks of an entry
 * that it is out of contact with, so a dead, frozen or cut-off entry cannot either. And each start
 * carries the deadline of the lease, so an order that is carried out seconds late does nothing.
 */
import type { AgentEffect, AgentEvent, EndedRun } from './agenttypes.ts'
import type { HeldTask } from './heldtasks.ts'
import type { AgentMessage, EntryMessage, Load, TargetFacts, TaskOrder, TaskReference } from './messages.ts'
import type { Timings } from './timings.ts'
import { LookFailure, RunEnd, StartAnswer } from './agenttypes.ts'
import { EntrySession, nameOf } from './entrysession.ts'
import { HeldTasks, Stage } from './heldtasks.ts'
import {
  IDLE_LOOK_MILLISECONDS, LOAD_CHANGE_PART, LOAD_INTERVAL_MILLISECONDS, LOOK_WAIT_MILLISECONDS, STOP_TIMEOUT_MILLISECONDS, STOPS_BEFORE_LAPSE
} from './defaults.ts'
import { Cause, Outcome } from './messages.ts'
import { noteProgress, slowRemaining, TargetPace } from './progress.ts'
import { fits } from './resources.ts'
import { TargetLease } from './targetlease.ts'

export interface AgentOptions {
  timings: Timings
  /** A stop of a task takes the target at most this long, in milliseconds. */
  stop: number
  /** Milliseconds since 1970: fencing tokens are drawn from it, so that each run of the agent has a higher one. */
  wallClock: () => number
  /** Guards switched off, to show that a proof fails without them. @internal */
  guards?: AgentGuards
}

/** Guards against two runs of one task. */
export interface AgentGuards {
  /** Tasks of an entry out of contact are stopped, and nothing is started for it. */
  contact: boolean
  /** A start without an answer is taken back before it counts as not started. */
  takeBack: boolean
  /** What a predecessor left at the target is stopped before anything starts. */
  clearing: boolean
  /** Contact counts from the sending of the ping, not from the arrival of its echo. */
  echoAge: boolean
}

export const ALL_AGENT_GUARDS: Readonly<AgentGuards> = { contact: true, takeBack: true, clearing: true, echoAge: true }

/** Run numbers skipped after a refusal as old, times the refusals so far. */
const RUN_STEP = 8

/** Refusals as old after which a start is given up. */
const OLD_RUNS_LIMIT = 4

/** Shortest time between two looks while the first was not answered or the target is not clear, in milliseconds. */
const LOOK_RETRY_MILLISECONDS = 20

/** Ends that a target lists in one look at most: with so many, others may be left. */
const ENDS_PER_LOOK = 500

/** How long the session of an entry that has gone is kept, in milliseconds: it may link again. */
const SESSION_MEMORY_MILLISECONDS = 10_000

type Handlers = {
  [Type in AgentEvent['type']]: (event: Extract<AgentEvent, { type: Type }>, now: number) => void
}

type MessageHandlers = {
  [Type in EntryMessage['type']]: (session: EntrySession, message: Extract<EntryMessage, { type: Type }>, now: number) => void
}

type StartHandlers = Record<StartAnswer, (held: HeldTask, now: number) => void>

/** Figures for status pages. */
export interface AgentStatus {
  target: TargetFacts | undefined
  cleared: boolean
  silent: boolean
  tasks: number
  entries: number
}

export class Agent {
  readonly #timings: Timings
  readonly #options: AgentOptions
  readonly #guards: AgentGuards
  readonly #held = new HeldTasks()
  readonly #sessions = new Map<string, EntrySession>()
  #lease: TargetLease
  #pace = new TargetPace()
  #target: TargetFacts | undefined
  /** Whether nothing of a predecessor runs at the target any more. */
  #cleared = false
  #token: number
  #acknowledged = 0
  #lookInFlight = false
  /** Whether the last look was answered, and by a target that is clear: else the next one waits a little. */
  #lookAnswered = true
  #lookedAt = Number.NEGATIVE_INFINITY
  #lastInstance = ''
  #stopping = false
  #effects: AgentEffect[] = []

  readonly #handlers: Handlers = {
    targetSeen: ({ facts, clock }, now) => this.#targetSeen(facts, clock, now),
    targetLeft: ({ instance }, now) => { if (instance === this.#target?.instance) this.#targetLost('deregistered', now) },
    startAnswered: (event, now) => this.#startAnswered(event, now),
    stopAnswered: (event, now) => this.#stopAnswered(event, now),
    looked: (event, now) => this.#looked(event, now),
    lookFailed: (event, now) => this.#lookFailed(event, now),
    entryLinked: ({ entry }, now) => this.#entryLinked(entry, now),
    entryUnlinked: ({ entry }, now) => this.#entryUnlinked(entry, now),
    entryMessage: ({ entry, message }, now) => this.#entryMessage(entry, message, now),
    woke: ({ asleep }, now) => this.#woke(asleep, now),
    tick: (_event, now) => this.#tick(now),
    stopOrdered: (_event, now) => this.#stopOrdered(now)
  }

  readonly #messages: MessageHandlers = {
    echo: (session, { sent, received, waiting }, now) => {
      session.waiting = waiting
      session.echoed(this.#guards.echoAge ? sent : now, received, this.#timings.contact)
    },
    start: (session, { payload, tasks }, now) => { for (const order of tasks) this.#startOrdered(session, order, payload, now) },
    stop: (session, { tasks }, now) => { for (const task of tasks) this.#stopAsked(session, task, now) }
  }

  readonly #startAnswers: StartHandlers = {
    [StartAnswer.Started]: (held, now) => this.#confirmed(held, now),
    [StartAnswer.Fenced]: (held, now) => this.#fenced(held, now),
    [StartAnswer.OldRun]: (held, now) => this.#tryHigherRun(held, now),
    [StartAnswer.Late]: (held, now) => this.#finish(held, Outcome.NotStarted, Cause.Unreachable, now),
    [StartAnswer.Full]: (held, now) => this.#finish(held, Outcome.NotStarted, Cause.Full, now),
    [StartAnswer.Unhealthy]: (held, now) => this.#finish(held, Outcome.NotStarted, Cause.Unhealthy, now),
    [StartAnswer.Rejected]: (held, now) => this.#finish(held, Outcome.NotStarted, Cause.Rejected, now),
    [StartAnswer.OtherInstance]: (_held, now) => this.#targetLost('another instance answers', now),
    [StartAnswer.NoListener]: (_held, now) => this.#targetLost('nothing listens', now),
    [StartAnswer.Silent]: (held, now) => this.#startUnanswered(held, now)
  }

  constructor (options: AgentOptions) {
    this.#options = options
    this.#timings = options.timings
    this.#guards = options.guards ?? ALL_AGENT_GUARDS
    this.#lease = new TargetLease(options.timings)
    this.#token = Math.floor(options.wallClock())
  }

  /** Takes one event in and returns what is to be done for it, in order. */
  handle (event: AgentEvent, now: number): AgentEffect[] {
    this.#effects = []
    // First of all: a process that was frozen for seconds has a full queue of old messages, and
    // what it believed of its entries and its target must not be acted on.
    this.#expire(now)
    const handler = this.#handlers[event.type] as (event: AgentEvent, now: number) => void
    handler(event, now)
    this.#lookIfDue(now)
    return this.#effects
  }

  status (): AgentStatus {
    return {
      target: this.#target,
      cleared: this.#cleared,
      silent: this.#lease.silent,
      tasks: this.#held.size,
      entries: [...this.#sessions.values()].filter(session => session.connected).length
    }
  }

  // The target

  #targetSeen (facts: TargetFacts, clock: number, now: number): void {
    const known = this.#target
    if (known?.instance === facts.instance) {
      const changed = known.leaving !== facts.leaving
      this.#target = facts
      if (changed) {
        this.#note('target changed', { instance: facts.instance, leaving: facts.leaving })
        this.#announceToAll(now)
      }
      return
    }
    if (known !== undefined) this.#targetLost('a new instance announced itself', now)
    this.#target = facts
    this.#lastInstance = facts.instance
    this.#lease = new TargetLease(this.#timings)
    this.#pace = new TargetPace()
    this.#lease.noteClock(clock, now)
    this.#cleared = !this.#guards.clearing
    this.#acknowledged = 0
    this.#lookInFlight = false
    this.#note('target found', { instance: facts.instance, service: facts.service, capacity: facts.capacity, token: this.#token })
  }

  /** The instance is gone for certain, and with it all that ran there. */
  #targetLost (reason: string, now: number): void {
    if (this.#target === undefined) return
    this.#note('target lost', { instance: this.#target.instance, reason, tasks: this.#held.size })
    this.#target = undefined
    this.#cleared = false
    this.#lookInFlight = false
    for (const held of this.#held.all()) this.#finish(held, Outcome.Gone, Cause.TargetLost, now)
    this.#announceToAll(now)
  }

  /** Whether tasks may start now, or why not. */
  #obstacle (): Cause {
    if (this.#stopping || this.#target?.leaving === true) return Cause.Leaving
    if (this.#target === undefined || !this.#cleared) return Cause.NoTarget
    if (this.#lease.silent) return Cause.Unreachable
    return Cause.None
  }

  // Starting

  #startOrdered (session: EntrySession, order: TaskOrder, payload: string, now: number): void {
    const held = this.#held.get(order.task)
    if (held?.session === session && held.order.attempt === order.attempt) return
    const obstacle = held === undefined ? this.#obstacle() : Cause.Rejected
    if (obstacle !== Cause.None) return this.#refuse(session, order, obstacle, now)
    if (!this.#fits(order)) return this.#refuse(session, order, Cause.Full, now)
    this.#start(this.#held.add(order, payload, session, now), now)
  }

  #fits (order: TaskOrder): boolean {
    const { capacity } = this.#target as TargetFacts
    const { used } = this.#held
    return fits(order.needs, { cpu: capacity.cpu - used.cpu, memory: capacity.memory - used.memory, accelerators: capacity.accelerators - used.accelerators })
  }

  #start (held: HeldTask, now: number): void {
    const deadline = this.#lease.renew(now)
    if (deadline === undefined) return this.#finish(held, Outcome.NotStarted, Cause.Unreachable, now)
    held.startedAt = now
    held.advancedAt = now
    this.#emit({ type: 'start', ...this.#order(), task: held.order.task, run: held.run, payload: held.payload, deadline })
  }

  #refuse (session: EntrySession, order: TaskOrder, cause: Cause, now: number): void {
    this.#tell(session, { task: order.task, attempt: order.attempt, outcome: Outcome.NotStarted, cause, ran: 0 }, now)
  }

  #startAnswered ({ instance, task, run, answer }: Extract<AgentEvent, { type: 'startAnswered' }>, now: number): void {
    const held = this.#held.get(task)
    if (held === undefined || held.run !== run || instance !== this.#target?.instance) return
    if (answer !== StartAnswer.Started) this.#note('start refused', { task, run, answer, instance })
    this.#startAnswers[answer](held, now)
  }

  #confirmed (held: HeldTask, now: number): void {
    held.confirmedAt ??= now
    if (held.stage === Stage.Starting) held.stage = Stage.Running
  }

  /** The order may still be carried out, or have been: the run is forbidden before the task counts as gone. */
  #startUnanswered (held: HeldTask, now: number): void {
    if (held.stage !== Stage.Starting) return
    if (this.#guards.takeBack) this.#stop(held, now)
    else this.#finish(held, Outcome.NotStarted, Cause.Unreachable, now)
  }

  /**
   * The number belongs to a run that ended or was stopped there before. When it was stopped by this
   * agent a moment ago, the refusal only says that the stop was faster than the start.
   */
  #tryHigherRun (held: HeldTask, now: number): void {
    if (held.stage === Stage.Stopping) return this.#finish(held, Outcome.Gone, Cause.Stopped, now)
    held.stops += 1
    if (held.stops > OLD_RUNS_LIMIT) return this.#finish(held, Outcome.NotStarted, Cause.Rejected, now)
    held.run += RUN_STEP * held.stops
    this.#held.noteRun(held)
    this.#start(held, now)
  }

  /** Another process holds a higher token: only a predecessor whose clock was ahead can have used one. */
  #fenced (held: HeldTask, now: number): void {
    this.#raiseToken()
    this.#finish(held, Outcome.NotStarted, Cause.Unreachable, now)
  }

  #raiseToken (): void {
    const before = this.#token
    this.#token = Math.max(Math.floor(this.#options.wallClock()), before + Math.max(1000, Math.floor(before / 1000)))
    this.#cleared = !this.#guards.clearing
    this.#note('fenced, token raised', { before, token: this.#token })
  }

  // Stopping

  #stopAsked (session: EntrySession, { task, attempt }: TaskReference, now: number): void {
    const held = this.#held.get(task)
    if (held?.session === session && held.order.attempt === attempt && held.stage !== Stage.Stopping) this.#stop(held, now)
  }

  #stop (held: HeldTask, now: number): void {
    held.stage = Stage.Stopping
    held.stopSentAt = now
    held.stops += 1
    this.#emit({ type: 'stop', ...this.#order(), task: held.order.task, run: held.run })
  }

  #stopAnswered ({ instance, task, run, answered }: Extract<AgentEvent, { type: 'stopAnswered' }>, now: number): void {
    const held = this.#held.get(task)
    if (held === undefined || held.run !== run || instance !== this.#target?.instance || !answered) return
    if (held.stopConfirmedAt !== undefined) return
    held.stopConfirmedAt = now
    // The look in flight may wait for long; whether a start that was not answered has begun is asked at once.
    if (held.confirmedAt === undefined) this.#look(undefined, 0, now)
  }

  // Looking

  #lookIfDue (now: number): void {
    if (this.#target === undefined || this.#lookInFlight) return
    if (!this.#lookAnswered && now - this.#lookedAt < LOOK_RETRY_MILLISECONDS) return
    const busy = this.#held.size > 0
    const urgent = busy || !this.#cleared || this.#lease.silent
    if (!urgent && now - this.#lookedAt < IDLE_LOOK_MILLISECONDS) return
    const deadline = busy && this.#mayRenew() ? this.#lease.renew(now) : undefined
    const wait = busy && this.#cleared && !this.#lease.silent ? LOOK_WAIT_MILLISECONDS : 0
    this.#lookInFlight = true
    this.#lookAnswered = false
    this.#lookedAt = now
    this.#look(deadline, wait, now)
  }

  #look (deadline: number | undefined, wait: number, now: number): void {
    this.#emit({ type: 'look', ...this.#order(), sent: now, deadline, acknowledged: this.#acknowledged, wait })
  }

  /** A run that several orders did not stop ends with the lease, at the price of those beside it. */
  #mayRenew (): boolean {
    return !this.#held.all().some(held => held.stopConfirmedAt === undefined && held.stage === Stage.Stopping && held.stops > STOPS_BEFORE_LAPSE)
  }

  #looked ({ instance, sent, clock, running, ended }: Extract<AgentEvent, { type: 'looked' }>, now: number): void {
    if (instance !== this.#target?.instance) return
    if (sent === this.#lookedAt) this.#lookInFlight = false
    if (this.#lease.silent) this.#note('target answers again', { instance })
    this.#lease.noteAnswer(clock, now)
    for (const end of ended) this.#runEnded(end, now)
    const runs = new Map(running.map(({ task, run }) => [task, run]))
    for (const { task, run, percent } of running) {
      const held = this.#held.get(task)
      if (held !== undefined && held.run === run) this.#runs(held, percent, now)
      else this.#stray(task, run)
    }
    if (ended.length < ENDS_PER_LOOK) {
      for (const held of this.#held.all()) if (runs.get(held.order.task) !== held.run) this.#absent(held, sent, now)
    }
    this.#reportSlow(now)
    if (!this.#cleared && running.length === 0) this.#clear(now)
    this.#lookAnswered = this.#cleared
  }

  #runEnded ({ number, task, run, end }: EndedRun, now: number): void {
    this.#acknowledged = Math.max(this.#acknowledged, number)
    const held = this.#held.get(task)
    if (held === undefined || held.run !== run) return
    if (end === RunEnd.Done) this.#pace.observe(held, 100, now)
    if (end === RunEnd.Done) return this.#finish(held, Outcome.Done, Cause.None, now)
    if (end === RunEnd.Failed) return this.#finish(held, Outcome.Failed, Cause.None, now)
    this.#finish(held, Outcome.Gone, end === RunEnd.Lapsed ? Cause.Lapsed : Cause.Stopped, now)
  }

  #runs (held: HeldTask, percent: number, now: number): void {
    this.#confirmed(held, now)
    this.#pace.observe(held, percent, now)
    noteProgress(held, percent, now)
  }

  /** A run that nobody here asked for: a predecessor's, or one whose end was reported as certain. */
  #stray (task: string, run: number): void {
    this.#note('stray run stopped', { task, run })
    this.#emit({ type: 'stop', ...this.#order(), task, run })
  }

  /** A task that the target neither runs nor lists as ended, though it had answered the order before the look. */
  #absent (held: HeldTask, sent: number, now: number): void {
    if (held.stage === Stage.Running && held.confirmedAt !== undefined && held.confirmedAt < sent) {
      return this.#finish(held, Outcome.Gone, Cause.Lapsed, now)
    }
    if (held.stage !== Stage.Stopping || held.stopConfirmedAt === undefined) return
    // One that was never seen running has not begun, and the stop forbids that it does.
    if (held.confirmedAt === undefined && sent >= held.stopConfirmedAt) return this.#finish(held, Outcome.Gone, Cause.Unanswered, now)
    if (sent > held.stopConfirmedAt + this.#options.stop) this.#finish(held, Outcome.Gone, Cause.Stopped, now)
  }

  #clear (now: number): void {
    this.#cleared = true
    this.#note('target clear', { instance: this.#target?.instance })
    this.#announceToAll(now)
  }

  #lookFailed ({ instance, sent, failure }: Extract<AgentEvent, { type: 'lookFailed' }>, now: number): void {
    if (instance !== this.#target?.instance) return
    if (sent === this.#lookedAt) this.#lookInFlight = false
    if (failure === LookFailure.OtherInstance) return this.#targetLost('another instance answers', now)
    if (failure === LookFailure.NoListener) return this.#targetLost('nothing listens', now)
    if (failure === LookFailure.Fenced) return this.#raiseToken()
    if (!this.#lease.silent) this.#note('target silent', { instance, tasks: this.#held.size })
    this.#lease.noteSilence()
  }

  #reportSlow (now: number): void {
    const pace = this.#pace.value(now)
    for (const held of this.#held.all()) {
      if (held.stage !== Stage.Running) continue
      const remaining = slowRemaining(held, pace, now)
      if (remaining === undefined) continue
      held.reportedSlowAt = now
      const { task, attempt } = held.order
      this.#send(held.session, { type: 'slow', tasks: [{ task, attempt, remaining }] })
    }
  }

  // Entries

  #entryLinked (entry: string, now: number): void {
    for (const session of this.#sessions.values()) {
      if (session.entry !== entry && nameOf(session.entry) === nameOf(entry)) this.#replaced(session, now)
    }
    let session = this.#sessions.get(entry)
    if (session === undefined) {
      session = new EntrySession(entry)
      this.#sessions.set(entry, session)
    }
    session.connected = true
    this.#note('entry linked', { entry, tasks: session.tasks })
    // The ping goes first: its echo must be here before the first start, which is refused without contact.
    this.#ping(session, now)
    const { first, ends } = session.unacknowledged()
    if (ends.length > 0) this.#send(session, { type: 'ends', first, ends, load: this.#load(session, now) })
    this.#announce(session, now)
  }

  /** A new run of the entry is linked: the old one has ended, and nobody waits for its tasks. */
  #replaced (session: EntrySession, now: number): void {
    session.connected = false
    session.disconnectedAt = Number.NEGATIVE_INFINITY
    this.#stopTasksOf(session, 'the entry was restarted', now)
  }

  /** The link may only have been reset: its tasks run on until the contact ends. */
  #entryUnlinked (entry: string, now: number): void {
    const session = this.#sessions.get(entry)
    if (session === undefined) return
    session.connected = false
    session.disconnectedAt = now
    this.#note('entry unlinked', { entry, tasks: session.tasks })
  }

  #entryMessage (entry: string, message: EntryMessage, now: number): void {
    const session = this.#sessions.get(entry)
    if (session === undefined || !session.connected) return
    if (message.type === 'start' && this.#guards.contact && !session.inContact(now)) {
      // The order was held up, or this process was: the entry counts on it not being followed.
      this.#note('start out of contact', { entry, tasks: message.tasks.length })
      this.#emit({ type: 'unlink', entry })
      return
    }
    const handler = this.#messages[message.type] as (session: EntrySession, message: EntryMessage, now: number) => void
    handler(session, message, now)
  }

  #stopTasksOf (session: EntrySession, reason: string, now: number): void {
    const tasks = this.#held.of(session).filter(held => held.stage !== Stage.Stopping)
    if (tasks.length === 0) return
    this.#note('tasks of an entry stopped', { entry: session.entry, reason, tasks: tasks.length })
    for (const held of tasks) this.#stop(held, now)
  }

  // Time

  #woke (asleep: number, now: number): void {
    this.#note('woke from a suspension', { asleep: Math.round(asleep), tasks: this.#held.size })
    for (const session of this.#sessions.values()) session.loseContact(now)
    this.#expire(now)
  }

  #expire (now: number): void {
    if (this.#held.size === 0) return
    if (this.#guards.contact) {
      for (const session of this.#sessions.values()) {
        if (session.tasks > 0 && !session.inContact(now)) this.#stopTasksOf(session, 'out of contact', now)
      }
    }
    if (now < this.#lease.lapsedAt) return
    for (const held of this.#held.all()) this.#finish(held, Outcome.Gone, Cause.Lapsed, now)
  }

  #tick (now: number): void {
    for (const session of this.#sessions.values()) {
      const interval = session.tasks > 0 ? this.#timings.ping : this.#timings.idlePing
      if (session.connected && (now - session.pingedAt >= interval || this.#loadChanged(session, now))) this.#ping(session, now)
      if (!session.connected && session.tasks === 0 && now - session.disconnectedAt > SESSION_MEMORY_MILLISECONDS) this.#sessions.delete(session.entry)
    }
    for (const held of this.#held.all()) {
      if (held.stage === Stage.Stopping && held.stopConfirmedAt === undefined && now - held.stopSentAt >= STOP_TIMEOUT_MILLISECONDS) this.#stop(held, now)
    }
    if (this.#stopping && this.#held.size === 0) this.#emit({ type: 'stopped' })
  }

  #stopOrdered (now: number): void {
    this.#stopping = true
    this.#note('stop ordered', { tasks: this.#held.size })
    this.#announceToAll(now)
    this.#tick(now)
  }

  // Messages

  #finish (held: HeldTask, outcome: Outcome, cause: Cause, now: number): void {
    this.#held.remove(held)
    const { task, attempt } = held.order
    if (outcome !== Outcome.Done) this.#note('task ended', { task, attempt, run: held.run, outcome, cause, entry: held.session.entry, age: Math.round(now - held.startedAt) })
    this.#tell(held.session, { task, attempt, outcome, cause, ran: Math.max(0, now - held.startedAt) }, now)
  }

  #tell (session: EntrySession, end: Parameters<EntrySession['remember']>[0], now: number): void {
    const number = session.remember(end)
    this.#send(session, { type: 'ends', first: number, ends: [end], load: this.#load(session, now) })
  }

  #ping (session: EntrySession, now: number): void {
    session.pingedAt = now
    this.#send(session, { type: 'ping', sent: now, load: this.#load(session, now) })
  }

  #announceToAll (now: number): void {
    for (const session of this.#sessions.values()) if (session.connected) this.#announce(session, now)
  }

  #announce (session: EntrySession, now: number): void {
    const held = this.#held.of(session).map(({ order: { task, attempt } }) => ({ task, attempt }))
    const target = this.#target !== undefined && this.#cleared ? { ...this.#target, leaving: this.#target.leaving || this.#stopping } : undefined
    this.#send(session, { type: 'announce', target, held, load: this.#load(session, now) })
  }

  /** Room that one entry's tasks leave is of use to the others only when they hear of it. */
  #loadChanged (session: EntrySession, now: number): boolean {
    if (!session.waiting) return false
    const capacity = this.#target?.capacity.cpu ?? 0
    const change = Math.abs(this.#held.used.cpu - session.used.cpu - session.toldOthers)
    return change > LOAD_CHANGE_PART * capacity && now - session.toldAt >= LOAD_INTERVAL_MILLISECONDS * this.#sessions.size
  }

  #load (session: EntrySession, now: number): Load {
    const { used } = this.#held
    session.toldOthers = used.cpu - session.used.cpu
    session.toldAt = now
    return {
      pace: Math.round(this.#pace.value(now) * 100) / 100,
      others: { cpu: used.cpu - session.used.cpu, memory: used.memory - session.used.memory, accelerators: used.accelerators - session.used.accelerators }
    }
  }

  #send (session: EntrySession, message: AgentMessage): void {
    if (session.connected) this.#emit({ type: 'send', entry: session.entry, message })
  }

  #order (): { instance: string, token: number } {
    return { instance: this.#target?.instance ?? this.#lastInstance, token: this.#token }
  }

  #note (what: string, fields: Record<string, unknown>): void {
    this.#emit({ type: 'note', what, fields })
  }

  #emit (effect: AgentEffect): void {
    this.#effects.push(effect)
  }
}
