/** Actions on the simulated system, executed at once or after a delay. */
import type { Job } from '../src/messages.ts'
import type { JobSet } from './jobset.ts'
import type { ProcessPicker } from './processpicker.ts'
import type { AgentProcess, EntryProcess } from './processes.ts'
import type { Step } from './schedule.ts'
import type { World } from './world.ts'

const MAX_ENTRIES = 5

export interface ActionsDependencies {
  world: World
  picker: ProcessPicker
  jobs: JobSet
  /** Number of entries at the start. */
  entries: number
}

/** Runs single actions, and counts those that are delayed. */
export class Actions {
  readonly #world: World
  readonly #picker: ProcessPicker
  readonly #jobs: JobSet
  #nextEntry: number
  #pending = 0

  constructor ({ world, picker, jobs, entries }: ActionsDependencies) {
    this.#world = world
    this.#picker = picker
    this.#jobs = jobs
    this.#nextEntry = entries + 1
  }

  /** Number of delayed actions that have not been executed yet. */
  get pending (): number {
    return this.#pending
  }

  /** Id of the next entry to join; undefined when the maximum number of entries is alive. */
  get nextEntry (): string | undefined {
    return this.#world.liveEntries().length < MAX_ENTRIES ? `entry-${this.#nextEntry}` : undefined
  }

  submit (entryNumber: number, job: Job | undefined): void {
    const entry = this.#picker.entry(entryNumber)
    if (entry === undefined || job === undefined) return
    this.#world.callers.submit(entry, this.#jobs.firstSubmission(job))
  }

  /** Submits a job through the first live entry among these ids. */
  submitAt (ids: string[], job: Job | undefined): void {
    const entry = this.#world.liveEntries().find(candidate => ids.includes(candidate.id))
    if (entry !== undefined && job !== undefined) this.#world.callers.submit(entry, this.#jobs.firstSubmission(job))
  }

  resubmitLater (job: Job | undefined, step: Step): void {
    if (job === undefined) return
    this.later(step.second * 40, () => this.submit(step.first, this.#jobs.asSubmitted(job)))
    this.later(1000 + step.duration, () => this.submit(step.first + 1, this.#jobs.asSubmitted(job)))
  }

  /** Schedules an action after a delay. Faults continue until every delayed action has been executed. */
  later (delay: number, action: () => void): void {
    this.#pending += 1
    this.#world.timeline.after(delay, () => {
      this.#pending -= 1
      action()
    })
  }

  crash (process: EntryProcess | AgentProcess | undefined): void {
    if (process !== undefined) this.#world.crash(process)
  }

  pause (process: EntryProcess | AgentProcess | undefined, duration: number): void {
    if (process !== undefined) this.#world.pause(process, duration)
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
    const left = this.#picker.any(step.first)
    const right = this.#picker.any(step.second)
    if (left === undefined || right === undefined || left === right) return
    this.#world.network.cut(left.id, right.id, step.duration)
    if (bothWays) this.#world.network.cut(right.id, left.id, step.duration)
  }

  /** Partitions each id of `left` from each id of `right`, in both directions. */
  separate (left: readonly string[], right: readonly string[], duration: number): void {
    for (const one of left) {
      for (const other of right) {
        this.#world.network.cut(one, other, duration)
        this.#world.network.cut(other, one, duration)
      }
    }
  }
}
