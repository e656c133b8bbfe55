/** The agents of one entry: which tasks were placed where, how they ended, and which agents are reachable. */
import type { CapacityFigures, ForecastStatus } from './capacityforecast.ts'
import type { EntryEffect } from './entrytypes.ts'
import type { EvacuationState } from './evacuations.ts'
import type { FleetGuards } from './fleetguards.ts'
import type { Placement } from './fleetview.ts'
import type { Job, Task } from './job.ts'
import type { AgentMessage, CrashRecord, Echo, SlowTask, TaskEnd, TaskReference } from './messages.ts'
import type { PartitionTarget } from './partitions.ts'
import type { Policy } from './policy.ts'
import type { Timings } from './timings.ts'
import { FORECAST_TIMES_MILLISECONDS } from './capacitydefaults.ts'
import { AGENT_RETENTION_MILLISECONDS } from './defaults.ts'
import { PARTITION_QUIET_FACTOR } from './partitiondefaults.ts'
import { CapacityForecast } from './capacityforecast.ts'
import { RemoteCost } from './farcost.ts'
import { FleetSpeeds } from './fleetspeeds.ts'
import { FleetTrust } from './fleettrust.ts'
import { AgentView } from './fleetview.ts'
import { Cause, Isolation, Outcome, AllocationRole } from './messages.ts'

/** A task to be started at a target. */
export interface PlannedStart {
  task: Task
  needs: Placement['needs']
  /** Expected run time at an average target, in milliseconds. */
  expected: number
}

export interface FleetOptions {
  timings: Timings
  /** Data centre of this entry. */
  dataCentre: string
  guards: FleetGuards
  policy: Policy
  emit: (effect: EntryEffect) => void
  /** Whether jobs with tasks to place are queued. */
  waiting: () => boolean
  /** One start of a task has ended, and none of its processes run any more. */
  ended: (agent: AgentView, placementOf: Placement, end: TaskEnd, now: number) => void
  slow: (agent: AgentView, placement: Placement, slow: SlowTask, now: number) => void
  /** An agent has reported which tasks were running when its target was lost. */
  crashed: (agent: string, records: readonly CrashRecord[], now: number) => void
  /** A link to an agent has opened, and nothing has been sent on it yet. */
  opened: (agent: string) => void
  /** An agent has sent its state of evacuated data centres. */
  evacuationsReceived: (agent: string, state: EvacuationState) => void
}

type Handlers = {
  [Type in AgentMessage['type']]: (agent: AgentView, message: Extract<AgentMessage, { type: Type }>, now: number) => void
}

export class Fleet {
  readonly #options: FleetOptions
  readonly #agents = new Map<string, AgentView>()
  readonly #trust: FleetTrust
  readonly speeds: FleetSpeeds
  readonly remoteCost: RemoteCost
  readonly #forecast = new CapacityForecast()
  #roleFor: (agent: AgentView) => AllocationRole = () => AllocationRole.Chooses
  #evacuated: (dataCentre: string | undefined) => boolean = () => false

