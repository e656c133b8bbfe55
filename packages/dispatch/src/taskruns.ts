/** Lifecycle of the tasks at a target: starts, cancellations of unconfirmed starts, stops and ends. */
import type { AgentContext } from './agentcontext.ts'
import type { AgentEvent, EndedRun } from './agenttypes.ts'
import type { EntrySession } from './entrysession.ts'
import type { HeldTask, HeldTasks } from './heldtasks.ts'
import type { SlowTask, TaskEnd, TaskOrder, TaskReference } from './messages.ts'
import type { RunEnding } from './runends.ts'
import type { TargetCapacity } from './targetcapacity.ts'
import type { TargetWatch } from './targetwatch.ts'
import { RunEnd, StartAnswer } from './agenttypes.ts'
import { ORPHANED_RUN_MILLISECONDS } from './crashdefaults.ts'
import { STOP_TIMEOUT_MILLISECONDS, STOPS_BEFORE_EXPIRY } from './defaults.ts'
import { Stage } from './heldtasks.ts'
import { Cause, Outcome } from './messages.ts'
import { noteProgress, slowRemaining } from './progress.ts'
import { EndEvidence, RunEnds } from './runends.ts'
import { runKey } from './targetcapacity.ts'

/** Increase of the run number after a refusal as old, multiplied by the number of refusals so far. */
const RUN_NUMBER_STEP = 8

/** Refusals as old after which a start is abandoned. */
const MAX_OLD_RUN_REFUSALS = 4

/** Limit of ends that a target lists in one poll. When it is reached, more may follow. */
const MAX_ENDS_PER_POLL = 500

const WHOLE_PERCENT = 100

/** How an incarnation of the target that no longer answers has ended. */
export enum IncarnationEnd {
  /** Nothing listens at its address. It may return. */
  Unknown = 'unknown',
  /** It has deregistered and is gone with all its tasks. */
  Left = 'left',
  /** A new incarnation has taken its place. */
  Replaced = 'replaced'
}

export interface TaskRunsDependencies {
  context: AgentContext
  held: HeldTasks
  target: TargetWatch
  room: TargetCapacity
  /** Why no such task may be started now for reasons of the agent or the target; `Cause.None` when it may. */
  refusalCause: (order: TaskOrder, now: number) => Cause
  tell: (session: EntrySession, end: TaskEnd, now: number) => void
  sendSlow: (session: EntrySession, slow: SlowTask) => void
  /** Whether the task is blocked because it has crashed this target too often. */
  isBlocked: (task: string, now: number) => boolean
  /** Called when the incarnation of the target has certainly ended. */
  targetLost: (reason: string, ending: IncarnationEnd, now: number) => void
  /** Called when the target has refused a connection. */
  connectionRefused: (now: number) => void
}

type StartHandlers = Record<StartAnswer, (held: HeldTask, now: number) => void>

export class TaskRuns {
  readonly #dependencies: TaskRunsDependencies
  readonly #context: AgentContext
  readonly #held: HeldTasks
  readonly #target: TargetWatch
  readonly ends = new RunEnds()
  /** Orphaned runs that the last poll listed, with the time when each was first listed. */
  #orphanedRuns = new Map<string, number>()

