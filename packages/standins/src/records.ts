/** What targets write down and what callers keep: the two sides that an audit compares. */

/** How a start at a target ended. */
export enum StartOutcome {
  Running = 'running',
  Finished = 'finished',
  Failed = 'failed',
  /** The run was stopped before its end because its requester went away. */
  Aborted = 'aborted'
}

/** One start of one task at one target. Times are in milliseconds since 1970. */
export interface StartRecord {
  target: string
  tenant: string
  service: string
  job: string
  task: number
  outcome: StartOutcome
  startedAt: number
  /** When the run ended, unless it is still running or was aborted. */
  finishedAt?: number
  abortedAt?: number
}

/** What a target answers to `GET /records`. */
export interface TargetRecords {
  target: string
  slots: number
  running: number
  /** How often a run was asked for while all slots were held. */
  askedAboveSlots: number
  /** Starts that are not among the records, because the bound on them was reached. */
  dropped: number
  records: StartRecord[]
}

/** Result of a task at a stand-in target: it names the task that it belongs to. */
export interface StandInResult {
  tenant: string
  job: string
  task: number
  target: string
}

/** What a stand-in target is told to do by the payload of a task. */
export interface StandInPayload {
  runMilliseconds?: number
  fail?: boolean
}

/** Kinds of answer on the callers' interface. */
export enum AnswerKind {
  Complete = 'complete',
  Failed = 'failed',
  MayHaveRun = 'mayHaveRun',
  Refused = 'refused'
}

/** Body of an answer on the callers' interface. */
export interface AnswerBody {
  kind: AnswerKind
  job: string
  cause?: string
  detail?: string
  results?: unknown[]
  retryAfterMilliseconds?: number
}

/** One task as a caller submits it. */
export interface TaskSubmission {
  payload: StandInPayload
  runMilliseconds?: number
  needs?: { accelerators: number, memoryMegabytes: number }
}

/** A job as a caller submits it. */
export interface JobSubmission {
  job: string
  tenant: string
  service: string
  repeatable: boolean
  deadlineMilliseconds: number
  lodgedAt?: number
  tasks: TaskSubmission[]
}

/** One submission of a job through one entry and what came of it. */
export interface Attempt {
  entry: string
  submittedAt: number
  endedAt: number
  /** Absent when the connection broke, timed out or brought no readable answer. */
  status?: number
  answer?: AnswerBody
  /** Why there is no answer. */
  failure?: string
}

/** Everything that a caller knows of one of its jobs. */
export interface JobRecord {
  submission: JobSubmission
  submittedAt: number
  /** Every submission in order, with every answer received. */
  attempts: Attempt[]
  /** The answer that the caller took as final; absent when it gave the job up. */
  final?: AnswerBody
  finishedAt?: number
}

/** Key of one task over all targets. */
export function taskKey (tenant: string, job: string, task: number): string {
  return `${tenant}/${job}/${task}`
}
