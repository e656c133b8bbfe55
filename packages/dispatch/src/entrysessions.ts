/** The entries that an agent serves: who is linked, who is in contact, and what each is told. */
import type { AgentContext } from './agentcontext.ts'
import type { EvacuationState } from './evacuations.ts'
import type { HeldTasks } from './heldtasks.ts'
import type { AgentMessage, CrashRecord, Echo, EntryMessage, Load, SlowTask, TargetFacts, TaskEnd, TaskOrder, TaskReference } from './messages.ts'
import type { Resources } from './resources.ts'
import type { PaceTold } from './steadypace.ts'
import type { TargetWatch } from './targetwatch.ts'
import { subtractFrom } from './resources.ts'
import { LOAD_CHANGE_PART, LOAD_INTERVAL_MILLISECONDS, LONGEST_QUIET_PING_MILLISECONDS } from './defaults.ts'
import { PARTITION_QUIET_FACTOR } from './partitiondefaults.ts'
import { EntrySession, nameOf } from './entrysession.ts'
import { Isolation, RoomRole } from './messages.ts'

/** How long the session of an entry that has gone is kept, in milliseconds: it may link again. */
const SESSION_MEMORY_MILLISECONDS = 10_000

/** Paces are told in hundredths. */
const PACE_PARTS = 100

/** Steady ones in thousandths: a whole fleet's are compared. */
const STEADY_PARTS = 1000

export interface EntrySessionsParts {
  context: AgentContext
  held: HeldTasks
  target: TargetWatch
  /** All that may be taken at the target. */
  used: (now: number) => Resources
  /** The target as entries are told of it. */
  announced: (now: number) => TargetFacts | undefined
  /** Tasks under which the target was lost lately. */
  crashes: (now: number) => CrashRecord[]
  /** Nobody waits for the tasks of a session any more. */
  stopTasksOf: (session: EntrySession, reason: string, now: number) => void
}

export class EntrySessions {
  readonly #parts: EntrySessionsParts
  readonly #context: AgentContext
  readonly #held: HeldTasks
  readonly #sessions = new Map<string, EntrySession>()

  constructor (parts: EntrySessionsParts) {
    this.#parts = parts
    this.#context = parts.context
    this.#held = parts.held
  }

