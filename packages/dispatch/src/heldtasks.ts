/** The tasks that an agent has at its target, and what they hold of it. */
import type { EntrySession } from './entrysession.ts'
import type { TaskOrder } from './messages.ts'
import type { Resources } from './resources.ts'
import { RUNS_REMEMBERED } from './defaults.ts'
import { Isolation } from './messages.ts'
import { addTo, NO_RESOURCES, subtractFrom } from './resources.ts'

/** How far a task is. In every stage it may be running and holds its room. */
export enum Stage {
  /** The order to start it is not answered yet. */
  Starting = 'starting',
  Running = 'running',
  /** The order to stop it was sent, or its start was not answered and is taken back. */
  Stopping = 'stopping'
}

export interface HeldTask {
  readonly order: TaskOrder
  readonly payload: string
  readonly session: EntrySession
  /** Number of this start at the target. */
  run: number
  stage: Stage
  startedAt: number
  /** When the target answered that it runs; undefined before. */
  confirmedAt: number | undefined
  /** A poll has shown it running. */
  listed: boolean
  /** When the last order to stop it was sent. */
  stopSentAt: number
  /** When the target confirmed that it stops; undefined before. */
  stopConfirmedAt: number | undefined
  /** Contact of its entry when that ordered it to stop; undefined before. */
  contactAtStop: number | undefined
  /** Orders to stop it so far. */
  stops: number
  /** Refusals of its run number as old so far. */
  oldRuns: number
  percent: number
  /** When the progress last changed. */
  advancedAt: number
  reportedSlowAt: number
  /** Progress and time up to which its pace counts in the target's. */
  observedPercent: number
  observedAt: number
}

export class HeldTasks {
  readonly #tasks = new Map<string, HeldTask>()
  readonly #runs = new Map<string, number>()
  readonly used: Resources = { ...NO_RESOURCES }
  /** The target lists runs that nobody here asked for. */
  hasStrays = false
  /** One of them stays though it is ordered to stop: only the lease ends it. */
  strayStays = false

  get size (): number {
    return this.#tasks.size
  }

  /** Whether a task is here that nothing else may start beside. */
  get reserved (): boolean {
    return this.#isolated(Isolation.Alone)
  }

  /** Whether a suspect is here. */
  get suspected (): boolean {
    return this.reserved || this.#isolated(Isolation.Apart)
  }

  #isolated (isolation: Isolation): boolean {
    for (const { order } of this.#tasks.values()) if (order.isolation === isolation) return true
    return false
  }

  get (task: string): HeldTask | undefined {
    return this.#tasks.get(task)
  }

  /** The earliest time until when somebody may wait for one of the tasks that are chosen; infinite without any. */
  awaitedUntil (isChosen: (held: HeldTask) => boolean = () => true): number {
    let until = Infinity
    for (const held of this.#tasks.values()) if (isChosen(held)) until = Math.min(until, held.contactAtStop ?? held.session.contactUntil)
    return until
  }

  all (): HeldTask[] {
    return [...this.#tasks.values()]
  }

  of (session: EntrySession): HeldTask[] {
    return this.all().filter(held => held.session === session)
  }

  add (order: TaskOrder, payload: string, session: EntrySession, now: number): HeldTask {
    const run = Math.max(order.attempt, (this.#runs.get(order.task) ?? 0) + 1)
    const held: HeldTask = {
      order,
      payload,
      session,
      run,
      stage: Stage.Starting,
      startedAt: now,
      confirmedAt: undefined,
      listed: false,
      stopSentAt: 0,
      stopConfirmedAt: undefined,
      contactAtStop: undefined,
      stops: 0,
      oldRuns: 0,
      percent: 0,
      advancedAt: now,
      reportedSlowAt: Number.NEGATIVE_INFINITY,
      observedPercent: 0,
      observedAt: now
    }
    this.#tasks.set(order.task, held)
    this.noteRun(held)
    addTo(this.used, order.needs)
    addTo(session.used, order.needs)
    session.tasks += 1
    return held
  }

  remove (held: HeldTask): void {
    if (!this.#tasks.delete(held.order.task)) return
    subtractFrom(this.used, held.order.needs)
    subtractFrom(held.session.used, held.order.needs)
    held.session.tasks -= 1
  }

  /** Remembers the number of a run: the target refuses to start one that is not higher. */
  noteRun (held: HeldTask): void {
    this.#runs.delete(held.order.task)
    this.#runs.set(held.order.task, held.run)
    if (this.#runs.size <= RUNS_REMEMBERED) return
    const oldest = this.#runs.keys().next().value
    if (oldest !== undefined) this.#runs.delete(oldest)
  }
}
