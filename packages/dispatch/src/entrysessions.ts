/** The entries that an agent serves: their links, their contact, and the messages sent to each. */
import type { AgentContext } from './agentcontext.ts'
import type { EvacuationState } from './evacuations.ts'
import type { HeldTasks } from './heldtasks.ts'
import type { AgentMessage, CrashRecord, Echo, EntryMessage, Load, SlowTask, TargetFacts, TaskEnd, TaskOrder, TaskReference } from './messages.ts'
import type { Resources } from './resources.ts'
import type { SpeedRatioEstimate } from './steadyspeedratio.ts'
import type { TargetWatch } from './targetwatch.ts'
import { subtractFrom } from './resources.ts'
import { LOAD_CHANGE_FRACTION, LOAD_INTERVAL_MILLISECONDS, MAX_QUIET_PING_MILLISECONDS } from './defaults.ts'
import { PARTITION_QUIET_FACTOR } from './partitiondefaults.ts'
import { EntrySession, entryNameOf } from './entrysession.ts'
import { Isolation, AllocationRole } from './messages.ts'

/** Time for which the session of a disconnected entry is kept, in milliseconds, since the entry may connect again. */
const SESSION_RETENTION_MILLISECONDS = 10_000

/** Speed ratios are sent in hundredths. */
const SPEED_RATIO_PRECISION = 100

/** Steady speed ratios are sent in thousandths, since they are compared across a whole fleet. */
const STEADY_PRECISION = 1000

export interface EntrySessionsDependencies {
  context: AgentContext
  held: HeldTasks
  target: TargetWatch
  /** Resources that may be in use at the target. */
  used: (now: number) => Resources
  /** The target as it is announced to entries. */
  announced: (now: number) => TargetFacts | undefined
  /** Recent losses of the target with the tasks that ran there. */
  crashes: (now: number) => CrashRecord[]
  /** Stops the tasks of a session whose results are no longer awaited. */
  stopTasksOf: (session: EntrySession, reason: string, now: number) => void
}

export class EntrySessions {
  readonly #dependencies: EntrySessionsDependencies
  readonly #context: AgentContext
  readonly #held: HeldTasks
  readonly #sessions = new Map<string, EntrySession>()

  constructor (dependencies: EntrySessionsDependencies) {
    this.#dependencies = dependencies
    this.#context = dependencies.context
    this.#held = dependencies.held
  }

