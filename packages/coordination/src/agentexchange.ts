/** Messages between agents and an entry, apart from dispatches. */
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

/**
 * Multiple of the retention time for which a lost agent is kept, so that it outlasts every job that the agent may have
 * started for a lost entry.
 */
const AGENT_RETENTION_FACTOR = 2
/** Confirmation age that is sent when the store has never confirmed the view. */
const NEVER_CONFIRMED_MILLISECONDS = 1e12

export interface AgentExchangeDependencies {
  context: EntryContext
  agents: AgentLinks
  membership: Membership
  takeover: Takeover
  scheduler: Scheduler
  jobs: Jobs
  adoption: ConfigurationAdoption
  /** Members of the epoch that began last. */
  members: () => readonly Member[]
  hello: () => EntryToAgent
  /** Called when an agent has sent its ledger records. */
  memoryUpdated: (now: number) => void
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
  readonly #memoryUpdated: (now: number) => void

  readonly #handlers: MessageHandlers<AgentToEntry> = {
    announce: (agent, { target, report }, now) => this.#announced(agent, target, report, now),
    report: (agent, report, now) => {
      this.#scheduler.targetReport(agent, report, now)
      this.#adoption.noteVersion(agent, report.configurationVersion)
    },
    result: (agent, result, now) => this.#jobs.result(agent, result, now),
    recalled: (agent, { epoch, lines }, now) => {
      for (const line of lines) this.#jobs.adoptLedgerLine(agent, line, now)
      this.#takeover.recalled(agent, epoch)
      this.#memoryUpdated(now)
    },
    heartbeat: (agent, heartbeat, now) => this.#heartbeat(agent, heartbeat, now)
  }

  constructor (dependencies: AgentExchangeDependencies) {
    this.#context = dependencies.context
    this.#agents = dependencies.agents
    this.#membership = dependencies.membership
    this.#takeover = dependencies.takeover
    this.#scheduler = dependencies.scheduler
    this.#jobs = dependencies.jobs
    this.#adoption = dependencies.adoption
    this.#members = dependencies.members
    this.#hello = dependencies.hello
    this.#memoryUpdated = dependencies.memoryUpdated
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

  /** Begins a new epoch: reassigns the responsibility for each agent and recalls its ledger records. */
  membersChanged (): void {
    for (const agent of this.#agents.live()) {
      this.#adoption.reassigned(agent, this.#responsibilityFor(agent))
      this.#sendRecall(agent)
    }
  }

  /** Marks agents as lost that have been disconnected for too long, and removes those that are relevant to no job. */
  tick (now: number): void {
    const { agentLost, retention } = this.#context.timings
    for (const agent of this.#agents.overdue(agentLost, now)) this.#abandon(agent, now)
    this.#agents.expire(retention * AGENT_RETENTION_FACTOR, now)
  }

  #announced (agent: Instance, target: TargetDescription, report: TargetReport, now: number): void {
    const replaced = this.#agents.announced(agent, target)
    this.#context.emit({ type: 'note', what: 'agent announced', fields: { agent, replaced, leaving: report.leaving, view: this.#membership.view.version } })
    if (replaced !== undefined) this.#abandon(replaced, now)
    this.#context.sendAgent(agent, this.#hello())
    this.#scheduler.targetUp(agent, target, report, now)
    this.#adoption.connected(agent, report.configurationVersion, this.#responsibilityFor(agent), now)
    this.#takeover.addAgent(agent, undefined, now)
    this.#sendRecall(agent)
    this.#jobs.agentReconnected(agent, now)
  }

  #heartbeat (agent: Instance, heartbeat: { sent: number, viewVersion: number, configurationVersion: number }, now: number): void {
    const { view } = this.#membership
    this.#membership.noteViewVersion(heartbeat.viewVersion)
    if (heartbeat.viewVersion < view.version) this.#context.sendAgent(agent, { case: 'view', value: { view } })
    this.#adoption.noteVersion(agent, heartbeat.configurationVersion)
    if (!this.#membership.joined) return
    const confirmedAgeMilliseconds = Math.min(this.#membership.confirmedAge(now), NEVER_CONFIRMED_MILLISECONDS)
    const value = { sent: heartbeat.sent, viewVersion: view.version, confirmedAgeMilliseconds }
    this.#context.sendAgent(agent, { case: 'heartbeatReply', value })
  }

  #abandon (agent: Instance, now: number): void {
    this.#agents.disconnected(agent, now)
    if (!this.#agents.giveUp(agent)) return
    this.#scheduler.targetDown(agent, now)
    this.#jobs.agentLost(agent, now)
  }

  #sendRecall (agent: Instance): void {
    if (!this.#takeover.awaitedAgents.has(agent)) return
    this.#context.sendAgent(agent, { case: 'recall', value: { epoch: this.#takeover.epoch, view: this.#membership.view } })
  }

  /** The owner of the agent's name sends it new configurations at once; the other entries only if it stays behind. */
  #responsibilityFor (agent: Instance): Responsibility {
    return ownerOf(agent, this.#members()) === this.#context.instance ? Responsibility.Own : Responsibility.Other
  }
}
