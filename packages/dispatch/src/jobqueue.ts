/** Jobs of one service with tasks to place, in the order in which they are served. */
import type { Job } from './job.ts'
import type { Policy } from './policy.ts'
import { IndexedHeap } from '@amaranthmast/coordination/heap'
import { LAST_TASKS_FRACTION } from './speeddefaults.ts'

type OrderPolicy = Pick<Policy, 'priorityStep' | 'byKept' | 'shortestFirst' | 'placesBySlack'>

/**
 * The job comes first that would be refused first, so that long jobs, which can wait long before they must begin, are not
 * all refused under overload: at twice the load 0.36 of the credit of the longest kind against 0.32 in the order of the
 * latest times to begin (emulated, four fleets). A job that was begun keeps its place: else a wide one is passed over
 * while its last tasks wait, and all its work is in vain. Jobs that can't be in time need no rank behind the others, since
 * they are refused while others wait: ranks for them changed no figure on six emulated kinds of day.
 */
export class JobQueue {
  readonly #policy: OrderPolicy
  readonly #heap = new IndexedHeap<Job>()

  constructor (policy: OrderPolicy) {
    this.#policy = policy
  }

  get size (): number {
    return this.#heap.size
  }

  /** Adds the job, or puts it where it belongs by now. */
  add (job: Job): void {
    this.#heap.set(job, this.orderOf(job), job.arrivedAt)
  }

  /** The job with the smallest one is served first. */
  orderOf (job: Job): number {
    const { byKept, priorityStep, shortestFirst, placesBySlack } = this.#policy
    if (shortestFirst) return job.chain
    const begun = placesBySlack && job.started ? LAST_TASKS_FRACTION * (job.objectiveAt - job.arrivedAt) * (1 - job.queued().length / job.tasks.length) : 0
    return (byKept ? job.keptUntil : job.startBy) + priorityStep * job.request.queue.priority - begun
  }

  /** Order of the next job; infinite when there is none. */
  get nextOrder (): number {
    return this.#heap.peekKey() ?? Infinity
  }

  remove (job: Job): void {
    this.#heap.delete(job)
  }

  /** Takes the next job out; it is added again if tasks are left. */
  take (): Job | undefined {
    return this.#heap.pop()
  }

  /** Every job, in no order. */
  jobs (): readonly Job[] {
    return this.#heap.values()
  }
}
