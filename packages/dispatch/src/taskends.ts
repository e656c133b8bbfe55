/** What follows at an entry when one start of a task has ended, or crawls: done, started again, apart from others, or given up. */
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

const ISOLATION: Readonly<Record<CrashVerdict, Isolation>> = {
  [CrashVerdict.Free]: Isolation.None,
  [CrashVerdict.Apart]: Isolation.Apart,
  [CrashVerdict.Alone]: Isolation.Alone,
  [CrashVerdict.Withheld]: Isolation.Alone,
  [CrashVerdict.GivenUp]: Isolation.Alone
}

export interface TaskEndsParts {
  policy: Policy
  fleet: Fleet
  admission: Admission
  suspects: CrashSuspects
  /** Has the job's queued tasks placed. */
  enqueue: (job: Job) => void
  close: (job: Job, answer: Answer, now: number) => void
  giveUp: (job: Job, reason: Reason, now: number) => void
  /** The job is closed, and a task of it has gone. */
  gone: (job: Job, now: number) => void
  note: (what: string, fields: Record<string, unknown>) => void
}

export class TaskEnds {
  readonly #parts: TaskEndsParts
  /** Jobs with tasks that wait until more is known of the targets that they were on. */
  readonly #withheld = new Set<Job>()

  constructor (parts: TaskEndsParts) {
    this.#parts = parts
  }

  ended (agent: AgentView, placement: Placement, end: TaskEnd, now: number): void {
    const { task } = placement
    const { job } = task
    job.placed -= 1
    if (job.state === JobState.Closed) return this.#parts.gone(job, now)
    if (end.outcome === Outcome.Done) return this.#done(agent, placement, end, now)
    task.state = TaskState.Queued
    this.#parts.note('task to be placed again', { job: job.request.id, task: task.name, attempt: end.attempt, agent: agent.name, outcome: end.outcome, cause: end.cause, ran: Math.round(end.ran) })
    if (end.outcome === Outcome.Failed) {
      task.failures += 1
      task.avoid = agent.name
      if (task.failures >= job.request.queue.attempts) return this.#parts.close(job, failed(Reason.TaskFailed), now)
    } else if (end.cause !== Cause.Evacuated) {
      if (end.cause === Cause.Crashed) task.avoid = agent.name
      task.refusals += 1
      if (task.refusals > MAX_REFUSALS) return this.#parts.giveUp(job, Reason.NoTarget, now)
    }
    this.place(job, now)
  }

  /**
   * Moves a task that stands still, or crawls at a slow target, when it would end sooner elsewhere.
   * One that crawls is moved once: it may also have been estimated far too short.
   */
  slow (agent: AgentView, placement: Placement, slow: SlowTask, now: number): void {
    const { task } = placement
    if (!this.#parts.policy.movesSlow || placement.stopping || task.state !== TaskState.Placed) return
    if (slow.remaining !== NO_PROGRESS && (task.moved || slow.remaining < placement.expected + MOVE_GAIN_MILLISECONDS)) return
    task.moved = true
    this.#parts.note('task moved', { job: task.job.request.id, task: task.name, agent: agent.name, remaining: Math.round(slow.remaining), expected: Math.round(placement.expected) })
    if (slow.remaining === NO_PROGRESS) this.#parts.fleet.noteStuck(agent, now)
    task.avoid = agent.name
    this.#parts.fleet.stop(agent, [placement])
  }

  /** Has the tasks of an open job placed whose turn has come; a job with a task that crashes its targets is answered as failed. */
  place (job: Job, now: number): void {
    for (const task of job.tasks) {
      if (task.state !== TaskState.Queued && task.state !== TaskState.Withheld) continue
      if (this.#judge(task, now) === CrashVerdict.GivenUp) return this.#parts.close(job, failed(Reason.TaskCrashes), now)
    }
    if (job.tasks.some(({ state }) => state === TaskState.Withheld)) this.#withheld.add(job)
    if (job.tasks.some(({ state }) => state === TaskState.Queued)) this.#parts.enqueue(job)
  }

  tick (now: number): void {
    this.#parts.suspects.tick(now)
    for (const job of [...this.#withheld]) {
      this.#withheld.delete(job)
      if (job.state === JobState.Open) this.place(job, now)
    }
  }

  #judge (task: Task, now: number): CrashVerdict {
    const verdict = this.#parts.suspects.verdict(task.name, now)
    if (verdict !== CrashVerdict.Free) this.#noteVerdict(task, verdict)
    task.isolation = ISOLATION[verdict]
    task.state = verdict === CrashVerdict.Withheld ? TaskState.Withheld : TaskState.Queued
    return verdict
  }

  /** One line for each change of what is believed of a task. */
  #noteVerdict (task: Task, verdict: CrashVerdict): void {
    const { suspects, note } = this.#parts
    const fields = (): Record<string, unknown> => ({ job: task.job.request.id, task: task.name, verdict, losses: suspects.evidenceOf(task.name) })
    if (verdict === CrashVerdict.GivenUp) {
      suspects.noteConviction()
      return note('task given up', fields())
    }
    const known = verdict === CrashVerdict.Withheld ? task.state === TaskState.Withheld : task.isolation === ISOLATION[verdict]
    if (!known) note('task suspected', fields())
  }

  #done (agent: AgentView, { task }: Placement, end: TaskEnd, now: number): void {
    const { job } = task
    const { queue, steps } = job.request
    this.#parts.admission.learn(queue, steps[task.step] as Step, end.ran * agent.speed)
    const unblocked = job.finish(task)
    if (job.done) return this.#parts.close(job, { kind: AnswerKind.Completed, reason: Reason.None, retryAfter: 0 }, now)
    if (!unblocked) return
    this.#parts.admission.estimate(job, now)
    this.place(job, now)
  }
}

function failed (reason: Reason): Answer {
  return { kind: AnswerKind.Failed, reason, retryAfter: 0 }
}
