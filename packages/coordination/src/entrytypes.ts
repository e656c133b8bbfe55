/** Events handled and effects returned by the entry's decision logic. */
import type { Configuration } from './configuration.ts'
import type { AgentToEntry, Answer, EntryToAgent, Instance, Job, JobKey, JobState, PeerMessage, View } from './messages.ts'

/** An event that an entry handles. `request` identifies one waiting caller of this entry. */
export type EntryEvent =
  | { type: 'submitted', request: string, job: Job }
  | { type: 'callerGone', request: string }
  | { type: 'cancelRequested', request: string, job: JobKey }
  | { type: 'lookUpRequested', request: string, job: JobKey }
  /** A message from an agent; the first one on a stream is its `announce`. */
  | { type: 'agentMessage', agent: Instance, message: AgentToEntry }
  | { type: 'agentDisconnected', agent: Instance }
  | { type: 'peerConnected', peer: Instance }
  | { type: 'peerMessage', peer: Instance, message: PeerMessage }
  /** `refused`: a new connection to the peer's own address was refused. */
  | { type: 'peerDisconnected', peer: Instance, refused: boolean }
  /** The view read from the store; `readStarted` is the clock reading when the read was sent. */
  | { type: 'viewRead', view: View, revision: number, readStarted: number }
  | { type: 'viewReadFailed' }
  /** Outcome of `writeView`: unknown when the answer was lost. */
  | { type: 'viewWritten', outcome: 'applied' | 'conflict' | 'unknown' }
  | { type: 'configurationRead', configuration: Configuration, document: Uint8Array }
  | { type: 'tick' }
  /** A planned stop was ordered. */
  | { type: 'stopOrdered' }

/** An action for the caller of the decision logic. */
export type EntryEffect =
  | { type: 'answer', request: string, answer: Answer }
  | { type: 'lookedUp', request: string, state: JobState, answer?: Answer }
  | { type: 'sendAgent', agent: Instance, message: EntryToAgent }
  | { type: 'sendPeer', peer: Instance, message: PeerMessage }
  /** Maintain a link to each of these entries, and to no other. */
  | { type: 'connectPeers', peers: Array<{ instance: Instance, address: string }> }
  | { type: 'readView' }
  /** Write the view if the store still holds `expectedRevision` (0: no view yet). */
  | { type: 'writeView', view: View, expectedRevision: number }
  /** A newer configuration is now in force. */
  | { type: 'configurationAdopted', configuration: Configuration }
  | { type: 'stateChanged', state: EntryState, detail: string }
  /** Log a decision. */
  | { type: 'note', what: string, fields: Record<string, unknown> }
  /** For metrics, once per job and per task. `idealMilliseconds`: run time of the longest finished task. */
  | { type: 'jobFinished', tenant: string, service: string, answer: Answer, tasks: number, wholeMilliseconds: number, idealMilliseconds: number }
  | { type: 'taskFinished', tenant: string, service: string, waitMilliseconds: number, runMilliseconds: number }
  /** All work is finished: the process may exit. */
  | { type: 'stopped' }

/** State of an entry, as the balancer and operators see it. */
export enum EntryState {
  /** Not ready: not yet a member, or the memory of its job ids is not complete. */
  Joining = 'joining',
  Serving = 'serving',
  /** A planned stop: answers the jobs it has and accepts no new ones. */
  Leaving = 'leaving',
  /** Another entry has taken over: every request is refused. */
  Fenced = 'fenced'
}
