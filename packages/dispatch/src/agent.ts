/**
 * Decision logic of an agent: the only process that starts tasks at the target beside it.
 *
 * Three limits keep two runs of one task apart. The target ends everything when its lease lapses,
 * so a dead or frozen agent cannot leave a task running. The agent stops the tasks of an entry
 * that it is out of contact with, so a dead, frozen or cut-off entry cannot either. And each start
 * carries the deadline of the lease, so an order that is carried out seconds late does nothing.
 */
import type { AgentContext, AgentGuards } from './agentcontext.ts'
import type { AgentEffect, AgentEvent } from './agenttypes.ts'
import type { EntrySession } from './entrysession.ts'
import type { EntryMessage, TargetFacts } from './messages.ts'
import type { Policy } from './policy.ts'
import type { Timings } from './timings.ts'
import { ALL_AGENT_GUARDS } from './agentcontext.ts'
import { PollFailure } from './agenttypes.ts'
import { CrashReports } from './crashreports.ts'
import { EntrySessions } from './entrysessions.ts'
import { EvacuationGuard } from './evacuationguard.ts'
import { HeldTasks } from './heldtasks.ts'
import { Cause, Outcome } from './messages.ts'
import { DEFAULT_POLICY } from './policy.ts'
import type { Announcement } from './targetwatch.ts'
import { fits } from './resources.ts'
import { TargetRoom } from './targetroom.ts'
import { EndEvidence } from './runends.ts'
import { Sighting, TargetWatch } from './targetwatch.ts'
import { LifeEnd, TaskRuns } from './taskruns.ts'

export interface AgentOptions {
  timings: Timings
  /** A stop of a task takes the target at most this long, in milliseconds. */
  stop: number
  /** Time after the acknowledgement of a target's notice within which tasks may start there, in milliseconds. @default 0 */
  drain?: number
  /** Milliseconds since 1970: fencing tokens are drawn from it, so that each run of the agent has a higher one. */
  wallClock: () => number
  /** Guards switched off, to show that a proof fails without them. @internal */
  guards?: AgentGuards
  /** Mechanisms that are set otherwise than by default. */
  policy?: Partial<Policy>
}

type Handlers = {
  [Type in AgentEvent['type']]: (event: Extract<AgentEvent, { type: Type }>, now: number) => void
}

type MessageHandlers = {
  [Type in EntryMessage['type']]: (session: EntrySession, message: Extract<EntryMessage, { type: Type }>, now: number) => void
}

type PollFailureHandlers = Record<PollFailure, (sent: number, now: number) => void>

/** Figures for status pages. */
export interface AgentStatus {
  target: TargetFacts | undefined
  cleared: boolean
  silent: boolean
  tasks: number
  /** Runs at the target that take room though no task here holds it. */
  unheld: number
  entries: number
  /** Ends of runs by what they were known from. */
  ends: ReadonlyMap<EndEvidence, number>
  strays: number
}

export class Agent {
  readonly #context: AgentContext
  readonly #held = new HeldTasks()
  readonly #target: TargetWatch
  readonly #room: TargetRoom
  readonly #runs: TaskRuns
  readonly #entries: EntrySessions
  readonly #evacuations: EvacuationGuard
  readonly #crashes: CrashReports
  #stopping = false
  /** The entries were told that the target takes no work while it is silent. */
  #withdrawn = false
  /** They were told that the leaving target still takes tasks. */
  #lends = false
  /** As it was kept for the next run. */
  #remembered: TargetFacts | undefined
  #effects: AgentEffect[] = []

