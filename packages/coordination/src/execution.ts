/**
 * The state of one job at the entry that runs it: the progress of each task, the requests that wait, and
 * the answer. A job is answered once, as a whole.
 */
import type { Answer, Instance, Job, JobKey, LedgerLine, TaskResult } from './messages.ts'
import type { Assignment } from './scheduling.ts'
import { AnswerKind, Cause, LedgerState, TaskOutcome } from './messages.ts'

/** Progress of a task at the entry that runs its job. */
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
  /** When it was last queued and last dispatched, by the entry's clock. */
  queuedAt: number
  dispatchedAt: number
  /** Until when later tasks may overtake it in its agent's queue. */
  overtakableUntil: number
}

/** A request that waits for the answer: the entry that received it, and its submission id there. */
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

/** Builds an answer that carries no results. */
export function answerWithoutResults (kind: AnswerKind, cause: Cause, detail: string, retryAfterMilliseconds = 0): Answer {
  return { kind, cause, detail, results: [], retryAfterMilliseconds }
}

/**
 * Whether the entry drops the job with this answer, so that a later submission of the id counts as new. A
 * cancelled job is kept, so that copies still in transit are answered as cancelled too.
 */
export function releasesJobId (answer: Answer): boolean {
  return answer.kind === AnswerKind.Refused && answer.cause !== Cause.Cancelled && answer.cause !== Cause.IdReused
}

/** The progress of one job until its answer, and the answer afterwards. */
export class Execution {
  readonly key: JobKey
  readonly arrivedAt: number
  /** Empty while the job is known only from ledger lines. */
  digest: string
  /** Undefined for a job of a lost entry until a caller submits it again. */
  job: Job | undefined
  deadline = Number.POSITIVE_INFINITY
  answer: Answer | undefined
  answeredAt = 0
  attached: Attachment[] = []
  /** Entry that must confirm the receipt before the first dispatch. */
  awaitedBackup: Instance | undefined
  /** The lost entry that ran it; empty when the job is known only from ledger lines. */
  lostExecutor: Instance = ''
  /** Whether it may have run before the period that the memory of job ids covers. */
  mayPredateHorizon = false
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

  /** Longest run time of a task that has ended at its target, in milliseconds. */
  get longestRun (): number {
    return this.#longestRun
  }

  get orphan (): boolean {
    return this.job === undefined
  }

  /**
   * Whether this is a lost entry's job without an answer: the next submission supplies its content and
   * decides which tasks run.
   */
  get resumable (): boolean {
    return this.orphan && this.answer === undefined
  }

  /** Whether any task may have started. */
  get mayHaveStarted (): boolean {
    return this.#lines.size > 0 || this.#tasks.some(task => task.stage !== TaskStage.Pending)
  }

  get finishedTasks (): number {
    return this.#tasks.filter(task => task.stage === TaskStage.Done).length
  }

  /** Sets the content of the job. The deadline counts from the moment at which the entry receives it. */
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

  /**
   * Records an agent's ledger line on a task of a lost entry's job. Among several lines of a task, the
   * strongest evidence of a start is kept.
   */
  recordLedgerLine (agent: Instance, line: LedgerLine): void {
    const known = this.#lines.get(line.index)
    if (known !== undefined && evidenceRank(known.line) > evidenceRank(line)) return
    this.#lines.set(line.index, { line, agent })
  }

  /** Records a result for a task that is known only from its ledger line. */
  recordResult (agent: Instance, result: TaskResult): void {
    const known = this.#lines.get(result.index)
    if (known === undefined || known.agent !== agent || known.line.attempt !== result.attempt) return
    const state = result.outcome === TaskOutcome.NotStarted ? LedgerState.Refused : LedgerState.Finished
    known.line = { ...known.line, state, outcome: result.outcome, payload: result.payload, payloadHeld: true, detail: result.detail }
  }

  /** Marks running tasks of a lost agent as possibly run: their outcome can no longer be learned. */
  recordAgentLost (agent: Instance): void {
    for (const known of this.#lines.values()) {
      if (known.agent !== agent || known.line.state !== LedgerState.Running) continue
      known.line = { ...known.line, state: LedgerState.Finished, outcome: TaskOutcome.MayHaveRun, detail: 'its agent was lost' }
    }
  }

