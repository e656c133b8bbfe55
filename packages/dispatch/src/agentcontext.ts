/** What the parts of an agent share. */
import type { AgentEffect } from './agenttypes.ts'
import type { Policy } from './policy.ts'
import type { Timings } from './timings.ts'

/** Guards against two runs of one task. */
export interface AgentGuards {
  /** Tasks of an entry out of contact are stopped, and nothing is started for it. */
  contact: boolean
  /** A start without an answer is taken back before it counts as not started. */
  takeBack: boolean
  /** What a predecessor left at the target is stopped before anything starts. */
  clearing: boolean
  /** Contact counts from the sending of the ping, not from the arrival of its echo. */
  echoAge: boolean
  /** Starts that wait for contact end with their link. */
  heldStarts: boolean
  /** A task that may have reached the next life of the target is stopped there before it counts as gone. */
  nextLife: boolean
  /** What the next life of the target may take is sent only in so fresh a contact that its longest lease ends in time. */
  freshContact: boolean
  /** A life of the target is followed by another only when it no longer answers. */
  lifeProof: boolean
  /** A refused connection, or a deregistration alone, ends no task before its lease has lapsed. */
  refusals: boolean
  /** The lease is renewed only while every task at the target is awaited. */
  boundedLease: boolean
  /** Nothing is started in an evacuated data centre. */
  evacuation: boolean
  /** The store is read for evacuations when an entry has lost it. */
  evacuationReads: boolean
  /** Room is counted by the capacity that the target stated last. */
  capacityNews: boolean
  /** Nothing is started later than `drain` after the notice of a target was acknowledged. */
  drain: boolean
}

export const ALL_AGENT_GUARDS: Readonly<AgentGuards> = { contact: true, takeBack: true, clearing: true, echoAge: true, heldStarts: true, nextLife: true, freshContact: true, lifeProof: true, refusals: true, boundedLease: true, evacuation: true, evacuationReads: true, capacityNews: true, drain: true }

export interface AgentContext {
  readonly timings: Timings
  readonly guards: AgentGuards
  readonly policy: Policy
  /** A stop of a task takes the target at most this long, in milliseconds. */
  readonly stop: number
  /** Time after the acknowledgement of a target's notice within which tasks may start there, in milliseconds. */
  readonly drain: number
  /** Milliseconds since 1970. */
  readonly wallClock: () => number
  readonly emit: (effect: AgentEffect) => void
  /** Logs a decision or a change of what is believed. */
  readonly note: (what: string, fields: Record<string, unknown>) => void
}
