/** State and functions shared by the components of an entry: its name, its settings, its links and its effects. */
import type { EntryEffect } from './entrytypes.ts'
import type { MemoryLimits, Timings } from './defaults.ts'
import type { EntryToAgent, Instance, PeerMessage, View } from './messages.ts'

/** Guards of the entry, each of which is needed by some proof. @internal */
export interface EntryGuards {
  /** Look a job id up among held jobs and receipts before accepting it as new. */
  claim: boolean
  /** Accept no unknown job id before the memory of this entry's job ids is complete. */
  takeover: boolean
  /** Dispatch nothing before a second entry has the receipt. */
  secondMemory: boolean
  /** Run tasks that no ledger contains only when every ledger was read. */
  ledgersComplete: boolean
  /** Answer unknown job ids from before the horizon with "may have run". */
  horizon: boolean
  /** Answer a copy of a refused submission with the same refusal. */
  submission: boolean
  /** Match results by agent and attempt. */
  attempt: boolean
  /** Answer "not run" only while no other entry can have taken over this one's job ids. */
  inForce: boolean
  /** Remove no unresponsive entry before an entry that joined earlier has confirmed that this one is in its view. */
  acquaintance: boolean
  /** Count a refused connection only when the peer was in contact until then, or the store confirms the view. */
  refusal: boolean
  /** Hand the record of a lost entry's job to the entry that owns the job id now, and to no other. */
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
  /** Milliseconds since 1970; compared only with times stated by callers. */
  readonly wallClock: () => number
  emit: (effect: EntryEffect) => void
  view: () => View
  peerConnected: (peer: Instance) => boolean
  agentConnected: (agent: Instance) => boolean
  /** Sends if the link is up; returns whether it was. */
  sendPeer: (peer: Instance, message: PeerMessage) => boolean
  sendAgent: (agent: Instance, message: EntryToAgent) => boolean
}