  /**
   * Applies the ledger lines to the tasks, after `begin`. Returns the answer if one can be given at once;
   * tasks that are still pending afterwards provably never started.
   *
   * @param ledgersComplete whether every ledger that may name the job was read
   */
  applyLedgerLines (ledgersComplete: boolean): Answer | undefined {
    let missing = false
    for (let index = 0; index < this.#tasks.length; index++) {
      const known = this.#lines.get(index)
      if (known === undefined || !provesStart(known.line)) missing = true
      else this.#applyLedgerLine(index, known.agent, known.line)
    }
    const failure = this.#tasks.find(task => task.stage === TaskStage.Done && task.outcome !== TaskOutcome.Succeeded)
    if (failure !== undefined) return failureAnswer(failure.outcome, 'a task of the job failed before its entry was lost')
    if (missing && !ledgersComplete) {
      return answerWithoutResults(AnswerKind.MayHaveRun, Cause.EntryLost, 'the entry that had the job was lost, and not every agent could be asked')
    }
    return this.completeAnswer()
  }

  /** Highest attempt in any ledger line; new attempts are numbered above it. */
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

  /**
   * The outstanding task that a result belongs to; undefined for a late or duplicate result, or one of
   * another agent or attempt.
   */
  outstandingFor (agent: Instance, result: { index: number, attempt: number }): TaskProgress | undefined {
    const task = this.#tasks[result.index]
    if (task?.stage !== TaskStage.Outstanding) return undefined
    return task.agent === agent && task.attempt === result.attempt ? task : undefined
  }

  /** Records the outcome of a task. Returns the answer if this completes or fails the job. */
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

  /** The complete answer with all results; undefined until every task has succeeded. */
  completeAnswer (): Answer | undefined {
    if (this.#tasks.length === 0 || this.#succeeded < this.#tasks.length) return undefined
    const results = this.#tasks.map(task => task.result)
    return { kind: AnswerKind.Complete, cause: Cause.None, detail: '', results, retryAfterMilliseconds: 0 }
  }

  /**
   * The answer to a job that is ended before its tasks are. It claims only what is provable: not run,
   * failed after a task ran, or possibly run.
   */
  interruptedAnswer (cause: Cause, detail: string, retryAfterMilliseconds: number): Answer {
    if (!this.mayHaveStarted && !this.mayPredateHorizon) return answerWithoutResults(AnswerKind.Refused, cause, detail, retryAfterMilliseconds)
    const ran = this.#tasks.some(task => task.stage === TaskStage.Done)
    return answerWithoutResults(ran ? AnswerKind.Failed : AnswerKind.MayHaveRun, cause, detail)
  }

  /** Tasks that are dispatched and not settled. */
  outstanding (): Array<{ index: number, task: TaskProgress }> {
    const found: Array<{ index: number, task: TaskProgress }> = []
    this.#tasks.forEach((task, index) => {
      if (task.stage === TaskStage.Outstanding) found.push({ index, task })
    })
    return found
  }

  /** Sets the final answer and releases the payloads and the progress of the tasks. */
  close (answer: Answer, now: number): void {
    this.answer = answer
    this.answeredAt = now
    this.job = this.job === undefined ? undefined : { ...this.job, tasks: [] }
    this.#tasks.length = 0
    this.#lines.clear()
    this.attached = []
  }

  #applyLedgerLine (index: number, agent: Instance, line: LedgerLine): void {
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

/**
 * Whether a ledger line proves that the task started. A refusal is no evidence on other attempts at other
 * agents.
 */
function provesStart (line: LedgerLine): boolean {
  return line.state === LedgerState.Running || line.state === LedgerState.Finished
}

/** Strength of a ledger line as evidence: lines that prove a start rank above those that do not. */
function evidenceRank (line: LedgerLine): number {
  if (line.state === LedgerState.Finished) return 3
  if (line.state === LedgerState.Running) return 2
  return line.state === LedgerState.Refused ? 1 : 0
}

function failureAnswer (outcome: TaskOutcome, detail: string): Answer {
  if (outcome === TaskOutcome.Failed) return answerWithoutResults(AnswerKind.Failed, Cause.TaskFailed, detail)
  return answerWithoutResults(AnswerKind.MayHaveRun, Cause.AgentLost, detail)
}