  /** Number of connected entries. */
  get linked (): number {
    return [...this.#sessions.values()].filter(session => session.connected).length
  }

  all (): Iterable<EntrySession> {
    return this.#sessions.values()
  }

  link (entry: string, now: number): void {
    for (const session of this.#sessions.values()) {
      if (session.entry !== entry && entryNameOf(session.entry) === entryNameOf(entry)) this.#replaced(session, now)
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
    // The ping goes first: its echo has to arrive before the first start, which is refused without contact.
    this.#ping(session, now)
    const crashes = this.#dependencies.crashes(now)
    if (crashes.length > 0) this.#send(session, { type: 'crashes', records: crashes })
    const { first, ends } = session.unacknowledged()
    if (ends.length > 0) this.#send(session, { type: 'ends', first, ends, sent: now, load: this.#load(session, now) })
    this.#announce(session, now)
  }

  /** Marks the entry as disconnected. Its tasks continue until the contact ends, since the link may only have been reset. */
  unlink (entry: string, now: number): void {
    const session = this.#sessions.get(entry)
    if (session === undefined) return
    session.connected = false
    session.role = AllocationRole.Chooses
    if (this.#context.guards.heldStarts) session.held = []
    session.disconnectedAt = now
    this.#context.note('entry unlinked', { entry, tasks: session.tasks })
  }

  /** Session to which a message belongs; undefined when the message must not be processed now. */
  sessionFor (entry: string, message: EntryMessage, now: number): EntrySession | undefined {
    const session = this.#sessions.get(entry)
    if (session === undefined || !session.connected) return undefined
    if (message.type === 'start' && message.echo !== undefined) this.echoed(session, message.echo, now)
    if (message.type !== 'start' || !this.#context.guards.contact || this.#isContactFresh(session, now)) return session
    if (session.inContact(now) || session.role === AllocationRole.Asks) this.#holdStart(session, message, now)
    else this.#closeOutOfContact(session, message.tasks.length)
    return undefined
  }

  /** Whether the contact is fresh enough to start tasks of the entry. */
  #isContactFresh (session: EntrySession, now: number): boolean {
    return now < this.#dependencies.target.grants.startableUntil(session.contactUntil)
  }

  /** Refuses starts and closes the link: they or this process were delayed, so the entry may have placed the tasks elsewhere. */
  #closeOutOfContact (session: EntrySession, tasks: number): void {
    this.#context.note('start out of contact', { entry: session.entry, tasks })
    this.#context.emit({ type: 'unlink', entry: session.entry })
    session.held = []
  }

  /**
   * Holds a start until the entry has echoed a ping that is sent now. Used on links that may be quiet and where the contact is
   * not fresh enough. A start that was delayed by a partition or a frozen process gets no such echo: an entry that counts the
   * task as gone has closed the link before.
   */
  #holdStart (session: EntrySession, message: Extract<EntryMessage, { type: 'start' }>, now: number): void {
    if (session.held.length === 0) {
      session.heldSince = now
      this.#ping(session, now)
    }
    session.held.push(message)
  }

  /** Removes and returns the held starts once contact is fresh enough. */
  takeStartsAwaitingContact (session: EntrySession, now: number): Array<Extract<EntryMessage, { type: 'start' }>> {
    if (session.held.length === 0 || !this.#isContactFresh(session, now)) return []
    const { held } = session
    session.held = []
    return held
  }

  /** Removes tasks that are to be stopped from the held starts. Returns those that were found there. */
  dropStartsAwaitingContact (session: EntrySession, tasks: readonly TaskReference[]): TaskReference[] {
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

  /** Records, for entries that allocate capacity, that a start of another entry has arrived, whatever its result. */
  noteStartReceived (starter: EntrySession, { task, isolation }: TaskOrder): void {
    for (const session of this.#sessions.values()) {
      if (!session.allocates || session === starter) continue
      session.taken.push(task)
      session.freed ||= isolation === Isolation.Alone
    }
  }

  noteRole (session: EntrySession, role: AllocationRole, now: number): void {
    if (session.role === role) return
    session.role = role
    session.taken = []
    if (role !== AllocationRole.Asks) this.#ping(session, now)
  }

  /** Sends freed capacity at once to the entries that allocate it, since other entries wait for it. */
  sendFreedCapacity (now: number): void {
    for (const session of this.#sessions.values()) {
      if (!session.allocates || !session.freed) continue
      this.#send(session, { type: 'load', load: this.#load(session, now) })
    }
  }

  /** Marks capacity as freed that no held task used, so that the entries that allocate it are sent the load at once. */
  markAllFreed (): void {
    for (const session of this.#sessions.values()) session.freed = true
  }

  /** Stops the tasks of entries out of contact. */
  stopTasksOutOfContact (now: number): void {
    if (!this.#context.guards.contact) return
    for (const session of this.#sessions.values()) {
      if (session.tasks > 0 && !session.inContact(now)) this.#dependencies.stopTasksOf(session, 'out of contact', now)
    }
  }

  loseContact (now: number): void {
    for (const session of this.#sessions.values()) {
      session.loseContact(now)
      if (session.held.length > 0) this.#closeOutOfContact(session, session.held.length)
    }
  }

  tick (now: number): void {
    const { contact } = this.#context.timings
    for (const session of this.#sessions.values()) {
      if (session.held.length > 0 && now - session.heldSince >= contact) this.#closeOutOfContact(session, session.held.length)
      const interval = this.#pingInterval(session)
      if (session.connected && (now - session.pingedAt >= interval || this.#loadChanged(session, now))) this.#ping(session, now)
      if (!session.connected && session.tasks === 0 && now - session.disconnectedAt > SESSION_RETENTION_MILLISECONDS) this.#sessions.delete(session.entry)
    }
  }

  #pingInterval ({ tasks, role }: EntrySession): number {
    const { ping, idlePing } = this.#context.timings
    if (tasks > 0) return this.#dependencies.target.grants.ping
    if (role === AllocationRole.Allocates) return ping
    if (role !== AllocationRole.Asks) return idlePing
    const { partitions, quietPing } = this.#context.policy
    const factor = partitions ? PARTITION_QUIET_FACTOR : 1
    return Math.min(MAX_QUIET_PING_MILLISECONDS * factor, Math.max(idlePing, quietPing * factor * this.#sessions.size))
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

  sendToAll (message: AgentMessage): void {
    for (const session of this.#sessions.values()) this.#send(session, message)
  }

  sendEvacuations (session: EntrySession, state: EvacuationState): void {
    this.#send(session, { type: 'evacuations', state })
  }

  sendSlow (session: EntrySession, slow: SlowTask): void {
    this.#send(session, { type: 'slow', tasks: [slow] })
  }

  /** Stops the tasks of an earlier incarnation of an entry: it has ended, and its results are no longer awaited. */
  #replaced (session: EntrySession, now: number): void {
    session.connected = false
    session.disconnectedAt = Number.NEGATIVE_INFINITY
    this.#dependencies.stopTasksOf(session, 'the entry was restarted', now)
  }

  #ping (session: EntrySession, now: number): void {
    session.pingedAt = now
    this.#send(session, { type: 'ping', sent: now, load: this.#load(session, now) })
  }

  #announce (session: EntrySession, now: number): void {
    const held = this.#held.of(session).map(({ order: { task, attempt } }) => ({ task, attempt }))
    this.#send(session, { type: 'announce', target: this.#dependencies.announced(now), held, load: this.#load(session, now) })
  }

  /** Whether the load of other entries has changed enough to be sent to an entry that waits for capacity. */
  #loadChanged (session: EntrySession, now: number): boolean {
    if (!session.waiting || !this.#context.policy.tellsRoom) return false
    const capacity = this.#dependencies.target.facts?.capacity.cpu ?? 0
    const change = Math.abs(this.#dependencies.used(now).cpu - session.used.cpu - session.toldOthers)
    return change > LOAD_CHANGE_FRACTION * capacity && now - session.toldAt >= LOAD_INTERVAL_MILLISECONDS * this.#sessions.size
  }

  #load (session: EntrySession, now: number): Load {
    const others = this.#othersOf(session, now)
    session.toldOthers = others.cpu
    session.toldAt = now
    const { taken } = session
    const steady = this.#dependencies.target.pace.steady(now)
    session.taken = []
    session.freed = false
    return {
      ...(taken.length > 0 ? { taken } : {}),
      ...(this.#held.suspected ? { suspect: true } : {}),
      ...(steady === undefined ? {} : { steady: rounded(steady) }),
      pace: Math.round(this.#dependencies.target.pace.value(now) * SPEED_RATIO_PRECISION) / SPEED_RATIO_PRECISION,
      others
    }
  }

  /** Resources used by other entries. This is the whole capacity while a task runs alone. */
  #othersOf (session: EntrySession, now: number): Resources {
    const capacity = this.#dependencies.target.facts?.capacity
    if (this.#held.reserved && capacity !== undefined) return { ...capacity }
    const others = { ...this.#dependencies.used(now) }
    subtractFrom(others, session.used)
    return others
  }

  #send (session: EntrySession, message: AgentMessage): void {
    if (session.connected) this.#context.emit({ type: 'send', entry: session.entry, message })
  }
}

function rounded ({ pace, error }: SpeedRatioEstimate): SpeedRatioEstimate {
  return { pace: Math.round(pace * STEADY_PRECISION) / STEADY_PRECISION, error: Math.round(error * STEADY_PRECISION) / STEADY_PRECISION }
}
