/** Both ends of a link between an entry and an agent. They post the events that the daemons' dialer and listener pass to the cores. */
import type { AgentEffect, AgentEvent } from '@amaranthmast/dispatch/agenttypes'
import type { EntryEffect, EntryEvent } from '@amaranthmast/dispatch/entrytypes'
import type { AgentMessage, EntryMessage } from '@amaranthmast/dispatch/messages'
import type { LinkEnd } from './connections.ts'
import type { Process } from './process.ts'

export type EntryProcess = Process<EntryEvent, EntryEffect>
export type AgentProcess = Process<AgentEvent, AgentEffect>

/** Ends for the current incarnations of both processes, whose names contain an index: `entry3`, `agent0`. */
export function linkEnds (entry: EntryProcess, agent: AgentProcess): { entryEnd: LinkEnd, agentEnd: LinkEnd } {
  const entryIncarnation = `${entry.name}#${entry.incarnation}`
  const { name, incarnation } = agent
  return {
    entryEnd: {
      linked: () => entry.post({ type: 'agentLinked', agent: name, incarnation: String(incarnation) }),
      received: message => entry.post({ type: 'agentMessage', agent: name, message: message as AgentMessage }),
      unlinked: () => entry.post({ type: 'agentUnlinked', agent: name })
    },
    agentEnd: {
      linked: () => agent.post({ type: 'entryLinked', entry: entryIncarnation }),
      received: message => agent.post({ type: 'entryMessage', entry: entryIncarnation, message: message as EntryMessage }),
      unlinked: () => agent.post({ type: 'entryUnlinked', entry: entryIncarnation })
    }
  }
}

/** Key of the link between an entry and an agent, by their indexes. */
export function pairOf (entry: number, agent: number): string {
  return `${entry}-${agent}`
}

/** Index of a process: 3 for `entry3#1` or `agent3`. */
export function numberOf (name: string): number {
  return Number(/\d+/.exec(name)?.[0])
}
