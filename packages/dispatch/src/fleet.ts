/** The agents of one entry: what was placed where, what became of it, and who is still there. */
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
  /** Of this entry. */
  dataCentre: string
  guards: FleetGuards
  policy: Policy
  emit: (effect: EntryEffect) => void
  /** Whether tasks wait for room. */
  waiting: () => boolean
  /** One start of a task has ended, and nothing of it runs any more. */
  ended: (agent: AgentView, placement: Placement, end: TaskEnd, now: number) => void
  slow: (agent: AgentView, placement: Placement, slow: SlowTask, now: number) => void
  /** An agent has told under which tasks its target was lost. */
  crashed: (agent: string, records: readonly CrashRecord[], now: number) => void
  /** A link to an agent is open, and nothing was sent on it yet. */
  opened: (agent: string) => void
  /** An agent has told which data centres are evacuated. */
  evacuationsHeard: (agent: string, state: EvacuationState) => void
}

type Handlers = {
  [Type in AgentMessage['type']]: (agent: AgentView, message: Extract<AgentMessage, { type: Type }>, now: number) => void
}

export class Fleet {
  readonly #options: FleetOptions
  readonly #agents = new Map<string, AgentView>()
  readonly #trust: FleetTrust
  readonly speeds: FleetSpeeds
  readonly farCost: RemoteCost
  readonly #forecast = new CapacityForecast()
  #roleOf: (agent: AgentView) => AllocationRole = () => AllocationRole.Chooses
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
    evacuations: ({ name }, { state }) => this.#options.evacuationsHeard(name, state),
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
    this.farCost = new RemoteCost({ penalty: options.policy.farPenalty, agents: () => this.#agents.values() })
    this.#trust = new FleetTrust({ policy: options.policy, note: (what, fields) => this.#note(what, fields) })
  }

  get linked (): number {
    return this.linkedNames().length
  }

  /** Names of the agents with a link. */
  linkedNames (): string[] {
    return [...this.#agents.values()].filter(agent => agent.linked).map(({ name }) => name)
  }

  /** Nothing is placed in evacuated data centres; what runs there ends as it would. */
  setEvacuated (evacuated: (dataCentre: string | undefined) => boolean): void {
    this.#evacuated = evacuated
    for (const agent of this.#agents.values()) agent.evacuated = evacuated(agent.dataCentre)
  }

  /** Whether every known target of the service is in an evacuated data centre. */
  evacuatedWhole (service: string): boolean {
    const known = this.known(service)
    return known.length > 0 && known.every(({ evacuated }) => evacuated)
  }

  /** Agents whose targets take tasks of the service now. */
  usable (service: string, now: number): AgentView[] {
    return [...this.#agents.values()].filter(agent => agent.target?.service === service && agent.usable(now))
  }

  /** Agents with a target of the service, usable or not. */
  known (service: string): AgentView[] {
    return [...this.#agents.values()].filter(agent => agent.target?.service === service)
  }

  /** Agents that a start would reach now, whether this entry would place tasks there or not. */
  reachable (service: string, now: number): AgentView[] {
    return [...this.#agents.values()].filter(agent => agent.target?.service === service && agent.reachable(now))
  }

  /** Agents of the service at which this entry places nothing now. */
  unusable (service: string, now: number): AgentView[] {
    return [...this.#agents.values()].filter(agent => agent.target?.service === service && !(agent.usable(now) && agent.hasPlace()))
  }

  agent (name: string): AgentView | undefined {
    return this.#agents.get(name)
  }

  /** Agents with tasks of a step, each as often as it has one. */
  agentsOf (job: Job, step: number): string[] {
    if (job.placed === 0) return []
    return [...this.#agents.values()].flatMap(({ name, placements }) =>
      [...placements.values()].filter(({ task }) => task.job === job && task.step === step).map(() => name))
  }

  /** Number of targets in each data centre that takes work, also of those that are away for a moment. */
  targetsByDataCentre (): Map<string, number> {
    const sizes = new Map<string, number>()
    for (const { dataCentre, evacuated } of this.#agents.values()) if (dataCentre !== undefined && !evacuated) sizes.set(dataCentre, (sizes.get(dataCentre) ?? 0) + 1)
    return sizes
  }

  /** Room of a service now, and `ahead` milliseconds from now. */
  capacityOf (service: string, ahead: number, now: number): CapacityFigures {
    return this.#forecast.at(this.#agents.values(), service, ahead, now)
  }

  /** Services of the targets that are known. */
  services (): string[] {
    return [...new Set([...this.#agents.values()].flatMap(({ service }) => service ?? []))]
  }

  /** Processors of a service at some times from now, in thousandths of a core, by milliseconds ahead. */
  capacityAhead (service: string, now: number): Record<number, number> {
    return Object.fromEntries(FORECAST_TIMES_MILLISECONDS.map(ahead => [ahead, this.capacityOf(service, ahead, now).total]))
  }

  /** Figures on the capacity of a service, for status pages. */
  capacityStatus (service: string, now: number): ForecastStatus {
    return this.#forecast.status([...this.#agents.values()], service, now)
  }

  /** Targets that are given out in partitions: those that take work, also when they are away for a moment. */
  partitionTargets (): PartitionTarget[] {
    const targets: PartitionTarget[] = []
    for (const { name, service, dataCentre, evacuated } of this.#agents.values()) if (dataCentre !== undefined && service !== undefined && !evacuated) targets.push({ name, service, dataCentre })
    return targets
  }

  /** Free processors at some of the targets, in thousandths of a core. */
  freeCpu (within: (agent: AgentView) => boolean): number {
    let sum = 0
    for (const agent of this.#agents.values()) if (agent.linked && agent.target?.leaving === false && !agent.evacuated && within(agent)) sum += Math.max(0, agent.free.cpu)
    return sum
  }

  get guards (): FleetGuards {
    return this.#options.guards
  }

  /** Tells the agents how this entry comes to the room of their targets. */
  setRoles (roleOf: (agent: AgentView) => AllocationRole): void {
    this.#roleOf = roleOf
    for (const agent of this.#agents.values()) this.#tellRole(agent)
  }

  #tellRole (agent: AgentView): void {
    const role = agent.dataCentre === undefined ? AllocationRole.Chooses : this.#roleOf(agent)
    if (!agent.linked || agent.role === role) return
    agent.role = role
    // Its answer to the new role tells its load, which a quiet link has not told for long.
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
    // While builds are mixed, an agent may speak of what this entry does not know.
    if (handler === undefined) return this.#note('message of an unknown kind ignored', { agent: name, type: message.type })
    handler(agent, message, now)
  }

  /** Takes the room for a task; `send` then has it started. */
  reserve (agent: AgentView, { task, needs, expected }: PlannedStart, now: number): void {
    agent.add({ task, attempt: task.attempt, incarnation: agent.incarnation, needs, expected, placedAt: now, stopping: false })
  }

  /** Sends tasks of one job to a target. */
  send (agent: AgentView, job: Job, starts: readonly PlannedStart[], now: number): void {
    const tasks = starts.map(({ task, needs, expected }) =>
      ({ task: task.name, attempt: task.attempt, needs, expected: Math.round(expected), ...(task.isolation === Isolation.None ? {} : { isolation: task.isolation }) }))
    const echo = this.#takeEcho(agent, now)
    const message = { type: 'start' as const, payload: job.request.payload, tasks }
    this.#options.emit({ type: 'send', agent: agent.name, message: echo === undefined ? message : { ...message, echo } })
  }

  /** Orders the tasks of a job to stop, wherever they are. */
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
      if (agent.linked && agent.silentFor(now) >= agent.deadAfter(contact)) {
        this.#note('agent silent', { agent: agent.name, placed: agent.placements.size })
        agent.linked = false
        this.#forecast.note(agent, now)
        this.#options.emit({ type: 'unlink', agent: agent.name })
      }
      if (!agent.linked && agent.placements.size === 0 && now - agent.heardAt >= AGENT_RETENTION_MILLISECONDS) this.#forget(agent)
      this.#endPredecessors(agent, now)
      if (agent.linked || (this.#options.guards.silence && now < agent.echoedAt + silence)) continue
      this.#endSilent(agent, [...agent.placements.values()], agent.echoedAt, now)
    }
  }

  /** What a run of the agent that is over had started has lapsed, also while its successor finds no target. */
  #endPredecessors (agent: AgentView, now: number): void {
    const { predecessorEchoedAt: echoedAt, incarnation } = agent
    if (echoedAt === undefined || now < echoedAt + this.#options.timings.silence) return
    agent.predecessorEchoedAt = undefined
    this.#endSilent(agent, [...agent.placements.values()].filter(placement => placement.incarnation !== incarnation), echoedAt, now)
  }

  #endSilent (agent: AgentView, placements: readonly Placement[], echoedAt: number, now: number): void {
    if (placements.length === 0) return
    this.#note('tasks of a silent agent ended', { agent: agent.name, tasks: placements.length, echoedAgo: Math.round(now - echoedAt) })
    for (const placement of placements) this.#gone(agent, placement, Cause.Lapsed, now)
  }

  #forget (agent: AgentView): void {
    this.#agents.delete(agent.name)
    this.#trust.remove(agent)
    this.#forecast.forget(agent)
    this.#note('agent forgotten', { agent: agent.name, instance: agent.target?.instance })
  }

  /** Answers what the agent sent last, unless that is answered already, or the agent has yet to get stops again. */
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
    if (target !== undefined && target.instance !== agent.target?.instance) this.#trust.renew(agent)
    agent.noteTarget(target, this.#options.policy.usesLeaving ? now + (target?.remaining ?? -Infinity) : undefined)
    agent.evacuated = this.#evacuated(agent.dataCentre)
    agent.noteLoad(load)
    this.#forecast.note(agent, now)
    this.#tellRole(agent)
    this.#note('target announced', { agent: agent.name, instance: target?.instance, leaving: target?.leaving, held: held.length })
    if (opening && this.#options.guards.stopAgain) this.#stopAgain(agent)
    if (opening) this.#echo(agent, now)
    const names = new Set(held.map(({ task, attempt }) => `${task}/${attempt}`))
    for (const placement of [...agent.placements.values()]) {
      // A new run of the agent announces a target once its predecessor's tasks have ended there.
      const replaced = placement.incarnation !== agent.incarnation
      const certain = replaced ? target !== undefined || !this.#options.guards.cleared : opening && !names.has(`${placement.task.name}/${placement.attempt}`)
      if (certain) this.#gone(agent, placement, Cause.TargetLost, now)
    }
  }

  /** The link before may have been lost with the stops on it. */
  #stopAgain (agent: AgentView): void {
    const tasks = [...agent.placements.values()].filter(({ stopping, incarnation }) => stopping && incarnation === agent.incarnation)
    if (tasks.length > 0) this.#options.emit({ type: 'send', agent: agent.name, message: { type: 'stop', tasks: tasks.map(({ task, attempt }) => ({ task: task.name, attempt })) } })
  }

  #gone (agent: AgentView, { task, attempt }: Placement, cause: Cause, now: number): void {
    this.#settle(agent, { task: task.name, attempt, outcome: Outcome.Gone, cause, ran: 0 }, now)
  }

  #ended (agent: AgentView, number: number, end: TaskEnd, now: number): void {
    if (number <= agent.received) return
    agent.received = number
    this.#settle(agent, end, now)
  }

  #settle (agent: AgentView, end: TaskEnd, now: number): void {
    const placement = this.#placement(agent, end)
    if (placement === undefined) return
    agent.remove(placement)
    this.#trust.judge(agent, placement, end, now)
    if (end.outcome === Outcome.Done) this.#ran(agent, placement, end.ran, now)
    this.#options.ended(agent, placement, end, now)
  }

  #ran (agent: AgentView, { task, placedAt }: Placement, ran: number, now: number): void {
    this.speeds.noteRun(agent, task.job.request.steps[task.step]?.estimated ?? 0, ran)
    this.farCost.noteRun(agent.dataCentre === this.#options.dataCentre, now - placedAt - ran)
  }

  /** A task that stood still there speaks against the target as a failed one does. */
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
