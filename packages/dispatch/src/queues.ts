/** The queues of the configuration, and which one a request is for. */

/** A queue as the operators configure it. */
export interface Queue {
  name: string
  host: string
  /** A request belongs to the queue with the longest prefix that its path begins with. */
  prefix: string
  service: string
  /** 0 comes first. */
  priority: number
  /** A task that failed so often makes its job fail. */
  attempts: number
  /** The objective of a job is this many times its longest chain of work, and `latency` more. */
  slackFactor: number
  /** In milliseconds. */
  latency: number
  /** Longest time of a request, in milliseconds; 0 for none. */
  timeout: number
}

/** Limits for callers' requests. Sizes in bytes, durations in milliseconds; 0 for none. */
export interface RequestLimits {
  header: number
  body: number
  headerTimeout: number
  idleTimeout: number
}

/** What an entry needs of the operators' configuration. */
export interface DispatchConfiguration {
  version: number
  queues: Queue[]
  limits: RequestLimits
}

/** Finds the queue of a request by host and longest prefix. */
export class QueueTable {
  readonly #byHost = new Map<string, Queue[]>()

  constructor (queues: readonly Queue[]) {
    for (const queue of queues) {
      const host = queue.host.toLowerCase()
      const known = this.#byHost.get(host)
      if (known === undefined) this.#byHost.set(host, [queue])
      else known.push(queue)
    }
    for (const known of this.#byHost.values()) known.sort((one, other) => other.prefix.length - one.prefix.length)
  }

  find (host: string, path: string): Queue | undefined {
    return this.#byHost.get(host.toLowerCase())?.find(queue => path.startsWith(queue.prefix))
  }
}
