/** End of a schedule: all faults end, and the system must recover and complete new jobs. */
import type { Actions } from './actions.ts'
import type { JobSet } from './jobset.ts'
import type { EntryProcess } from './processes.ts'
import type { World } from './world.ts'
import { AgentState } from '../src/agenttypes.ts'
import { EntryState } from '../src/entrytypes.ts'
import { AnswerKind, Cause } from '../src/messages.ts'
import { liveMembers } from '../src/view.ts'
import { Invariant } from './invariants.ts'

const MAX_RECOVERY = 12000
const FRESH_DEADLINE = 6000
const FRESH_TASK = 40
/**
 * Delay before new jobs are submitted, in milliseconds, so that their submission time is later than any
 * horizon by more than the clock margin.
 */
const HORIZON_DELAY = 700
/**
 * Maximum number of rounds of new jobs: a loss of records may be detected after the first round, and
 * admission may ask callers to retry.
 */
const FRESH_ATTEMPTS = 5
const CHECK_INTERVAL = 250

export interface RecoveryDependencies {
  world: World
  jobs: JobSet
  actions: Actions
  /** Number of agents at the start. */
  agents: number
}

/** Ends a simulation and checks that the system recovers. */
export class Recovery {
  readonly #world: World
  readonly #jobs: JobSet
  readonly #actions: Actions
  readonly #agents: number

  constructor (dependencies: RecoveryDependencies) {
    this.#world = dependencies.world
    this.#jobs = dependencies.jobs
    this.#actions = dependencies.actions
    this.#agents = dependencies.agents
  }

  /** Ends every fault, waits a bounded time for recovery, and submits one new job through every entry. */
  run (): void {
    const world = this.#world
    world.network.heal()
    world.store.heal()
    for (const process of [...world.entries.values(), ...world.agents.values()]) world.resume(process)
    for (let number = 1; number <= this.#agents; number++) world.startAgent(String(number))
    this.#replaceStopped()
    if (this.#advanceUntil(MAX_RECOVERY, () => this.#recovered())) return
    for (let attempt = 1; attempt <= FRESH_ATTEMPTS; attempt++) {
      if (world.advance(HORIZON_DELAY)) return
      const fresh = world.liveEntries().filter(entry => !entry.stopping).map((entry, index) => this.#submitFresh(entry, `fresh-${attempt}-${index}`))
      if (fresh.length === 0) world.checker.report(Invariant.Stuck, 'no entry is left')
      if (this.#advanceUntil(FRESH_DEADLINE + 1000, () => this.#world.checker.open().length === 0)) return
      if (!fresh.some(name => this.#shouldRetry(name))) {
        this.#checkEnd(fresh)
        return
      }
    }
    world.checker.report(Invariant.Stuck, 'new jobs are still refused after the last attempt')
  }

  /**
   * Whether the answer asks the caller to retry, because the horizon was just raised or the scheduler is
   * still busy.
   */
  #shouldRetry (name: string): boolean {
    const cause = this.#world.checker.request(name)?.answer?.cause
    return cause === Cause.BeforeHorizon || cause === Cause.Overloaded || cause === Cause.NotReady
  }

  #checkEnd (fresh: string[]): void {
    for (const request of this.#world.checker.open()) {
      this.#world.checker.report(Invariant.Unanswered, `${request.name} for ${request.job.key} at ${request.entry}, submitted at ${request.submittedAt.toFixed(1)}`)
    }
    for (const name of fresh) this.#checkFresh(name)
  }

  /**
   * Advances the time until `done` returns true, at most by `duration`. Returns true when an invariant is
   * violated.
   */
  #advanceUntil (duration: number, done: () => boolean): boolean {
    for (let elapsed = 0; elapsed < duration && !done(); elapsed += CHECK_INTERVAL) {
      if (this.#world.advance(CHECK_INTERVAL)) return true
      this.#replaceStopped()
    }
    return false
  }

  /** Starts entries to replace those that have ended, as the platform does. */
  #replaceStopped (): void {
    const remaining = this.#world.liveEntries().filter(entry => !entry.stopping).length
    for (let number = 1; number <= 2 - remaining; number++) this.#actions.join()
  }

  /** Whether every request is answered, every entry serves and every agent accepts work. */
  #recovered (): boolean {
    const world = this.#world
    if (!world.store.idle || !world.network.settled()) return false
    const members = liveMembers(world.store.view).map(member => member.instance)
    if (members.length !== world.liveEntries().length || !members.every(member => world.process(member)?.alive === true)) return false
    const serving = world.liveEntries().every(entry => entry.stopping || entry.core.status().state === EntryState.Serving)
    return serving && world.liveAgents().every(agent => agent.core.status().state === AgentState.Serving) && this.#world.checker.open().length === 0
  }

  #submitFresh (entry: EntryProcess, name: string): string {
    const { tasks, ...rest } = this.#jobs.newJob(name)
    const shortTasks = tasks.map(task => ({ ...task, runMilliseconds: FRESH_TASK }))
    const job = { ...rest, tasks: shortTasks, lodgedAt: this.#world.wallNow(), remainingMilliseconds: FRESH_DEADLINE }
    return this.#world.callers.submit(entry, job)
  }

  #checkFresh (name: string): void {
    const request = this.#world.checker.request(name)
    if (request?.answer?.kind === AnswerKind.Complete) return
    this.#world.checker.report(Invariant.Stuck, `a new job at ${request?.entry ?? ''} was answered ${JSON.stringify(request?.answer)}`)
  }
}
