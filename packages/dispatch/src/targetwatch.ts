/** The target beside an agent: which life of it is there, whether it is clear, its lease, and when it is polled. */
import type { AgentContext } from './agentcontext.ts'
import type { AgentEvent } from './agenttypes.ts'
import type { HeldTask, HeldTasks } from './heldtasks.ts'
import type { TargetFacts } from './messages.ts'
import { AnswerTimes } from './answertimes.ts'
import {
  IDLE_POLL_MILLISECONDS, POLL_SLACK_MILLISECONDS, POLL_TIMER_MILLISECONDS, POLL_WAIT_MILLISECONDS,
  LOSSY_POLL_WAIT_MILLISECONDS, LOSSY_POLLS, SILENCE_TOLD_MILLISECONDS, START_TIMEOUT_MILLISECONDS,
  STOP_TIMEOUT_MILLISECONDS
} from './defaults.ts'
import { LeaseGrants } from './leasegrants.ts'
import { Cause } from './messages.ts'
import { TargetPace } from './progress.ts'
import { fits } from './resources.ts'
import { TargetLease } from './targetlease.ts'
import { TargetNotice } from './targetnotice.ts'

/** Shortest time between two polls while the first was not answered or the target is not clear, in milliseconds. */
const POLL_RETRY_MILLISECONDS = 20

/** Longest time between two polls while the target refuses connections, in milliseconds: two in a row fit well into a lease. */
const REFUSED_POLL_RETRY_MILLISECONDS = 100

/** How much a token is raised that the target refused, at least. */
const TOKEN_STEP = 1000

/** Lives of the target that are remembered as over. */
const ENDED_REMEMBERED = 64

/** What an announcement of the target tells. */
export enum Sighting {
  Same = 'same',
  /** It begins to leave, or takes work again, or is of another size; or its end has moved. */
  Changed = 'changed',
  NewInstance = 'newInstance',
  /** It is late, or of a life that is over. */
  Outdated = 'outdated'
}

