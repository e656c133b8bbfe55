/** Records of the targets and of the callers, which an audit compares. */

/** How a start at a target ended. */
export enum StartOutcome {
  Running = 'running',
  Finished = 'finished',
  Failed = 'failed',
  /** The run was aborted because its requester disconnected. */
  Aborted = 'aborted'
}

/** One start of one task at one target. Times are in Unix milliseconds. */
export interface StartRecord {
  target: string
  tenant: string
  service: string
  job: string
  task: number
  outcome: StartOutcome
  startedAt: number
  /** When the run ended; absent while it is running and after an abort. */
  finishedAt?: number
  abortedAt?: number
}

/** Answer of a target to `GET /records`. */
export interface TargetRecords {
  target: string
  slots: number
  running: number
  /** How often a run was requested while all slots were occupied. */
  askedAboveSlots: number
  /** Number of starts without a record because the limit on records was reached. */
  dropped: number
  records: StartRecord[]
}

/** Result of a task at a target stand-in. It names the task to which it belongs. */
export interface StandInResult {
  tenant: string
  job: string
  task: number
  target: string
}

/** Payload of a task, which controls how a target stand-in runs it. */
export interface StandInPayload {
  runMilliseconds?: number
  fail?: boolean
}

/** Kinds of answer in the callers' interface. */
export enum AnswerKind {
  Complete = 'complete',
  Failed = 'failed',
  MayHaveRun = 'mayHaveRun',
  Refused = 'refused'
}

/** Body of an answer in the callers' interface. */
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

/** One submission of a job through one entry, with its answer or failure. */
export interface Attempt {
  entry: string
  submittedAt: number
  endedAt: number
  /** HTTP status; absent when the connection failed, timed out or delivered no JSON. */
  status?: number
  answer?: AnswerBody
  /** Reason why there is no answer. */
  failure?: string
}

/** Record of one job at its caller. */
export interface JobRecord {
  submission: JobSubmission
  submittedAt: number
  /** All submissions in order, with the answers received. */
  attempts: Attempt[]
  /** The answer that the caller accepted as final; absent until then and when the job is abandoned. */
  final?: AnswerBody
  finishedAt?: number
}

/** Key that identifies a task across all targets. */
export function taskKey (tenant: string, job: string, task: number): string {
  return `${tenant}/${job}/${task}`
}
