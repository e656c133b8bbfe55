/** Events into and effects out of the entry's decision logic. */
import type { Configuration } from './configuration.ts'
import type { AgentToEntry, Answer, EntryToAgent, Instance, Job, JobKey, JobState, PeerMessage, View } from './messages.ts'

/** What happens to an entry. `request` names one waiting caller of this entry. */
export type EntryEvent =
  | { type: 'submitted', request: string, job: Job }
  | { type: 'callerGone', request: string }
  | { type: 'cancelRequested', request: string, job: JobKey }
  | { type: 'lookUpRequested', request: string, job: JobKey }
  /** An agent's stream is up; its `announce` follows as the first message. */
  | { type: 'agentMessage', agent: Instance, message: AgentToEntry }
  | { type: 'agentDisconnected', agent: Instance }
  | { type: 'peerConnected', peer: Instance }
  | { type: 'peerMessage', peer: Instance, message: PeerMessage }
  /** `refused`: a new connection to the peer's own address was refused. */
  | { type: 'peerDisconnected', peer: Instance, refused: boolean }
  /** The view as read from the store; `readStarted` is the clock reading when the read was sent. */
  | { type: 'viewRead', view: View, revision: number, readStarted: number }
  | { type: 'viewReadFailed' }
  /** Outcome of `writeView`: unknown when the answer was lost. */
  | { type: 'viewWritten', outcome: 'applied' | 'conflict' | 'unknown' }
  | { type: 'configurationRead', configuration: Configuration, document: Uint8Array }
  | { type: 'tick' }
  /** A planned stop was ordered. */
  | { type: 'stopOrdered' }

/** What the entry wants done. */
export type EntryEffect =
  | { type: 'answer', request: string, answer: Answer }
  | { type: 'lookedUp', request: string, state: JobState, answer?: Answer }
  | { type: 'sendAgent', agent: Instance, message: EntryToAgent }
  | { type: 'sendPeer', peer: Instance, message: PeerMessage }
  /** Keep a link to each of these entries, and to no other. */
  | { type: 'connectPeers', peers: Array<{ instance: Instance, address: string }> }
  | { type: 'readView' }
  /** Write the view if the store still holds `expectedRevision` (0: nothing yet). */
  | { type: 'writeView', view: View, expectedRevision: number }
  /** A newer configuration came from a peer and is now in force; `document` as stored. */
  | { type: 'configurationAdopted', configuration: Configuration }
  | { type: 'stateChanged', state: EntryState, detail: string }
  /** A decision, for the log. */
  | { type: 'note', what: string, fields: Record<string, unknown> }
  /** For metrics, once per job and per task. `idealMilliseconds`: run of the longest task that has ended. */
  | { type: 'jobFinished', tenant: string, service: string, answer: Answer, tasks: number, wholeMilliseconds: number, idealMilliseconds: number }
  | { type: 'taskFinished', tenant: string, service: string, waitMilliseconds: number, runMilliseconds: number }
  /** Nothing is left to do: the process may end. */
  | { type: 'stopped' }

/** Life of an entry, as the balancer and operators see it. */
export enum EntryState {
  /** Not yet a member, or the memory of its job ids is not complete: not ready. */
  Joining = 'joining',
  Serving = 'serving',
  /** A planned stop: answers what it has, takes nothing new. */
  Leaving = 'leaving',
  /** Another entry has taken over: everything is refused. */
  Fenced = 'fenced'
}
