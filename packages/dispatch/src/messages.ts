/** Messages between entries and agents, and the types that they carry. */
import type { EvacuationState } from './evacuations.ts'
import type { Resources } from './resources.ts'
import type { SpeedRatioEstimate } from './steadyspeedratio.ts'

/** Identifies one start of one task. `attempt` rises with each start of the task. */
export interface TaskReference {
  task: string
  attempt: number
}

/** Which tasks may run on a target together with a task. */
export enum Isolation {
  /** Any task. */
  None = '',
  /** No other suspect. The task is suspected since a target was lost while the task ran there. */
  Apart = 'apart',
  /** No other task may start while this one runs. */
  Alone = 'alone'
}

/** A task to be started. */
export interface TaskOrder extends TaskReference {
  needs: Resources
  /** Run time that the entry expects at an average target, in milliseconds. */
  expected: number
  /** Omitted for `Isolation.None`. */
  isolation?: Isolation
}

/** Result of one start of a task. */
export enum Outcome {
  Done = 'done',
  /** The task ran and failed. */
  Failed = 'failed',
  /** The task has not run, and this start will not run it later. */
  NotStarted = 'notStarted',
  /** The run ended without a result: it was stopped, its lease expired, or its target was lost. */
  Gone = 'gone'
}

/** Reason why a task was not started or is gone. */
export enum Cause {
  None = '',
  /** The target has not enough free capacity. */
  Full = 'full',
  /** The target does not currently respond to its agent. */
  Unreachable = 'unreachable',
  /** The target reports that it is unhealthy. */
  Unhealthy = 'unhealthy',
  /** The start was not answered and has been cancelled. */
  Unanswered = 'unanswered',
  /** The target is leaving, or the agent is stopping. */
  Leaving = 'leaving',
  /** The data centre of the target is evacuated. */
  Evacuated = 'evacuated',
  /** The agent has no target yet, or is stopping the runs that its earlier incarnation left there. */
  NoTarget = 'noTarget',
  /** The target refused it for another reason. */
  Rejected = 'rejected',
  /** The task was stopped. */
  Stopped = 'stopped',
  /** The lease of the target expired. */
  Expired = 'lapsed',
  /** The target is gone. */
  TargetLost = 'targetLost',
  /** The target crashed, or has crashed before while running the same task. */
  Crashed = 'crashed'
}

/** What is known about an incarnation of a target that was lost while tasks ran there. */
export enum CrashEvidence {
  /** It did not respond until the tasks had expired. */
  Unresponsive = 'silent',
  /** It crashed while the task ran. */
  Crashed = 'crashed',
  /** It crashed or did not respond, and never confirmed that it had started the task. */
  Unconfirmed = 'unconfirmed',
  /** It has answered again, so it had not crashed. */
  Answered = 'answered'
}

/** A task that was or may have been on a target when the target was lost. */
export interface CrashRecord {
  task: string
  /** Incarnation of the target. */
  instance: string
  /** Number of other tasks on the target at that time. */
  beside: number
  evidence: CrashEvidence
  /** Time since the loss, in milliseconds. */
  ago: number
}

/** The end of one start of a task. */
export interface TaskEnd extends TaskReference {
  outcome: Outcome
  cause: Cause
  /** Run time in milliseconds; 0 if not known. */
  ran: number
}

/** A task that progresses much more slowly than expected. */
export interface SlowTask extends TaskReference {
  /** Time that the task still needs at its current speed, in milliseconds; -1 if it makes no progress. */
  remaining: number
}

/** A target as its agent announces it. */
export interface TargetFacts {
  /** Id of this incarnation of the target. It is unique, even after a restart under the same name. */
  instance: string
  service: string
  dataCentre: string
  capacity: Resources
  labels: string[]
  /** Whether the target is leaving and takes no new work, except as `remaining` allows. */
  leaving: boolean
  /** Whether the target rejects calls that name another of its incarnations. @default false: a call is carried out by whichever incarnation has the name */
  refusesOtherLives?: boolean
  /** Minimum time until a leaving target ends, in milliseconds from this message; undefined if not stated. */
  remaining?: number
}

/** Load of a target. */
export interface Load {
  /** Resources used by tasks of other entries. */
  others: Resources
  /** Recent speed of its tasks, relative to what entries expect of an average target; 0 with too few tasks. */
  pace: number
  /** Whether a suspect runs there. Omitted if not. */
  suspect?: boolean
  /** Speed ratio over the last seconds, with its error. Omitted if not known, or with the policy `learnsKinds` off. */
  steady?: SpeedRatioEstimate
  /** Tasks of other entries whose starts arrived since the last message. Sent only to an entry that allocates capacity. */
  taken?: string[]
}

/** How an entry obtains capacity at a target. */
export enum AllocationRole {
  /** It chooses targets itself, from the load that agents send. */
  Chooses = 'chooses',
  /** It requests capacity from another entry and needs no load. */
  Asks = 'asks',
  /** It allocates the capacity for all entries, and is sent freed capacity at once. */
  Allocates = 'allocates'
}

/** From an agent to an entry. */
export type AgentMessage =
  /** Sent on a new link and whenever the target changes. `held` lists this entry's tasks here. */
  | { type: 'announce', target: TargetFacts | undefined, held: TaskReference[], load: Load }
  /** `sent` is a reading of the agent's clock that the echo returns unchanged. */
  | { type: 'ping', sent: number, load: Load }
  /** Ends, numbered from `first`. They are repeated on a new link until the entry has acknowledged them. `sent` as in a ping. */
  | { type: 'ends', first: number, ends: TaskEnd[], sent: number, load: Load }
  | { type: 'slow', tasks: SlowTask[] }
  /** Tasks of all entries that were on the target when it was lost. Sent at that time, and on each new link for a while after. */
  | { type: 'crashes', records: CrashRecord[] }
  /** Capacity was freed. Sent only to an entry that allocates capacity. */
  | { type: 'load', load: Load }
  /** The agent refused a start because of an evacuation that the entry may not have received. */
  | { type: 'evacuations', state: EvacuationState }

/** Proof that an entry is alive and receives messages of the agent. */
export interface Echo {
  /** The `sent` of the last message that carried one. */
  sent: number
  /** Number of the last end received. */
  received: number
  /** Whether the entry has tasks that wait for capacity, and needs changes of the load. */
  waiting: boolean
}

/** From an entry to an agent. */
export type EntryMessage =
  | { type: 'echo' } & Echo
  /** `echo`: the answer to ends is sent with the next start, which halves the overhead of a busy link. */
  | { type: 'start', payload: string, tasks: TaskOrder[], echo?: Echo }
  | { type: 'stop', tasks: TaskReference[] }
  | { type: 'role', role: AllocationRole }
  /** `state` is omitted if the entry has received none. `confirmed`: the entry has read the store recently. */
  | { type: 'evacuations', state?: EvacuationState, confirmed: boolean }
