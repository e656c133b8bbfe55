/** Tasks that an agent has started at its target and not yet reported as ended, with the resources that they use. */
import type { EntrySession } from './entrysession.ts'
import type { TaskOrder } from './messages.ts'
import type { Resources } from './resources.ts'
import { MAX_REMEMBERED_RUNS } from './defaults.ts'
import { Isolation } from './messages.ts'
import { addTo, NO_RESOURCES, subtractFrom } from './resources.ts'

/** Stage of a task. In every stage the task may be running, so its resources count as used. */
export enum Stage {
  /** The start has not been answered yet. */
  Starting = 'starting',
  Running = 'running',
  /** A stop has been sent, by order of the entry or to cancel an unconfirmed start. */
  Stopping = 'stopping'
}

export interface HeldTask {
  readonly order: TaskOrder
  readonly payload: string
  readonly session: EntrySession
  /** Run number at the target. The target refuses to start a run whose number is not higher than that of an earlier one. */
  run: number
  stage: Stage
  startedAt: number
  /** When the target confirmed the start; undefined before. */
  confirmedAt: number | undefined
  /** Whether a poll has listed the run as running. */
  listed: boolean
  /** When the last stop was sent. */
  stopSentAt: number
  /** When the target confirmed the stop; undefined before. */
  stopConfirmedAt: number | undefined
  /** End of the entry's contact as of the moment when the entry ordered the stop; undefined before. */
  contactAtStop: number | undefined
  /** Number of stops sent so far. */
  stops: number
  /** Number of times the target has refused the run number as old. */
  oldRunRefusals: number
  /** Progress, from 0 to 100. */
  percent: number
  /** When the progress last changed. */
  progressedAt: number
  reportedSlowAt: number
  /** Progress and time up to which the task is included in the speed ratio of the target. */
  observedPercent: number
  observedAt: number
}

export class HeldTasks {
  readonly #tasks = new Map<string, HeldTask>()
  readonly #runs = new Map<string, number>()
  readonly used: Resources = { ...NO_RESOURCES }
  /** Whether the target lists runs that this agent does not hold. */
  hasOrphanedRuns = false
  /** Whether an orphaned run is still listed long after its stop was sent, so that only the lease can end it. */
  orphanedRunPersists = false

  get size (): number {
    return this.#tasks.size
  }

  /** Whether a task runs alone (`Isolation.Alone`), so that no other may start beside it. */
  get reserved (): boolean {
    return this.#isolated(Isolation.Alone)
  }

  /** Whether any task here is suspected of having crashed a target. */
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

  /**
   * Earliest end of contact among the entries of the included tasks, or infinity without any. For a task that its entry has
   * ordered to stop, the contact as of that order counts.
   */
  earliestContactEnd (isIncluded: (held: HeldTask) => boolean = () => true): number {
    let until = Infinity
    for (const held of this.#tasks.values()) if (isIncluded(held)) until = Math.min(until, held.contactAtStop ?? held.session.contactUntil)
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
      oldRunRefusals: 0,
      percent: 0,
      progressedAt: now,
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

  /** Records the run number of a task, since the target refuses to start a run whose number is not higher. */
  noteRun (held: HeldTask): void {
    this.#runs.delete(held.order.task)
    this.#runs.set(held.order.task, held.run)
    if (this.#runs.size <= MAX_REMEMBERED_RUNS) return
    const oldest = this.#runs.keys().next().value
    if (oldest !== undefined) this.#runs.delete(oldest)
  }
}
