/** What steps do to the world, now or later. */
import type { Job } from '../src/messages.ts'
import type { JobLot } from './joblot.ts'
import type { Picks } from './picks.ts'
import type { AgentProcess, EntryProcess } from './processes.ts'
import type { Step } from './schedule.ts'
import type { World } from './world.ts'

const MOST_ENTRIES = 5

export interface DeedsParts {
  world: World
  picks: Picks
  jobs: JobLot
  /** Entries that the world begins with. */
  entries: number
}

export class Deeds {
  readonly #world: World
  readonly #picks: Picks
  readonly #jobs: JobLot
  #nextEntry: number
  #pending = 0

  constructor ({ world, picks, jobs, entries }: DeedsParts) {
    this.#world = world
    this.#picks = picks
    this.#jobs = jobs
    this.#nextEntry = entries + 1
  }

  /** Deeds that were put off and are not done yet. */
  get pending (): number {
    return this.#pending
  }

  /** Id of the entry that joins next; undefined when there are as many as may be. */
  get nextEntry (): string | undefined {
    return this.#world.liveEntries().length < MOST_ENTRIES ? `entry-${this.#nextEntry}` : undefined
  }

  submit (entryNumber: number, job: Job | undefined): void {
    const entry = this.#picks.entry(entryNumber)
    if (entry === undefined || job === undefined) return
    this.#world.callers.submit(entry, this.#jobs.lodge(job))
  }

  /** Submits through the first live entry among these ids. */
  submitAt (ids: string[], job: Job | undefined): void {
    const entry = this.#world.liveEntries().find(candidate => ids.includes(candidate.id))
    if (entry !== undefined && job !== undefined) this.#world.callers.submit(entry, this.#jobs.lodge(job))
  }

  resubmitLater (job: Job | undefined, step: Step): void {
    if (job === undefined) return
    this.later(step.second * 40, () => this.submit(step.first, this.#jobs.asLodged(job)))
    this.later(1000 + step.duration, () => this.submit(step.first + 1, this.#jobs.asLodged(job)))
  }

  /** Does something later; the faults go on until it is done. */
  later (delay: number, deed: () => void): void {
    this.#pending += 1
    this.#world.timeline.after(delay, () => {
      this.#pending -= 1
      deed()
    })
  }

  crash (process: EntryProcess | AgentProcess | undefined): void {
    if (process !== undefined) this.#world.crash(process)
  }

  freeze (process: EntryProcess | AgentProcess | undefined, duration: number): void {
    if (process !== undefined) this.#world.freeze(process, duration)
  }

  restartEntry (number: number): void {
    const ids = [...new Set([...this.#world.entries.values()].map(entry => entry.id))]
    const id = ids[number % ids.length]
    if (id !== undefined) this.#world.startEntry(id)
  }

  join (): void {
    const id = this.nextEntry
    if (id === undefined) return
    this.#world.startEntry(id)
    this.#nextEntry += 1
  }

  cut (step: Step, bothWays: boolean): void {
    const left = this.#picks.any(step.first)
    const right = this.#picks.any(step.second)
    if (left === undefined || right === undefined || left === right) return
    this.#world.network.cut(left.id, right.id, step.duration)
    if (bothWays) this.#world.network.cut(right.id, left.id, step.duration)
  }

  /** Cuts each of these ids off from each of those, both ways. */
  separate (left: readonly string[], right: readonly string[], duration: number): void {
    for (const one of left) {
      for (const other of right) {
        this.#world.network.cut(one, other, duration)
        this.#world.network.cut(other, one, duration)
      }
    }
  }
}
