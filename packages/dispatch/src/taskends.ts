/**
 * Decides what follows when one start of a task has ended or progresses too slowly: the task is done, started again,
 * isolated from others, or its job fails or is given up.
 */
import type { Admission } from './admission.ts'
import type { CrashSuspects } from './crashsuspects.ts'
import type { Answer } from './entrytypes.ts'
import type { Fleet } from './fleet.ts'
import type { AgentView, Placement } from './fleetview.ts'
import type { Job, Step, Task } from './job.ts'
import type { SlowTask, TaskEnd } from './messages.ts'
import type { Policy } from './policy.ts'
import { CrashVerdict } from './crashsuspects.ts'
import { MOVE_GAIN_MILLISECONDS, MAX_REFUSALS } from './defaults.ts'
import { AnswerKind, Reason } from './entrytypes.ts'
import { JobState, TaskState } from './job.ts'
import { Cause, Isolation, Outcome } from './messages.ts'
import { NO_PROGRESS } from './progress.ts'

const ISOLATION_BY_VERDICT: Readonly<Record<CrashVerdict, Isolation>> = {
  [CrashVerdict.Free]: Isolation.None,
  [CrashVerdict.Apart]: Isolation.Apart,
  [CrashVerdict.Alone]: Isolation.Alone,
  [CrashVerdict.Withheld]: Isolation.Alone,
  [CrashVerdict.Blocked]: Isolation.Alone
}

export interface TaskEndsDependencies {
  policy: Policy
  fleet: Fleet
  admission: Admission
  suspects: CrashSuspects
  /** Queues the job so that its tasks are placed. */
  enqueue: (job: Job) => void
  close: (job: Job, answer: Answer, now: number) => void
  /** @param retryAfter when to submit again if the job has not run, in milliseconds; by the load if omitted */
  giveUp: (job: Job, reason: Reason, now: number, retryAfter?: number) => void
  /** A task of a closed job has ended. */
  gone: (job: Job, now: number) => void
  note: (what: string, fields: Record<string, unknown>) => void
}

export class TaskEnds {
  readonly #dependencies: TaskEndsDependencies
  /** Jobs with tasks that are withheld until more is known about the targets that were lost under them. */
  readonly #withheld = new Set<Job>()

  constructor (dependencies: TaskEndsDependencies) {
    this.#dependencies = dependencies
  }

  ended (agent: AgentView, placement: Placement, end: TaskEnd, now: number): void {
    const { task } = placement
    const { job } = task
    job.placed -= 1
    if (job.state === JobState.Closed) return this.#dependencies.gone(job, now)
    if (end.outcome === Outcome.Done) return this.#done(agent, placement, end, now)
    task.state = TaskState.Queued
    this.#dependencies.note('task to be placed again', { job: job.request.id, task: task.name, attempt: end.attempt, agent: agent.name, outcome: end.outcome, cause: end.cause, ran: Math.round(end.ran) })
    if (end.outcome === Outcome.Failed) {
      task.failures += 1
      task.avoid = agent.name
      if (task.failures >= job.request.queue.attempts) return this.#dependencies.close(job, { kind: AnswerKind.Failed, reason: Reason.TaskFailed, retryAfter: 0 }, now)
    } else if (end.cause !== Cause.Evacuated) {
      if (end.cause === Cause.Crashed) task.avoid = agent.name
      task.refusals += 1
      if (task.refusals > MAX_REFUSALS) return this.#dependencies.giveUp(job, Reason.NoTarget, now)
    }
    this.place(job, now)
  }

  /**
   * Moves a task that makes no progress, or is slow at a slow target, if it would end sooner elsewhere. A slow task is
   * moved only once, since its run time may have been estimated far too short.
   */
  slow (agent: AgentView, placement: Placement, slow: SlowTask, now: number): void {
    const { task } = placement
    if (!this.#dependencies.policy.movesSlow || placement.stopping || task.state !== TaskState.Placed) return
    if (slow.remaining !== NO_PROGRESS && (task.moved || slow.remaining < placement.expected + MOVE_GAIN_MILLISECONDS)) return
    task.moved = true
    this.#dependencies.note('task moved', { job: task.job.request.id, task: task.name, agent: agent.name, remaining: Math.round(slow.remaining), expected: Math.round(placement.expected) })
    if (slow.remaining === NO_PROGRESS) this.#dependencies.fleet.noteStuck(agent, now)
    task.avoid = agent.name
    this.#dependencies.fleet.stop(agent, [placement])
  }

  /**
   * Queues the ready tasks of an open job. The job is given up if one of its tasks is blocked for crashing targets. It is not
   * answered as failed, since that the task is the cause is an inference.
   */
  place (job: Job, now: number): void {
    for (const task of job.tasks) {
      if (task.state !== TaskState.Queued && task.state !== TaskState.Withheld) continue
      if (this.#updateVerdict(task, now) === CrashVerdict.Blocked) return this.#dependencies.giveUp(job, Reason.TaskCrashes, now, this.#dependencies.suspects.blockedFor(task.name, now))
    }
    if (job.tasks.some(({ state }) => state === TaskState.Withheld)) this.#withheld.add(job)
    if (job.tasks.some(({ state }) => state === TaskState.Queued)) this.#dependencies.enqueue(job)
  }

  tick (now: number): void {
    this.#dependencies.suspects.tick(now)
    for (const job of [...this.#withheld]) {
      this.#withheld.delete(job)
      if (job.state === JobState.Open) this.place(job, now)
    }
  }

  #updateVerdict (task: Task, now: number): CrashVerdict {
    const verdict = this.#dependencies.suspects.verdict(task.name, now)
    if (verdict !== CrashVerdict.Free) this.#logVerdict(task, verdict)
    task.isolation = ISOLATION_BY_VERDICT[verdict]
    task.state = verdict === CrashVerdict.Withheld ? TaskState.Withheld : TaskState.Queued
    return verdict
  }

  /** Logs each change of a task's verdict once. */
  #logVerdict (task: Task, verdict: CrashVerdict): void {
    const { suspects, note } = this.#dependencies
    const fields = (): Record<string, unknown> => ({ job: task.job.request.id, task: task.name, verdict, losses: suspects.evidenceOf(task.name) })
    if (verdict === CrashVerdict.Blocked) {
      if (suspects.noteBlocked(task.name)) note('task blocked for crashing targets', fields())
      return
    }
    const known = verdict === CrashVerdict.Withheld ? task.state === TaskState.Withheld : task.isolation === ISOLATION_BY_VERDICT[verdict]
    if (!known) note('task suspected of crashing targets', fields())
  }

  #done (agent: AgentView, { task }: Placement, end: TaskEnd, now: number): void {
    const { job } = task
    const { queue, steps } = job.request
    this.#dependencies.admission.learn(queue, steps[task.step] as Step, end.ran * agent.speed)
    const unblocked = job.finish(task)
    if (job.done) return this.#dependencies.close(job, { kind: AnswerKind.Completed, reason: Reason.None, retryAfter: 0 }, now)
    if (!unblocked) return
    this.#dependencies.admission.estimate(job, now)
    this.place(job, now)
  }
}
