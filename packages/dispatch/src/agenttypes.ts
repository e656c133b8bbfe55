/** Events and effects of an agent. */
import type { EvacuationState } from './evacuations.ts'
import type { AgentMessage, EntryMessage, TargetFacts } from './messages.ts'

/** How a target answered the order to start a task. */
export enum StartAnswer {
  Started = 'started',
  /** A process with a higher fencing token has used the target. */
  Fenced = 'fenced',
  /** A run with this number or a higher one has ended or was stopped there. */
  OldRun = 'oldRun',
  /** The order arrived after its deadline. */
  Late = 'late',
  Full = 'full',
  /** It did nothing, being overloaded or unhealthy. */
  Unhealthy = 'unhealthy',
  /** It takes the order for invalid. */
  Rejected = 'rejected',
  /** Another life of the target answers at its address. */
  OtherInstance = 'otherInstance',
  /** Nothing listens at its address. */
  NoListener = 'noListener',
  /** No answer: the order may still be carried out. */
  Silent = 'silent'
}

/** How a poll at the target failed. */
export enum PollFailure {
  Fenced = 'fenced',
  OtherInstance = 'otherInstance',
  NoListener = 'noListener',
  Silent = 'silent'
}

export interface RunningTask {
  task: string
  run: number
  /** Progress, from 0 to 100. */
  percent: number
}

/** How a run ended, as the target lists it. */
export enum RunEnd {
  Done = 'done',
  Failed = 'failed',
  Stopped = 'stopped',
  Lapsed = 'lapsed',
  /** It ended for another member of its group. */
  Broken = 'broken'
}

export interface EndedRun {
  /** Counts the ends in one life of the target, from 1. */
  number: number
  task: string
  run: number
  end: RunEnd
}

export type AgentEvent =
  /** The target announced itself; `sequence` rises within one life, `clock` is a reading of its own clock. */
  | { type: 'targetSeen', facts: TargetFacts, sequence: number, clock: number }
  | { type: 'targetLeft', instance: string }
  /** What an earlier run of this agent knew of its target; whether that is still there shows when it is polled. */
  | { type: 'targetRemembered', facts: TargetFacts }
  | { type: 'startAnswered', instance: string, task: string, run: number, answer: StartAnswer }
  | { type: 'stopAnswered', instance: string, task: string, run: number, answered: boolean }
  /** `sent` as the poll had it; answered by the life that was meant. */
  | { type: 'polled', instance: string, sent: number, clock: number, running: RunningTask[], ended: EndedRun[] }
  | { type: 'pollFailed', instance: string, sent: number, failure: PollFailure }
  | { type: 'entryLinked', entry: string }
  | { type: 'entryUnlinked', entry: string }
  | { type: 'entryMessage', entry: string, message: EntryMessage }
  /** The store was read, and told which data centres are evacuated. */
  | { type: 'evacuationsRead', state: EvacuationState }
  /** The machine was suspended: contact that was agreed before has run out, whatever the clock says. */
  | { type: 'woke', asleep: number }
  | { type: 'tick' }
  | { type: 'stopOrdered' }

/** What the target is told with every order: which life of it is meant, and by whom. */
interface TargetCall {
  instance: string
  /** Fencing token: the target ignores lower ones than it has seen. */
  token: number
}

/** Without an answer within `timeout` milliseconds an order counts as unanswered. */
export type AgentEffect =
  | TargetCall & { type: 'start', task: string, run: number, payload: string, deadline: number, timeout: number }
  | TargetCall & { type: 'stop', task: string, run: number, timeout: number }
  /** Renews the lease when a deadline is given, acknowledges ends and waits up to `wait` for the next. */
  | TargetCall & { type: 'poll', sent: number, deadline: number | undefined, acknowledged: number, wait: number, timeout: number }
  | { type: 'send', entry: string, message: AgentMessage }
  /** Breaks the link off, so that it begins anew. */
  | { type: 'unlink', entry: string }
  /** Keeps what is known of the target for the next run of this agent. */
  | { type: 'rememberTarget', facts: TargetFacts }
  /** Reads from the store which data centres are evacuated. */
  | { type: 'readEvacuations' }
  /** A decision or a change of what is believed, for the log. */
  | { type: 'note', what: string, fields: Record<string, unknown> }
  | { type: 'stopped' }
