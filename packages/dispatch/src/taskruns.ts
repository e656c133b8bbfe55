/** The life of each task at the target: started, seen running, stopped, taken back, ended. */
import type { AgentContext } from './agentcontext.ts'
import type { AgentEvent, EndedRun } from './agenttypes.ts'
import type { EntrySession } from './entrysession.ts'
import type { HeldTask, HeldTasks } from './heldtasks.ts'
import type { SlowTask, TaskEnd, TaskOrder, TaskReference } from './messages.ts'
import type { RunEnding } from './runends.ts'
import type { TargetRoom } from './targetroom.ts'
import type { TargetWatch } from './targetwatch.ts'
import { RunEnd, StartAnswer } from './agenttypes.ts'
import { ORPHANED_RUN_MILLISECONDS } from './crashdefaults.ts'
import { STOP_TIMEOUT_MILLISECONDS, STOPS_BEFORE_LAPSE } from './defaults.ts'
import { Stage } from './heldtasks.ts'
import { Cause, Outcome } from './messages.ts'
import { noteProgress, slowRemaining } from './progress.ts'
import { EndEvidence, RunEnds } from './runends.ts'
import { runKey } from './targetroom.ts'

/** Run numbers skipped after a refusal as old, times the refusals so far. */
const RUN_STEP = 8

/** Refusals as old after which a start is given up. */
const OLD_RUNS_LIMIT = 4

/** Ends that a target lists in one poll at most: with so many, others may be left. */
const ENDS_PER_POLL = 500

const WHOLE_PERCENT = 100

/** What is known of a life of the target that does not answer any more. */
export enum LifeEnd {
  /** Nothing listens at its address; it may be back. */
  Unknown = 'unknown',
  /** It has left, with all that ran there. */
  Left = 'left',
  /** Another life answers in its place. */
  Replaced = 'replaced'
}

export interface TaskRunsParts {
  context: AgentContext
  held: HeldTasks
  target: TargetWatch
  room: TargetRoom
  /** Why the agent as a whole does not start the task; `Cause.None` when it does. */
  obstacle: (order: TaskOrder, now: number) => Cause
  tell: (session: EntrySession, end: TaskEnd, now: number) => void
  tellSlow: (session: EntrySession, slow: SlowTask) => void
  /** Targets have crashed under the task here as often as it may be started. */
  isBarred: (task: string, now: number) => boolean
  /** The target is gone for certain. */
  targetLost: (reason: string, ending: LifeEnd, now: number) => void
  /** The target refused a connection. */
  connectionRefused: (now: number) => void
}

type StartHandlers = Record<StartAnswer, (held: HeldTask, now: number) => void>

export class TaskRuns {
  readonly #parts: TaskRunsParts
  readonly #context: AgentContext
  readonly #held: HeldTasks
  readonly #target: TargetWatch
  readonly ends = new RunEnds()
  /** Since when each run is listed that nobody here asked for. */
  #strays = new Map<string, number>()

