/** Messages between entries and agents, and what they are about. */
import type { EvacuationState } from './evacuations.ts'
import type { Resources } from './resources.ts'
import type { SpeedRatioEstimate } from './steadyspeedratio.ts'

/** One start of one task. `attempt` rises with each start of the task. */
export interface TaskReference {
  task: string
  attempt: number
}

/** What may run beside a task. */
export enum Isolation {
  /** Anything. */
  None = '',
  /** No other suspect: a target was lost under it. */
  Apart = 'apart',
  /** Nothing may start beside it. */
  Alone = 'alone'
}

/** A task to be started. */
export interface TaskOrder extends TaskReference {
  needs: Resources
  /** Run time that the entry expects at an average target, in milliseconds. */
  expected: number
  /** Left out for none. */
  isolation?: Isolation
}

/** What became of one start of a task. */
export enum Outcome {
  Done = 'done',
  /** It ran and failed. */
  Failed = 'failed',
  /** It has not run, and this start never will. */
  NotStarted = 'notStarted',
  /** It is gone without a result: stopped, lapsed, or lost with its target. */
  Gone = 'gone'
}

/** Why a task was not started, or is gone. */
export enum Cause {
  None = '',
  /** The target has no room for it. */
  Full = 'full',
  /** The target does not answer its agent at present. */
  Unreachable = 'unreachable',
  /** The target says that it is not healthy. */
  Unhealthy = 'unhealthy',
  /** The order to start it was not answered, and was taken back. */
  Unanswered = 'unanswered',
  /** The target is leaving, or the agent is stopping. */
  Leaving = 'leaving',
  /** Its data centre is evacuated. */
  Evacuated = 'evacuated',
  /** The agent has no target yet, or clears it of its predecessor's tasks. */
  NoTarget = 'noTarget',
  /** The target refused it for another reason. */
  Rejected = 'rejected',
  /** It was stopped. */
  Stopped = 'stopped',
  /** The lease of the target lapsed. */
  Lapsed = 'lapsed',
  /** The target is gone. */
  TargetLost = 'targetLost',
  /** The target went down by itself, or did so before under the same task. */
  Crashed = 'crashed'
}

/** What is known of a life of a target that was lost under tasks. */
export enum CrashEvidence {
  /** It was silent until they had lapsed. */
  Silent = 'silent',
  /** It went down by itself. */
  Crashed = 'crashed',
  /** It was silent and has answered again: it had not gone down. */
  Answered = 'answered'
}

/** A task that was on a target when that was lost. */
export interface CrashRecord {
  task: string
  /** The life of the target. */
  instance: string
  /** Other tasks there. */
  beside: number
  evidence: CrashEvidence
  /** How long ago, in milliseconds. */
  ago: number
}

/** The end of one start of a task. */
export interface TaskEnd extends TaskReference {
  outcome: Outcome
  cause: Cause
  /** How long it ran, in milliseconds; 0 when that is not known. */
  ran: number
}

/** A task that advances much slower than expected. */
export interface SlowTask extends TaskReference {
  /** Time that it still needs at its present pace, in milliseconds; -1 when it does not advance at all. */
  remaining: number
}

/** A target as its agent announces it. */
export interface TargetFacts {
  /** This life of the target: no other has the same, also when it starts again under its name. */
  instance: string
  service: string
  dataCentre: string
  capacity: Resources
  labels: string[]
  /** It takes no new work. */
  leaving: boolean
  /** Calls that name another life of it are turned down. @default false: a call reaches whichever life has its name */
  refusesOtherLives?: boolean
  /** While it leaves: how long it goes on at least, in milliseconds from this message; undefined when it does not say. */
  remaining?: number
}

/** How a target stands. */
export interface Load {
  /** Resources that tasks of other entries hold. */
  others: Resources
  /** Pace of its tasks lately, in parts of what entries expect of an average target; 0 when it had too few. */
  pace: number
  /** A suspect is there. Left out for none. */
  suspect?: boolean
  /** The same over the last seconds, with its error; left out when nothing is known, or kinds are not learned. */
  steady?: SpeedRatioEstimate
  /** Starts of other entries that arrived since this entry was told last; only for one that gives out the room. */
  taken?: string[]
}

/** How an entry comes to the room at a target. */
export enum AllocationRole {
  /** It chooses by itself, by what it hears of the load. */
  Chooses = 'chooses',
  /** It asks another entry, and needs no word on the load. */
  Asks = 'asks',
  /** It gives out the room to all entries, and wants to hear at once of all that becomes free. */
  Allocates = 'allocates'
}

/** From an agent to an entry. */
export type AgentMessage =
  /** First message on a link, and again whenever the target changes. `held`: this entry's tasks here. */
  | { type: 'announce', target: TargetFacts | undefined, held: TaskReference[], load: Load }
  /** `sent` is a reading of the agent's own clock, returned to it untouched. */
  | { type: 'ping', sent: number, load: Load }
  /** Ends numbered from `first` on; repeated on a new link until the entry has told that it received them. `sent` as in a ping. */
  | { type: 'ends', first: number, ends: TaskEnd[], sent: number, load: Load }
  | { type: 'slow', tasks: SlowTask[] }
  /** Tasks of any entry under which the target was lost: when that happens, and on each new link for a while after. */
  | { type: 'crashes', records: CrashRecord[] }
  /** Room became free; only for an entry that gives out the room. */
  | { type: 'load', load: Load }
  /** The agent turned a start down for an evacuation that the entry may not know of. */
  | { type: 'evacuations', state: EvacuationState }

/** Proof that an entry lives and hears the agent. */
export interface Echo {
  /** Of the last message that carried one. */
  sent: number
  /** Number of the last end that arrived. */
  received: number
  /** The entry has tasks without room, and wants to hear of changes in the load. */
  waiting: boolean
}

/** From an entry to an agent. */
export type EntryMessage =
  | { type: 'echo' } & Echo
  /** `echo`: the answer to ends rides on the next start, which halves what a busy link carries beside its tasks. */
  | { type: 'start', payload: string, tasks: TaskOrder[], echo?: Echo }
  | { type: 'stop', tasks: TaskReference[] }
  | { type: 'role', role: AllocationRole }
  /** `state` is left out while the entry has heard of none. `confirmed`: it has read the store lately. */
  | { type: 'evacuations', state?: EvacuationState, confirmed: boolean }