  readonly #handlers: Handlers = {
    announce: (agent, message, now) => this.#announced(agent, message, now),
    ping: (agent, { sent, load }, now) => {
      agent.noteLoad(load)
      agent.toEcho = sent
      this.#echo(agent, now)
    },
    ends: (agent, { first, ends, sent, load }, now) => {
      agent.noteLoad(load)
      agent.toEcho = sent
      for (const [index, end] of ends.entries()) this.#ended(agent, first + index, end, now)
    },
    load: (agent, { load }) => agent.noteLoad(load),
    crashes: ({ name }, { records }, now) => this.#options.crashed(name, records, now),
    evacuations: ({ name }, { state }) => this.#options.evacuationsReceived(name, state),
    slow: (agent, { tasks }, now) => {
      for (const slow of tasks) {
        const placement = this.#placement(agent, slow)
        if (placement === undefined) continue
        this.#options.slow(agent, placement, slow, now)
      }
    }
  }

  constructor (options: FleetOptions) {
    this.#options = options
    this.speeds = new FleetSpeeds({ policy: options.policy, note: (what, fields) => this.#note(what, fields) })
    this.remoteCost = new RemoteCost({ penalty: options.policy.farPenalty, agents: () => this.#agents.values() })
    this.#trust = new FleetTrust({ policy: options.policy, note: (what, fields) => this.#note(what, fields) })
  }

  get linked (): number {
    return this.linkedNames().length
  }

  /** Names of the agents with a link. */
  linkedNames (): string[] {
    return [...this.#agents.values()].filter(agent => agent.linked).map(({ name }) => name)
  }

  /** Sets which data centres are evacuated. Nothing new is placed there; running tasks finish normally. */
  setEvacuated (evacuated: (dataCentre: string | undefined) => boolean): void {
    this.#evacuated = evacuated
    for (const agent of this.#agents.values()) agent.evacuated = evacuated(agent.dataCentre)
  }

  /** Whether every known target of the service is in an evacuated data centre. */
  isFullyEvacuated (service: string): boolean {
    const known = this.known(service)
    return known.length > 0 && known.every(({ evacuated }) => evacuated)
  }

  /** Agents at which this entry can place tasks of the service now. */
  usable (service: string, now: number): AgentView[] {
    return [...this.#agents.values()].filter(agent => agent.target?.service === service && agent.usable(now))
  }

  /** Agents with a target of the service, usable or not. */
  known (service: string): AgentView[] {
    return [...this.#agents.values()].filter(agent => agent.target?.service === service)
  }

  /** Agents whose targets can take a start now, including those that this entry avoids. */
  reachable (service: string, now: number): AgentView[] {
    return [...this.#agents.values()].filter(agent => agent.target?.service === service && agent.reachable(now))
  }

  /** Agents of the service at which this entry places nothing now. */
  unusable (service: string, now: number): AgentView[] {
    return [...this.#agents.values()].filter(agent => agent.target?.service === service && !(agent.usable(now) && agent.healthAllowsMore()))
  }

  agent (name: string): AgentView | undefined {
    return this.#agents.get(name)
  }

  /** Names of the agents that have tasks of a step, once for each task. */
  agentsOf (job: Job, step: number): string[] {
    if (job.placed === 0) return []
    return [...this.#agents.values()].flatMap(({ name, placements }) =>
      [...placements.values()].filter(({ task }) => task.job === job && task.step === step).map(() => name))
  }

  /** Number of targets in each data centre that is not evacuated, including targets that are temporarily away. */
  targetsByDataCentre (): Map<string, number> {
    const sizes = new Map<string, number>()
    for (const { dataCentre, evacuated } of this.#agents.values()) if (dataCentre !== undefined && !evacuated) sizes.set(dataCentre, (sizes.get(dataCentre) ?? 0) + 1)
    return sizes
  }

  /** Capacity of a service `ahead` milliseconds from now; 0 for the present. */
  capacityOf (service: string, ahead: number, now: number): CapacityFigures {
    return this.#forecast.at(this.#agents.values(), service, ahead, now)
  }

  /** Services of all known targets. */
  services (): string[] {
    return [...new Set([...this.#agents.values()].flatMap(({ service }) => service ?? []))]
  }

  /** Forecast capacity of a service in thousandths of a core, keyed by milliseconds from now. */
  capacityAhead (service: string, now: number): Record<number, number> {
    return Object.fromEntries(FORECAST_TIMES_MILLISECONDS.map(ahead => [ahead, this.capacityOf(service, ahead, now).total]))
  }

  /** Capacity figures of a service for status pages. */
  capacityStatus (service: string, now: number): ForecastStatus {
    return this.#forecast.status([...this.#agents.values()], service, now)
  }

  /** Targets that are divided among entries as partitions: those not evacuated, including those temporarily away. */
  partitionTargets (): PartitionTarget[] {
    const targets: PartitionTarget[] = []
    for (const { name, service, dataCentre, evacuated } of this.#agents.values()) if (dataCentre !== undefined && service !== undefined && !evacuated) targets.push({ name, service, dataCentre })
    return targets
  }

  /** Free processors at the selected targets, in thousandths of a core. */
  freeCpu (within: (agent: AgentView) => boolean): number {
    let sum = 0
    for (const agent of this.#agents.values()) if (agent.linked && agent.target?.leaving === false && !agent.evacuated && within(agent)) sum += Math.max(0, agent.free.cpu)
    return sum
  }

  get guards (): FleetGuards {
    return this.#options.guards
  }

  /** Sets how this entry obtains capacity at each target, and sends each agent its role. */
  setRoles (roleOf: (agent: AgentView) => AllocationRole): void {
    this.#roleFor = roleOf
    for (const agent of this.#agents.values()) this.#sendRole(agent)
  }

  #sendRole (agent: AgentView): void {
    const role = agent.dataCentre === undefined ? AllocationRole.Chooses : this.#roleFor(agent)
    if (!agent.linked || agent.role === role) return
    agent.role = role
    // The agent replies to the new role with its load, which may be out of date on a link that is pinged rarely. Until
    // then the target counts as full.
    if (this.#options.policy.partitions && role !== AllocationRole.Asks) agent.noteFull()
    this.#options.emit({ type: 'send', agent: agent.name, message: { type: 'role', role } })
  }

  agentLinked (name: string, incarnation: string, now: number): void {
    let agent = this.#agents.get(name)
    if (agent === undefined) {
      agent = new AgentView(name, this.#options.policy.partitions ? PARTITION_QUIET_FACTOR : 1)
      this.#agents.set(name, agent)
      this.#trust.add(agent)
    }
    if (agent.incarnation !== incarnation) {
      agent.incarnation = incarnation
      agent.predecessorEchoedAt = agent.placements.size > 0 ? agent.echoedAt : undefined
      agent.received = 0
      agent.noteTarget(undefined)
    }
    agent.linked = true
    agent.announced = false
    agent.role = AllocationRole.Chooses
    agent.toEcho = undefined
    agent.heardAt = now
    this.#note('agent linked', { agent: name, incarnation, placed: agent.placements.size })
    this.#options.opened(name)
  }

  agentUnlinked (name: string, now: number): void {
    const agent = this.#agents.get(name)
    if (agent === undefined || !agent.linked) return
    agent.linked = false
    this.#forecast.note(agent, now)
    this.#note('agent unlinked', { agent: name, placed: agent.placements.size, heardAgo: Math.round(now - agent.heardAt) })
  }

  message (name: string, message: AgentMessage, now: number): void {
    const agent = this.#agents.get(name)
    if (agent === undefined || !agent.linked) return
    agent.heardAt = now
    const handler = this.#handlers[message.type] as ((agent: AgentView, message: AgentMessage, now: number) => void) | undefined
    // During a rolling upgrade an agent may send message types that this entry does not support.
    if (handler === undefined) return this.#note('message of an unknown kind ignored', { agent: name, type: message.type })
    handler(agent, message, now)
  }

  /** Reserves capacity for a task; `send` then starts it. */
  reserve (agent: AgentView, { task, needs, expected }: PlannedStart, now: number): void {
    agent.add({ task, attempt: task.attempt, incarnation: agent.incarnation, needs, expected, placedAt: now, stopping: false })
  }

  /** Sends the starts of a job's tasks to a target. */
  send (agent: AgentView, job: Job, starts: readonly PlannedStart[], now: number): void {
    const tasks = starts.map(({ task, needs, expected }) =>
      ({ task: task.name, attempt: task.attempt, needs, expected: Math.round(expected), ...(task.isolation === Isolation.None ? {} : { isolation: task.isolation }) }))
    const echo = this.#takeEcho(agent, now)
    const message = { type: 'start' as const, payload: job.request.payload, tasks }
    this.#options.emit({ type: 'send', agent: agent.name, message: echo === undefined ? message : { ...message, echo } })
  }

  /** Stops all tasks of a job. */
  stopJob (job: Job): void {
    if (job.placed === 0) return
    for (const agent of this.#agents.values()) {
      const tasks = [...agent.placements.values()].filter(({ task }) => task.job === job)
      if (tasks.length > 0) this.stop(agent, tasks)
    }
  }

  stop (agent: AgentView, placements: readonly Placement[]): void {
    const tasks = placements.filter(placement => !placement.stopping).map(({ task, attempt }) => ({ task: task.name, attempt }))
    for (const placement of placements) placement.stopping = true
    if (tasks.length > 0) this.#options.emit({ type: 'send', agent: agent.name, message: { type: 'stop', tasks } })
  }

  tick (now: number): void {
    const { contact, ping, silence } = this.#options.timings
    this.speeds.review([...this.#agents.values()], now)
    for (const agent of this.#agents.values()) {
      this.#trust.probeIfDue(agent, now)
      agent.expireGrants(now)
      if (agent.linked && now - agent.echoedAt >= ping) this.#echo(agent, now)
      if (agent.linked && agent.timeWithoutContact(now) >= agent.contactTimeout(contact)) {
        this.#note('agent silent', { agent: agent.name, placed: agent.placements.size })
        agent.linked = false
        this.#forecast.note(agent, now)
        this.#options.emit({ type: 'unlink', agent: agent.name })
      }
      if (!agent.linked && agent.placements.size === 0 && now - agent.heardAt >= AGENT_RETENTION_MILLISECONDS) this.#removeAgent(agent)
      this.#endTasksOfEarlierIncarnation(agent, now)
      if (agent.linked || (this.#options.guards.silence && now < agent.echoedAt + silence)) continue
      this.#endUnresponsive(agent, [...agent.placements.values()], agent.echoedAt, now)
    }
  }

  /**
   * Ends the tasks of an earlier incarnation of the agent after `silence`, also while the new incarnation has not found
   * a target.
   */
  #endTasksOfEarlierIncarnation (agent: AgentView, now: number): void {
    const { predecessorEchoedAt: echoedAt, incarnation } = agent
    if (echoedAt === undefined || now < echoedAt + this.#options.timings.silence) return
    agent.predecessorEchoedAt = undefined
    this.#endUnresponsive(agent, [...agent.placements.values()].filter(placement => placement.incarnation !== incarnation), echoedAt, now)
  }

  #endUnresponsive (agent: AgentView, placements: readonly Placement[], echoedAt: number, now: number): void {
    if (placements.length === 0) return
    this.#note('tasks of a silent agent ended', { agent: agent.name, tasks: placements.length, echoedAgo: Math.round(now - echoedAt) })
    for (const placement of placements) this.#endAsGone(agent, placement, Cause.Expired, now)
  }

  #removeAgent (agent: AgentView): void {
    this.#agents.delete(agent.name)
    this.#trust.remove(agent)
    this.#forecast.remove(agent)
    this.#note('agent removed', { agent: agent.name, instance: agent.target?.instance })
  }

  /** Echoes the agent's last clock reading, unless it was echoed already or the agent must first get stops again. */
  #echo (agent: AgentView, now: number): void {
    const echo = this.#takeEcho(agent, now)
    if (echo !== undefined) this.#options.emit({ type: 'send', agent: agent.name, message: { type: 'echo', ...echo } })
  }

  #takeEcho (agent: AgentView, now: number): Echo | undefined {
    const { toEcho, received } = agent
    if (toEcho === undefined || (this.#options.guards.announcedEcho && !agent.announced)) return undefined
    agent.toEcho = undefined
    agent.echoedAt = now
    return { sent: toEcho, received, waiting: this.#options.waiting() }
  }

  #announced (agent: AgentView, message: Extract<AgentMessage, { type: 'announce' }>, now: number): void {
    const { target, held, load } = message
    const opening = !agent.announced
    agent.announced = true
    if (target !== undefined && target.instance !== agent.target?.instance) this.#trust.reset(agent)
    agent.noteTarget(target, this.#options.policy.usesLeaving ? now + (target?.remaining ?? -Infinity) : undefined)
    agent.evacuated = this.#evacuated(agent.dataCentre)
    agent.noteLoad(load)
    this.#forecast.note(agent, now)
    this.#sendRole(agent)
    this.#note('target announced', { agent: agent.name, instance: target?.instance, leaving: target?.leaving, held: held.length })
    if (opening && this.#options.guards.stopAgain) this.#resendStops(agent)
    if (opening) this.#echo(agent, now)
    const names = new Set(held.map(({ task, attempt }) => `${task}/${attempt}`))
    for (const placement of [...agent.placements.values()]) {
      // A new incarnation of the agent announces a target only after the tasks of the earlier incarnation have ended
      // there.
      const replaced = placement.incarnation !== agent.incarnation
      const hasEnded = replaced ? target !== undefined || !this.#options.guards.cleared : opening && !names.has(`${placement.task.name}/${placement.attempt}`)
      if (hasEnded) this.#endAsGone(agent, placement, Cause.TargetLost, now)
    }
  }

  /** Sends the stops of the current incarnation's tasks again, since the previous link may have lost them. */
  #resendStops (agent: AgentView): void {
    const tasks = [...agent.placements.values()].filter(({ stopping, incarnation }) => stopping && incarnation === agent.incarnation)
    if (tasks.length > 0) this.#options.emit({ type: 'send', agent: agent.name, message: { type: 'stop', tasks: tasks.map(({ task, attempt }) => ({ task: task.name, attempt })) } })
  }

  #endAsGone (agent: AgentView, { task, attempt }: Placement, cause: Cause, now: number): void {
    this.#endPlacement(agent, { task: task.name, attempt, outcome: Outcome.Gone, cause, ran: 0 }, now)
  }

  #ended (agent: AgentView, number: number, end: TaskEnd, now: number): void {
    if (number <= agent.received) return
    agent.received = number
    this.#endPlacement(agent, end, now)
  }

  #endPlacement (agent: AgentView, end: TaskEnd, now: number): void {
    const placement = this.#placement(agent, end)
    if (placement === undefined) return
    agent.remove(placement)
    this.#trust.recordEnd(agent, placement, end, now)
    if (end.outcome === Outcome.Done) this.#recordRun(agent, placement, end.ran, now)
    this.#options.ended(agent, placement, end, now)
  }

  #recordRun (agent: AgentView, { task, placedAt }: Placement, ran: number, now: number): void {
    this.speeds.noteRun(agent, task.job.request.steps[task.step]?.estimated ?? 0, ran)
    this.remoteCost.noteRun(agent.dataCentre === this.#options.dataCentre, now - placedAt - ran)
  }

  /** Counts a task that made no progress as a failure of its target. */
  noteStuck (agent: AgentView, now: number): void {
    this.#trust.noteStuck(agent, now)
  }

  #placement (agent: AgentView, { task, attempt }: TaskReference): Placement | undefined {
    const placement = agent.placements.get(task)
    return placement?.attempt === attempt ? placement : undefined
  }

  #note (what: string, fields: Record<string, unknown>): void {
    this.#options.emit({ type: 'note', what, fields })
  }
}
