/** Events handled and effects returned by the agent's decision logic. */
import type { AgentToEntry, Dispatch, EntryToAgent, Instance, TaskOutcome, View } from './messages.ts'

/** An event that an agent handles. */
export type AgentEvent =
  /** A stream to an entry is established. */
  | { type: 'entryConnected', entry: Instance }
  | { type: 'entryMessage', entry: Instance, message: EntryToAgent }
  | { type: 'entryDisconnected', entry: Instance }
  /** The view read from the store, at start or when no entry is reachable. */
  | { type: 'viewRead', view: View }
  /** The call to the target ended. `task` is the number given by `startTask`. */
  | { type: 'taskEnded', task: number, outcome: TaskOutcome, payload: Uint8Array, detail: string, runMilliseconds: number }
  | { type: 'tick' }
  /** A planned stop was ordered. */
  | { type: 'stopOrdered' }

/** An action for the caller of the decision logic. */
export type AgentEffect =
  | { type: 'sendEntry', entry: Instance, message: AgentToEntry }
  /** Call the target, once. No other effect in the system starts a task. */
  | { type: 'startTask', task: number, dispatch: Dispatch }
  /** Abort the call; a `taskEnded` event still follows. */
  | { type: 'abortTask', task: number }
  /** Maintain a link to each of these entries, and to no other. */
  | { type: 'connectEntries', entries: Array<{ instance: Instance, address: string }> }
  /** No entry is reachable: read the view from the store. */
  | { type: 'readView' }
  | { type: 'stateChanged', state: AgentState, detail: string }
  /** Log a decision. */
  | { type: 'note', what: string, fields: Record<string, unknown> }
  /** All work is finished: the process may exit. */
  | { type: 'stopped' }

/** State of an agent, as operators see it. */
export enum AgentState {
  /** Not every entry of the view has answered yet: starts nothing. */
  Joining = 'joining',
  Serving = 'serving',
  /** Neither the view is confirmed nor does every entry respond: starts nothing. */
  Isolated = 'isolated',
  /** Draining: finishes running tasks and starts none. */
  Leaving = 'leaving'
}