  /** Entries with a link. */
  get linked (): number {
    return [...this.#sessions.values()].filter(session => session.connected).length
  }

  all (): Iterable<EntrySession> {
    return this.#sessions.values()
  }

  link (entry: string, now: number): void {
    for (const session of this.#sessions.values()) {
      if (session.entry !== entry && nameOf(session.entry) === nameOf(entry)) this.#replaced(session, now)
    }
    let session = this.#sessions.get(entry)
    if (session === undefined) {
      session = new EntrySession(entry)
      this.#sessions.set(entry, session)
    }
    session.connected = true
    session.evacuationsKnown = 0
    session.confirmsEvacuations = true
    if (this.#context.guards.heldStarts) session.held = []
    this.#context.note('entry linked', { entry, tasks: session.tasks })
    // The ping goes first: its echo must be here before the first start, which is refused without contact.
    this.#ping(session, now)
    const crashes = this.#parts.crashes(now)
    if (crashes.length > 0) this.#send(session, { type: 'crashes', records: crashes })
    const { first, ends } = session.unacknowledged()
    if (ends.length > 0) this.#send(session, { type: 'ends', first, ends, sent: now, load: this.#load(session, now) })
    this.#announce(session, now)
  }

  /** The link may only have been reset: its tasks run on until the contact ends. */
  unlink (entry: string, now: number): void {
    const session = this.#sessions.get(entry)
    if (session === undefined) return
    session.connected = false
    session.role = RoomRole.Chooses
    if (this.#context.guards.heldStarts) session.held = []
    session.disconnectedAt = now
    this.#context.note('entry unlinked', { entry, tasks: session.tasks })
  }

  /** The session that a message belongs to; undefined when it must not be followed. */
  sessionFor (entry: string, message: EntryMessage, now: number): EntrySession | undefined {
    const session = this.#sessions.get(entry)
    if (session === undefined || !session.connected) return undefined
    if (message.type === 'start' && message.echo !== undefined) this.echoed(session, message.echo, now)
    if (message.type !== 'start' || !this.#context.guards.contact || this.#mayStart(session, now)) return session
    if (session.inContact(now) || session.role === RoomRole.Asks) this.#hold(session, message, now)
    else this.#refuseContact(session, message.tasks.length)
    return undefined
  }

  /** Whether the contact is fresh enough for tasks of the entry to be started. */
  #mayStart (session: EntrySession, now: number): boolean {
    return now < this.#parts.target.grants.startableUntil(session.contactUntil)
  }

  /** The order was held up, or this process was: the entry counts on it not being followed. */
  #refuseContact (session: EntrySession, tasks: number): void {
    this.#context.note('start out of contact', { entry: session.entry, tasks })
    this.#context.emit({ type: 'unlink', entry: session.entry })
    session.held = []
  }

  /**
   * On a link that may be quiet, and where the contact is not fresh enough, starts wait until the entry has echoed a ping that is sent now. One that a partition or a
   * frozen process held up gets no such echo: an entry that counts the task as gone has closed the link before.
   */
  #hold (session: EntrySession, message: Extract<EntryMessage, { type: 'start' }>, now: number): void {
    if (session.held.length === 0) {
      session.heldSince = now
      this.#ping(session, now)
    }
    session.held.push(message)
  }

  /** Starts that waited for the contact that now stands. */
  takeHeld (session: EntrySession, now: number): Array<Extract<EntryMessage, { type: 'start' }>> {
    if (session.held.length === 0 || !this.#mayStart(session, now)) return []
    const { held } = session
    session.held = []
    return held
  }

  /** Takes tasks that are to be stopped out of the starts that wait for contact; gives those that were there. */
  dropHeld (session: EntrySession, tasks: readonly TaskReference[]): TaskReference[] {
    const dropped: TaskReference[] = []
    for (const start of session.held) {
      start.tasks = start.tasks.filter(({ task, attempt }) => {
        const stopped = tasks.some(other => other.task === task && other.attempt === attempt)
        if (stopped) dropped.push({ task, attempt })
        return !stopped
      })
    }
    return dropped
  }

  echoed (session: EntrySession, { sent, received, waiting }: Echo, now: number): void {
    session.waiting = waiting
    session.echoed(this.#context.guards.echoAge ? sent : now, received, this.#context.timings.contact)
  }

  /** Notes for entries that give out the room that a start of another has arrived, whatever becomes of it. */
  noteTaken (starter: EntrySession, { task, isolation }: TaskOrder): void {
    for (const session of this.#sessions.values()) {
      if (!session.allocates || session === starter) continue
      session.taken.push(task)
      session.freed ||= isolation === Isolation.Alone
    }
  }

  noteRole (session: EntrySession, role: RoomRole, now: number): void {
    if (session.role === role) return
    session.role = role
    session.taken = []
    if (role !== RoomRole.Asks) this.#ping(session, now)
  }

  /** Tells entries that give out the room at once of what became free: others wait for it. */
  reportRoom (now: number): void {
    for (const session of this.#sessions.values()) {
      if (!session.allocates || !session.freed) continue
      this.#send(session, { type: 'load', load: this.#load(session, now) })
    }
  }

  /** Room became free that no task held: who gives it out hears of it at once. */
  noteFreed (): void {
    for (const session of this.#sessions.values()) session.freed = true
  }

  /** Stops the tasks of entries out of contact. */
  expire (now: number): void {
    if (!this.#context.guards.contact) return
    for (const session of this.#sessions.values()) {
      if (session.tasks > 0 && !session.inContact(now)) this.#parts.stopTasksOf(session, 'out of contact', now)
    }
  }

  loseContact (now: number): void {
    for (const session of this.#sessions.values()) {
      session.loseContact(now)
      if (session.held.length > 0) this.#refuseContact(session, session.held.length)
    }
  }

  tick (now: number): void {
    const { contact } = this.#context.timings
    for (const session of this.#sessions.values()) {
      if (session.held.length > 0 && now - session.heldSince >= contact) this.#refuseContact(session, session.held.length)
      const interval = this.#pingInterval(session)
      if (session.connected && (now - session.pingedAt >= interval || this.#loadChanged(session, now))) this.#ping(session, now)
      if (!session.connected && session.tasks === 0 && now - session.disconnectedAt > SESSION_MEMORY_MILLISECONDS) this.#sessions.delete(session.entry)
    }
  }

  #pingInterval ({ tasks, role }: EntrySession): number {
    const { ping, idlePing } = this.#context.timings
    if (tasks > 0) return this.#parts.target.grants.ping
    if (role === RoomRole.Allocates) return ping
    if (role !== RoomRole.Asks) return idlePing
    const { partitions, quietPing } = this.#context.policy
    const factor = partitions ? PARTITION_QUIET_FACTOR : 1
    return Math.min(LONGEST_QUIET_PING_MILLISECONDS * factor, Math.max(idlePing, quietPing * factor * this.#sessions.size))
  }

  announceToAll (now: number): void {
    for (const session of this.#sessions.values()) if (session.connected) this.#announce(session, now)
  }

  tell (session: EntrySession, end: TaskEnd, now: number): void {
    const number = session.remember(end)
    session.pingedAt = now
    for (const other of this.#sessions.values()) if (other !== session) other.freed = true
    this.#send(session, { type: 'ends', first: number, ends: [end], sent: now, load: this.#load(session, now) })
  }

  tellAll (message: AgentMessage): void {
    for (const session of this.#sessions.values()) this.#send(session, message)
  }

  tellEvacuations (session: EntrySession, state: EvacuationState): void {
    this.#send(session, { type: 'evacuations', state })
  }

  tellSlow (session: EntrySession, slow: SlowTask): void {
    this.#send(session, { type: 'slow', tasks: [slow] })
  }

  /** A new run of the entry is linked: the old one has ended, and nobody waits for its tasks. */
  #replaced (session: EntrySession, now: number): void {
    session.connected = false
    session.disconnectedAt = Number.NEGATIVE_INFINITY
    this.#parts.stopTasksOf(session, 'the entry was restarted', now)
  }

  #ping (session: EntrySession, now: number): void {
    session.pingedAt = now
    this.#send(session, { type: 'ping', sent: now, load: this.#load(session, now) })
  }

  #announce (session: EntrySession, now: number): void {
    const held = this.#held.of(session).map(({ order: { task, attempt } }) => ({ task, attempt }))
    this.#send(session, { type: 'announce', target: this.#parts.announced(now), held, load: this.#load(session, now) })
  }

  /** Room that one entry's tasks leave is of use to the others only when they hear of it. */
  #loadChanged (session: EntrySession, now: number): boolean {
    if (!session.waiting || !this.#context.policy.tellsRoom) return false
    const capacity = this.#parts.target.facts?.capacity.cpu ?? 0
    const change = Math.abs(this.#parts.used(now).cpu - session.used.cpu - session.toldOthers)
    return change > LOAD_CHANGE_PART * capacity && now - session.toldAt >= LOAD_INTERVAL_MILLISECONDS * this.#sessions.size
  }

  #load (session: EntrySession, now: number): Load {
    const others = this.#othersOf(session, now)
    session.toldOthers = others.cpu
    session.toldAt = now
    const { taken } = session
    const steady = this.#parts.target.pace.steady(now)
    session.taken = []
    session.freed = false
    return {
      ...(taken.length > 0 ? { taken } : {}),
      ...(this.#held.suspected ? { suspect: true } : {}),
      ...(steady === undefined ? {} : { steady: rounded(steady) }),
      pace: Math.round(this.#parts.target.pace.value(now) * PACE_PARTS) / PACE_PARTS,
      others
    }
  }

  /** What others hold; the whole target while nothing may start beside a task there. */
  #othersOf (session: EntrySession, now: number): Resources {
    const capacity = this.#parts.target.facts?.capacity
    if (this.#held.reserved && capacity !== undefined) return { ...capacity }
    const others = { ...this.#parts.used(now) }
    subtractFrom(others, session.used)
    return others
  }

  #send (session: EntrySession, message: AgentMessage): void {
    if (session.connected) this.#context.emit({ type: 'send', entry: session.entry, message })
  }
}

function rounded ({ pace, error }: PaceTold): PaceTold {
  return { pace: Math.round(pace * STEADY_PARTS) / STEADY_PARTS, error: Math.round(error * STEADY_PARTS) / STEADY_PARTS }
}
