/** Events into and effects out of the agent's decision logic. */
import type { AgentToEntry, Dispatch, EntryToAgent, Instance, TaskOutcome, View } from './messages.ts'

/** What happens to an agent. */
export type AgentEvent =
  /** A stream to an entry is up. */
  | { type: 'entryConnected', entry: Instance }
  | { type: 'entryMessage', entry: Instance, message: EntryToAgent }
  | { type: 'entryDisconnected', entry: Instance }
  /** The view as read from the store, at start or when no entry is reachable. */
  | { type: 'viewRead', view: View }
  /** The call to the target ended. `task` is the number given by `startTask`. */
  | { type: 'taskEnded', task: number, outcome: TaskOutcome, payload: Uint8Array, detail: string, runMilliseconds: number }
  | { type: 'tick' }
  /** A planned stop was ordered. */
  | { type: 'stopOrdered' }

/** What the agent wants done. */
export type AgentEffect =
  | { type: 'sendEntry', entry: Instance, message: AgentToEntry }
  /** Call the target, once. The only place in the system where a task starts. */
  | { type: 'startTask', task: number, dispatch: Dispatch }
  /** Break off the call; a `taskEnded` still follows. */
  | { type: 'abortTask', task: number }
  /** Keep a link to each of these entries, and to no other. */
  | { type: 'connectEntries', entries: Array<{ instance: Instance, address: string }> }
  /** No entry is reachable: read the view from the store. */
  | { type: 'readView' }
  | { type: 'stateChanged', state: AgentState, detail: string }
  /** A decision, for the log. */
  | { type: 'note', what: string, fields: Record<string, unknown> }
  /** Nothing is left to do: the process may end. */
  | { type: 'stopped' }

/** Life of an agent, as operators see it. */
export enum AgentState {
  /** Not yet known to every entry of the view: starts nothing. */
  Joining = 'joining',
  Serving = 'serving',
  /** Cut off from the store's view and from some entry: starts nothing. */
  Isolated = 'isolated',
  /** Draining: finishes what runs and starts nothing. */
  Leaving = 'leaving'
}
