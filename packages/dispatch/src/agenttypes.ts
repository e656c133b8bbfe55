/** Events that an agent processes, and effects that it returns. */
import type { EvacuationState } from './evacuations.ts'
import type { AgentMessage, EntryMessage, TargetFacts } from './messages.ts'

/** Result of a start at the target. */
export enum StartAnswer {
  Started = 'started',
  /** Another process has used the target with a higher fencing token. */
  Fenced = 'fenced',
  /** A run of the task with this number or a higher one has ended or was stopped there. */
  OldRun = 'oldRun',
  /** The start arrived after its deadline. */
  Late = 'late',
  Full = 'full',
  /** The target ignored the start because it is overloaded or unhealthy. */
  Unhealthy = 'unhealthy',
  /** The target considers the start invalid. */
  Rejected = 'rejected',
  /** Another incarnation answers at the address of the target. */
  OtherInstance = 'otherInstance',
  /** Nothing listens at the address of the target. */
  NoListener = 'noListener',
  /** No answer. The start may still be carried out. */
  NoResponse = 'silent'
}

/** Reason for the failure of a poll. */
export enum PollFailure {
  Fenced = 'fenced',
  OtherInstance = 'otherInstance',
  NoListener = 'noListener',
  NoResponse = 'silent'
}

export interface RunningTask {
  task: string
  run: number
  /** Progress, from 0 to 100. */
  percent: number
}

/** End of a run as listed by the target. */
export enum RunEnd {
  Done = 'done',
  Failed = 'failed',
  Stopped = 'stopped',
  Expired = 'lapsed',
  /** The run was ended because of another member of its group. */
  Broken = 'broken'
}

export interface EndedRun {
  /** Sequence number of the end within one incarnation of the target, from 1. */
  number: number
  task: string
  run: number
  end: RunEnd
}

export type AgentEvent =
  /** The target announced itself. `sequence` rises within one incarnation, `clock` is a reading of the target's clock. */
  | { type: 'targetSeen', facts: TargetFacts, sequence: number, clock: number }
  | { type: 'targetLeft', instance: string }
  /** Facts of the target that an earlier incarnation of this agent stored. The next poll shows whether it is still there. */
  | { type: 'targetRemembered', facts: TargetFacts }
  | { type: 'startAnswered', instance: string, task: string, run: number, answer: StartAnswer }
  | { type: 'stopAnswered', instance: string, task: string, run: number, answered: boolean }
  /** The current incarnation answered a poll. `sent` is the value from the poll. */
  | { type: 'polled', instance: string, sent: number, clock: number, running: RunningTask[], ended: EndedRun[] }
  | { type: 'pollFailed', instance: string, sent: number, failure: PollFailure }
  | { type: 'entryLinked', entry: string }
  | { type: 'entryUnlinked', entry: string }
  | { type: 'entryMessage', entry: string, message: EntryMessage }
  /** The evacuated data centres were read from the store. */
  | { type: 'evacuationsRead', state: EvacuationState }
  /** The machine was suspended for `asleep` milliseconds. Earlier contact has ended, whatever the steady clock reads. */
  | { type: 'woke', asleep: number }
  | { type: 'tick' }
  | { type: 'stopOrdered' }

/** Fields of every call to the target: the incarnation that is meant, and the fencing token of the caller. */
interface TargetCall {
  instance: string
  /** Fencing token. The target refuses calls with a lower token than it has seen. */
  token: number
}

/** A call without an answer within `timeout` milliseconds counts as unanswered. */
export type AgentEffect =
  | TargetCall & { type: 'start', task: string, run: number, payload: string, deadline: number, timeout: number }
  | TargetCall & { type: 'stop', task: string, run: number, timeout: number }
  /** Renews the lease if a deadline is given, acknowledges ends, and waits up to `wait` milliseconds for the next end. */
  | TargetCall & { type: 'poll', sent: number, deadline: number | undefined, acknowledged: number, wait: number, timeout: number }
  | { type: 'send', entry: string, message: AgentMessage }
  /** Closes the link, so that the entry reconnects. */
  | { type: 'unlink', entry: string }
  /** Stores the facts of the target for the next incarnation of this agent. */
  | { type: 'rememberTarget', facts: TargetFacts }
  /** Reads the evacuated data centres from the store. */
  | { type: 'readEvacuations' }
  /** A decision or a change of the agent's state, for the log. */
  | { type: 'note', what: string, fields: Record<string, unknown> }
  | { type: 'stopped' }