  readonly #startAnswers: StartHandlers = {
    [StartAnswer.Started]: (held, now) => this.#confirmed(held, now),
    [StartAnswer.Fenced]: (held, now) => this.#fenced(held, now),
    [StartAnswer.OldRun]: (held, now) => this.#retryWithHigherRun(held, now),
    [StartAnswer.Late]: (held, now) => this.#notStarted(held, Cause.Unreachable, now),
    [StartAnswer.Full]: (held, now) => this.#notStarted(held, Cause.Full, now),
    [StartAnswer.Unhealthy]: (held, now) => this.#notStarted(held, Cause.Unhealthy, now),
    [StartAnswer.Rejected]: (held, now) => this.#notStarted(held, Cause.Rejected, now),
    [StartAnswer.OtherInstance]: (held, now) => {
      this.#notStarted(held, Cause.Unreachable, now)
      this.#dependencies.targetLost('another instance answers', IncarnationEnd.Replaced, now)
    },
    [StartAnswer.NoListener]: (held, now) => {
      this.#notStarted(held, Cause.Unreachable, now)
      this.#dependencies.connectionRefused(now)
    },
    [StartAnswer.NoResponse]: (held, now) => this.#startUnanswered(held, now)
  }

  constructor (dependencies: TaskRunsDependencies) {
    this.#dependencies = dependencies
    this.#context = dependencies.context
    this.#held = dependencies.held
    this.#target = dependencies.target
  }

  // Starting

  startOrdered (session: EntrySession, order: TaskOrder, payload: string, now: number): void {
    const held = this.#held.get(order.task)
    if (held?.session === session && held.order.attempt === order.attempt) return
    const refusal = held === undefined ? this.#dependencies.refusalCause(order, now) : Cause.Rejected
    if (refusal !== Cause.None) return this.#refuse(session, order, refusal, now)
    if (this.#dependencies.isBlocked(order.task, now)) return this.#refuse(session, order, Cause.Crashed, now)
    if (!this.#fits(order, now)) return this.#refuse(session, order, Cause.Full, now)
    this.#start(this.#held.add(order, payload, session, now), now)
  }

  startAnswered ({ instance, task, run, answer }: Extract<AgentEvent, { type: 'startAnswered' }>, now: number): void {
    const held = this.#held.get(task)
    if (held === undefined || held.run !== run || !this.#target.isCurrent(instance)) return
    if (answer !== StartAnswer.Started) this.#context.note('start refused', { task, run, answer, instance })
    if (answer === StartAnswer.NoResponse) this.#target.noteLoss(now)
    else if (held.stage === Stage.Starting) this.#target.noteStartAnswered(now - held.startedAt)
    this.#startAnswers[answer](held, now)
  }

  #fits (order: TaskOrder, now: number): boolean {
    if (this.#held.reserved || (order.isolation !== undefined && this.#held.suspected)) return false
    return this.#dependencies.room.fits(order.needs, now)
  }

  #start (held: HeldTask, now: number): void {
    const deadline = this.#target.grants.startDeadline(now)
    if (deadline === undefined) return this.#notStarted(held, Cause.Unreachable, now)
    held.startedAt = now
    held.progressedAt = now
    this.#context.emit({ type: 'start', ...this.#target.callIdentity(), task: held.order.task, run: held.run, payload: held.payload, deadline, timeout: this.#target.timeout })
  }

  #refuse (session: EntrySession, order: TaskOrder, cause: Cause, now: number): void {
    this.#dependencies.tell(session, { task: order.task, attempt: order.attempt, outcome: Outcome.NotStarted, cause, ran: 0 }, now)
  }

  #confirmed (held: HeldTask, now: number): void {
    held.confirmedAt ??= now
    if (held.stage === Stage.Starting) held.stage = Stage.Running
  }

  /** Cancels a start that was not answered. It may still be carried out, so the run is stopped before the task is reported as gone. */
  #startUnanswered (held: HeldTask, now: number): void {
    if (held.stage !== Stage.Starting) return
    if (this.#context.guards.takeBack) this.stop(held, now)
    else this.#notStarted(held, Cause.Unreachable, now)
  }

  /**
   * Retries a start that was refused as old: a run with this number or a higher one has ended or was
   * stopped there. If this agent is stopping the task, the stop has overtaken the start, and the task ends.
   */
  #retryWithHigherRun (held: HeldTask, now: number): void {
    if (held.stage === Stage.Stopping) return this.#finish(held, { outcome: Outcome.Gone, cause: Cause.Stopped, evidence: EndEvidence.StartRefused }, now)
    held.oldRunRefusals += 1
    if (held.oldRunRefusals > MAX_OLD_RUN_REFUSALS) return this.#notStarted(held, Cause.Rejected, now)
    const refusal = this.#dependencies.refusalCause(held.order, now)
    if (refusal !== Cause.None) return this.#notStarted(held, refusal, now)
    if (!this.#dependencies.room.holds(now)) return this.#notStarted(held, Cause.Full, now)
    held.run += RUN_NUMBER_STEP * held.oldRunRefusals
    this.#held.noteRun(held)
    this.#start(held, now)
  }

  #fenced (held: HeldTask, now: number): void {
    this.#target.raiseToken()
    this.#notStarted(held, Cause.Unreachable, now)
  }

  // Stopping

  stopRequested (session: EntrySession, { task, attempt }: TaskReference, now: number): void {
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
    this.#context.emit({ type: 'stop', ...this.#target.callIdentity(), task: held.order.task, run: held.run, timeout: this.#target.stopTimeout })
  }

  stopAnswered ({ instance, task, run, answered }: Extract<AgentEvent, { type: 'stopAnswered' }>, now: number): void {
    const held = this.#held.get(task)
    if (held === undefined || held.run !== run || !this.#target.isCurrent(instance) || held.stopConfirmedAt !== undefined) return
    if (!answered) return this.#stopUnanswered(held, now)
    held.stopConfirmedAt = now
    // The poll in flight may wait for long, so another one checks at once whether the unconfirmed start has begun.
    if (held.confirmedAt === undefined) this.#target.poll(undefined, 0, now)
  }

  /** Repeats the stop at once rather than with the next tick: the task waits for it, and while orders are lost the stop of a lost start often is, too. */
  #stopUnanswered (held: HeldTask, now: number): void {
    this.#target.noteLoss(now)
    if (held.stage === Stage.Stopping && held.stops <= STOPS_BEFORE_EXPIRY && now - held.stopSentAt >= this.#target.stopTimeout) this.stop(held, now)
  }

  /** Repeats the stops that are not confirmed after a timeout. */
  repeatStops (now: number): void {
    for (const held of this.#held.all()) {
      if (held.stage === Stage.Stopping && held.stopConfirmedAt === undefined && now - held.stopSentAt >= STOP_TIMEOUT_MILLISECONDS) this.stop(held, now)
    }
  }

  // Polling

  polled ({ sent, running, ended }: Extract<AgentEvent, { type: 'polled' }>, now: number): void {
    for (const end of ended) this.#runEnded(end, now)
    const runs = new Set(running.map(({ task, run }) => runKey(task, run)))
    const orphaned = new Map<string, number>()
    for (const { task, run, percent } of running) {
      const held = this.#held.get(task)
      if (held !== undefined && held.run === run) this.#runs(held, percent, now)
      else orphaned.set(runKey(task, run), this.#stopOrphanedRun(task, run, now))
    }
    this.#orphanedRuns = orphaned
    this.#held.hasOrphanedRuns = orphaned.size > 0
    this.#held.orphanedRunPersists = [...orphaned.values()].some(since => now - since >= ORPHANED_RUN_MILLISECONDS)
    this.#dependencies.room.notePoll(runs, sent, now)
    if (ended.length < MAX_ENDS_PER_POLL) {
      for (const held of this.#held.all()) if (!runs.has(runKey(held.order.task, held.run))) this.#noteMissing(held, sent, now)
    }
    this.#reportSlow(now)
  }

  #runEnded ({ number, task, run, end }: EndedRun, now: number): void {
    this.#target.acknowledge(number)
    this.#dependencies.room.noteEnded(task, run)
    const held = this.#held.get(task)
    if (held === undefined || held.run !== run) return
    if (end === RunEnd.Done) this.#target.pace.observe(held, WHOLE_PERCENT, now)
    if (end === RunEnd.Done) return this.#finish(held, { outcome: Outcome.Done, cause: Cause.None, evidence: EndEvidence.Listed }, now)
    if (end === RunEnd.Failed) return this.#finish(held, { outcome: Outcome.Failed, cause: Cause.None, evidence: EndEvidence.Listed }, now)
    this.#finish(held, { outcome: Outcome.Gone, cause: end === RunEnd.Expired ? Cause.Expired : Cause.Stopped, evidence: EndEvidence.Listed }, now)
  }

  #runs (held: HeldTask, percent: number, now: number): void {
    held.listed = true
    this.#confirmed(held, now)
    this.#target.pace.observe(held, percent, now)
    noteProgress(held, percent, now)
  }

  /**
   * Stops a run that no held task accounts for: one started by an earlier incarnation of the agent, or one already reported as
   * ended. Returns the time since when it is listed.
   */
  #stopOrphanedRun (task: string, run: number, now: number): number {
    this.#dependencies.room.noteOrphanedRun(task, run, now)
    const since = this.#orphanedRuns.get(runKey(task, run))
    if (since === undefined) {
      this.ends.noteOrphanedRun()
      this.#context.note('orphaned run stopped', { task, run, instance: this.#target.callIdentity().instance })
    }
    this.#context.emit({ type: 'stop', ...this.#target.callIdentity(), task, run, timeout: this.#target.stopTimeout })
    return since ?? now
  }

  /** Ends a task that the target lists neither as running nor as ended, if it had confirmed the start or stop before the poll was sent. */
  #noteMissing (held: HeldTask, sent: number, now: number): void {
    if (held.stage === Stage.Running && held.confirmedAt !== undefined && held.confirmedAt < sent) {
      return this.#finish(held, { outcome: Outcome.Gone, cause: Cause.Expired, evidence: EndEvidence.Missing }, now)
    }
    if (held.stage !== Stage.Stopping || held.stopConfirmedAt === undefined) return
    // A run that was never confirmed has not begun, and the stop keeps it from starting later.
    if (held.confirmedAt === undefined && sent >= held.stopConfirmedAt) {
      this.#dependencies.room.noteStopped(held)
      return this.#finish(held, { outcome: Outcome.Gone, cause: Cause.Unanswered, evidence: EndEvidence.Missing }, now)
    }
    if (sent > held.stopConfirmedAt + this.#context.stop) this.#finish(held, { outcome: Outcome.Gone, cause: Cause.Stopped, evidence: EndEvidence.Missing }, now)
  }

  #reportSlow (now: number): void {
    const speedRatio = this.#target.pace.value(now)
    for (const held of this.#held.all()) {
      if (held.stage !== Stage.Running) continue
      const remaining = slowRemaining(held, speedRatio, now)
      if (remaining === undefined) continue
      held.reportedSlowAt = now
      const { task, attempt } = held.order
      this.#dependencies.sendSlow(held.session, { task, attempt, remaining })
    }
  }

  // Ends

  /**
   * Ends the tasks of an incarnation that is over. A start that was not answered, or was answered after the last answered poll,
   * may have reached the new incarnation, which has the same address and name: that task is stopped there before it ends.
   */
  endIncarnation (cause: Cause, now: number): void {
    for (const held of this.#held.all()) {
      if (!this.#context.guards.nextLife || this.#target.isOfCurrentIncarnation(held)) {
        this.#finish(held, { outcome: Outcome.Gone, cause, evidence: EndEvidence.NewIncarnation }, now)
        continue
      }
      held.stage = Stage.Stopping
      held.confirmedAt = undefined
      held.stopConfirmedAt = undefined
      held.stops = 0
    }
  }

  /** Stops the remaining tasks, which may have reached the incarnation that has begun. */
  stopUnprovenRuns (now: number): void {
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
    this.#dependencies.room.noteReleased(held)
    const { task, attempt } = held.order
    if (outcome !== Outcome.Done) this.#context.note('task ended', { task, attempt, run: held.run, outcome, cause, evidence, instance: this.#target.callIdentity().instance, entry: held.session.entry, age: Math.round(now - held.startedAt), leaseLeft: Math.round(this.#target.grants.expiresAt(held) - now) })
    this.#dependencies.tell(held.session, { task, attempt, outcome, cause, ran: Math.max(0, now - held.startedAt) }, now)
  }
}
