/** A job in progress at an entry: its steps, its tasks, and who waits for it. */
import type { Queue } from './queues.ts'
import type { Resources } from './resources.ts'
import { Isolation } from './messages.ts'

/** One step of a job as its caller describes it. */
export interface Step {
  count: number
  needs: Resources
  /** Run time of a task as the caller estimates it, in milliseconds; 0 when it states none. */
  estimated: number
  /** Steps, counted from 0, whose tasks must all be done first. */
  after: number[]
  /** Label that the target must have; empty for none. */
  label: string
  /** Label of the rack where the data is; empty for none. */
  rack: string
  /** Tasks of the step that may run on one target at one time; 0 for no limit. */
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
  /** Steps before it are not done yet. */
  Blocked = 'blocked',
  Queued = 'queued',
  /** It waits until more is known of the targets that it was on when they were lost. */
  Withheld = 'withheld',
  Placed = 'placed',
  Done = 'done'
}

export interface Task {
  readonly name: string
  readonly step: number
  readonly job: Job
  state: TaskState
  /** Number of the last start. */
  attempt: number
  failures: number
  /** Target at which it failed or stood still last: another one is tried first. */
  avoid: string
  /** It was moved for being slow. */
  moved: boolean
  /** What may run beside it. */
  isolation: Isolation
  /** Starts that came to nothing in a row. */
  refusals: number
}

/** How a job stands towards its callers. */
export enum JobState {
  Open = 'open',
  /** Answered or given up; some tasks may still be stopping. */
  Closed = 'closed'
}

export class Job {
  readonly request: JobRequest
  readonly tasks: Task[]
  readonly arrivedAt: number
  /** After this nobody waits for the answer any more. */
  readonly deadline: number
  /** Callers' requests that wait for the answer. */
  readonly waiting = new Set<number>()
  state = JobState.Open
  /** Expected time of the longest chain of steps, in milliseconds. */
  chain = 0
  /** Expected work of one task of each step, in milliseconds. */
  expected: number[] = []
  /** An answer until then counts in full. */
  objectiveAt = 0
  /** An answer after that counts nothing. */
  overdueAt = 0
  /** Latest time at which what is left of the chain may begin for the answer to count in full. */
  startBy = 0
  /** While others wait, the job is refused after this: it would hardly be in time. */
  keptUntil = 0
  /** Tasks placed and not ended. */
  placed = 0
  /** Whether any task has been placed: the job can't be refused as not run any more. */
  started = false
  offeredAt: number | undefined
  /** A further submission of the id that arrived while the tasks of this one were stopping. */
  successor: Job | undefined
  #left: number

  /** @param attempts starts of its tasks before this submission, at most */
  constructor (request: JobRequest, now: number, attempts = 0) {
    this.request = request
    this.arrivedAt = now
    this.deadline = now + request.remaining
    this.tasks = request.steps.flatMap((step, index) => Array.from({ length: step.count }, (_none, number) => newTask(this, step, index, number, attempts)))
    this.#left = this.tasks.length
  }

  /** The highest number of a start of any task. */
  get lastAttempt (): number {
    return Math.max(...this.tasks.map(({ attempt }) => attempt))
  }

  get done (): boolean {
    return this.#left === 0
  }

  queued (): Task[] {
    return this.tasks.filter(task => task.state === TaskState.Queued)
  }

  /** Marks a task done; tells whether steps became ready by it. */
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
 * Longest chain of steps that are not done, by the expected time of one task of each. Steps name
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

/** When the tasks of a step must have ended for the whole job to be in time: the steps that wait for it come after. */
export function endOfStep ({ request: { steps }, expected, objectiveAt }: Job, index: number): number {
  const tails = steps.map(() => 0)
  for (let later = steps.length - 1; later > index; later -= 1) {
    const whole = (tails[later] ?? 0) + (expected[later] ?? 0)
    for (const earlier of steps[later]?.after ?? []) tails[earlier] = Math.max(tails[earlier] ?? 0, whole)
  }
  return objectiveAt - (tails[index] ?? 0)
}
