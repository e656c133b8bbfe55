/** Events and effects of an entry. */
import type { CrashStatus } from './crashsuspects.ts'
import type { EvacuationState } from './evacuations.ts'
import type { FleetGuards } from './fleetguards.ts'
import type { JobRequest } from './job.ts'
import type { JobName } from './jobname.ts'
import type { AgentMessage, EntryMessage } from './messages.ts'
import type { DispatchConfiguration } from './queues.ts'
import type { Policy } from './policy.ts'
import type { PeerMessage } from './peermessages.ts'
import type { Timings } from './timings.ts'

/** How a request about a job is answered. */
export enum AnswerKind {
  /** Every task is done. */
  Completed = 'completed',
  /** The targets have listed as many failures of a task as its queue allows. */
  Failed = 'failed',
  /** The job has not run, and never will under this submission. */
  Refused = 'refused',
  /** The job was not finished in time or was given up; some of its tasks may have run. */
  TimedOut = 'timedOut',
  Cancelled = 'cancelled',
  /** At least one task has been started. */
  Running = 'running',
  Pending = 'pending',
  Unknown = 'unknown'
}

/** Why a job was not completed. */
export enum Reason {
  None = '',
  NoConfiguration = 'noConfiguration',
  NoTarget = 'noTarget',
  NeverRunnable = 'neverRunnable',
  /** Every data centre with targets of its service is evacuated. */
  Evacuated = 'evacuated',
  Overload = 'overload',
  Deadline = 'deadline',
  TaskFailed = 'taskFailed',
  /** One of its tasks is taken for the cause of crashes of its targets, and is started no more. */
  TaskCrashes = 'taskCrashes',
  Stopping = 'stopping',
  /** The stored cancellations are not known yet. */
  Recovering = 'recovering',
  /** The store has not confirmed a cancellation in time. */
  NotStored = 'notStored',
  CallerGone = 'callerGone',
  Cancelled = 'cancelled'
}

export interface Answer {
  kind: AnswerKind
  reason: Reason
  /** When to submit again, in milliseconds; 0 if that is of no use. */
  retryAfter: number
}

export type EntryEvent =
  | { type: 'submitted', request: number, job: JobRequest }
  | { type: 'requestGone', request: number }
  /** `remaining`: how long the caller waits, in milliseconds. */
  | { type: 'cancelAsked', request: number, job: JobName, remaining: number }
  | { type: 'stateAsked', request: number, id: string }
  | { type: 'agentLinked', agent: string, incarnation: string }
  | { type: 'agentUnlinked', agent: string }
  | { type: 'agentMessage', agent: string, message: AgentMessage }
  | { type: 'peerLinked', peer: string }
  | { type: 'peerUnlinked', peer: string }
  | { type: 'peerMessage', peer: string, message: PeerMessage }
  | { type: 'configured', configuration: DispatchConfiguration }
  /** The evacuated data centres were read from the store. */
  | { type: 'evacuationsRead', state: EvacuationState }
  /** Cancellations were read from the store: all of them the first time, later at least the new ones. */
  | { type: 'cancellationsRead', jobs: readonly JobName[] }
  /** The last `storeCancellations` has been carried out. */
  | { type: 'cancellationsStored' }
  | { type: 'tick' }
  | { type: 'stopOrdered' }
  /** The process is about to exit: every waiting caller gets a final answer. */
  | { type: 'ending' }

export type EntryEffect =
  | { type: 'answer', request: number, answer: Answer }
  | { type: 'send', agent: string, message: EntryMessage }
  /** A message to another entry. */
  | { type: 'tell', peer: string, message: PeerMessage }
  /** Closes the link, so that it is opened again. */
  | { type: 'unlink', agent: string }
  /** Stores cancellations, and repeats that until it is confirmed. The next ones are emitted only then. */
  | { type: 'storeCancellations', jobs: readonly JobName[] }
  /** A job has ended; figures for histograms. */
  | { type: 'jobEnded', queue: string, kind: AnswerKind, reason: Reason, milliseconds: number, waited: number }
  /** A decision or a change of state, for the log. */
  | { type: 'note', what: string, fields: Record<string, unknown> }

export interface EntryOptions {
  /** Name of this entry among the entries. */
  name: string
  /** Binary logarithm of this entry's processor speed relative to the other entries. @default 0 */
  strength?: number
  dataCentre: string
  timings: Timings
  /** Maximum time from the order to stop until the process exits, in milliseconds. */
  grace: number
  /** Guards that are enabled. Tests switch single ones off to show that a check fails without them. @internal */
  guards?: FleetGuards
  /** Overrides of the default policy. */
  policy?: Partial<Policy>
  /** Weights of the queues under contention, by priority from 0; priorities beyond the list weigh 1. @default [] */
  weights?: readonly number[]
}

/** Figures for status pages. */
export interface EntryStatus extends CrashStatus {
  configuration: number
  /** Number of evacuated data centres. */
  evacuated: number
  agents: number
  open: number
  queued: number
  /** Number of cancellations remembered. */
  cancelled: number
  /** Number of cancellations that are not stored yet. */
  unstored: number
}
