/**
 * One job at the entry that runs it: where each task stands, who waits for the answer, and what the
 * answer is. A job is answered once, as a whole.
 */
import type { Answer, Instance, Job, JobKey, LedgerLine, TaskResult } from './messages.ts'
import type { Assignment } from './scheduling.ts'
import { AnswerKind, Cause, LedgerState, TaskOutcome } from './messages.ts'

/** Where a task stands at its executor. */
export enum TaskStage {
  /** Not dispatched, or dispatched and provably not started. */
  Pending = 'pending',
  /** Dispatched: it may have started. */
  Outstanding = 'outstanding',
  Done = 'done'
}

/** One task of the job. */
export interface TaskProgress {
  stage: TaskStage
  agent: Instance
  attempt: number
  result: Uint8Array
  outcome: TaskOutcome
  /** When it was last queued, and when it was last dispatched, by the entry's clock. */
  queuedAt: number
  dispatchedAt: number
  /** Until when other tasks may overtake it at its agent. */
  overtakableUntil: number
}

/** A request that waits for the answer: the entry it came through, and its name there. */
export interface Attachment {
  entry: Instance
  submission: string
}

const NO_RESULT = new Uint8Array()

function newTask (now: number): TaskProgress {
  return {
    stage: TaskStage.Pending,
    agent: '',
    attempt: 0,
    result: NO_RESULT,
    outcome: TaskOutcome.Unspecified,
    queuedAt: now,
    dispatchedAt: 0,
    overtakableUntil: now
  }
}

/** A refusal or failure, without results. */
export function answerWithout (kind: AnswerKind, cause: Cause, detail: string, retryAfterMilliseconds = 0): Answer {
  return { kind, cause, detail, results: [], retryAfterMilliseconds }
}

/**
 * Whether the entry that gives this answer forgets the job, so that a later submission of the id is
 * taken as new. A cancelled job stays cancelled for copies that are still on their way.
 */
export function isForgotten (answer: Answer): boolean {
  return answer.kind === AnswerKind.Refused && answer.cause !== Cause.Cancelled && answer.cause !== Cause.IdReused
}

export class Execution {
  readonly key: JobKey
  readonly arrivedAt: number
  /** Empty while only ledger lines of the job are known. */
  digest: string
  /** Absent for a job of a lost entry until somebody submits it again. */
  job: Job | undefined
  deadline = Number.POSITIVE_INFINITY
  answer: Answer | undefined
  answeredAt = 0
  attached: Attachment[] = []
  /** Entry whose confirmation of the receipt is awaited before the first dispatch. */
  awaitedBackup: Instance | undefined
  /** The lost entry that ran it, empty when only ledger lines tell of the job. */
  lostExecutor: Instance = ''
  /** It may have run before the memory of the system begins. */
  forgotten = false
  readonly #tasks: TaskProgress[] = []
  readonly #lines = new Map<number, { line: LedgerLine, agent: Instance }>()
  #succeeded = 0
  #longestRun = 0

  constructor (key: JobKey, digest: string, now: number) {
    this.key = key
    this.digest = digest
    this.arrivedAt = now
  }

  get tasks (): readonly TaskProgress[] {
    return this.#tasks
  }

  /** Run time of the longest task that has ended at its target, in milliseconds. */
  get longestRun (): number {
    return this.#longestRun
  }

  get orphan (): boolean {
    return this.job === undefined
  }

  /** Whether the next submission brings a lost entry's job, and decides what of it is run. */
  get resumable (): boolean {
    return this.orphan && this.answer === undefined
  }

  /** Whether any task may have started. */
  get touched (): boolean {
    return this.#lines.size > 0 || this.#tasks.some(task => task.stage !== TaskStage.Pending)
  }

  get finishedTasks (): number {
    return this.#tasks.filter(task => task.stage === TaskStage.Done).length
  }

  /** Takes the content in; the clock of the deadline starts when the entry receives it. */
  begin (job: Job, now: number): void {
    this.job = job
    this.digest = job.digest
    this.deadline = now + job.remainingMilliseconds
    for (let index = 0; index < job.tasks.length; index++) this.#tasks.push(newTask(now))
  }

  attach (attachment: Attachment): void {
    const known = this.attached.some(other => other.entry === attachment.entry && other.submission === attachment.submission)
    if (!known) this.attached.push(attachment)
  }

  /** Notes what an agent's ledger says of a task of a lost entry. */
  noteLine (agent: Instance, line: LedgerLine): void {
    const known = this.#lines.get(line.index)
    if (known !== undefined && rank(known.line) > rank(line)) return
    this.#lines.set(line.index, { line, agent })
  }

  /** A result for a task of which only the ledger line is known. */
  noteResult (agent: Instance, result: TaskResult): void {
    const known = this.#lines.get(result.index)
    if (known === undefined || known.agent !== agent || known.line.attempt !== result.attempt) return
    const state = result.outcome === TaskOutcome.NotStarted ? LedgerState.Refused : LedgerState.Finished
    known.line = { ...known.line, state, outcome: result.outcome, payload: result.payload, payloadHeld: true, detail: result.detail }
  }

  /** The agent is lost: what it ran of this job has no outcome that anybody will learn. */
  noteAgentLost (agent: Instance): void {
    for (const known of this.#lines.values()) {
      if (known.agent !== agent || known.line.state !== LedgerState.Running) continue
      known.line = { ...known.line, state: LedgerState.Finished, outcome: TaskOutcome.MayHaveRun, detail: 'its agent was lost' }
    }
  }

