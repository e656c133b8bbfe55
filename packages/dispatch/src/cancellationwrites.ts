/**
 * Writes cancellations to the store in batches, and answers the requests that wait for them.
 *
 * One write is in progress at a time, so that a wave of cancellations costs each entry a few calls a second.
 */
import type { Answer } from './entrytypes.ts'
import { refused } from './answers.ts'
import { CANCELLATION_PATIENCE_MILLISECONDS, CANCELLATION_RETRY_MILLISECONDS, CANCELLATION_WRITE_INTERVAL_MILLISECONDS, MAX_CANCELLATIONS_PER_WRITE } from './cancellationdefaults.ts'
import { Reason } from './entrytypes.ts'

export interface CancellationWritesDependencies {
  /** Starts a write, which is repeated until it has succeeded. */
  write: (jobs: readonly string[]) => void
  answer: (request: number, answer: Answer) => void
}

/** A request that waits for its cancellation to be stored. */
interface WaitingRequest {
  request: number
  answer: Answer
  /** Time at which it is refused. */
  until: number
}

export class CancellationWrites {
  readonly #dependencies: CancellationWritesDependencies
  /** Jobs to be written, in order; the first ones are those of the write in progress. */
  readonly #jobs = new Set<string>()
  readonly #waiting = new Map<string, WaitingRequest[]>()
  /** Jobs of the write in progress. */
  #writing: readonly string[] = []
  #startedAt = Number.NEGATIVE_INFINITY

  constructor (dependencies: CancellationWritesDependencies) {
    this.#dependencies = dependencies
  }

  get size (): number {
    return this.#jobs.size
  }

  add (job: string, waiting: WaitingRequest, now: number): void {
    this.#jobs.add(job)
    if (this.#isStalled(now)) this.#refuse(waiting)
    else this.#waiting.set(job, [...this.#waiting.get(job) ?? [], waiting])
    this.#write(now)
  }

  /** The write in progress has succeeded: answers the requests that waited for it and returns its jobs. */
  written (now: number): readonly string[] {
    const written = this.#writing
    this.#writing = []
    for (const job of written) {
      this.#jobs.delete(job)
      for (const { request, answer } of this.#waiting.get(job) ?? []) this.#dependencies.answer(request, answer)
      this.#waiting.delete(job)
    }
    this.#write(now)
    return written
  }

  tick (now: number): void {
    for (const [job, requests] of this.#waiting) this.#refuseOverdue(job, requests, now)
    this.#write(now)
  }

  #write (now: number): void {
    if (this.#writing.length > 0 || this.#jobs.size === 0 || now - this.#startedAt < CANCELLATION_WRITE_INTERVAL_MILLISECONDS) return
    this.#startedAt = now
    this.#writing = [...this.#jobs].slice(0, MAX_CANCELLATIONS_PER_WRITE)
    this.#dependencies.write(this.#writing)
  }

  /** Whether the store has not confirmed the write in progress for so long that new requests would wait in vain. */
  #isStalled (now: number): boolean {
    return this.#writing.length > 0 && now - this.#startedAt >= CANCELLATION_PATIENCE_MILLISECONDS
  }

  #refuseOverdue (job: string, requests: readonly WaitingRequest[], now: number): void {
    const remaining = requests.filter(({ until }) => until > now)
    if (remaining.length === requests.length) return
    for (const waiting of requests) if (waiting.until <= now) this.#refuse(waiting)
    if (remaining.length > 0) this.#waiting.set(job, remaining)
    else this.#waiting.delete(job)
  }

  #refuse ({ request }: WaitingRequest): void {
    this.#dependencies.answer(request, refused(Reason.NotStored, CANCELLATION_RETRY_MILLISECONDS))
  }
}
