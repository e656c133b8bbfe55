/** Operators and store of the explorer: evacuations, the processes' reads of them, the check for starts in evacuated data centres, and remembered targets. */
import type { EvacuationState } from '../src/evacuations.ts'
import type { TargetFacts } from '../src/messages.ts'
import type { AgentProcess, EntryProcess } from '@amaranthmast/emulator/linkends'
import type { Timeline } from '@amaranthmast/emulator/timeline'
import type { SeededRandom } from '@amaranthmast/standins/random'

/** Mean interval at which entries read the store, and latency of its answers, in milliseconds. */
const READ_INTERVAL = 1000
const STORE_LATENCY = 5

/** Time after an acknowledged evacuation from which nothing may start in the data centre, in milliseconds (a platform bound). */
const EVACUATION_BOUND = 5000

/** The bound applies to an agent only after it has run and reached the store for this long, in milliseconds. */
const MIN_UNDISTURBED_TIME = 4000

export interface OperatorDependencies {
  timeline: Timeline
  random: SeededRandom
  entries: readonly EntryProcess[]
  agents: readonly AgentProcess[]
  dataCentreOf: (agent: number) => string
}

export class Operators {
  readonly #dependencies: OperatorDependencies
  readonly #evacuatedAt = new Map<string, number>()
  readonly #cutUntil = new Map<EntryProcess | AgentProcess, number>()
  readonly #disturbedUntil = new Map<number, number>()
  readonly #targets = new Map<number, TargetFacts>()
  #revision = 1

  constructor (dependencies: OperatorDependencies) {
    this.#dependencies = dependencies
  }

  /** Starts the periodic reads of all entries. */
  start (): void {
    for (const entry of this.#dependencies.entries) this.#scheduleReads(entry)
  }

  /** Evacuates a data centre and ends the evacuation after the given time. */
  evacuate (dataCentre: string, milliseconds: number): void {
    if (this.#evacuatedAt.has(dataCentre)) return
    this.#revision += 1
    this.#evacuatedAt.set(dataCentre, this.#dependencies.timeline.now)
    this.#dependencies.timeline.after(milliseconds, () => {
      this.#revision += 1
      this.#evacuatedAt.delete(dataCentre)
    })
  }

  /** Makes the store unreachable for a process. */
  cut (process: EntryProcess | AgentProcess, milliseconds: number): void {
    const until = this.#dependencies.timeline.now + milliseconds
    this.#cutUntil.set(process, Math.max(until, this.#cutUntil.get(process) ?? 0))
    const agent = this.#dependencies.agents.indexOf(process as AgentProcess)
    if (agent >= 0) this.recordDisturbance(agent, until)
  }

  /** Records that an agent is frozen, down or without the store until the given time. */
  recordDisturbance (agent: number, until: number): void {
    this.#disturbedUntil.set(agent, Math.max(until, this.#disturbedUntil.get(agent) ?? 0))
  }

  /** Carries out an agent's read of the evacuations. */
  readForAgent (index: number): void {
    const agent = this.#dependencies.agents[index] as AgentProcess
    const { incarnation } = agent
    if (this.#isCut(agent)) return
    const state = this.#state()
    this.#dependencies.timeline.after(STORE_LATENCY, () => {
      if (agent.incarnation === incarnation) agent.post({ type: 'evacuationsRead', state })
    })
  }

  rememberTarget (index: number, facts: TargetFacts): void {
    if (!this.#isCut(this.#dependencies.agents[index] as AgentProcess)) this.#targets.set(index, facts)
  }

  /** Sends a restarted agent the target that it has stored. */
  recallTarget (index: number): void {
    const agent = this.#dependencies.agents[index] as AgentProcess
    const { incarnation } = agent
    const facts = this.#targets.get(index)
    if (facts === undefined || this.#isCut(agent)) return
    this.#dependencies.timeline.after(STORE_LATENCY, () => {
      if (agent.incarnation === incarnation) agent.post({ type: 'targetRemembered', facts })
    })
  }

  /** Describes the violation if the agent may not start a task now because its data centre is evacuated. */
  violationOfStart (agent: number): string | undefined {
    const { now } = this.#dependencies.timeline
    const dataCentre = this.#dependencies.dataCentreOf(agent)
    const evacuatedAt = this.#evacuatedAt.get(dataCentre)
    if (evacuatedAt === undefined || now - evacuatedAt <= EVACUATION_BOUND || now - (this.#disturbedUntil.get(agent) ?? 0) < MIN_UNDISTURBED_TIME) return undefined
    return `agent ${agent} starts a task ${Math.round(now - evacuatedAt)} ms after data centre ${dataCentre} was evacuated`
  }

  #scheduleReads (entry: EntryProcess): void {
    this.#dependencies.timeline.after(READ_INTERVAL * (0.5 + this.#dependencies.random.next()), () => {
      this.#scheduleReads(entry)
      if (!entry.alive || entry.frozen || this.#isCut(entry)) return
      const { incarnation } = entry
      const state = this.#state()
      this.#dependencies.timeline.after(STORE_LATENCY, () => {
        if (entry.incarnation === incarnation) entry.post({ type: 'evacuationsRead', state })
      })
    })
  }

  #state (): EvacuationState {
    return { revision: this.#revision, dataCentres: [...this.#evacuatedAt.keys()] }
  }

  #isCut (process: EntryProcess | AgentProcess): boolean {
    return this.#dependencies.timeline.now < (this.#cutUntil.get(process) ?? 0)
  }
}
