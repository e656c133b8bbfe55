/** Queue of other entries' requests for capacity at targets of one service, in the order in which they are served. */
import type { AllocationRequest } from './allocationrequest.ts'
import { IndexedHeap } from '@amaranthmast/coordination/heap'

export class RequestQueue {
  readonly #heap = new IndexedHeap<AllocationRequest>()

  get size (): number {
    return this.#heap.size
  }

  /** Number of entries whose requests wait. */
  get peers (): number {
    return new Set(this.#heap.values().map(({ peer }) => peer)).size
  }

  /** Sort key of the next request; infinite when there is none. */
  get nextOrder (): number {
    return this.#heap.peekKey() ?? Infinity
  }

  add (request: AllocationRequest): void {
    this.#heap.set(request, request.orderAt, request.arrivedAt)
  }

  remove (request: AllocationRequest): void {
    this.#heap.delete(request)
  }

  take (): AllocationRequest | undefined {
    return this.#heap.pop()
  }

  /** All requests, in no particular order. */
  requests (): readonly AllocationRequest[] {
    return this.#heap.values()
  }
}
