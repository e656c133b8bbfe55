/** A job in progress at an entry: its steps, its tasks, and the callers that wait for it. */
import type { Queue } from './queues.ts'
import type { Resources } from './resources.ts'
import { Isolation } from './messages.ts'

/** One step of a job as its caller describes it. */
export interface Step {
  count: number
  needs: Resources
  /** Run time of a task as the caller estimates it, in milliseconds; 0 when it states none. */
  estimated: number
  /** Indexes of the steps whose tasks must all be done first. */
  after: number[]
  /** Label that the target must have; empty for none. */
  label: string
  /** Label of the rack that holds the data; empty for none. */
  rack: string
  /** Maximum tasks of the step on one target at a time; 0 for no limit. */
  perTarget: number
}

/** A job as its caller submits it. */
export interface JobRequest {
  id: string
  queue: Queue
  payload: string
  steps: Step[]
  /** How long the caller waits for the answer, in milliseconds. */
  remaining: number
}

export enum TaskState {
  /** An earlier step is not done yet. */
  Blocked = 'blocked',
  Queued = 'queued',
  /** It waits until more is known about the targets that were lost while it was on them. */
  Withheld = 'withheld',
  Placed = 'placed',
  Done = 'done'
}

export interface Task {
  readonly name: string
  readonly step: number
  readonly job: Job
  state: TaskState
  /** Number of the latest start. */
  attempt: number
  failures: number
  /** Target at which it last failed, was lost in a crash or made no progress; other targets are preferred. */
  avoid: string
  /** Whether it was moved because it progressed too slowly. */
  moved: boolean
  /** What may run beside it. */
  isolation: Isolation
  /**
   * Starts that ended without a result or a failure, such as refused ones or those lost with a target; not those
   * refused for an evacuation.
   */
  refusals: number
}

/** Whether a job still has to be answered. */
export enum JobState {
  Open = 'open',
  /** Answered, or left by its callers; some tasks may still be stopping. */
  Closed = 'closed'
}

export class Job {
  readonly request: JobRequest
  readonly tasks: Task[]
  readonly arrivedAt: number
  /** Time after which no caller waits for the answer. */
  readonly deadline: number
  /** Callers' requests that wait for the answer. */
  readonly waiting = new Set<number>()
  state = JobState.Open
  /** Expected time of the longest chain of unfinished steps, in milliseconds. */
  chain = 0
  /** Expected run time of one task of each step at an average target, in milliseconds. */
  expected: number[] = []
  /** An answer up to this time has full value. */
  objectiveAt = 0
  /** An answer after this time has no value. */
  overdueAt = 0
  /** Latest start of the remaining chain for the answer to have full value. */
  startBy = 0
  /** While others wait, the job is refused after this time, since it would hardly be in time. */
  keptUntil = 0
  /** Number of tasks that are placed and have not ended. */
  placed = 0
  /** Whether any task has been placed: the job can no longer be refused as not run. */
  started = false
  offeredAt: number | undefined
  /** A repeated submission of the id that arrived while tasks of this one were stopping. */
  successor: Job | undefined
  #left: number

  /** @param attempts upper bound of the attempt numbers used before this submission */
  constructor (request: JobRequest, now: number, attempts = 0) {
    this.request = request
    this.arrivedAt = now
    this.deadline = now + request.remaining
    this.tasks = request.steps.flatMap((step, index) => Array.from({ length: step.count }, (_none, number) => newTask(this, step, index, number, attempts)))
    this.#left = this.tasks.length
  }

  /** The highest attempt number of any task. */
  get lastAttempt (): number {
    return Math.max(...this.tasks.map(({ attempt }) => attempt))
  }

  get done (): boolean {
    return this.#left === 0
  }

  queued (): Task[] {
    return this.tasks.filter(task => task.state === TaskState.Queued)
  }

  /** Marks a task done; returns whether further steps became ready. */
  finish (task: Task): boolean {
    if (task.state === TaskState.Done) return false
    task.state = TaskState.Done
    this.#left -= 1
    const finished = this.tasks.every(other => other.step !== task.step || other.state === TaskState.Done)
    return finished && this.#unblock()
  }

  #unblock (): boolean {
    const doneSteps = new Set(this.request.steps.keys())
    for (const task of this.tasks) if (task.state !== TaskState.Done) doneSteps.delete(task.step)
    let unblocked = false
    for (const task of this.tasks) {
      if (task.state !== TaskState.Blocked) continue
      if (!(this.request.steps[task.step] as Step).after.every(step => doneSteps.has(step))) continue
      task.state = TaskState.Queued
      unblocked = true
    }
    return unblocked
  }
}

function newTask (job: Job, step: Step, index: number, number: number, attempt: number): Task {
  return {
    name: `${job.request.id}.${index}.${number}`,
    step: index,
    job,
    state: step.after.length === 0 ? TaskState.Queued : TaskState.Blocked,
    attempt,
    failures: 0,
    avoid: '',
    moved: false,
    isolation: Isolation.None,
    refusals: 0
  }
}

/**
 * Duration of the longest chain of unfinished steps, by the expected run time of one task of each. Steps refer to
 * earlier ones only, so one pass is enough.
 */
export function longestChain (steps: readonly Step[], expected: readonly number[], done: (step: number) => boolean = () => false): number {
  const ends: number[] = []
  for (const [index, step] of steps.entries()) {
    const before = Math.max(0, ...step.after.map(earlier => ends[earlier] ?? 0))
    ends.push(before + (done(index) ? 0 : expected[index] ?? 0))
  }
  return Math.max(0, ...ends)
}

/** Latest end of a step's tasks for the whole job to be in time, given the steps that depend on it. */
export function latestEndOfStep ({ request: { steps }, expected, objectiveAt }: Job, index: number): number {
  const timeAfter = steps.map(() => 0)
  for (let later = steps.length - 1; later > index; later -= 1) {
    const whole = (timeAfter[later] ?? 0) + (expected[later] ?? 0)
    for (const earlier of steps[later]?.after ?? []) timeAfter[earlier] = Math.max(timeAfter[earlier] ?? 0, whole)
  }
  return objectiveAt - (timeAfter[index] ?? 0)
}
