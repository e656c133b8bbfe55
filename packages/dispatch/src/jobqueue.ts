/** Jobs of one service with tasks to place, in the order in which they are served. */
import type { Job } from './job.ts'
import { IndexedHeap } from '@amaranthmast/coordination/heap'

/**
 * Jobs that can still be in time come first, the most pressing of them at the head; those that
 * can't any more get what room is left. Under overload a plain order by deadline would serve
 * late jobs first and make every other one late as well.
 */
export class JobQueue {
  readonly #timely = new IndexedHeap<Job>()
  readonly #late = new IndexedHeap<Job>()

  get size (): number {
    return this.#timely.size + this.#late.size
  }

  get timely (): number {
    return this.#timely.size
  }

  add (job: Job, now: number): void {
    this.remove(job)
    const heap = job.startBy >= now ? this.#timely : this.#late
    heap.set(job, job.startBy, job.arrivedAt)
  }

  remove (job: Job): void {
    this.#timely.delete(job)
    this.#late.delete(job)
  }

  /** Moves the jobs that have become late behind the others. */
  advance (now: number): void {
    while ((this.#timely.peekKey() ?? Infinity) < now) {
      const job = this.#timely.pop() as Job
      this.#late.set(job, job.startBy, job.arrivedAt)
    }
  }

  /** Takes the next job out; it is added again if tasks are left. */
  take (): Job | undefined {
    return this.#timely.pop() ?? this.#late.pop()
  }

  /** Every job, in no order. */
  jobs (): Job[] {
    return [...this.#timely.values(), ...this.#late.values()]
  }
}
