/** The end of a schedule: every fault ends, and the world must recover and serve fresh jobs. */
import type { Deeds } from './deeds.ts'
import type { JobLot } from './joblot.ts'
import type { EntryProcess } from './processes.ts'
import type { World } from './world.ts'
import { AgentState } from '../src/agenttypes.ts'
import { EntryState } from '../src/entrytypes.ts'
import { AnswerKind, Cause } from '../src/messages.ts'
import { liveMembers } from '../src/view.ts'
import { Invariant } from './invariants.ts'

const RECOVERY = 12000
const FRESH_DEADLINE = 6000
const FRESH_TASK = 40
/** A fresh job is lodged later than any horizon by more than the margin of clocks. */
const BEYOND_HORIZON = 700
/** A loss of memory may come to light after the first fresh jobs, and admission may ask to come back. */
const FRESH_ATTEMPTS = 5
const CHECK_PAUSE = 250

export interface RecoveryParts {
  world: World
  jobs: JobLot
  deeds: Deeds
  /** Agents that the world begins with. */
  agents: number
}

export class Recovery {
  readonly #world: World
  readonly #jobs: JobLot
  readonly #deeds: Deeds
  readonly #agents: number

  constructor (parts: RecoveryParts) {
    this.#world = parts.world
    this.#jobs = parts.jobs
    this.#deeds = parts.deeds
    this.#agents = parts.agents
  }

  /** Ends every fault, waits a bounded time, and asks for one fresh job through every entry. */
  run (): void {
    const world = this.#world
    world.network.heal()
    world.store.heal()
    for (const process of [...world.entries.values(), ...world.agents.values()]) world.wake(process)
    for (let number = 1; number <= this.#agents; number++) world.startAgent(String(number))
    this.#replaceLost()
    if (this.#advanceUntil(RECOVERY, () => this.#recovered())) return
    for (let attempt = 1; attempt <= FRESH_ATTEMPTS; attempt++) {
      if (world.advance(BEYOND_HORIZON)) return
      const fresh = world.liveEntries().filter(entry => !entry.stopping).map((entry, index) => this.#submitFresh(entry, `fresh-${attempt}-${index}`))
      if (fresh.length === 0) world.judge.report(Invariant.Stuck, 'no entry is left')
      if (this.#advanceUntil(FRESH_DEADLINE + 1000, () => this.#world.judge.open().length === 0)) return
      if (!fresh.some(name => this.#comesBack(name))) {
        this.#judgeEnd(fresh)
        return
      }
    }
    world.judge.report(Invariant.Stuck, 'fresh jobs are refused for ever')
  }

  /** A horizon that has just risen, and a scheduler that is still busy, tell callers to come back. */
  #comesBack (name: string): boolean {
    const cause = this.#world.judge.request(name)?.answer?.cause
    return cause === Cause.BeforeHorizon || cause === Cause.Overloaded || cause === Cause.NotReady
  }

  #judgeEnd (fresh: string[]): void {
    for (const request of this.#world.judge.open()) {
      this.#world.judge.report(Invariant.Unanswered, `${request.name} for ${request.job.key} at ${request.entry}, submitted at ${request.submittedAt.toFixed(1)}`)
    }
    for (const name of fresh) this.#checkFresh(name)
  }

  /** Lets time pass until `done`, and `duration` at most; true when an invariant is broken. */
  #advanceUntil (duration: number, done: () => boolean): boolean {
    for (let passed = 0; passed < duration && !done(); passed += CHECK_PAUSE) {
      if (this.#world.advance(CHECK_PAUSE)) return true
      this.#replaceLost()
    }
    return false
  }

  /** The platform starts new entries in the place of those that have ended. */
  #replaceLost (): void {
    const staying = this.#world.liveEntries().filter(entry => !entry.stopping).length
    for (let number = 1; number <= 2 - staying; number++) this.#deeds.join()
  }

  /** Every request is answered, every entry serves and every agent takes work. */
  #recovered (): boolean {
    const world = this.#world
    if (!world.store.quiet || !world.network.settled()) return false
    const members = liveMembers(world.store.view).map(member => member.instance)
    if (members.length !== world.liveEntries().length || !members.every(member => world.process(member)?.alive === true)) return false
    const serving = world.liveEntries().every(entry => entry.stopping || entry.core.status().state === EntryState.Serving)
    return serving && world.liveAgents().every(agent => agent.core.status().state === AgentState.Serving) && this.#world.judge.open().length === 0
  }

  #submitFresh (entry: EntryProcess, name: string): string {
    const { tasks, ...rest } = this.#jobs.newJob(name)
    const quick = tasks.map(task => ({ ...task, runMilliseconds: FRESH_TASK }))
    const job = { ...rest, tasks: quick, lodgedAt: this.#world.wallNow(), remainingMilliseconds: FRESH_DEADLINE }
    return this.#world.callers.submit(entry, job)
  }

  #checkFresh (name: string): void {
    const request = this.#world.judge.request(name)
    if (request?.answer?.kind === AnswerKind.Complete) return
    this.#world.judge.report(Invariant.Stuck, `a fresh job at ${request?.entry ?? ''} was answered ${JSON.stringify(request?.answer)}`)
  }
}
