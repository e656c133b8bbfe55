/** Both ends of a link between an entry and an agent, as the daemons' dialer and listener present it to the cores. */
import type { AgentEffect, AgentEvent } from '@amaranthmast/dispatch/agenttypes'
import type { EntryEffect, EntryEvent } from '@amaranthmast/dispatch/entrytypes'
import type { AgentMessage, EntryMessage } from '@amaranthmast/dispatch/messages'
import type { LinkEnd } from './connections.ts'
import type { Process } from './process.ts'

export type EntryProcess = Process<EntryEvent, EntryEffect>
export type AgentProcess = Process<AgentEvent, AgentEffect>

/** Ends for the present runs of both processes. Their names carry a number: `entry3`, `agent0`. */
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

/** The link between an entry and an agent, by their numbers. */
export function pairOf (entry: number, agent: number): string {
  return `${entry}-${agent}`
}

/** Number in `entry3#1` or `agent3`. */
export function numberOf (name: string): number {
  return Number(/\d+/.exec(name)?.[0])
}