  readonly #handlers: Handlers = {
    targetSeen: (event, now) => this.#targetSeen(event, now),
    targetRemembered: ({ facts }, now) => this.#targetRemembered(facts, now),
    targetLeft: ({ instance }, now) => {
      if (this.#target.is(instance)) this.#deregistered(now)
      else this.#target.noteEnded(instance)
    },
    startAnswered: (event, now) => this.#runs.startAnswered(event, now),
    stopAnswered: (event, now) => this.#runs.stopAnswered(event, now),
    polled: (event, now) => this.#polled(event, now),
    pollFailed: ({ instance, sent, failure }, now) => {
      if (!this.#target.is(instance)) return
      this.#target.pollFailed(sent)
      this.#pollFailures[failure](sent, now)
    },
    entryLinked: ({ entry }, now) => this.#entries.link(entry, now),
    entryUnlinked: ({ entry }, now) => this.#entries.unlink(entry, now),
    entryMessage: ({ entry, message }, now) => this.#entryMessage(entry, message, now),
    evacuationsRead: ({ state }) => this.#evacuations.learn(state),
    woke: ({ asleep }, now) => this.#woke(asleep, now),
    tick: (_event, now) => this.#tick(now),
    stopOrdered: (_event, now) => this.#stopOrdered(now)
  }

  readonly #messages: MessageHandlers = {
    echo: (session, echo, now) => {
      this.#entries.echoed(session, echo, now)
      this.#startHeld(session, now)
    },
    start: (session, message, now) => {
      this.#startHeld(session, now)
      this.#start(session, message, now)
    },
    stop: (session, { tasks }, now) => {
      for (const { task, attempt } of this.#entries.dropHeld(session, tasks)) this.#entries.tell(session, { task, attempt, outcome: Outcome.NotStarted, cause: Cause.Stopped, ran: 0 }, now)
      for (const task of tasks) this.#runs.stopAsked(session, task, now)
    },
    role: (session, { role }, now) => this.#entries.noteRole(session, role, now),
    evacuations: (session, { state, confirmed }) => this.#evacuations.heard(session, state, confirmed)
  }

  readonly #pollFailures: PollFailureHandlers = {
    [PollFailure.OtherInstance]: (_sent, now) => this.#targetLost('another instance answers', LifeEnd.Replaced, now),
    [PollFailure.NoListener]: (_sent, now) => this.#connectionRefused(now),
    [PollFailure.Fenced]: () => this.#target.raiseToken(),
    [PollFailure.Silent]: (sent, now) => this.#target.noteSilence(sent, now)
  }

