/** Processes of the simulated system, each with an entry or agent of the product and its own clocks. */
import type { Agent } from '../src/agent.ts'
import type { AgentGuards } from '../src/agentguards.ts'
import type { Entry } from '../src/entry.ts'
import type { EntryGuards } from '../src/entrycontext.ts'
import type { Instance } from '../src/messages.ts'

/** The guards of entries and agents, each on or off. */
export interface Guards {
  entry: EntryGuards
  agent: AgentGuards
}

export interface Process {
  instance: Instance
  id: string
  alive: boolean
  paused: boolean
  /** Events that arrived while the process was paused. */
  inbox: Array<() => void>
  /** Instances to which the process keeps a link, each at its own address. */
  wanted: Set<Instance>
  clock: () => number
  wallClock: () => number
}

export interface EntryProcess extends Process {
  core: Entry
  stopping: boolean
}

export interface AgentProcess extends Process {
  core: Agent
  target: string
}
