/** What the parts of an entry share: who it is, its settings, its links and where effects go. */
import type { EntryEffect } from './entrytypes.ts'
import type { MemoryLimits, Timings } from './defaults.ts'
import type { EntryToAgent, Instance, PeerMessage, View } from './messages.ts'

/** Guards of the entry, each of which some proof needs. @internal */
export interface EntryGuards {
  /** Look a job id up among held jobs and receipts before taking it as new. */
  claim: boolean
  /** Take no unknown job id before the memory of its range is complete. */
  takeover: boolean
  /** Dispatch nothing before a second entry has the receipt. */
  secondMemory: boolean
  /** Run what no ledger names only when every ledger was read. */
  ledgersComplete: boolean
  /** Answer unknown job ids from before the horizon with "may have run". */
  horizon: boolean
  /** Answer a copy of a refused submission with the same refusal. */
  submission: boolean
  /** Match results by agent and attempt. */
  attempt: boolean
  /** Say "not run" only while no other entry can have taken this one's job ids over. */
  inForce: boolean
  /** Remove no silent entry before one that was there earlier has told that it knows this one. */
  acquaintance: boolean
  /** Count a refused connection only when the peer was heard until then, or the store confirms the view. */
  refusal: boolean
  /** Give what is known of a lost entry's job to the entry that owns it now, and no other. */
  release: boolean
}

export const ALL_ENTRY_GUARDS: EntryGuards = {
  claim: true,
  takeover: true,
  secondMemory: true,
  ledgersComplete: true,
  horizon: true,
  submission: true,
  attempt: true,
  inForce: true,
  acquaintance: true,
  refusal: true,
  release: true
}

export interface EntryContext {
  readonly instance: Instance
  readonly timings: Timings
  readonly limits: MemoryLimits
  readonly guards: EntryGuards
  /** Milliseconds since 1970; only ever compared with what callers state. */
  readonly wallClock: () => number
  emit: (effect: EntryEffect) => void
  view: () => View
  peerConnected: (peer: Instance) => boolean
  agentConnected: (agent: Instance) => boolean
  /** Sends if the link is up; whether it was. */
  sendPeer: (peer: Instance, message: PeerMessage) => boolean
  sendAgent: (agent: Instance, message: EntryToAgent) => boolean
}
