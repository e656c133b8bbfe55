/**
 * Messages of the inner protocol as used by the decision logic. They have the shape of the generated protocol types
 * (`{ case, value }`), so the daemon passes them to the codec unchanged. All durations are in milliseconds. No message
 * carries a clock reading of the sender that the receiver compares with its own clock.
 */

/** One incarnation of a process, `id#incarnation`: never reused after the process has ended. */
export type Instance = string

/** Identity of a job: `tenant/job`, the caller's job id within its tenant. */
export type JobKey = string

/** How a task ended at its agent. The numbers are those of the inner protocol. */
export enum TaskOutcome {
  Unspecified = 0,
  /** The target answered with a result. */
  Succeeded = 1,
  /** The target ran the task and it failed. */
  Failed = 2,
  /** The agent did not start the task, and its ledger refuses this attempt permanently. */
  NotStarted = 3,
  /** The call to the target broke off after it was made: the task may have run. */
  MayHaveRun = 4
}

/** State of a task in an agent's ledger. */
export enum LedgerState {
  Unspecified = 0,
  /** Accepted and waiting for a slot: not started. */
  Queued = 1,
  /** Started, without an outcome yet. */
  Running = 2,
  /** Has an outcome. */
  Finished = 3,
  /** Refused: this attempt never starts. */
  Refused = 4
}

/** Kind of answer that a caller receives. The numbers are those of the inner protocol. */
export enum AnswerKind {
  Unspecified = 0,
  /** Every task succeeded; one result for each, in task order. */
  Complete = 1,
  /** Some task ran and failed. */
  Failed = 2,
  /** Some task may have run. */
  MayHaveRun = 3,
  /** No task of the job was started, and none will be for this submission. */
  Refused = 4
}

/** Why an answer is not `Complete`. The numbers are those of the inner protocol. */
export enum Cause {
  None = 0,
  /** The target ran a task and reported a failure. */
  TaskFailed = 1,
  /** An agent was lost with a task that may have started. */
  AgentLost = 2,
  /** An entry was lost and not every ledger could be read. */
  EntryLost = 3,
  /** The deadline passed. */
  DeadlinePassed = 4,
  /** The caller cancelled the job. */
  Cancelled = 5,
  /** The expected wait is longer than the deadline allows. */
  Overloaded = 6,
  /** The tenant exceeds its quota. */
  QuotaExceeded = 7,
  /** No target, present or expected, could ever run the job. */
  NeverRunnable = 8,
  /** The configuration does not contain the service. */
  UnknownService = 9,
  /** The configuration does not contain the tenant. */
  UnknownTenant = 10,
  /** The job id was used before with different content. */
  IdReused = 11,
  /** The job was first submitted before the period that the memory of the entries covers. */
  BeforeHorizon = 12,
  /** The entry is stopping, fenced or not ready. */
  NotReady = 13,
  /** The job was answered before and its results are no longer held. */
  ResultsExpired = 14,
  /** The entry that owns the job cannot be reached. */
  OwnerUnreachable = 15,
  /** The request cannot be parsed as a job. */
  Malformed = 16,
  /** The request is larger than the limits allow. */
  TooLarge = 17
}

/** Resources that one task requires at a target. */
export interface TaskNeeds {
  accelerators: number
  memoryMegabytes: number
}

/** One task of a job as submitted by the caller. */
export interface TaskRequest {
  payload: Uint8Array
  /** Run time declared by the caller, in milliseconds; 0 when none is declared. Often inaccurate. */
  runMilliseconds: number
  needs: TaskNeeds
}

/** A job as sent between entries. */
export interface Job {
  key: JobKey
  tenant: string
  service: string
  /** Digest of the content, to distinguish a resubmission from another job under the same id. */
  digest: string
  /** Whether the caller allows a later submission to run the job again once its record is gone. */
  repeatable: boolean
  /** Time left until the deadline, in milliseconds, when the message was created. */
  remainingMilliseconds: number
  /** When the caller first submitted the job, in milliseconds since 1970; 0 when not stated. */
  lodgedAt: number
  tasks: TaskRequest[]
}

/** The final answer to a job. */
export interface Answer {
  kind: AnswerKind
  cause: Cause
  /** Explanation for a person: what happened and what to do. */
  detail: string
  /** One result per task in task order; empty unless `kind` is `Complete`. */
  results: Uint8Array[]
  /** When to retry, in milliseconds; 0 when a retry is of no use. */
  retryAfterMilliseconds: number
}

/** One entry of the current view. */
export interface Member {
  instance: Instance
  /** URL of its inner listener. */
  address: string
  dataCentre: string
  /** It is stopping: it keeps the jobs it has and owns no job ids any more. */
  leaving: boolean
}

/** Membership of the entries, changed by compare-and-swap in the store. Versions only rise. */
export interface View {
  version: number
  members: Member[]
  /** Former members whose messages must not be acted on any more. Only grows within the retention time. */
  fenced: Instance[]
}

/** Description of a target, sent by its agent. */
export interface TargetDescription {
  /** Stable name of the target; equal to the agent's id. */
  target: string
  provider: string
  services: string[]
  slots: number
  accelerators: number
  memoryMegabytes: number
  dataCentre: string
  rack: string
}