/** What a target says of itself, or an earlier run of the agent knew; then no reading of its clock is at hand. */
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
  #pace: TargetPace
  #answers = new AnswerTimes()
  #facts: TargetFacts | undefined
  /** Whether nothing of a predecessor runs there any more. */
  #cleared = false
  #token: number
  #acknowledged = 0
  /** When the polls that are not answered yet were sent. */
  readonly #polls = new Set<number>()
  /** When the last poll was sent that has been answered. */
  #answeredSent = Number.NEGATIVE_INFINITY
  /** Whether the last poll was answered, and by a target that is clear: else the next one waits a little. */
  #pollAnswered = true
  #polledAt = Number.NEGATIVE_INFINITY
  #lastInstance = ''
  /** Of the last announcement. */
  #sequence = 0
  readonly #ended = new Set<string>()
  /** Connections that the target has refused in a row. */
  #refusals = 0
  #deregistered = false
  /** Another life that has announced itself, and when the present one was asked whether it is still there. */
  #successor: { announcement: Announcement, askedAt: number } | undefined

  constructor (context: AgentContext, held: HeldTasks) {
    this.#context = context
    this.#held = held
    this.#pace = new TargetPace(context.policy)
    this.#lease = new TargetLease(context.timings)
    this.grants = new LeaseGrants({
      context,
      held,
      lease: () => this.#lease,
      refusesOtherLives: () => this.#facts === undefined || this.#facts.refusesOtherLives === true,
      deregistered: () => this.#deregistered,
      isProven: task => this.isProven(task)
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

  /** Time in milliseconds after which a start without an answer counts as unanswered. */
  get timeout (): number {
    return this.#context.policy.followsAnswers ? this.#answers.limit : START_TIMEOUT_MILLISECONDS
  }

  /** The same for a stop. */
  get stopTimeout (): number {
    return Math.min(STOP_TIMEOUT_MILLISECONDS, this.timeout)
  }

  /** A start was answered after `took` milliseconds. */
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

  get pace (): TargetPace {
    return this.#pace
  }

  /** Whether an answer is from the life of the target that is there now. */
  is (instance: string): boolean {
    return instance === this.#facts?.instance
  }

  /** What every call to the target carries. */
  order (): { instance: string, token: number } {
    return { instance: this.#facts?.instance ?? this.#lastInstance, token: this.#token }
  }

  /** Why a task that runs for so long may not start there now; `Cause.None` when it may. */
  obstacle (expected: number, now: number): Cause {
    if (this.#deregistered || (this.#facts?.leaving === true && !this.#lends(expected, now))) return Cause.Leaving
    if (this.#facts === undefined || !this.#cleared) return Cause.NoTarget
    return this.#lease.silent || this.grants.endsWithLease || !this.grants.mayStart(now) ? Cause.Unreachable : Cause.None
  }

  /** Takes an announcement of the known life in; a new life is left to `begin`, after the old one's tasks have ended. */
  seen (announcement: Announcement, now: number): Sighting {
    const { facts, sequence } = announcement
    if (this.hasEnded(facts.instance)) {
      this.#context.note('announcement of an earlier life ignored', { instance: facts.instance, current: this.#facts?.instance })
      return Sighting.Outdated
    }
    if (this.#facts?.instance !== facts.instance) return Sighting.NewInstance
    if (sequence <= this.#sequence) return Sighting.Outdated
    this.#sequence = sequence
    const before = this.#facts
    this.#facts = this.#context.guards.capacityNews ? facts : { ...facts, capacity: before.capacity }
    const moved = this.#noteNotice(announcement, now) && this.#context.policy.usesLeaving
    if (!moved && before.leaving === facts.leaving && isSame(before, this.#facts)) return Sighting.Same
    this.#context.note('target changed', { instance: facts.instance, leaving: facts.leaving, remaining: facts.remaining, capacity: facts.capacity })
    return Sighting.Changed
  }

  /**
   * Another life has announced itself while one is known. Heartbeats may be held up for seconds by a partition, so that an
   * earlier life speaks last: believed at once, it ended all that runs, which then ran twice. So the known life is asked.
   */
  challenge (announcement: Announcement, now: number): void {
    this.#successor = { announcement, askedAt: now }
    this.#context.note('another life of the target announced itself', { instance: announcement.facts.instance, current: this.#facts?.instance })
    this.poll(undefined, 0, now)
  }

  /** The life that follows one that is over, when it has announced itself. */
  takeSuccessor (): Announcement | undefined {
    const successor = this.#successor?.announcement
    this.#successor = undefined
    return successor
  }

  /** Nothing was heard of the known life until all that ran there has lapsed, while another has announced itself. */
  get superseded (): boolean {
    return this.#successor !== undefined && this.#lease.silent && this.#held.size === 0
  }

  /** Whether it takes no work: it refuses connections, does not answer for longer than a few lost polls would explain, or its lease has to end. */
  isWithdrawn (now: number): boolean {
    if (!this.#context.policy.withdrawsSilent) return false
    return this.departing || this.#lease.silentFor(now) >= SILENCE_TOLD_MILLISECONDS || this.grants.endsWithLease
  }

  /** Whether the target refuses connections or has deregistered: when its tasks have lapsed, it is gone. */
  get departing (): boolean {
    return this.#refusals > 0 || this.#deregistered
  }

  get deregistered (): boolean {
    return this.#deregistered
  }

  /** The target says that it ends. */
  noteDeregistered (): void {
    this.#deregistered = true
    this.#context.note('target deregistered', { instance: this.#facts?.instance, tasks: this.#held.size })
  }

  /** A connection was refused: nothing listens, which does not say that nothing runs. */
  noteRefusal (now: number): void {
    if (this.#refusals === 0) this.#context.note('target refuses connections', { instance: this.#facts?.instance, tasks: this.#held.size })
    this.#refusals += 1
    this.#lease.noteSilence(now)
  }

  /** Whether the task can only have begun in the present life: a start that was answered may have reached the next one. */
  isProven ({ listed, confirmedAt }: HeldTask): boolean {
    return listed || (confirmedAt !== undefined && confirmedAt < this.#answeredSent)
  }

  begin (announcement: Announcement, now: number): void {
    const { facts, sequence, clock } = announcement
    // Orders of the life before that are still under way are refused from the first poll at the new one on.
    if (this.#lastInstance !== '') this.#token += 1
    this.#facts = facts
    this.#lastInstance = facts.instance
    this.#sequence = sequence
    this.#inheritLease()
    this.#answeredSent = Number.NEGATIVE_INFINITY
    this.#polledAt = Number.NEGATIVE_INFINITY
    this.#pace = new TargetPace(this.#context.policy)
    this.#answers = new AnswerTimes()
    if (clock !== undefined) this.#lease.noteClock(clock, now)
    this.#notice = new TargetNotice(this.#context.drain)
    if (clock !== undefined) this.#noteNotice(announcement, now)
    this.#cleared = !this.#context.guards.clearing
    this.#acknowledged = 0
    this.#refusals = 0
    this.#deregistered = false
    this.#polls.clear()
    this.#context.note('target found', { instance: facts.instance, service: facts.service, capacity: facts.capacity, token: this.#token })
  }

  /** A heartbeat that lay in a queue says no more than is left by the target's clock. */
  #noteNotice ({ facts: { leaving, remaining }, clock }: Announcement, now: number): boolean {
    const elapsed = clock === undefined ? 0 : (this.#lease.clockAt(now) ?? clock) - clock
    return this.#notice.note({ leaving, remaining: remaining === undefined ? undefined : remaining - Math.max(0, elapsed) }, now)
  }

  #lends (expected: number, now: number): boolean {
    return this.#context.policy.usesLeaving && this.#notice.admits(expected, now, this.#context.guards.drain)
  }

  /** Time left of a leaving target, in milliseconds, while tasks may still start there. */
  remaining (now: number): number | undefined {
    return this.#lends(0, now) ? this.#notice.remaining(now, this.#context.guards.drain) : undefined
  }

  /** @param over whether that life is over, so that no announcement brings it back */
  end (reason: string, over: boolean): void {
    this.#context.note('target lost', { instance: this.#facts?.instance, reason, tasks: this.#held.size })
    if (over && this.#facts !== undefined) this.noteEnded(this.#facts.instance)
    this.#facts = undefined
    this.#cleared = false
    this.#polls.clear()
    this.#inheritLease()
  }

  hasEnded (instance: string): boolean {
    return this.#ended.has(instance)
  }

  /** No announcement brings that life back. */
  noteEnded (instance: string): void {
    this.#ended.add(instance)
    if (this.#ended.size <= ENDED_REMEMBERED) return
    const oldest = this.#ended.values().next().value
    if (oldest !== undefined) this.#ended.delete(oldest)
  }

  /** The next life has no lease, but for what it may have been sent in the name of the one before. */
  #inheritLease (): void {
    this.#lease = new TargetLease(this.#context.timings, this.#lease.lapsedInNextLifeAt)
  }

  /** Another process holds a higher token: only a predecessor whose clock was ahead can have used one. */
  raiseToken (): void {
    const before = this.#token
    this.#token = Math.max(Math.floor(this.#context.wallClock()), before + Math.max(TOKEN_STEP, Math.floor(before / TOKEN_STEP)))
    this.#cleared = !this.#context.guards.clearing
    this.#context.note('fenced, token raised', { before, token: this.#token })
  }

  acknowledge (number: number): void {
    this.#acknowledged = Math.max(this.#acknowledged, number)
  }

  pollIfDue (now: number): void {
    if (this.#facts === undefined || this.#pollsInFlight(now)) return
    if (!this.#pollAnswered && this.#polls.size === 0 && now - this.#polledAt < this.#pollRetry) return
    const busy = this.#held.size > 0
    const urgent = busy || !this.#cleared || this.#lease.silent
    if (!urgent && now - this.#polledAt < IDLE_POLL_MILLISECONDS) return
    const deadline = busy ? this.grants.renewal(now) : undefined
    const wait = busy && this.#cleared && !this.#lease.silent ? this.#pollWait(now) : 0
    this.#polls.add(now)
    this.#pollAnswered = false
    this.#polledAt = now
    this.poll(deadline, wait, now)
  }

  get #pollRetry (): number {
    return this.#refusals === 0 ? POLL_RETRY_MILLISECONDS : Math.min(REFUSED_POLL_RETRY_MILLISECONDS, POLL_RETRY_MILLISECONDS * this.#refusals)
  }

  poll (deadline: number | undefined, wait: number, now: number): void {
    const timeout = wait + Math.min(POLL_SLACK_MILLISECONDS, this.timeout + POLL_TIMER_MILLISECONDS)
    this.#context.emit({ type: 'poll', ...this.order(), sent: now, deadline, acknowledged: this.#acknowledged, wait, timeout })
  }

  /** A poll was answered; `settle` follows when what it lists has been taken in. */
  answered ({ instance, sent, clock }: Extract<AgentEvent, { type: 'polled' }>, now: number): void {
    this.#polls.delete(sent)
    this.#answeredSent = Math.max(this.#answeredSent, sent)
    if (this.#successor !== undefined && sent >= this.#successor.askedAt) this.#successor = undefined
    if (this.#lease.silent) this.#context.note('target answers again', { instance })
    this.#refusals = 0
    this.#lease.noteAnswer(clock, now)
  }

  /** Tells whether the target has just become clear. */
  settle (runs: number): boolean {
    const clears = !this.#cleared && runs === 0
    if (clears) {
      this.#cleared = true
      this.#context.note('target clear', { instance: this.#facts?.instance })
    }
    this.#pollAnswered = this.#cleared
    return clears
  }

  /**
   * Whether no further poll is due. While answers are lost a second one overlaps the first, so that an end is hidden only
   * when both are lost.
   */
  #pollsInFlight (now: number): boolean {
    if (this.#polls.size === 0) return false
    const overlaps = this.#context.policy.pollsSooner && this.#answers.lossy(now) && !this.#lease.silent
    return !overlaps || this.#polls.size >= LOSSY_POLLS || now - this.#polledAt < LOSSY_POLL_WAIT_MILLISECONDS / LOSSY_POLLS
  }

  #pollWait (now: number): number {
    return this.#context.policy.pollsSooner && this.#answers.lossy(now) ? LOSSY_POLL_WAIT_MILLISECONDS : POLL_WAIT_MILLISECONDS
  }

  pollFailed (sent: number): void {
    this.#polls.delete(sent)
  }

  /** A poll got no answer. One that was sent later and answered shows that the target is there. */
  noteSilence (sent: number, now: number): void {
    this.noteLoss(now)
    if (sent < this.#answeredSent) return
    if (!this.#lease.silent) this.#context.note('target silent', { instance: this.#facts?.instance, tasks: this.#held.size })
    this.#lease.noteSilence(now)
  }
}

/** Whether both announcements tell of the same size and labels. */
function isSame (one: TargetFacts, other: TargetFacts): boolean {
  return fits(one.capacity, other.capacity) && fits(other.capacity, one.capacity) &&
    one.labels.length === other.labels.length && one.labels.every((label, index) => label === other.labels[index])
}
