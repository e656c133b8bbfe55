/** Requests of other entries for capacity of the targets that this entry allocates. */
import type { Fleet } from './fleet.ts'
import type { AgentView } from './fleetview.ts'
import type { Grant, AllocationMessage } from './peermessages.ts'
import { RequestQueue } from './requestqueue.ts'
import { AllocationRequest } from './allocationrequest.ts'

export interface AllocationRequestsDependencies {
  fleet: Fleet
  /** Group that a target belongs to. */
  groupOf: (agent: AgentView) => string
  /** Whether this entry allocates the capacity of a group, so that requests for it may wait here. */
  allocates: (group: string) => boolean
  /** Number of jobs of this entry that wait for capacity. */
  ownWaiting: () => number
  /** A target with fewer free processors than this counts as full, in thousandths of a core. */
  typicalCpu: () => number
  tell: (peer: string, message: AllocationMessage) => void
}

export class AllocationRequests {
  readonly #dependencies: AllocationRequestsDependencies
  readonly #requests = new Map<string, AllocationRequest>()
  readonly #queues = new Map<string, RequestQueue>()

  constructor (dependencies: AllocationRequestsDependencies) {
    this.#dependencies = dependencies
  }

  get size (): number {
    return this.#requests.size
  }

  get services (): string[] {
    return [...this.#queues.keys()]
  }

  queueOf (service: string): RequestQueue | undefined {
    return this.#queues.get(service)
  }

  /** Adds a request; it replaces an earlier one for the same job. */
  add (request: AllocationRequest): void {
    this.remove(request.peer, request.job)
    this.#requests.set(keyOf(request.peer, request.job), request)
    let queue = this.#queues.get(request.service)
    if (queue === undefined) {
      queue = new RequestQueue()
      this.#queues.set(request.service, queue)
    }
    queue.add(request)
  }

  remove (peer: string, job: string): void {
    const key = keyOf(peer, job)
    const request = this.#requests.get(key)
    if (request === undefined) return
    this.#requests.delete(key)
    this.#queues.get(request.service)?.remove(request)
  }

  /** Removes all requests of an entry that is unlinked: no caller waits for its jobs any more. */
  removeAllOf (peer: string): void {
    for (const request of this.#requests.values()) if (request.peer === peer) this.remove(peer, request.job)
  }

  /** Frees granted capacity that the requesting entry does not use. */
  release (grants: readonly Grant[]): void {
    for (const { task, agent } of grants) this.#dependencies.fleet.agent(agent)?.takeBack(task)
  }

  /** Removes requests that are fulfilled, and declines those that may not wait here. */
  answer (): void {
    for (const request of this.#requests.values()) {
      const { peer, job, group } = request
      if (!request.done && request.waits && this.#dependencies.allocates(group)) continue
      this.remove(peer, job)
      if (!request.done) this.#dependencies.tell(peer, { type: 'declined', job, group, free: this.freeOf(group) })
    }
  }

  /** Free processors of a group at targets with enough of them for a typical task, in thousandths of a core; 0 while requests wait there. */
  freeOf (group: string): number {
    for (const request of this.#requests.values()) if (request.group === group && request.waits) return 0
    return this.#dependencies.fleet.freeCpu(agent => this.#dependencies.groupOf(agent) === group && agent.free.cpu >= this.#dependencies.typicalCpu())
  }

  /** Sends a keep-alive to each entry with waiting requests. */
  sendWaiting (): void {
    if (this.#requests.size === 0) return
    const crowded = this.#requests.size + this.#dependencies.ownWaiting() > 1
    const waiting = new Map<string, string[]>()
    for (const { peer, job } of this.#requests.values()) {
      const jobs = waiting.get(peer)
      if (jobs === undefined) waiting.set(peer, [job])
      else jobs.push(job)
    }
    for (const [peer, jobs] of waiting) this.#dependencies.tell(peer, { type: 'waiting', jobs, crowded })
  }
}

function keyOf (peer: string, job: string): string {
  return `${peer}/${job}`
}