  readonly #startAnswers: StartHandlers = {
    [StartAnswer.Started]: (held, now) => this.#confirmed(held, now),
    [StartAnswer.Fenced]: (held, now) => this.#fenced(held, now),
    [StartAnswer.OldRun]: (held, now) => this.#tryHigherRun(held, now),
    [StartAnswer.Late]: (held, now) => this.#notStarted(held, Cause.Unreachable, now),
    [StartAnswer.Full]: (held, now) => this.#notStarted(held, Cause.Full, now),
    [StartAnswer.Unhealthy]: (held, now) => this.#notStarted(held, Cause.Unhealthy, now),
    [StartAnswer.Rejected]: (held, now) => this.#notStarted(held, Cause.Rejected, now),
    [StartAnswer.OtherInstance]: (_held, now) => this.#parts.targetLost('another instance answers', LifeEnd.Replaced, now),
    [StartAnswer.NoListener]: (held, now) => {
      this.#notStarted(held, Cause.Unreachable, now)
      this.#parts.connectionRefused(now)
    },
    [StartAnswer.Silent]: (held, now) => this.#startUnanswered(held, now)
  }

  constructor (parts: TaskRunsParts) {
    this.#parts = parts
    this.#context = parts.context
    this.#held = parts.held
    this.#target = parts.target
  }

  // Starting

  startOrdered (session: EntrySession, order: TaskOrder, payload: string, now: number): void {
    const held = this.#held.get(order.task)
    if (held?.session === session && held.order.attempt === order.attempt) return
    const obstacle = held === undefined ? this.#parts.obstacle(order, now) : Cause.Rejected
    if (obstacle !== Cause.None) return this.#refuse(session, order, obstacle, now)
    if (this.#parts.isBarred(order.task, now)) return this.#refuse(session, order, Cause.Crashed, now)
    if (!this.#fits(order, now)) return this.#refuse(session, order, Cause.Full, now)
    this.#start(this.#held.add(order, payload, session, now), now)
  }

  startAnswered ({ instance, task, run, answer }: Extract<AgentEvent, { type: 'startAnswered' }>, now: number): void {
    const held = this.#held.get(task)
    if (held === undefined || held.run !== run || !this.#target.is(instance)) return
    if (answer !== StartAnswer.Started) this.#context.note('start refused', { task, run, answer, instance })
    if (answer === StartAnswer.Silent) this.#target.noteLoss(now)
    else if (held.stage === Stage.Starting) this.#target.noteStartAnswered(now - held.startedAt)
    this.#startAnswers[answer](held, now)
  }

  #fits (order: TaskOrder, now: number): boolean {
    if (this.#held.reserved || (order.isolation !== undefined && this.#held.suspected)) return false
    return this.#parts.room.fits(order.needs, now)
  }

  #start (held: HeldTask, now: number): void {
    const deadline = this.#target.grants.startDeadline(now)
    if (deadline === undefined) return this.#notStarted(held, Cause.Unreachable, now)
    held.startedAt = now
    held.advancedAt = now
    this.#context.emit({ type: 'start', ...this.#target.order(), task: held.order.task, run: held.run, payload: held.payload, deadline, timeout: this.#target.timeout })
  }

  #refuse (session: EntrySession, order: TaskOrder, cause: Cause, now: number): void {
    this.#parts.tell(session, { task: order.task, attempt: order.attempt, outcome: Outcome.NotStarted, cause, ran: 0 }, now)
  }

  #confirmed (held: HeldTask, now: number): void {
    held.confirmedAt ??= now
    if (held.stage === Stage.Starting) held.stage = Stage.Running
  }

  /** The order may still be carried out, or have been: the run is forbidden before the task counts as gone. */
  #startUnanswered (held: HeldTask, now: number): void {
    if (held.stage !== Stage.Starting) return
    if (this.#context.guards.takeBack) this.stop(held, now)
    else this.#notStarted(held, Cause.Unreachable, now)
  }

  /**
   * The number belongs to a run that ended or was stopped there before. When it was stopped by this
   * agent a moment ago, the refusal only says that the stop was faster than the start.
   */
  #tryHigherRun (held: HeldTask, now: number): void {
    if (held.stage === Stage.Stopping) return this.#finish(held, { outcome: Outcome.Gone, cause: Cause.Stopped, evidence: EndEvidence.StartRefused }, now)
    held.oldRuns += 1
    if (held.oldRuns > OLD_RUNS_LIMIT) return this.#notStarted(held, Cause.Rejected, now)
    const obstacle = this.#parts.obstacle(held.order, now)
    if (obstacle !== Cause.None) return this.#notStarted(held, obstacle, now)
    if (!this.#parts.room.holds(now)) return this.#notStarted(held, Cause.Full, now)
    held.run += RUN_STEP * held.oldRuns
    this.#held.noteRun(held)
    this.#start(held, now)
  }

  #fenced (held: HeldTask, now: number): void {
    this.#target.raiseToken()
    this.#notStarted(held, Cause.Unreachable, now)
  }

  // Stopping

  stopAsked (session: EntrySession, { task, attempt }: TaskReference, now: number): void {
    const held = this.#held.get(task)
    if (held?.session === session && held.order.attempt === attempt && held.stage !== Stage.Stopping) this.stop(held, now)
    if (held?.session === session && held.order.attempt === attempt) held.contactAtStop ??= session.contactUntil
  }

  stopTasksOf (session: EntrySession, reason: string, now: number): void {
    const tasks = this.#held.of(session).filter(held => held.stage !== Stage.Stopping)
    if (tasks.length === 0) return
    this.#context.note('tasks of an entry stopped', { entry: session.entry, reason, tasks: tasks.length })
    for (const held of tasks) this.stop(held, now)
  }

  stop (held: HeldTask, now: number): void {
    held.stage = Stage.Stopping
    held.stopSentAt = now
    held.stops += 1
    this.#context.emit({ type: 'stop', ...this.#target.order(), task: held.order.task, run: held.run, timeout: this.#target.stopTimeout })
  }

  stopAnswered ({ instance, task, run, answered }: Extract<AgentEvent, { type: 'stopAnswered' }>, now: number): void {
    const held = this.#held.get(task)
    if (held === undefined || held.run !== run || !this.#target.is(instance) || held.stopConfirmedAt !== undefined) return
    if (!answered) return this.#stopUnanswered(held, now)
    held.stopConfirmedAt = now
    // The poll in flight may wait for long; whether a start that was not answered has begun is asked at once.
    if (held.confirmedAt === undefined) this.#target.poll(undefined, 0, now)
  }

  /** At once, not with the next tick: the task waits for it, and while orders are lost the stop of a lost start often is. */
  #stopUnanswered (held: HeldTask, now: number): void {
    this.#target.noteLoss(now)
    if (held.stage === Stage.Stopping && held.stops <= STOPS_BEFORE_LAPSE && now - held.stopSentAt >= this.#target.stopTimeout) this.stop(held, now)
  }

  /** Sends stops again of whose fate nothing was heard at all. */
  repeatStops (now: number): void {
    for (const held of this.#held.all()) {
      if (held.stage === Stage.Stopping && held.stopConfirmedAt === undefined && now - held.stopSentAt >= STOP_TIMEOUT_MILLISECONDS) this.stop(held, now)
    }
  }

  // What a poll lists

  polled ({ sent, running, ended }: Extract<AgentEvent, { type: 'polled' }>, now: number): void {
    for (const end of ended) this.#runEnded(end, now)
    const runs = new Set(running.map(({ task, run }) => runKey(task, run)))
    const strays = new Map<string, number>()
    for (const { task, run, percent } of running) {
      const held = this.#held.get(task)
      if (held !== undefined && held.run === run) this.#runs(held, percent, now)
      else strays.set(runKey(task, run), this.#stray(task, run, now))
    }
    this.#strays = strays
    this.#held.hasStrays = strays.size > 0
    this.#held.strayStays = [...strays.values()].some(since => now - since >= ORPHANED_RUN_MILLISECONDS)
    this.#parts.room.settle(runs, sent, now)
    if (ended.length < ENDS_PER_POLL) {
      for (const held of this.#held.all()) if (!runs.has(runKey(held.order.task, held.run))) this.#absent(held, sent, now)
    }
    this.#reportSlow(now)
  }

  #runEnded ({ number, task, run, end }: EndedRun, now: number): void {
    this.#target.acknowledge(number)
    this.#parts.room.noteEnded(task, run)
    const held = this.#held.get(task)
    if (held === undefined || held.run !== run) return
    if (end === RunEnd.Done) this.#target.pace.observe(held, WHOLE_PERCENT, now)
    if (end === RunEnd.Done) return this.#finish(held, { outcome: Outcome.Done, cause: Cause.None, evidence: EndEvidence.Listed }, now)
    if (end === RunEnd.Failed) return this.#finish(held, { outcome: Outcome.Failed, cause: Cause.None, evidence: EndEvidence.Listed }, now)
    this.#finish(held, { outcome: Outcome.Gone, cause: end === RunEnd.Lapsed ? Cause.Lapsed : Cause.Stopped, evidence: EndEvidence.Listed }, now)
  }

  #runs (held: HeldTask, percent: number, now: number): void {
    held.listed = true
    this.#confirmed(held, now)
    this.#target.pace.observe(held, percent, now)
    noteProgress(held, percent, now)
  }

  /** A run that nobody here asked for: a predecessor's, or one whose end was reported as certain. Tells since when it is listed. */
  #stray (task: string, run: number, now: number): number {
    this.#parts.room.noteStray(task, run, now)
    const since = this.#strays.get(runKey(task, run))
    if (since === undefined) {
      this.ends.noteStray()
      this.#context.note('stray run stopped', { task, run, instance: this.#target.order().instance })
    }
    this.#context.emit({ type: 'stop', ...this.#target.order(), task, run, timeout: this.#target.stopTimeout })
    return since ?? now
  }

  /** A task that the target neither runs nor lists as ended, though it had answered the order before the poll. */
  #absent (held: HeldTask, sent: number, now: number): void {
    if (held.stage === Stage.Running && held.confirmedAt !== undefined && held.confirmedAt < sent) {
      return this.#finish(held, { outcome: Outcome.Gone, cause: Cause.Lapsed, evidence: EndEvidence.Missing }, now)
    }
    if (held.stage !== Stage.Stopping || held.stopConfirmedAt === undefined) return
    // One that was never seen running has not begun, and the stop forbids that it does.
    if (held.confirmedAt === undefined && sent >= held.stopConfirmedAt) {
      this.#parts.room.noteStopped(held)
      return this.#finish(held, { outcome: Outcome.Gone, cause: Cause.Unanswered, evidence: EndEvidence.Missing }, now)
    }
    if (sent > held.stopConfirmedAt + this.#context.stop) this.#finish(held, { outcome: Outcome.Gone, cause: Cause.Stopped, evidence: EndEvidence.Missing }, now)
  }

  #reportSlow (now: number): void {
    const pace = this.#target.pace.value(now)
    for (const held of this.#held.all()) {
      if (held.stage !== Stage.Running) continue
      const remaining = slowRemaining(held, pace, now)
      if (remaining === undefined) continue
      held.reportedSlowAt = now
      const { task, attempt } = held.order
      this.#parts.tellSlow(held.session, { task, attempt, remaining })
    }
  }

  // Ends

  /**
   * The life of the target is over. What it had begun is gone; an order that was not answered, or answered since the life
   * was last seen, may have reached the next one, which has the same address and name: it is stopped there first.
   */
  endLife (cause: Cause, now: number): void {
    for (const held of this.#held.all()) {
      if (!this.#context.guards.nextLife || this.#target.isProven(held)) {
        this.#finish(held, { outcome: Outcome.Gone, cause, evidence: EndEvidence.OtherLife }, now)
        continue
      }
      held.stage = Stage.Stopping
      held.confirmedAt = undefined
      held.stopConfirmedAt = undefined
      held.stops = 0
    }
  }

  /** Stops what may have reached the life that has begun. */
  stopInherited (now: number): void {
    for (const held of this.#held.all()) this.stop(held, now)
  }

  finishAll (tasks: readonly HeldTask[], cause: Cause, evidence: EndEvidence, now: number): void {
    for (const held of tasks) this.#finish(held, { outcome: Outcome.Gone, cause, evidence }, now)
  }

  #notStarted (held: HeldTask, cause: Cause, now: number): void {
    this.#finish(held, { outcome: Outcome.NotStarted, cause, evidence: EndEvidence.StartRefused }, now)
  }

  #finish (held: HeldTask, { outcome, cause, evidence }: RunEnding, now: number): void {
    this.#held.remove(held)
    this.ends.note(evidence)
    this.#parts.room.noteLeft(held)
    const { task, attempt } = held.order
    if (outcome !== Outcome.Done) this.#context.note('task ended', { task, attempt, run: held.run, outcome, cause, evidence, instance: this.#target.order().instance, entry: held.session.entry, age: Math.round(now - held.startedAt), leaseLeft: Math.round(this.#target.grants.lapsesAt(held) - now) })
    this.#parts.tell(held.session, { task, attempt, outcome, cause, ran: Math.max(0, now - held.startedAt) }, now)
  }
}
