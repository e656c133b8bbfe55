/** Free capacity of a target, computed from all runs that may be there, including those without a held task. */
import type { HeldTask, HeldTasks } from './heldtasks.ts'
import type { Resources } from './resources.ts'
import { MAX_ENDED_RUNS } from './capacitydefaults.ts'
import { addTo, fits, NO_RESOURCES } from './resources.ts'

export interface TargetCapacityDependencies {
  held: HeldTasks
  /** Capacity as announced by the target; undefined without a target. */
  capacity: () => Resources | undefined
  /** Longest time that the target takes to stop a task, in milliseconds. */
  stop: number
}

/** A run that uses capacity though the agent holds no task for it. */
interface UntrackedRun {
  /** Undefined if not known; then no further task fits. */
  needs: Resources | undefined
  /** For a run that polls list: since when. It counts until a poll sent later does not list it. */
  listedAt: number
  /** For a run that is stopping: until when it may use capacity. */
  until: number
}

/** A task that is no longer held. */
interface FormerTask {
  needs: Resources
  /** Highest run number whose end the target has listed. */
  ended: number
}

export class TargetCapacity {
  readonly #dependencies: TargetCapacityDependencies
  readonly #withheld = new Map<string, UntrackedRun>()
  readonly #left = new Map<string, FormerTask>()

  constructor (dependencies: TargetCapacityDependencies) {
    this.#dependencies = dependencies
  }

  /** Number of runs without a held task, including stopped ones that may still use capacity. */
  get unheld (): number {
    return this.#withheld.size
  }

  /** Whether a task with these needs fits. */
  fits (needs: Resources, now: number): boolean {
    const capacity = this.#dependencies.capacity()
    const used = this.#knownUse(now)
    if (used === undefined || capacity === undefined) return false
    addTo(used, needs)
    return fits(used, capacity)
  }

  /** Resources that may be in use: the whole capacity while a run with unknown needs is there. */
  used (now: number): Resources {
    return this.#knownUse(now) ?? { ...(this.#dependencies.capacity() ?? NO_RESOURCES) }
  }

  /** Drops the runs that can no longer use capacity. Returns whether there were any. */
  expire (now: number): boolean {
    const before = this.#withheld.size
    for (const [key, { until }] of this.#withheld) if (now >= until) this.#withheld.delete(key)
    return this.#withheld.size < before
  }

  /** Whether the current runs still fit, for a start that is already counted and is sent again. */
  holds (now: number): boolean {
    return this.fits({ cpu: 0, memory: 0, accelerators: 0 }, now)
  }

  /** Records that a task is no longer held. */
  noteReleased ({ order: { task, needs } }: HeldTask): void {
    this.#remember(task, { needs, ended: this.#left.get(task)?.ended ?? 0 })
  }

  /** Frees the capacity of a run whose end the target has listed, whatever an earlier poll lists. */
  noteEnded (task: string, run: number): void {
    this.#withheld.delete(runKey(task, run))
    const needs = this.#needsOf(task)
    if (needs !== undefined) this.#remember(task, { needs, ended: Math.max(run, this.#left.get(task)?.ended ?? 0) })
  }

  /** Counts a run that a poll lists and no held task accounts for. */
  noteOrphanedRun (task: string, run: number, now: number): void {
    if (run <= (this.#left.get(task)?.ended ?? 0)) return
    const key = runKey(task, run)
    const listedAt = this.#withheld.get(key)?.listedAt ?? now
    this.#withheld.set(key, { needs: this.#needsOf(task), listedAt, until: Infinity })
  }

  /** Counts a run whose stop was confirmed but whose end is not listed: it may have begun unnoticed and still be stopping. */
  noteStopped ({ order: { task, needs }, run, stopConfirmedAt = 0 }: HeldTask): void {
    this.#withheld.set(runKey(task, run), { needs, listedAt: 0, until: stopConfirmedAt + this.#dependencies.stop })
  }

  /**
   * Processes the answer to a poll.
   *
   * @param running keys of the runs that the poll lists
   * @param sent when the poll was sent
   */
  notePoll (running: ReadonlySet<string>, sent: number, now: number): void {
    for (const [key, orphaned] of this.#withheld) {
      if (orphaned.until !== Infinity || sent < orphaned.listedAt) continue
      if (!running.has(key)) orphaned.until = now + this.#dependencies.stop
    }
  }

  /** Drops all runs when the incarnation of the target has ended. */
  clear (): void {
    this.#withheld.clear()
    this.#left.clear()
  }

  /** Resources in use; undefined while a run with unknown needs is there. */
  #knownUse (now: number): Resources | undefined {
    const used = { ...this.#dependencies.held.used }
    for (const { needs, until } of this.#withheld.values()) {
      if (now >= until) continue
      if (needs === undefined) return undefined
      addTo(used, needs)
    }
    return used
  }

  #needsOf (task: string): Resources | undefined {
    return this.#dependencies.held.get(task)?.order.needs ?? this.#left.get(task)?.needs
  }

  #remember (task: string, left: FormerTask): void {
    this.#left.delete(task)
    this.#left.set(task, left)
    if (this.#left.size <= MAX_ENDED_RUNS) return
    const oldest = this.#left.keys().next().value
    if (oldest !== undefined) this.#left.delete(oldest)
  }
}

/** Key of one run of a task, since a target may list several runs of one task. */
export function runKey (task: string, run: number): string {
  return `${task}/${run}`
}
