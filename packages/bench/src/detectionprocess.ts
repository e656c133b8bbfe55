/** State of one simulated process, shared by the fleet and its network. */
import type { Agent } from '@amaranthmast/coordination/agent'
import type { Entry } from '@amaranthmast/coordination/entry'
import type { Instance } from '@amaranthmast/coordination/messages'

/** One process of the fleet. */
export interface FleetProcess {
  instance: Instance
  alive: boolean
  pausedUntil: number
  /** Callbacks to run when the pause ends. */
  deferred: Array<() => void>
  entry?: Entry
  agent?: Agent
  /** Instances to which it maintains a link. */
  wanted: Set<Instance>
  /** Whether a read of the view is in progress. */
  readingView: boolean
  /** Whether its settings list seed entries, which provide the view when the store does not respond. */
  seeds?: boolean
}
