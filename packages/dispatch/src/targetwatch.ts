/** The target of an agent: its current incarnation, whether it is clear of old runs, its lease, and when it is polled. */
import type { AgentContext } from './agentcontext.ts'
import type { AgentEvent } from './agenttypes.ts'
import type { HeldTask, HeldTasks } from './heldtasks.ts'
import type { TargetFacts } from './messages.ts'
import { AnswerTimes } from './answertimes.ts'
import {
  IDLE_POLL_MILLISECONDS, POLL_SLACK_MILLISECONDS, POLL_TIMER_MILLISECONDS, POLL_WAIT_MILLISECONDS,
  LOSSY_POLL_WAIT_MILLISECONDS, LOSSY_POLLS, WITHDRAWAL_TIMEOUT_MILLISECONDS, MAX_START_TIMEOUT_MILLISECONDS,
  STOP_TIMEOUT_MILLISECONDS
} from './defaults.ts'
import { LeaseGrants } from './leasegrants.ts'
import { Cause } from './messages.ts'
import { TargetSpeedRatio } from './progress.ts'
import { fits } from './resources.ts'
import { TargetLease } from './targetlease.ts'
import { TargetNotice } from './targetnotice.ts'

/** Minimum time between polls while the previous one failed or the target is not clear, in milliseconds. */
const POLL_RETRY_MILLISECONDS = 20

/** Maximum time between polls while the target refuses connections, in milliseconds. Two such polls fit well into a lease. */
const REFUSED_POLL_RETRY_MILLISECONDS = 100

/** Minimum increase of a fencing token that the target has refused. */
const MIN_TOKEN_STEP = 1000

/** Maximum number of ended incarnations that are remembered. */
const MAX_ENDED_INCARNATIONS = 64

/** How an announcement of the target relates to what is known of it. */
export enum AnnouncementResult {
  Same = 'same',
  /** The target begins to leave or takes work again, or its capacity, labels or announced end have changed. */
  Changed = 'changed',
  NewInstance = 'newInstance',
  /** The announcement is late, or from an incarnation that has ended. */
  Outdated = 'outdated'
}

/** Announcement of a target, or facts that an earlier incarnation of the agent stored; then there is no reading of the clock. */
export interface Announcement {
  facts: TargetFacts
  sequence: number
  clock: number | undefined
}

export class TargetWatch {
  readonly #context: AgentContext
  readonly #held: HeldTasks
  readonly grants: LeaseGrants
  #lease: TargetLease
  #notice: TargetNotice
  #speedRatio: TargetSpeedRatio
  #answers = new AnswerTimes()
  #facts: TargetFacts | undefined
  /** Whether no run started by an earlier incarnation of the agent is left at the target. */
  #cleared = false
  #token: number
  #acknowledged = 0
  /** Send times of the polls that are not answered yet. */
  readonly #unansweredPolls = new Set<number>()
  /** Send time of the last poll that has been answered. */
  #lastAnsweredPollAt = Number.NEGATIVE_INFINITY
  /** Whether the last poll was answered by a target that is clear. If not, the next poll waits for the retry interval. */
  #pollAnswered = true
  #lastPollAt = Number.NEGATIVE_INFINITY
  #lastInstance = ''
  /** Sequence number of the last announcement. */
  #sequence = 0
  readonly #ended = new Set<string>()
  /** Number of connections that the target has refused in a row. */
  #refusals = 0
  #deregistered = false
  /** New incarnation that has announced itself, and when the current one was polled to check whether it is still there. */
  #announcedIncarnation: { announcement: Announcement, askedAt: number } | undefined

  constructor (context: AgentContext, held: HeldTasks) {
    this.#context = context
    this.#held = held
    this.#speedRatio = new TargetSpeedRatio(context.policy)
    this.#lease = new TargetLease(context.timings)
    this.grants = new LeaseGrants({
      context,
      held,
      lease: () => this.#lease,
      refusesOtherLives: () => this.#facts === undefined || this.#facts.refusesOtherLives === true,
      deregistered: () => this.#deregistered,
      isOfCurrentIncarnation: task => this.isOfCurrentIncarnation(task)
    })
    this.#notice = new TargetNotice(context.drain)
    this.#token = Math.floor(context.wallClock())
  }

  get facts (): TargetFacts | undefined {
    return this.#facts
  }

  get cleared (): boolean {
    return this.#cleared
  }

