/** What agents and an entry tell each other, apart from the dispatches. */
import type { ConfigurationAdoption } from './adoption.ts'
import type { AgentLinks } from './agentlinks.ts'
import type { EntryContext } from './entrycontext.ts'
import type { Jobs } from './jobs.ts'
import type { AgentToEntry, EntryToAgent, Instance, Member, TargetDescription, TargetReport } from './messages.ts'
import type { Membership } from './membership.ts'
import type { MessageHandlers } from './messagehandlers.ts'
import type { Scheduler } from './scheduling.ts'
import type { Takeover } from './takeover.ts'
import { Responsibility } from './adoption.ts'
import { handleMessage } from './messagehandlers.ts'
import { ownerOf } from './rendezvous.ts'

/** An agent is remembered until no job that it may have started for a lost entry is. */
const AGENT_RETENTION_FACTOR = 2
/** Stands for a confirmation by the store that never came. */
const NEVER_CONFIRMED_MILLISECONDS = 1e12

export interface AgentExchangeParts {
  context: EntryContext
  agents: AgentLinks
  membership: Membership
  takeover: Takeover
  scheduler: Scheduler
  jobs: Jobs
  adoption: ConfigurationAdoption
  /** Members of the epoch that was begun last. */
  members: () => readonly Member[]
  hello: () => EntryToAgent
  /** An agent has told what its ledger names. */
  memoryProgressed: (now: number) => void
}

export class AgentExchange {
  readonly #context: EntryContext
  readonly #agents: AgentLinks
  readonly #membership: Membership
  readonly #takeover: Takeover
  readonly #scheduler: Scheduler
  readonly #jobs: Jobs
  readonly #adoption: ConfigurationAdoption
  readonly #members: () => readonly Member[]
  readonly #hello: () => EntryToAgent
  readonly #memoryProgressed: (now: number) => void

  readonly #handlers: MessageHandlers<AgentToEntry> = {
    announce: (agent, { target, report }, now) => this.#announced(agent, target, report, now),
    report: (agent, report, now) => {
      this.#scheduler.targetReport(agent, report, now)
      this.#adoption.stated(agent, report.configurationVersion)
    },
    result: (agent, result, now) => this.#jobs.result(agent, result, now),
    recalled: (agent, { epoch, lines }, now) => {
      for (const line of lines) this.#jobs.adoptLedgerLine(agent, line, now)
      this.#takeover.recalled(agent, epoch)
      this.#memoryProgressed(now)
    },
    heartbeat: (agent, heartbeat, now) => this.#heartbeat(agent, heartbeat, now)
  }

  constructor (parts: AgentExchangeParts) {
    this.#context = parts.context
    this.#agents = parts.agents
    this.#membership = parts.membership
    this.#takeover = parts.takeover
    this.#scheduler = parts.scheduler
    this.#jobs = parts.jobs
    this.#adoption = parts.adoption
    this.#members = parts.members
    this.#hello = parts.hello
    this.#memoryProgressed = parts.memoryProgressed
  }

  message (agent: Instance, message: AgentToEntry, now: number): void {
    handleMessage(this.#handlers, agent, message, now)
  }

  disconnected (agent: Instance, now: number): void {
    this.#context.emit({ type: 'note', what: 'agent disconnected', fields: { agent } })
    this.#agents.disconnected(agent, now)
    this.#scheduler.targetDown(agent, now)
    this.#adoption.disconnected(agent)
  }

  /** A new epoch: who is responsible for an agent may be another, and its ledger is asked for. */
  membersChanged (): void {
    for (const agent of this.#agents.live()) {
      this.#adoption.reassigned(agent, this.#responsibilityFor(agent))
      this.#recall(agent)
    }
  }

  /** Gives up agents that have been away for too long, and forgets the ones that matter to no job. */
  tick (now: number): void {
    const { agentLost, retention } = this.#context.timings
    for (const agent of this.#agents.overdue(agentLost, now)) this.#giveUp(agent, now)
    this.#agents.expire(retention * AGENT_RETENTION_FACTOR, now)
  }

  #announced (agent: Instance, target: TargetDescription, report: TargetReport, now: number): void {
    const replaced = this.#agents.announced(agent, target)
    this.#context.emit({ type: 'note', what: 'agent announced', fields: { agent, replaced, leaving: report.leaving, view: this.#membership.view.version } })
    if (replaced !== undefined) this.#giveUp(replaced, now)
    this.#context.sendAgent(agent, this.#hello())
    this.#scheduler.targetUp(agent, target, report, now)
    this.#adoption.connected(agent, report.configurationVersion, this.#responsibilityFor(agent), now)
    this.#takeover.learned(agent, undefined, now)
    this.#recall(agent)
    this.#jobs.agentReconnected(agent, now)
  }

  #heartbeat (agent: Instance, heartbeat: { sent: number, viewVersion: number, configurationVersion: number }, now: number): void {
    const { view } = this.#membership
    this.#membership.heardOf(heartbeat.viewVersion)
    if (heartbeat.viewVersion < view.version) this.#context.sendAgent(agent, { case: 'view', value: { view } })
    this.#adoption.stated(agent, heartbeat.configurationVersion)
    if (!this.#membership.joined) return
    const confirmedAgeMilliseconds = Math.min(this.#membership.confirmedAge(now), NEVER_CONFIRMED_MILLISECONDS)
    const value = { sent: heartbeat.sent, viewVersion: view.version, confirmedAgeMilliseconds }
    this.#context.sendAgent(agent, { case: 'heartbeatReply', value })
  }

  #giveUp (agent: Instance, now: number): void {
    this.#agents.disconnected(agent, now)
    if (!this.#agents.giveUp(agent)) return
    this.#scheduler.targetDown(agent, now)
    this.#jobs.agentLost(agent, now)
  }

  #recall (agent: Instance): void {
    if (!this.#takeover.awaitedAgents.has(agent)) return
    this.#context.sendAgent(agent, { case: 'recall', value: { epoch: this.#takeover.epoch, view: this.#membership.view } })
  }

  /** One entry sends an agent new configurations at once; the others only when it stays behind. */
  #responsibilityFor (agent: Instance): Responsibility {
    return ownerOf(agent, this.#members()) === this.#context.instance ? Responsibility.Own : Responsibility.Other
  }
}
