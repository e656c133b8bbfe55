/** The room at the target beside an agent: what fits beside all that may run there, whoever asked for it. */
import type { HeldTask, HeldTasks } from './heldtasks.ts'
import type { Resources } from './resources.ts'
import { MAX_ENDED_RUNS } from './capacitydefaults.ts'
import { addTo, fits, NO_RESOURCES } from './resources.ts'

export interface TargetRoomParts {
  held: HeldTasks
  /** Capacity as the target states it; undefined without one. */
  capacity: () => Resources | undefined
  /** A stop of a task takes the target at most this long, in milliseconds. */
  stop: number
}

/** Room that is taken though no task here holds it. */
interface Withheld {
  /** Undefined when nobody here knows: then nothing fits beside it. */
  needs: Resources | undefined
  /** For a run that polls list: since when; it counts until one that was sent later does not. */
  listedAt: number
  /** For one that is stopping: until when it may take room. */
  until: number
}

/** A task that was held here. */
interface Left {
  needs: Resources
  /** Highest run whose end the target has listed. */
  ended: number
}

export class TargetRoom {
  readonly #parts: TargetRoomParts
  readonly #withheld = new Map<string, Withheld>()
  readonly #left = new Map<string, Left>()

  constructor (parts: TargetRoomParts) {
    this.#parts = parts
  }

  /** Runs that nobody here holds, or that were stopped and may take room still. */
  get unheld (): number {
    return this.#withheld.size
  }

  /** Whether a further task fits. */
  fits (needs: Resources, now: number): boolean {
    const capacity = this.#parts.capacity()
    const used = this.#known(now)
    if (used === undefined || capacity === undefined) return false
    addTo(used, needs)
    return fits(used, capacity)
  }

  /** All that may be taken there: everything while something runs whose needs are not known. */
  used (now: number): Resources {
    return this.#known(now) ?? { ...(this.#parts.capacity() ?? NO_RESOURCES) }
  }

  /** Drops what cannot take room any more; tells whether there was any. */
  expire (now: number): boolean {
    const before = this.#withheld.size
    for (const [key, { until }] of this.#withheld) if (now >= until) this.#withheld.delete(key)
    return this.#withheld.size < before
  }

  /** Whether all that may run there still fits, when a start that counts already is sent again. */
  holds (now: number): boolean {
    return this.fits({ cpu: 0, memory: 0, accelerators: 0 }, now)
  }

  /** A task is held no more. */
  noteLeft ({ order: { task, needs } }: HeldTask): void {
    this.#remember(task, { needs, ended: this.#left.get(task)?.ended ?? 0 })
  }

  /** The target has listed the end of a run: its room is free, whatever an earlier poll says. */
  noteEnded (task: string, run: number): void {
    this.#withheld.delete(runKey(task, run))
    const needs = this.#needsOf(task)
    if (needs !== undefined) this.#remember(task, { needs, ended: Math.max(run, this.#left.get(task)?.ended ?? 0) })
  }

  /** A poll lists a run that nobody here holds. */
  noteStray (task: string, run: number, now: number): void {
    if (run <= (this.#left.get(task)?.ended ?? 0)) return
    const key = runKey(task, run)
    const listedAt = this.#withheld.get(key)?.listedAt ?? now
    this.#withheld.set(key, { needs: this.#needsOf(task), listedAt, until: Infinity })
  }

  /** The stop of a run was confirmed whose end the target has not listed: it may have begun unheard, and be stopping. */
  noteStopped ({ order: { task, needs }, run, stopConfirmedAt = 0 }: HeldTask): void {
    this.#withheld.set(runKey(task, run), { needs, listedAt: 0, until: stopConfirmedAt + this.#parts.stop })
  }

  /**
   * A poll was answered.
   *
   * @param running keys of the runs that it lists
   * @param sent when it was sent
   */
  settle (running: ReadonlySet<string>, sent: number, now: number): void {
    for (const [key, stray] of this.#withheld) {
      if (stray.until !== Infinity || sent < stray.listedAt) continue
      if (!running.has(key)) stray.until = now + this.#parts.stop
    }
  }

  /** The life of the target is over, with all that ran there. */
  clear (): void {
    this.#withheld.clear()
    this.#left.clear()
  }

  /** Undefined while something runs whose needs are not known. */
  #known (now: number): Resources | undefined {
    const used = { ...this.#parts.held.used }
    for (const { needs, until } of this.#withheld.values()) {
      if (now >= until) continue
      if (needs === undefined) return undefined
      addTo(used, needs)
    }
    return used
  }

  #needsOf (task: string): Resources | undefined {
    return this.#parts.held.get(task)?.order.needs ?? this.#left.get(task)?.needs
  }

  #remember (task: string, left: Left): void {
    this.#left.delete(task)
    this.#left.set(task, left)
    if (this.#left.size <= MAX_ENDED_RUNS) return
    const oldest = this.#left.keys().next().value
    if (oldest !== undefined) this.#left.delete(oldest)
  }
}

/** Names one run of a task: a target may list several of one task. */
export function runKey (task: string, run: number): string {
  return `${task}/${run}`
}
