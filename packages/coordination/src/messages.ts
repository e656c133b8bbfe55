/**
 * The messages of the inner protocol as the decision logic sees them. They have the shape of
 * the generated protocol types (`{ case, value }`), so that the daemon hands them to the codec as
 * they are. All durations are in milliseconds. No message carries a clock reading of the sender
 * that the receiver compares with its own clock.
 */

/** One run of one process, `id#incarnation`: never used again after the process has ended. */
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
  /** The agent did not start the task, and its ledger will refuse this attempt for good. */
  NotStarted = 3,
  /** The call to the target broke off after it was made: the task may have run. */
  MayHaveRun = 4
}

/** Where a task stands in an agent's ledger. */
export enum LedgerState {
  Unspecified = 0,
  /** Accepted and waiting for a slot: not started. */
  Queued = 1,
  /** Started, no outcome yet. */
  Running = 2,
  /** An outcome is known. */
  Finished = 3,
  /** Refused: this attempt will never start. */
  Refused = 4
}

/** What a caller is told. The numbers are those of the inner protocol. */
export enum AnswerKind {
  Unspecified = 0,
  /** Every task succeeded; one result for each, in task order. */
  Complete = 1,
  /** Some task ran and failed. */
  Failed = 2,
  /** It is not known whether some task ran. */
  MayHaveRun = 3,
  /** No task of the job was started, and none will be from this submission. */
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
  /** The tenant is above its quota. */
  QuotaExceeded = 7,
  /** No target there is, or is expected, could ever run the job. */
  NeverRunnable = 8,
  /** The configuration has no such service. */
  UnknownService = 9,
  /** The configuration has no such tenant. */
  UnknownTenant = 10,
  /** The job id was used before with other content. */
  IdReused = 11,
  /** The job was lodged before the memory of the system begins. */
  BeforeHorizon = 12,
  /** The entry is stopping, fenced or not ready. */
  NotReady = 13,
  /** The answer was given before and its results are no longer held. */
  ResultsExpired = 14,
  /** The entry that owns the job cannot be reached. */
  OwnerUnreachable = 15,
  /** The request cannot be read as a job. */
  Malformed = 16,
  /** The request is larger than the limits allow. */
  TooLarge = 17
}

/** What one task asks of a target. */
export interface TaskNeeds {
  accelerators: number
  memoryMegabytes: number
}

/** One task of a job as the caller stated it. */
export interface TaskRequest {
  payload: Uint8Array
  /** Run time the caller declares, in milliseconds; 0 when it declares none. Often far off. */
  runMilliseconds: number
  needs: TaskNeeds
}

/** A job as it travels between entries. */
export interface Job {
  key: JobKey
  tenant: string
  service: string
  /** Digest of the content, to tell a resubmission from another job under the same id. */
  digest: string
  /** Whether the caller allows a further submission to run the job again once it is forgotten. */
  repeatable: boolean
  /** Time left until the deadline, in milliseconds, when the message was made. */
  remainingMilliseconds: number
  /** When the caller first lodged the job, in milliseconds since 1970; 0 when it states nothing. */
  lodgedAt: number
  tasks: TaskRequest[]
}

/** The final answer to a job. */
export interface Answer {
  kind: AnswerKind
  cause: Cause
  /** Text for a person: what happened and what to do. */
  detail: string
  /** One result per task in task order; empty unless `kind` is `Complete`. */
  results: Uint8Array[]
  /** When to come back, in milliseconds; 0 when coming back is of no use. */
  retryAfterMilliseconds: number
}

/** One entry of the current view. */
export interface Member {
  instance: Instance
  /** URL of its inner listener. */
  address: string
  dataCentre: string
  /** It is stopping: it keeps what it has and owns no job ids any more. */
  leaving: boolean
}

/** Membership of the entries, changed by compare-and-swap in the store. Versions only rise. */
export interface View {
  version: number
  members: Member[]
  /** Instances that were members and must never be obeyed again. Only grows within retention. */
  fenced: Instance[]
}

/** What an agent says of the target beside it. */
export interface TargetDescription {
  /** Stable name of the target, the agent's id. */
  target: string
  provider: string
  services: string[]
  slots: number
  accelerators: number
  memoryMegabytes: number
  dataCentre: string
  rack: string
}

/** Load of a target as the agent counts it, for one entry. */
export interface TargetReport {
  /** Tasks running now. */
  running: number
  /** Tasks accepted and waiting at the agent. */
  queued: number
  /** Tasks that this entry may have dispatched and unfinished at this agent at one time. */
  credit: number
  /** The target takes no new work. */
  leaving: boolean
  viewVersion: number
  configurationVersion: number
}

export interface Dispatch {
  job: JobKey
  index: number
  /** Rises each time this task is dispatched; an agent refuses one at or below a refused attempt. */
  attempt: number
  /** The agent run it is meant for: another incarnation refuses it. */
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

/** One line of an agent's ledger, as handed to the entry that takes a fenced entry's jobs over. */
export interface LedgerLine {
  job: JobKey
  index: number
  attempt: number
  state: LedgerState
  outcome: TaskOutcome
  /** Result of a finished task; absent from the ledger when `payloadHeld` is false. */
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
  /** Adopt `view`, and hand over the ledger lines of entries outside it that the asking entry now owns. */
  | { case: 'recall', value: { epoch: string, view: View } }
  /** Answer to a heartbeat: `sent` as received; age of the last confirmation of the view by the store. */
  | { case: 'heartbeatReply', value: { sent: number, viewVersion: number, confirmedAgeMilliseconds: number } }
  | { case: 'configuration', value: { version: number, document: Uint8Array } }

/** From an agent to an entry. */
export type AgentToEntry =
  | { case: 'announce', value: { instance: Instance, target: TargetDescription, report: TargetReport } }
  | { case: 'report', value: TargetReport }
  | { case: 'result', value: TaskResult }
  /** Answer to `recall`, with its epoch: the lines whose jobs now belong to the asking entry. */
  | { case: 'recalled', value: { epoch: string, lines: LedgerLine[] } }
  /** `sent` is a reading of the agent's own clock, returned to it untouched. */
  | { case: 'heartbeat', value: { sent: number, viewVersion: number, configurationVersion: number } }

/** Second memory of a job: that it exists, and which entry runs it. */
export interface Receipt {
  job: JobKey
  digest: string
  executor: Instance
  /** The final answer, when an entry that stops hands it over. */
  answer?: Answer
}

/** How the owner took a forwarded job. */
export enum SubmitStatus {
  Unspecified = 0,
  /** The owner holds the job; an `answer` will follow. */
  Accepted = 1,
  /** Another entry holds the job: ask it. */
  HeldElsewhere = 2
}

/**
 * From an entry to an entry. `submission` names one request of the sender, so that a copy that
 * arrives late or twice, and the answer to it, are never taken for another request.
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

/** What an entry hands to another when the view changes. */
export interface Transfer {
  view: View
  /** Jobs that now belong to the receiver: held here, or known here by receipt. */
  receipts: Receipt[]
  /** Every agent run that the sender knows of, live or lost. */
  agents: Instance[]
  /** Whether the sender's own memory goes back to the horizon: false while it is new itself. */
  complete: boolean
  /** Entries lost without handing over within the retention time. */
  losses: number
  /** Since when the sender's memory is complete, in milliseconds since 1970; 0 for ever. */
  horizon: number
}

/** Where a job stands, as a look-up tells it. */
export enum JobState {
  Unknown = 0,
  Queued = 1,
  Running = 2,
  Answered = 3
}
