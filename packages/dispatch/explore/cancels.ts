/** Cancellations in the explorer: who asks for them, when they were acknowledged, and the promise that goes with them. */
import type { EntryProcess } from '@amaranthmast/emulator/linkends'
import type { Timeline } from '@amaranthmast/emulator/timeline'
import type { SeededRandom } from '@amaranthmast/standins/random'

/** From the acknowledgement of a cancellation on, nothing of the job starts after this, and nothing runs after a stop more (the platform's bounds), in milliseconds. */
const IN_FORCE = 4000

/** A wave strikes so large a part of the jobs whose callers wait. */
const WAVE_SHARE = 0.5

/** Numbers of requests to cancel lie above those of submissions. */
const FIRST_REQUEST = 1_000_000

export interface CancelParts {
  timeline: Timeline
  random: SeededRandom
  entries: readonly EntryProcess[]
  /** Ids of the jobs whose callers wait. */
  waiting: () => Iterable<string>
  /** A stop of a task takes at most this long, in milliseconds. */
  stop: number
}

export class Cancels {
  readonly #parts: CancelParts
  readonly #asked = new Map<number, string>()
  /** When the first cancellation of each job was acknowledged. */
  readonly #acknowledged = new Map<string, number>()
  #requests = FIRST_REQUEST

  constructor (parts: CancelParts) {
    this.#parts = parts
  }

  /** Cancels a part of the jobs at one time, each at any of the entries. */
  wave (): void {
    const { random, waiting } = this.#parts
    for (const job of new Set(waiting())) if (random.next() < WAVE_SHARE) this.cancel(job)
  }

  cancel (job: string): void {
    const { entries, random } = this.#parts
    const alive = entries.filter(entry => entry.alive && !entry.frozen)
    if (alive.length === 0) return
    this.#requests += 1
    this.#asked.set(this.#requests, job)
    random.pick(alive).post({ type: 'cancelAsked', request: this.#requests, id: job })
  }

  answered (request: number): void {
    const job = this.#asked.get(request)
    if (job !== undefined && !this.#acknowledged.has(job)) this.#acknowledged.set(job, this.#parts.timeline.now)
  }

  /** What is wrong with a run of the task now, if anything. */
  faultOfRun (task: string): string | undefined {
    const job = task.slice(0, task.indexOf('.'))
    const at = this.#acknowledged.get(job)
    const since = at === undefined ? 0 : this.#parts.timeline.now - at
    return since <= IN_FORCE + this.#parts.stop ? undefined : `${task} runs ${Math.round(since)} ms after its job was cancelled`
  }
}
