/** What other entries ask of this one: room at the targets that it gives out. */
import type { Fleet } from './fleet.ts'
import type { AgentView } from './fleetview.ts'
import type { Grant, RoomMessage } from './roommessages.ts'
import { RequestQueue } from './requestqueue.ts'
import { RoomRequest } from './roomrequest.ts'

export interface RoomRequestsParts {
  fleet: Fleet
  /** The group of a target. */
  groupOf: (agent: AgentView) => string
  /** Whether this entry gives out the room of a group, so that requests may wait here for it. */
  gives: (group: string) => boolean
  /** Own jobs that wait for room. */
  ownWaiting: () => number
  /** Free processors of a target that are fewer than this count as none, in thousandths of a core. */
  typicalCpu: () => number
  tell: (peer: string, message: RoomMessage) => void
}

export class RoomRequests {
  readonly #parts: RoomRequestsParts
  readonly #requests = new Map<string, RoomRequest>()
  readonly #queues = new Map<string, RequestQueue>()

  constructor (parts: RoomRequestsParts) {
    this.#parts = parts
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

  /** Takes a request in, in place of an earlier one for the same job. */
  add (request: RoomRequest): void {
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

  /** The entry is gone, and nobody waits for its jobs. */
  removeAllOf (peer: string): void {
    for (const request of this.#requests.values()) if (request.peer === peer) this.remove(peer, request.job)
  }

  /** Granted room that is not used. */
  release (grants: readonly Grant[]): void {
    for (const { task, agent } of grants) this.#parts.fleet.agent(agent)?.takeBack(task)
  }

  /** Ends requests that are met, or that do not want to wait. */
  answer (): void {
    for (const request of this.#requests.values()) {
      const { peer, job, group } = request
      if (!request.done && request.waits && this.#parts.gives(group)) continue
      this.remove(peer, job)
      if (!request.done) this.#parts.tell(peer, { type: 'declined', job, group, free: this.freeOf(group) })
    }
  }

  /** Free processors of a group that are of use, in thousandths of a core; 0 while requests wait there. */
  freeOf (group: string): number {
    for (const request of this.#requests.values()) if (request.group === group && request.waits) return 0
    return this.#parts.fleet.freeCpu(agent => this.#parts.groupOf(agent) === group && agent.free.cpu >= this.#parts.typicalCpu())
  }

  /** Gives a sign of life to the entries whose requests wait. */
  tellWaiting (): void {
    if (this.#requests.size === 0) return
    const crowded = this.#requests.size + this.#parts.ownWaiting() > 1
    const waiting = new Map<string, string[]>()
    for (const { peer, job } of this.#requests.values()) {
      const jobs = waiting.get(peer)
      if (jobs === undefined) waiting.set(peer, [job])
      else jobs.push(job)
    }
    for (const [peer, jobs] of waiting) this.#parts.tell(peer, { type: 'waiting', jobs, crowded })
  }
}

function keyOf (peer: string, job: string): string {
  return `${peer}/${job}`
}
