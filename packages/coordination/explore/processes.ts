/** Processes of the world, each with a core of the product and with clocks that differ. */
import type { Agent } from '../src/agent.ts'
import type { AgentGuards } from '../src/agentguards.ts'
import type { Entry } from '../src/entry.ts'
import type { EntryGuards } from '../src/entrycontext.ts'
import type { Instance } from '../src/messages.ts'

/** Guards to be switched off. */
export interface Guards {
  entry: EntryGuards
  agent: AgentGuards
}

export interface Process {
  instance: Instance
  id: string
  alive: boolean
  frozen: boolean
  /** What has arrived while it was frozen. */
  inbox: Array<() => void>
  /** Instances to which it keeps a link, each with an instance's own address. */
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
