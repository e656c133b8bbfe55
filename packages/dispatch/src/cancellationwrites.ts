/**
 * Writes cancellations to the store in batches, and answers the requests that wait for them.
 *
 * One write is in progress at a time, so that a wave of cancellations costs each entry a few calls a second.
 */
import type { Answer } from './entrytypes.ts'
import type { JobName } from './jobname.ts'
import { refused } from './answers.ts'
import { CANCELLATION_PATIENCE_MILLISECONDS, CANCELLATION_RETRY_MILLISECONDS, CANCELLATION_WRITE_INTERVAL_MILLISECONDS, MAX_CANCELLATIONS_PER_WRITE } from './cancellationdefaults.ts'
import { Reason } from './entrytypes.ts'

export interface CancellationWritesDependencies {
  /** Starts a write, which is repeated until it has succeeded. */
  write: (jobs: readonly JobName[]) => void
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
  /** Jobs to be written, by address and in order; the first ones are those of the write in progress. */
  readonly #jobs = new Map<string, JobName>()
  /** By address of the job. */
  readonly #waiting = new Map<string, WaitingRequest[]>()
  /** Jobs of the write in progress. */
  #writing: readonly JobName[] = []
  #startedAt = Number.NEGATIVE_INFINITY

  constructor (dependencies: CancellationWritesDependencies) {
    this.#dependencies = dependencies
  }

  get size (): number {
    return this.#jobs.size
  }

  add (job: JobName, waiting: WaitingRequest, now: number): void {
    const { address } = job
    if (!this.#jobs.has(address)) this.#jobs.set(address, job)
    if (this.#isStalled(now)) this.#refuse(waiting)
    else this.#waiting.set(address, [...this.#waiting.get(address) ?? [], waiting])
    this.#write(now)
  }

  /** The write in progress has succeeded: answers the requests that waited for it and returns its jobs. */
  written (now: number): readonly JobName[] {
    const written = this.#writing
    this.#writing = []
    for (const { address } of written) {
      this.#jobs.delete(address)
      for (const { request, answer } of this.#waiting.get(address) ?? []) this.#dependencies.answer(request, answer)
      this.#waiting.delete(address)
    }
    this.#write(now)
    return written
  }

  tick (now: number): void {
    for (const [address, requests] of this.#waiting) this.#refuseOverdue(address, requests, now)
    this.#write(now)
  }

  /** Refuses all waiting requests, because the process is about to exit. */
  end (): void {
    for (const requests of this.#waiting.values()) for (const waiting of requests) this.#refuse(waiting)
    this.#waiting.clear()
  }

  #write (now: number): void {
    if (this.#writing.length > 0 || this.#jobs.size === 0 || now - this.#startedAt < CANCELLATION_WRITE_INTERVAL_MILLISECONDS) return
    this.#startedAt = now
    this.#writing = [...this.#jobs.values()].slice(0, MAX_CANCELLATIONS_PER_WRITE)
    this.#dependencies.write(this.#writing)
  }

  /** Whether the store has not confirmed the write in progress for so long that new requests would wait in vain. */
  #isStalled (now: number): boolean {
    return this.#writing.length > 0 && now - this.#startedAt >= CANCELLATION_PATIENCE_MILLISECONDS
  }

  #refuseOverdue (address: string, requests: readonly WaitingRequest[], now: number): void {
    const remaining = requests.filter(({ until }) => until > now)
    if (remaining.length === requests.length) return
    for (const waiting of requests) if (waiting.until <= now) this.#refuse(waiting)
    if (remaining.length > 0) this.#waiting.set(address, remaining)
    else this.#waiting.delete(address)
  }

  #refuse ({ request }: WaitingRequest): void {
    this.#dependencies.answer(request, refused(Reason.NotStored, CANCELLATION_RETRY_MILLISECONDS))
  }
}