  /**
   * Puts the ledger lines in the place of the tasks, after `begin`. Returns the answer when one
   * can be given at once; the tasks that are pending after it provably never started.
   *
   * @param ledgersComplete whether every ledger that may name the job was read
   */
  applyLines (ledgersComplete: boolean): Answer | undefined {
    let missing = false
    for (let index = 0; index < this.#tasks.length; index++) {
      const known = this.#lines.get(index)
      if (known === undefined || !provesStart(known.line)) missing = true
      else this.#applyLine(index, known.agent, known.line)
    }
    const failure = this.#tasks.find(task => task.stage === TaskStage.Done && task.outcome !== TaskOutcome.Succeeded)
    if (failure !== undefined) return failureAnswer(failure.outcome, 'a task of the job failed before its entry was lost')
    if (missing && !ledgersComplete) {
      return answerWithout(AnswerKind.MayHaveRun, Cause.EntryLost, 'the entry that had the job was lost, and not every agent could be asked')
    }
    return this.completeAnswer()
  }

  /** Highest attempt that a ledger knows of, so that a new one is above it. */
  get highestAttempt (): number {
    let highest = 0
    for (const { line } of this.#lines.values()) highest = Math.max(highest, line.attempt)
    return highest
  }

  dispatched (index: number, { agent, patienceMilliseconds }: Assignment, attempt: number, now: number): void {
    const task = this.#tasks[index]
    if (task === undefined) return
    task.stage = TaskStage.Outstanding
    task.agent = agent
    task.attempt = attempt
    task.dispatchedAt = now
    task.overtakableUntil = now + patienceMilliseconds
  }

  /** The outstanding task that a result is for; undefined for a late, doubled or foreign result. */
  outstandingFor (agent: Instance, result: { index: number, attempt: number }): TaskProgress | undefined {
    const task = this.#tasks[result.index]
    if (task?.stage !== TaskStage.Outstanding) return undefined
    return task.agent === agent && task.attempt === result.attempt ? task : undefined
  }

  /** Writes an outcome down; the answer when the job has one now. */
  settle (task: TaskProgress, outcome: TaskOutcome, payload: Uint8Array, detail: string, now: number, runMilliseconds = 0): Answer | undefined {
    this.#longestRun = Math.max(this.#longestRun, runMilliseconds)
    if (outcome === TaskOutcome.NotStarted) {
      task.stage = TaskStage.Pending
      task.queuedAt = now
      return undefined
    }
    task.stage = TaskStage.Done
    task.outcome = outcome
    task.result = payload
    if (outcome !== TaskOutcome.Succeeded) return failureAnswer(outcome, detail)
    this.#succeeded += 1
    return this.completeAnswer()
  }

  /** The whole answer once every task has succeeded. */
  completeAnswer (): Answer | undefined {
    if (this.#tasks.length === 0 || this.#succeeded < this.#tasks.length) return undefined
    const results = this.#tasks.map(task => task.result)
    return { kind: AnswerKind.Complete, cause: Cause.None, detail: '', results, retryAfterMilliseconds: 0 }
  }

  /** The answer to a job that ends before its tasks have: as much as is provable and no more. */
  brokenOffAnswer (cause: Cause, detail: string, retryAfterMilliseconds: number): Answer {
    if (!this.touched && !this.forgotten) return answerWithout(AnswerKind.Refused, cause, detail, retryAfterMilliseconds)
    const ran = this.#tasks.some(task => task.stage === TaskStage.Done)
    return answerWithout(ran ? AnswerKind.Failed : AnswerKind.MayHaveRun, cause, detail)
  }

  /** Tasks that are with an agent. */
  outstanding (): Array<{ index: number, task: TaskProgress }> {
    const found: Array<{ index: number, task: TaskProgress }> = []
    this.#tasks.forEach((task, index) => {
      if (task.stage === TaskStage.Outstanding) found.push({ index, task })
    })
    return found
  }

  /** Seals the job: payloads and progress go, the answer stays. */
  close (answer: Answer, now: number): void {
    this.answer = answer
    this.answeredAt = now
    this.job = this.job === undefined ? undefined : { ...this.job, tasks: [] }
    this.#tasks.length = 0
    this.#lines.clear()
    this.attached = []
  }

  #applyLine (index: number, agent: Instance, line: LedgerLine): void {
    const task = this.#tasks[index]
    if (task === undefined) return
    task.agent = agent
    task.attempt = line.attempt
    if (line.state === LedgerState.Running) {
      task.stage = TaskStage.Outstanding
      return
    }
    task.stage = TaskStage.Done
    task.outcome = line.payloadHeld || line.outcome !== TaskOutcome.Succeeded ? line.outcome : TaskOutcome.MayHaveRun
    task.result = line.payload
    if (task.outcome === TaskOutcome.Succeeded) this.#succeeded += 1
  }
}

/** A refusal says nothing of other attempts at other agents. */
function provesStart (line: LedgerLine): boolean {
  return line.state === LedgerState.Running || line.state === LedgerState.Finished
}

/** Lines that prove a start win over lines that do not. */
function rank (line: LedgerLine): number {
  if (line.state === LedgerState.Finished) return 3
  if (line.state === LedgerState.Running) return 2
  return line.state === LedgerState.Refused ? 1 : 0
}

function failureAnswer (outcome: TaskOutcome, detail: string): Answer {
  if (outcome === TaskOutcome.Failed) return answerWithout(AnswerKind.Failed, Cause.TaskFailed, detail)
  return answerWithout(AnswerKind.MayHaveRun, Cause.AgentLost, detail)
}
