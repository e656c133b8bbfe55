/** What the fleet and its network share of one process. */
import type { Agent } from '@amaranthmast/coordination/agent'
import type { Entry } from '@amaranthmast/coordination/entry'
import type { Instance } from '@amaranthmast/coordination/messages'

/** One process of the fleet. */
export interface FleetProcess {
  instance: Instance
  alive: boolean
  pausedUntil: number
  /** What happened while it was paused. */
  missed: Array<() => void>
  entry?: Entry
  agent?: Agent
  /** Instances that it keeps a link to. */
  wanted: Set<Instance>
  reading: boolean
  /** Whether its settings name entries to ask for the view when the store does not answer. */
  seeds?: boolean
}