  constructor ({ timings, stop, drain = 0, wallClock, guards = ALL_AGENT_GUARDS, policy }: AgentOptions) {
    const emit = (effect: AgentEffect): void => { this.#effects.push(effect) }
    const context = { timings, stop, drain, wallClock, guards, policy: { ...DEFAULT_POLICY, ...policy }, emit, note: (what: string, fields: Record<string, unknown>) => emit({ type: 'note', what, fields }) }
    const held = this.#held
    const target = new TargetWatch(context, held)
    this.#context = context
    this.#target = target
    this.#crashes = new CrashReports({ context, held, target, tellAll: message => this.#entries.tellAll(message) })
    this.#room = new TargetRoom({ held, capacity: () => target.facts?.capacity, stop })
    this.#runs = new TaskRuns({
      context,
      held,
      target,
      room: this.#room,
      obstacle: ({ expected }, now) => this.#obstacle(expected, now),
      tell: (session, end, now) => this.#entries.tell(session, end, now),
      tellSlow: (session, slow) => this.#entries.tellSlow(session, slow),
      isBarred: (task, now) => this.#crashes.bars(task, now),
      targetLost: (reason, ending, now) => this.#targetLost(reason, ending, now),
      connectionRefused: now => this.#connectionRefused(now)
    })
    this.#entries = new EntrySessions({
      context,
      held,
      target,
      used: now => this.#room.used(now),
      announced: now => this.#announced(now),
      crashes: now => this.#crashes.records(now),
      stopTasksOf: (session, reason, now) => this.#runs.stopTasksOf(session, reason, now)
    })
    this.#evacuations = new EvacuationGuard({
      context,
      sessions: () => this.#entries.all(),
      send: (session, state) => this.#entries.tellEvacuations(session, state)
    })
  }

  /** Takes one event in and returns what is to be done for it, in order. */
  handle (event: AgentEvent, now: number): AgentEffect[] {
    this.#effects = []
    // First of all: a process that was frozen for seconds has a full queue of old messages, and
    // what it believed of its entries and its target must not be acted on.
    this.#expire(now)
    const handler = this.#handlers[event.type] as (event: AgentEvent, now: number) => void
    handler(event, now)
    this.#entries.reportRoom(now)
    this.#target.pollIfDue(now)
    return this.#effects
  }

  /** Whether anything is in progress at the target. */
  get busy (): boolean {
    return this.#held.size > 0 || !this.#target.cleared || this.#target.lease.silent
  }

  status (): AgentStatus {
    const { facts, cleared, lease } = this.#target
    return { target: facts, cleared, silent: lease.silent, tasks: this.#held.size, unheld: this.#room.unheld, entries: this.#entries.linked, ends: this.#runs.ends.counts, strays: this.#runs.ends.strays }
  }

  // The target

  #targetSeen (announcement: Announcement, now: number): void {
    const sighting = this.#target.seen(announcement, now)
    if (sighting === Sighting.Changed) {
      if (this.#remembersTooMuch()) this.#remember()
      this.#announceToAll(now)
    }
    if (sighting !== Sighting.NewInstance) return
    if (this.#target.facts === undefined) return this.#begin(announcement, now)
    if (this.#context.guards.lifeProof) return this.#target.challenge(announcement, now)
    this.#targetLost('a new instance announced itself', LifeEnd.Replaced, now)
    this.#begin(announcement, now)
  }

  /**
   * A restarted agent heard of its target with the next heartbeat, up to 1.5 s later: after a kill of all processes the fleet's
   * targets came back one by one over that time. What the earlier run knew is believed when the target answers as that life.
   */
  #targetRemembered (facts: TargetFacts, now: number): void {
    if (this.#target.facts !== undefined || this.#target.hasEnded(facts.instance)) return
    this.#context.note('target remembered', { instance: facts.instance })
    this.#begin({ facts, sequence: 0, clock: undefined }, now)
  }

  #begin (announcement: Announcement, now: number): void {
    this.#crashes.begun(announcement.facts.instance, now)
    this.#room.clear()
    this.#target.begin(announcement, now)
    this.#runs.stopInherited(now)
  }

  /** What runs there may run on while its lease does. */
  #connectionRefused (now: number): void {
    this.#target.noteRefusal(now)
    this.#departs(now)
  }

  /** It says that it will end, not that it has. */
  #deregistered (now: number): void {
    this.#target.noteDeregistered()
    this.#departs(now)
  }

  #departs (now: number): void {
    if (this.#held.size === 0 || !this.#context.guards.refusals) return this.#targetDeparted(now)
    this.#withdrawIfSilent(now)
  }

  #targetDeparted (now: number): void {
    if (this.#target.deregistered) this.#targetLost('deregistered', LifeEnd.Left, now)
    else this.#targetLost('nothing listens', LifeEnd.Unknown, now)
  }

  /** The life is over or does not answer, and what ran there is gone. */
  #targetLost (reason: string, ending: LifeEnd, now: number): void {
    if (this.#target.facts === undefined) return
    const cause = this.#crashes.lost(ending, now)
    if (ending === LifeEnd.Replaced) this.#runs.endLife(cause, now)
    else this.#runs.finishAll(this.#held.all(), cause, EndEvidence.Assumed, now)
    this.#target.end(reason, ending !== LifeEnd.Unknown)
    this.#entries.announceToAll(now)
    const successor = this.#target.takeSuccessor()
    if (successor !== undefined) this.#begin(successor, now)
  }

  #obstacle (expected: number, now: number): Cause {
    if (this.#stopping) return Cause.Leaving
    return this.#evacuations.forbids(this.#target.facts?.dataCentre) ? Cause.Evacuated : this.#target.obstacle(expected, now)
  }

  #announced (now: number): TargetFacts | undefined {
    const { facts, cleared } = this.#target
    if (facts === undefined || !cleared) return undefined
    const { remaining: _stated, refusesOtherLives: _calls, ...lasting } = facts
    const closed = this.#stopping || this.#withdrawn
    const remaining = closed ? undefined : this.#target.remaining(now)
    return { ...lasting, leaving: facts.leaving || closed, ...(remaining === undefined ? {} : { remaining }) }
  }

  #announceToAll (now: number): void {
    this.#lends = this.#target.remaining(now) !== undefined
    this.#entries.announceToAll(now)
  }

  /** Nothing may be started any more at a leaving target that took tasks until now. */
  #announceIfClosed (now: number): void {
    if (!this.#lends || this.#target.remaining(now) !== undefined) return
    this.#context.note('leaving target takes no more tasks', { instance: this.#target.facts?.instance, tasks: this.#held.size })
    this.#announceToAll(now)
  }

  #polled (event: Extract<AgentEvent, { type: 'polled' }>, now: number): void {
    if (!this.#target.is(event.instance)) return
    this.#target.answered(event, now)
    this.#crashes.answered(event.instance, now)
    this.#runs.polled(event, now)
    this.#withdrawIfSilent(now)
    if (!this.#target.settle(event.running.length)) return
    this.#remember()
    this.#announceToAll(now)
  }

  #withdrawIfSilent (now: number): void {
    const withdrawn = this.#target.isWithdrawn(now)
    if (withdrawn === this.#withdrawn) return
    this.#withdrawn = withdrawn
    this.#context.note(withdrawn ? 'target withdrawn' : 'target offered again', { instance: this.#target.facts?.instance })
    this.#entries.announceToAll(now)
  }

  #remember (): void {
    const { facts } = this.#target
    if (facts === undefined) return
    this.#remembered = facts
    this.#context.emit({ type: 'rememberTarget', facts })
  }

  /** Whether a next run that goes by what is kept might start what has no room, or where nothing may start. */
  #remembersTooMuch (): boolean {
    const { facts } = this.#target
    const kept = this.#remembered
    return facts !== undefined && (kept === undefined || facts.leaving !== kept.leaving || !fits(kept.capacity, facts.capacity))
  }

  // Entries

  #entryMessage (entry: string, message: EntryMessage, now: number): void {
    const session = this.#entries.sessionFor(entry, message, now)
    if (session === undefined) return
    const handler = this.#messages[message.type] as ((session: EntrySession, message: EntryMessage, now: number) => void) | undefined
    // While builds are mixed, an entry may speak of what this agent does not know.
    if (handler === undefined) return this.#context.note('message of an unknown kind ignored', { entry, type: message.type })
    handler(session, message, now)
  }

  /** Starts that waited for contact. */
  #startHeld (session: EntrySession, now: number): void {
    for (const start of this.#entries.takeHeld(session, now)) this.#start(session, start, now)
  }

  #start (session: EntrySession, { payload, tasks }: Extract<EntryMessage, { type: 'start' }>, now: number): void {
    if (this.#evacuations.forbids(this.#target.facts?.dataCentre)) this.#evacuations.refused(session)
    for (const order of tasks) {
      this.#entries.noteTaken(session, order)
      this.#runs.startOrdered(session, order, payload, now)
    }
  }

  // Time

  #woke (asleep: number, now: number): void {
    this.#context.note('woke from a suspension', { asleep: Math.round(asleep), tasks: this.#held.size })
    this.#entries.loseContact(now)
    this.#target.notice.noteSuspended()
    this.#expire(now)
  }

  #expire (now: number): void {
    if (this.#held.size === 0) return
    this.#entries.expire(now)
    if (now < this.#target.lease.lapsedAt) return
    const lapsed = this.#held.all().filter(held => now >= this.#target.grants.lapsesAt(held))
    if (lapsed.length === 0) return
    this.#crashes.lapsed(now)
    this.#runs.finishAll(lapsed, Cause.Lapsed, EndEvidence.Lapsed, now)
    if (this.#target.departing && this.#held.size === 0) this.#targetDeparted(now)
  }

  #tick (now: number): void {
    if (this.#target.superseded) this.#targetLost('silent, and another life announced itself', LifeEnd.Replaced, now)
    if (this.#target.departing && this.#held.size === 0) this.#targetDeparted(now)
    this.#withdrawIfSilent(now)
    this.#announceIfClosed(now)
    if (this.#room.expire(now)) this.#entries.noteFreed()
    this.#entries.tick(now)
    this.#evacuations.tick(now)
    this.#runs.repeatStops(now)
    if (this.#stopping && this.#held.size === 0) this.#context.emit({ type: 'stopped' })
  }

  #stopOrdered (now: number): void {
    this.#stopping = true
    this.#context.note('stop ordered', { tasks: this.#held.size })
    this.#entries.announceToAll(now)
    this.#tick(now)
  }
}
