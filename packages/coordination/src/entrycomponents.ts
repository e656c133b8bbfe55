/** Creates the components of an entry and passes each its dependencies. */
import type { ParseConfiguration } from './configurationexchange.ts'
import type { MemoryLimits, Timings } from './defaults.ts'
import type { EntryContext, EntryGuards } from './entrycontext.ts'
import type { EntryEffect } from './entrytypes.ts'
import type { EntryToAgent, Instance, Member, PeerMessage } from './messages.ts'
import type { Scheduler } from './scheduling.ts'
import { ConfigurationAdoption } from './adoption.ts'
import { AgentExchange } from './agentexchange.ts'
import { AgentLinks } from './agentlinks.ts'
import { ConfigurationExchange } from './configurationexchange.ts'
import { DEFAULT_MEMORY_LIMITS, DEFAULT_TIMINGS } from './defaults.ts'
import { ALL_ENTRY_GUARDS } from './entrycontext.ts'
import { EntryLinks } from './entrylinks.ts'
import { Jobs } from './jobs.ts'
import { Membership } from './membership.ts'
import { PeerExchange } from './peerexchange.ts'
import { PlannedStop } from './plannedstop.ts'
import { JobMemory } from './jobmemory.ts'
import { Receipts } from './receipts.ts'
import { Router } from './router.ts'
import { Takeover } from './takeover.ts'
import { Transfers } from './transfers.ts'

export interface EntryOptions {
  instance: Instance
  /** URL of the inner listener, reachable by other processes. */
  address: string
  dataCentre: string
  scheduler: Scheduler
  parseConfiguration: ParseConfiguration
  random: () => number
  wallClock: () => number
  /** @default DEFAULT_TIMINGS */
  timings?: Timings
  /** @default DEFAULT_MEMORY_LIMITS */
  limits?: MemoryLimits
  /** Guards to switch off, to show that a proof fails without them. @internal */
  guards?: EntryGuards
}

/** Callbacks from the components to the entry. */
export interface EntryHooks {
  emit: (effect: EntryEffect) => void
  hello: () => EntryToAgent & PeerMessage
  /** Sends a heartbeat to every other entry at once. */
  heartbeat: (now: number) => void
  /** Members of the epoch that began last. */
  members: () => readonly Member[]
  /** Members of the current view, without this entry. */
  otherMembers: () => readonly Member[]
  membersChanged: (now: number) => void
  /** Called when another process has sent the jobs it holds or the tasks it started. */
  memoryUpdated: (now: number) => void
  ready: () => boolean
  settling: (now: number) => boolean
  stop: () => void
}

export interface EntryComponents {
  readonly scheduler: Scheduler
  readonly adoption: ConfigurationAdoption
  readonly agents: AgentLinks
  readonly links: EntryLinks
  readonly membership: Membership
  readonly takeover: Takeover
  readonly memory: JobMemory
  readonly receipts: Receipts
  readonly jobs: Jobs
  readonly router: Router
  readonly transfers: Transfers
  readonly configurations: ConfigurationExchange
  readonly agentExchange: AgentExchange
  readonly peerExchange: PeerExchange
  readonly plannedStop: PlannedStop
}

/** Creates all components of an entry. */
export function assembleEntry (options: EntryOptions, hooks: EntryHooks): EntryComponents {
  const { scheduler, parseConfiguration: parse } = options
  const { hello, members, otherMembers, membersChanged, memoryUpdated, ready, settling, stop } = hooks
  const agents = new AgentLinks()
  const links = new EntryLinks(agents, hooks.emit)
  const adoption = new ConfigurationAdoption({ random: options.random })
  const context = newContext(options, hooks, links, agents, () => membership)
  const membership = newMembership(options, context, links)
  const takeover = new Takeover(context.timings)
  const memory = new JobMemory({ context, membership, takeover, agents })
  const receipts = new Receipts(context.timings.retention)
  const jobs: Jobs = new Jobs(context, scheduler, (to, job, answer, now) => router.reply(to, job, answer, now))
  const horizon = (): number => memory.horizon
  const inForce = (now: number): boolean => membership.inForce(now)
  const router = new Router({ context, jobs, receipts, takeover, horizon, ready, settling, inForce })
  const transfers = new Transfers({ context, jobs, receipts, agents, takeover, memory, members })
  const configurations = new ConfigurationExchange({ context, adoption, scheduler, parse, announce: hooks.heartbeat })
  const agentExchange = new AgentExchange({ context, agents, membership, takeover, scheduler, jobs, adoption, members, hello, memoryUpdated })
  const peerExchange = new PeerExchange({ context, links, membership, adoption, configurations, receipts, jobs, router, transfers, hello, membersChanged, memoryUpdated })
  const idle = (): boolean => jobs.open === 0 && router.waiting === 0
  const handOver = (): void => transfers.handOver(otherMembers())
  const plannedStop = new PlannedStop({ context, membership, otherMembers, idle, handOver, stop })
  return { scheduler, adoption, agents, links, membership, takeover, memory, receipts, jobs, router, transfers, configurations, agentExchange, peerExchange, plannedStop }
}

function newContext (options: EntryOptions, { emit }: EntryHooks, links: EntryLinks, agents: AgentLinks, membership: () => Membership): EntryContext {
  return {
    instance: options.instance,
    timings: options.timings ?? DEFAULT_TIMINGS,
    limits: options.limits ?? DEFAULT_MEMORY_LIMITS,
    guards: options.guards ?? ALL_ENTRY_GUARDS,
    wallClock: options.wallClock,
    emit,
    view: () => membership().view,
    peerConnected: peer => links.peers.has(peer),
    agentConnected: agent => agents.connected(agent),
    sendPeer: (peer, message) => links.sendPeer(peer, message),
    sendAgent: (agent, message) => links.sendAgent(agent, message)
  }
}

function newMembership ({ instance, address, dataCentre }: EntryOptions, { timings, guards, emit }: EntryContext, links: EntryLinks): Membership {
  return new Membership({
    self: { instance, address, dataCentre, leaving: false },
    timings,
    guards,
    emit,
    announceRefused: peer => links.broadcast({ case: 'refused', value: { instance: peer } })
  })
}
