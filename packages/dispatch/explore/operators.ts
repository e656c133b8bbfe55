/** The operators and the store in the explorer: evacuations, who reads them when, the promise that goes with them, and kept targets. */
import type { EvacuationState } from '../src/evacuations.ts'
import type { TargetFacts } from '../src/messages.ts'
import type { AgentProcess, EntryProcess } from '@amaranthmast/emulator/linkends'
import type { Timeline } from '@amaranthmast/emulator/timeline'
import type { SeededRandom } from '@amaranthmast/standins/random'

/** Interval at which entries read the store, and the time of an answer, in milliseconds. */
const READ_INTERVAL = 1000
const ANSWER_TIME = 5

/** From the acknowledgement of an evacuation on nothing is started there after this, by the platform's bounds, in milliseconds. */
const IN_FORCE = 5000

/** A process counts for that bound when it ran and reached the store for this long, in milliseconds. */
const CALM = 4000

export interface OperatorParts {
  timeline: Timeline
  random: SeededRandom
  entries: readonly EntryProcess[]
  agents: readonly AgentProcess[]
  dataCentreOf: (agent: number) => string
}

export class Operators {
  readonly #parts: OperatorParts
  readonly #evacuatedAt = new Map<string, number>()
  readonly #cutUntil = new Map<EntryProcess | AgentProcess, number>()
  readonly #disturbedUntil = new Map<number, number>()
  readonly #targets = new Map<number, TargetFacts>()
  #revision = 1

  constructor (parts: OperatorParts) {
    this.#parts = parts
  }

  /** Begins to read for the entries. */
  start (): void {
    for (const entry of this.#parts.entries) this.#readRegularly(entry)
  }

  /** Asks for an evacuation and takes it back later. */
  evacuate (dataCentre: string, milliseconds: number): void {
    if (this.#evacuatedAt.has(dataCentre)) return
    this.#revision += 1
    this.#evacuatedAt.set(dataCentre, this.#parts.timeline.now)
    this.#parts.timeline.after(milliseconds, () => {
      this.#revision += 1
      this.#evacuatedAt.delete(dataCentre)
    })
  }

  /** The store turns a process away. */
  cut (process: EntryProcess | AgentProcess, milliseconds: number): void {
    const until = this.#parts.timeline.now + milliseconds
    this.#cutUntil.set(process, Math.max(until, this.#cutUntil.get(process) ?? 0))
    const agent = this.#parts.agents.indexOf(process as AgentProcess)
    if (agent >= 0) this.noteDisturbed(agent, until)
  }

  /** The agent is frozen, down or without the store until then. */
  noteDisturbed (agent: number, until: number): void {
    this.#disturbedUntil.set(agent, Math.max(until, this.#disturbedUntil.get(agent) ?? 0))
  }

  /** Reads for an agent that has asked. */
  readForAgent (index: number): void {
    const agent = this.#parts.agents[index] as AgentProcess
    const { incarnation } = agent
    if (this.#isCut(agent)) return
    const state = this.#state()
    this.#parts.timeline.after(ANSWER_TIME, () => {
      if (agent.incarnation === incarnation) agent.post({ type: 'evacuationsRead', state })
    })
  }

  rememberTarget (index: number, facts: TargetFacts): void {
    if (!this.#isCut(this.#parts.agents[index] as AgentProcess)) this.#targets.set(index, facts)
  }

  /** For an agent that has just started. */
  recallTarget (index: number): void {
    const agent = this.#parts.agents[index] as AgentProcess
    const { incarnation } = agent
    const facts = this.#targets.get(index)
    if (facts === undefined || this.#isCut(agent)) return
    this.#parts.timeline.after(ANSWER_TIME, () => {
      if (agent.incarnation === incarnation) agent.post({ type: 'targetRemembered', facts })
    })
  }

  /** What is wrong with a start that an agent orders now; undefined for nothing. */
  faultOfStart (agent: number): string | undefined {
    const { now } = this.#parts.timeline
    const dataCentre = this.#parts.dataCentreOf(agent)
    const since = this.#evacuatedAt.get(dataCentre)
    if (since === undefined || now - since <= IN_FORCE || now - (this.#disturbedUntil.get(agent) ?? 0) < CALM) return undefined
    return `agent ${agent} starts a task ${Math.round(now - since)} ms after data centre ${dataCentre} was evacuated`
  }

  #readRegularly (entry: EntryProcess): void {
    this.#parts.timeline.after(READ_INTERVAL * (0.5 + this.#parts.random.next()), () => {
      this.#readRegularly(entry)
      if (!entry.alive || entry.frozen || this.#isCut(entry)) return
      const { incarnation } = entry
      const state = this.#state()
      this.#parts.timeline.after(ANSWER_TIME, () => {
        if (entry.incarnation === incarnation) entry.post({ type: 'evacuationsRead', state })
      })
    })
  }

  #state (): EvacuationState {
    return { revision: this.#revision, dataCentres: [...this.#evacuatedAt.keys()] }
  }

  #isCut (process: EntryProcess | AgentProcess): boolean {
    return this.#parts.timeline.now < (this.#cutUntil.get(process) ?? 0)
  }
}
