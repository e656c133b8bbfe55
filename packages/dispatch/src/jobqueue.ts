/** Queue of one service's jobs with tasks to place, in the order in which they are served. */
import type { Job } from './job.ts'
import type { Policy } from './policy.ts'
import { IndexedHeap } from '@amaranthmast/coordination/heap'
import { LAST_TASKS_FRACTION } from './speeddefaults.ts'

type OrderPolicy = Pick<Policy, 'priorityStep' | 'byKept' | 'shortestFirst' | 'placesBySlack'>

/**
 * The job that would be refused first comes first. This keeps long jobs, whose latest start is late, from all being
 * refused under overload: at twice the load the longest type gets 0.36 of the credit, against 0.32 in the order of the
 * latest start (emulated, four fleets). A started job keeps its place; otherwise a wide job is passed over while its
 * last tasks wait, and all its work is wasted. Jobs that cannot be in time need no rank behind the others, since they
 * are refused while others wait: such ranks changed no figure in six types of emulated day.
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

  /** Adds the job, or updates its position. */
  add (job: Job): void {
    this.#heap.set(job, this.orderOf(job), job.arrivedAt)
  }

  /** Sort key of a job; the smallest is served first. */
  orderOf (job: Job): number {
    const { byKept, priorityStep, shortestFirst, placesBySlack } = this.#policy
    if (shortestFirst) return job.chain
    const begun = placesBySlack && job.started ? LAST_TASKS_FRACTION * (job.objectiveAt - job.arrivedAt) * (1 - job.queued().length / job.tasks.length) : 0
    return (byKept ? job.keptUntil : job.startBy) + priorityStep * job.request.queue.priority - begun
  }

  /** Sort key of the next job; infinite when there is none. */
  get nextOrder (): number {
    return this.#heap.peekKey() ?? Infinity
  }

  remove (job: Job): void {
    this.#heap.delete(job)
  }

  /** Removes and returns the next job; the caller adds it again if tasks are left. */
  take (): Job | undefined {
    return this.#heap.pop()
  }

  /** All jobs, in no particular order. */
  jobs (): readonly Job[] {
    return this.#heap.values()
  }
}