/** Load of a target as counted by its agent, for one entry. */
export interface TargetReport {
  /** Tasks running now. */
  running: number
  /** Tasks accepted and waiting at the agent. */
  queued: number
  /** Maximum unfinished tasks that this entry may have dispatched to this agent at one time. */
  credit: number
  /** The target accepts no new work. */
  leaving: boolean
  viewVersion: number
  configurationVersion: number
}

export interface Dispatch {
  job: JobKey
  index: number
  /** Increases each time this task is dispatched; an agent refuses attempts at or below a refused one. */
  attempt: number
  /** The agent incarnation it is meant for: another one ignores it. */
  agent: Instance
  tenant: string
  service: string
  payload: Uint8Array
  remainingMilliseconds: number
  runMilliseconds: number
  /** How long other tasks may overtake this one at the agent; negative when that time has passed. */
  patienceMilliseconds: number
  needs: TaskNeeds
}

export interface TaskReference {
  job: JobKey
  index: number
  attempt: number
}

export interface TaskResult {
  job: JobKey
  index: number
  attempt: number
  outcome: TaskOutcome
  payload: Uint8Array
  detail: string
  runMilliseconds: number
}

/** One record of an agent's ledger, as sent to the entry that takes over a fenced entry's jobs. */
export interface LedgerLine {
  job: JobKey
  index: number
  attempt: number
  state: LedgerState
  outcome: TaskOutcome
  /** Result of a finished task; empty when `payloadHeld` is false. */
  payload: Uint8Array
  payloadHeld: boolean
  detail: string
}

/** From an entry to an agent. */
export type EntryToAgent =
  | { case: 'hello', value: { instance: Instance, view: View, configurationVersion: number } }
  | { case: 'view', value: { view: View } }
  | { case: 'dispatch', value: Dispatch }
  | { case: 'cancel', value: { tasks: TaskReference[] } }
  | { case: 'acknowledge', value: { tasks: TaskReference[] } }
  /** Adopt `view`, and send the ledger records of removed entries whose jobs the requesting entry now owns. */
  | { case: 'recall', value: { epoch: string, view: View } }
  /** Answer to a heartbeat: `sent` as received, and the age of the store's last confirmation of the view. */
  | { case: 'heartbeatReply', value: { sent: number, viewVersion: number, confirmedAgeMilliseconds: number } }
  | { case: 'configuration', value: { version: number, document: Uint8Array } }

/** From an agent to an entry. */
export type AgentToEntry =
  | { case: 'announce', value: { instance: Instance, target: TargetDescription, report: TargetReport } }
  | { case: 'report', value: TargetReport }
  | { case: 'result', value: TaskResult }
  /** Answer to `recall`: the records whose jobs the requesting entry owns, with the agent's epoch. */
  | { case: 'recalled', value: { epoch: string, lines: LedgerLine[] } }
  /** `sent` is a reading of the agent's own clock, returned to it unchanged. */
  | { case: 'heartbeat', value: { sent: number, viewVersion: number, configurationVersion: number } }

/** Second record of a job: that it exists, and which entry runs it. */
export interface Receipt {
  job: JobKey
  digest: string
  executor: Instance
  /** The final answer, when a stopping entry hands it over. */
  answer?: Answer
}

/** How the owner handled a forwarded job. */
export enum SubmitStatus {
  Unspecified = 0,
  /** The owner holds the job; an `answer` follows. */
  Accepted = 1,
  /** Another entry holds the job; the request is to be sent there. */
  HeldElsewhere = 2
}

/**
 * From an entry to an entry. `submission` identifies one request of the sender, so that a late or duplicate copy, and
 * the answer to it, are never matched with another request.
 */
export type PeerMessage =
  | { case: 'hello', value: { instance: Instance, view: View, configurationVersion: number } }
  | { case: 'heartbeat', value: { sent: number, viewVersion: number, configurationVersion: number } }
  | { case: 'submit', value: { job: Job, submission: string } }
  | { case: 'submitted', value: { job: JobKey, submission: string, status: SubmitStatus, holder: Instance } }
  | { case: 'answer', value: { job: JobKey, submission: string, answer: Answer } }
  | { case: 'receipt', value: Receipt }
  | { case: 'receiptKept', value: { job: JobKey } }
  | { case: 'cancel', value: { job: JobKey, submission: string } }
  | { case: 'lookUp', value: { job: JobKey, submission: string } }
  | { case: 'lookedUp', value: { job: JobKey, submission: string, state: JobState, answer?: Answer } }
  | { case: 'transfer', value: Transfer }
  /** The sender's connection to `instance`'s own address was refused: that process has ended. */
  | { case: 'refused', value: { instance: Instance } }
  | { case: 'configuration', value: { version: number, document: Uint8Array } }

/** Sent by each entry to every other one when the view changes. */
export interface Transfer {
  view: View
  /** Jobs that the receiver owns or is to keep as backup: held by the sender, or known to it by receipt. */
  receipts: Receipt[]
  /** Every agent incarnation known to the sender, connected or lost. */
  agents: Instance[]
  /** Whether the sender's own memory is complete since its horizon; false while the sender is new itself. */
  complete: boolean
  /** Number of entries lost without a handover within the retention time. */
  losses: number
  /**
   * Start of the period for which the sender's memory is complete, in milliseconds since 1970; 0 when it always was.
   */
  horizon: number
}

/** State of a job, as a look-up reports it. */
export enum JobState {
  Unknown = 0,
  Queued = 1,
  Running = 2,
  Answered = 3
}
