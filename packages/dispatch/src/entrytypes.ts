/** Events and effects of an entry. */
import type { CrashStatus } from './crashsuspects.ts'
import type { EvacuationState } from './evacuations.ts'
import type { FleetGuards } from './fleetguards.ts'
import type { JobRequest } from './job.ts'
import type { AgentMessage, EntryMessage } from './messages.ts'
import type { DispatchConfiguration } from './queues.ts'
import type { Policy } from './policy.ts'
import type { PeerMessage } from './peermessages.ts'
import type { Timings } from './timings.ts'

/** How a request about a job is answered. */
export enum AnswerKind {
  /** Every task is done. */
  Completed = 'completed',
  /** A task failed as often as the queue allows. */
  Failed = 'failed',
  /** It has not run and never will under this submission. */
  Refused = 'refused',
  /** It was not finished in time; some tasks ran. */
  TimedOut = 'timedOut',
  /** It was cancelled. */
  Cancelled = 'cancelled',
  /** It is in progress. */
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
  /** Targets crash when they run one of its tasks. */
  TaskCrashes = 'taskCrashes',
  Stopping = 'stopping',
  CallerGone = 'callerGone',
  Cancelled = 'cancelled'
}

export interface Answer {
  kind: AnswerKind
  reason: Reason
  /** When to come back, in milliseconds; 0 when coming back is of no use. */
  retryAfter: number
}

export type EntryEvent =
  | { type: 'submitted', request: number, job: JobRequest }
  | { type: 'requestGone', request: number }
  | { type: 'cancelAsked', request: number, id: string }
  | { type: 'stateAsked', request: number, id: string }
  | { type: 'agentLinked', agent: string, incarnation: string }
  | { type: 'agentUnlinked', agent: string }
  | { type: 'agentMessage', agent: string, message: AgentMessage }
  | { type: 'peerLinked', peer: string }
  | { type: 'peerUnlinked', peer: string }
  | { type: 'peerMessage', peer: string, message: PeerMessage }
  | { type: 'configured', configuration: DispatchConfiguration }
  /** The store was read, and told which data centres are evacuated. */
  | { type: 'evacuationsRead', state: EvacuationState }
  | { type: 'tick' }
  | { type: 'stopOrdered' }
  /** The process ends in a moment: whoever still waits gets a final answer. */
  | { type: 'ending' }

export type EntryEffect =
  | { type: 'answer', request: number, answer: Answer }
  | { type: 'send', agent: string, message: EntryMessage }
  /** A message to another entry. */
  | { type: 'tell', peer: string, message: PeerMessage }
  /** Breaks the link off, so that it begins anew. */
  | { type: 'unlink', agent: string }
  /** A job has ended: figures for histograms. */
  | { type: 'jobEnded', queue: string, kind: AnswerKind, reason: Reason, milliseconds: number, waited: number }
  /** A decision or a change of what is believed, for the log. */
  | { type: 'note', what: string, fields: Record<string, unknown> }

export interface EntryOptions {
  /** Name of this entry, by which the others know it. */
  name: string
  /** Speed of its processor against the other entries', in doublings. @default 0 */
  strength?: number
  dataCentre: string
  timings: Timings
  /** After the order to stop, the process ends within this time, in milliseconds. */
  grace: number
  /** Guards switched off, to show that a proof fails without them. @internal */
  guards?: FleetGuards
  /** Mechanisms that are set otherwise than by default. */
  policy?: Partial<Policy>
  /** Shares of the queues under contention, by their priority from 0 on; queues beyond the list weigh 1. @default [] */
  weights?: readonly number[]
}

/** Figures for status pages. */
export interface EntryStatus extends CrashStatus {
  configuration: number
  /** Data centres that are evacuated. */
  evacuated: number
  agents: number
  open: number
  queued: number
  /** Cancellations that are remembered. */
  cancelled: number
}