  /** Time in milliseconds after which a start counts as unanswered. */
  get timeout (): number {
    return this.#context.policy.followsAnswers ? this.#answers.limit : MAX_START_TIMEOUT_MILLISECONDS
  }

  /** The same for a stop. */
  get stopTimeout (): number {
    return Math.min(STOP_TIMEOUT_MILLISECONDS, this.timeout)
  }

  /** Records that a start was answered after `took` milliseconds. */
  noteStartAnswered (took: number): void {
    this.#answers.noteAnswer(took)
  }

  noteLoss (now: number): void {
    this.#answers.noteLoss(now)
  }

  get lease (): TargetLease {
    return this.#lease
  }

  get notice (): TargetNotice {
    return this.#notice
  }

  get pace (): TargetSpeedRatio {
    return this.#speedRatio
  }

  /** Whether `instance` is the current incarnation of the target. */
  isCurrent (instance: string): boolean {
    return instance === this.#facts?.instance
  }

  /** Incarnation and fencing token that every call to the target carries. */
  callIdentity (): { instance: string, token: number } {
    return { instance: this.#facts?.instance ?? this.#lastInstance, token: this.#token }
  }

  /** Why a task with that expected run time may not start there now; `Cause.None` when it may. */
  refusalCause (expected: number, now: number): Cause {
    if (this.#deregistered || (this.#facts?.leaving === true && !this.#acceptsWhileLeaving(expected, now))) return Cause.Leaving
    if (this.#facts === undefined || !this.#cleared) return Cause.NoTarget
    return this.#lease.silent || this.grants.endsWithLease || !this.grants.mayStart(now) ? Cause.Unreachable : Cause.None
  }

  /** Processes an announcement of the current incarnation. For a new one, the caller ends the old one's tasks and calls `beginIncarnation`. */
  noteAnnouncement (announcement: Announcement, now: number): AnnouncementResult {
    const { facts, sequence } = announcement
    if (this.hasEnded(facts.instance)) {
      this.#context.note('announcement of an ended incarnation ignored', { instance: facts.instance, current: this.#facts?.instance })
      return AnnouncementResult.Outdated
    }
    if (this.#facts?.instance !== facts.instance) return AnnouncementResult.NewInstance
    if (sequence <= this.#sequence) return AnnouncementResult.Outdated
    this.#sequence = sequence
    const before = this.#facts
    this.#facts = this.#context.guards.capacityNews ? facts : { ...facts, capacity: before.capacity }
    const moved = this.#noteNotice(announcement, now) && this.#context.policy.usesLeaving
    if (!moved && before.leaving === facts.leaving && isSame(before, this.#facts)) return AnnouncementResult.Same
    this.#context.note('target changed', { instance: facts.instance, leaving: facts.leaving, remaining: facts.remaining, capacity: facts.capacity })
    return AnnouncementResult.Changed
  }

  /**
   * Polls the current incarnation after another one has announced itself. A partition can delay heartbeats for seconds, so the
   * announcement may come from an earlier incarnation. Accepting it at once would end all tasks here, which then run twice.
   */
  verifyIncarnation (announcement: Announcement, now: number): void {
    this.#announcedIncarnation = { announcement, askedAt: now }
    this.#context.note('a new incarnation of the target announced itself', { instance: announcement.facts.instance, current: this.#facts?.instance })
    this.poll(undefined, 0, now)
  }

  /** Returns and clears the announcement of a new incarnation, if there is one. */
  takeNewIncarnation (): Announcement | undefined {
    const newIncarnation = this.#announcedIncarnation?.announcement
    this.#announcedIncarnation = undefined
    return newIncarnation
  }

  /** Whether a new incarnation has announced itself while the current one did not respond until all its tasks had expired. */
  get superseded (): boolean {
    return this.#announcedIncarnation !== undefined && this.#lease.silent && this.#held.size === 0
  }

  /** Whether the target is offered no work: it refuses connections, does not respond for longer than a few lost polls explain, or its lease has to expire. */
  isWithdrawn (now: number): boolean {
    if (!this.#context.policy.withdrawsSilent) return false
    return this.departing || this.#lease.unresponsiveFor(now) >= WITHDRAWAL_TIMEOUT_MILLISECONDS || this.grants.endsWithLease
  }

  /** Whether the target refuses connections or has deregistered. It counts as gone once its tasks have ended or expired. */
  get departing (): boolean {
    return this.#refusals > 0 || this.#deregistered
  }

  get deregistered (): boolean {
    return this.#deregistered
  }

  /** Records that the target has deregistered. */
  noteDeregistered (): void {
    this.#deregistered = true
    this.#context.note('target deregistered', { instance: this.#facts?.instance, tasks: this.#held.size })
  }

  /** Records a refused connection. Nothing listens, but tasks may still be running. */
  noteRefusal (now: number): void {
    if (this.#refusals === 0) this.#context.note('target refuses connections', { instance: this.#facts?.instance, tasks: this.#held.size })
    this.#refusals += 1
    this.#lease.noteUnanswered(now)
  }

  /** Whether the task can only have been started by the current incarnation. An answered start may still have reached a new one. */
  isOfCurrentIncarnation ({ listed, confirmedAt }: HeldTask): boolean {
    return listed || (confirmedAt !== undefined && confirmedAt < this.#lastAnsweredPollAt)
  }

  /** Whether the current incarnation is known to have started the task. */
  hasStarted (task: HeldTask): boolean {
    return this.isOfCurrentIncarnation(task) || (this.#facts?.refusesOtherLives === true && task.confirmedAt !== undefined)
  }

  beginIncarnation (announcement: Announcement, now: number): void {
    const { facts, sequence, clock } = announcement
    // From the first poll of the new incarnation on, it refuses calls meant for the previous one that are still in flight.
    if (this.#lastInstance !== '') this.#token += 1
    this.#facts = facts
    this.#lastInstance = facts.instance
    this.#sequence = sequence
    this.#inheritLease()
    this.#lastAnsweredPollAt = Number.NEGATIVE_INFINITY
    this.#lastPollAt = Number.NEGATIVE_INFINITY
    this.#speedRatio = new TargetSpeedRatio(this.#context.policy)
    this.#answers = new AnswerTimes()
    if (clock !== undefined) this.#lease.noteClock(clock, now)
    this.#notice = new TargetNotice(this.#context.drain)
    if (clock !== undefined) this.#noteNotice(announcement, now)
    this.#cleared = !this.#context.guards.clearing
    this.#acknowledged = 0
    this.#refusals = 0
    this.#deregistered = false
    this.#unansweredPolls.clear()
    this.#context.note('target found', { instance: facts.instance, service: facts.service, capacity: facts.capacity, token: this.#token })
  }

  /** Records the leave notice of an announcement. The time that a heartbeat spent in a queue, by the target's clock, is subtracted from the time left. */
  #noteNotice ({ facts: { leaving, remaining }, clock }: Announcement, now: number): boolean {
    const elapsed = clock === undefined ? 0 : (this.#lease.clockAt(now) ?? clock) - clock
    return this.#notice.note({ leaving, remaining: remaining === undefined ? undefined : remaining - Math.max(0, elapsed) }, now)
  }

  #acceptsWhileLeaving (expected: number, now: number): boolean {
    return this.#context.policy.usesLeaving && this.#notice.admits(expected, now, this.#context.guards.drain)
  }

  /** Time until a leaving target ends, in milliseconds; undefined when no task may start there any more. */
  remaining (now: number): number | undefined {
    return this.#acceptsWhileLeaving(0, now) ? this.#notice.remaining(now, this.#context.guards.drain) : undefined
  }

  /**
   * Drops the current incarnation.
   *
   * @param over whether it has certainly ended, so that its announcements are ignored from now on
   */
  end (reason: string, over: boolean): void {
    this.#context.note('target lost', { instance: this.#facts?.instance, reason, tasks: this.#held.size })
    if (over && this.#facts !== undefined) this.noteEnded(this.#facts.instance)
    this.#facts = undefined
    this.#cleared = false
    this.#unansweredPolls.clear()
    this.#inheritLease()
  }

  hasEnded (instance: string): boolean {
    return this.#ended.has(instance)
  }

  /** Marks an incarnation as ended, so that its announcements are ignored. */
  noteEnded (instance: string): void {
    this.#ended.add(instance)
    if (this.#ended.size <= MAX_ENDED_INCARNATIONS) return
    const oldest = this.#ended.values().next().value
    if (oldest !== undefined) this.#ended.delete(oldest)
  }

  /** Starts a new lease, which only inherits the expiry of calls that were meant for the previous incarnation and may reach the new one. */
  #inheritLease (): void {
    this.#lease = new TargetLease(this.#context.timings, this.#lease.expiredInNextIncarnationAt)
  }

  /** Raises the token after the target has refused it. Only an earlier incarnation of the agent, with its clock ahead, can have used a higher one. */
  raiseToken (): void {
    const before = this.#token
    this.#token = Math.max(Math.floor(this.#context.wallClock()), before + Math.max(MIN_TOKEN_STEP, Math.floor(before / MIN_TOKEN_STEP)))
    this.#cleared = !this.#context.guards.clearing
    this.#context.note('fenced, token raised', { before, token: this.#token })
  }

  acknowledge (number: number): void {
    this.#acknowledged = Math.max(this.#acknowledged, number)
  }

  pollIfDue (now: number): void {
    if (this.#facts === undefined || this.#enoughPollsInFlight(now)) return
    if (!this.#pollAnswered && this.#unansweredPolls.size === 0 && now - this.#lastPollAt < this.#pollRetry) return
    const busy = this.#held.size > 0
    const pollsNow = busy || !this.#cleared || this.#lease.silent
    if (!pollsNow && now - this.#lastPollAt < IDLE_POLL_MILLISECONDS) return
    const deadline = busy ? this.grants.renewal(now) : undefined
    const wait = busy && this.#cleared && !this.#lease.silent ? this.#pollWait(now) : 0
    this.#unansweredPolls.add(now)
    this.#pollAnswered = false
    this.#lastPollAt = now
    this.poll(deadline, wait, now)
  }

  get #pollRetry (): number {
    return this.#refusals === 0 ? POLL_RETRY_MILLISECONDS : Math.min(REFUSED_POLL_RETRY_MILLISECONDS, POLL_RETRY_MILLISECONDS * this.#refusals)
  }

  poll (deadline: number | undefined, wait: number, now: number): void {
    const timeout = wait + Math.min(POLL_SLACK_MILLISECONDS, this.timeout + POLL_TIMER_MILLISECONDS)
    this.#context.emit({ type: 'poll', ...this.callIdentity(), sent: now, deadline, acknowledged: this.#acknowledged, wait, timeout })
  }

  /** Processes the answer to a poll. `updateCleared` follows once the listed runs have been processed. */
  answered ({ instance, sent, clock }: Extract<AgentEvent, { type: 'polled' }>, now: number): void {
    this.#unansweredPolls.delete(sent)
    this.#lastAnsweredPollAt = Math.max(this.#lastAnsweredPollAt, sent)
    if (this.#announcedIncarnation !== undefined && sent >= this.#announcedIncarnation.askedAt) this.#announcedIncarnation = undefined
    if (this.#lease.silent) this.#context.note('target answers again', { instance })
    this.#refusals = 0
    this.#lease.noteAnswer(clock, now)
  }

  /** Updates whether the target is clear from the number of listed runs. Returns whether it has just become clear. */
  updateCleared (runs: number): boolean {
    const clears = !this.#cleared && runs === 0
    if (clears) {
      this.#cleared = true
      this.#context.note('target clear', { instance: this.#facts?.instance })
    }
    this.#pollAnswered = this.#cleared
    return clears
  }

  /**
   * Whether enough polls are in flight. While answers are lost, a second poll overlaps the first, so that an end stays hidden
   * only when both are lost.
   */
  #enoughPollsInFlight (now: number): boolean {
    if (this.#unansweredPolls.size === 0) return false
    const overlaps = this.#context.policy.pollsSooner && this.#answers.losesAnswers(now) && !this.#lease.silent
    return !overlaps || this.#unansweredPolls.size >= LOSSY_POLLS || now - this.#lastPollAt < LOSSY_POLL_WAIT_MILLISECONDS / LOSSY_POLLS
  }

  #pollWait (now: number): number {
    return this.#context.policy.pollsSooner && this.#answers.losesAnswers(now) ? LOSSY_POLL_WAIT_MILLISECONDS : POLL_WAIT_MILLISECONDS
  }

  pollFailed (sent: number): void {
    this.#unansweredPolls.delete(sent)
  }

  /** Records a poll without an answer. It is ignored for the lease when a later poll has been answered. */
  noteUnanswered (sent: number, now: number): void {
    this.noteLoss(now)
    if (sent < this.#lastAnsweredPollAt) return
    if (!this.#lease.silent) this.#context.note('target silent', { instance: this.#facts?.instance, tasks: this.#held.size })
    this.#lease.noteUnanswered(now)
  }
}

/** Whether two targets have the same capacity and labels. */
function isSame (one: TargetFacts, other: TargetFacts): boolean {
  return fits(one.capacity, other.capacity) && fits(other.capacity, one.capacity) &&
    one.labels.length === other.labels.length && one.labels.every((label, index) => label === other.labels[index])
}
