/** Cancellations of the explorer: sends them, records their acknowledgements, and checks that no task of a cancelled job keeps running. */
import type { EntryProcess } from '@amaranthmast/emulator/linkends'
import type { Timeline } from '@amaranthmast/emulator/timeline'
import type { SeededRandom } from '@amaranthmast/standins/random'
import type { Queue } from '../src/queues.ts'
import { nameOf } from '../src/jobname.ts'

/** Time after an acknowledged cancellation from which no task of the job may start, in milliseconds; none may run after one stop more. Both are platform bounds. */
const CANCELLATION_BOUND = 4000

/** Fraction of the waiting jobs that a wave cancels. */
const WAVE_FRACTION = 0.5

/** How long a caller waits for the acknowledgement of a cancellation, in milliseconds. */
const PATIENCE = 4000

/** Numbers of cancel requests start above those of submissions. */
const FIRST_REQUEST_NUMBER = 1_000_000

export interface CancellationDependencies {
  timeline: Timeline
  random: SeededRandom
  entries: readonly EntryProcess[]
  queue: Queue
  /** Ids of the jobs whose callers are waiting. */
  waiting: () => Iterable<string>
  /** Longest duration of the stop of a task, in milliseconds. */
  stop: number
}

export class Cancellations {
  readonly #dependencies: CancellationDependencies
  readonly #jobOfRequest = new Map<number, string>()
  /** Time of the first acknowledged cancellation of each job. */
  readonly #acknowledgedAt = new Map<string, number>()
  #requests = FIRST_REQUEST_NUMBER

  constructor (dependencies: CancellationDependencies) {
    this.#dependencies = dependencies
  }

  /** Cancels a random fraction of the waiting jobs at once, each at a random entry. */
  wave (): void {
    const { random, waiting } = this.#dependencies
    for (const job of new Set(waiting())) if (random.next() < WAVE_FRACTION) this.cancel(job)
  }

  cancel (job: string): void {
    const { entries, random, queue } = this.#dependencies
    const alive = entries.filter(entry => entry.alive && !entry.frozen)
    if (alive.length === 0) return
    this.#requests += 1
    this.#jobOfRequest.set(this.#requests, job)
    random.pick(alive).post({ type: 'cancelAsked', request: this.#requests, job: nameOf(job, queue), remaining: PATIENCE })
  }

  answered (request: number): void {
    const job = this.#jobOfRequest.get(request)
    if (job !== undefined && !this.#acknowledgedAt.has(job)) this.#acknowledgedAt.set(job, this.#dependencies.timeline.now)
  }

  /** Describes the violation if the task may not run now because its job was cancelled. */
  violationOfRun (task: string): string | undefined {
    const job = task.slice(0, task.indexOf('.'))
    const acknowledgedAt = this.#acknowledgedAt.get(job)
    const elapsed = acknowledgedAt === undefined ? 0 : this.#dependencies.timeline.now - acknowledgedAt
    return elapsed <= CANCELLATION_BOUND + this.#dependencies.stop ? undefined : `${task} runs ${Math.round(elapsed)} ms after its job was cancelled`
  }
}
