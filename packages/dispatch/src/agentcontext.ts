/** Settings and functions shared by the components of an agent. */
import type { AgentEffect } from './agenttypes.ts'
import type { Policy } from './policy.ts'
import type { Timings } from './timings.ts'

/** Guards against simultaneous runs of one task. Tests switch them off one by one. */
export interface AgentGuards {
  /** Tasks of an entry that is out of contact are stopped, and no task is started for it. */
  contact: boolean
  /** An unconfirmed start is cancelled before it counts as not started. */
  takeBack: boolean
  /** Runs left at the target by an earlier incarnation of the agent are stopped before any task starts. */
  clearing: boolean
  /** Contact counts from the time when the ping was sent, not from the arrival of its echo. */
  echoAge: boolean
  /** Starts that wait for contact are dropped when their link closes. */
  heldStarts: boolean
  /** A task that may have reached a new incarnation of the target is stopped there before it counts as gone. */
  nextLife: boolean
  /** Orders that may reach a new incarnation of the target are sent only with contact so fresh that its longest lease ends in time. */
  freshContact: boolean
  /** A new incarnation of the target is accepted only when the current one no longer answers. */
  lifeProof: boolean
  /** A refused connection or a deregistration alone ends no task before its lease has expired. */
  refusals: boolean
  /** The lease is renewed only while the entry of every task at the target is in contact. */
  boundedLease: boolean
  /** No task is started in an evacuated data centre. */
  evacuation: boolean
  /** The agent reads the evacuations from the store when an entry cannot. */
  evacuationReads: boolean
  /** Free capacity is computed from the capacity that the target announced last. */
  capacityNews: boolean
  /** No task is started later than `drain` after the leave notice of the target was acknowledged. */
  drain: boolean
}

export const ALL_AGENT_GUARDS: Readonly<AgentGuards> = { contact: true, takeBack: true, clearing: true, echoAge: true, heldStarts: true, nextLife: true, freshContact: true, lifeProof: true, refusals: true, boundedLease: true, evacuation: true, evacuationReads: true, capacityNews: true, drain: true }

export interface AgentContext {
  readonly timings: Timings
  readonly guards: AgentGuards
  readonly policy: Policy
  /** Longest time that the target takes to stop a task, in milliseconds. */
  readonly stop: number
  /** Time after a target's leave notice is acknowledged during which tasks may still start there, in milliseconds. */
  readonly drain: number
  /** Milliseconds since 1970. */
  readonly wallClock: () => number
  readonly emit: (effect: AgentEffect) => void
  /** Logs a decision or a change of the agent's state. */
  readonly note: (what: string, fields: Record<string, unknown>) => void
}
