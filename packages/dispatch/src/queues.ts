/** The queues of the configuration, and the lookup of the queue for a request. */

/** A queue as the operators configure it. */
export interface Queue {
  name: string
  host: string
  /** A request belongs to the queue with the longest prefix that its path begins with. */
  prefix: string
  service: string
  /** 0 is served first. */
  priority: number
  /** Failures of one task after which its job fails. */
  attempts: number
  /** The objective of a job is this factor times its longest chain of work, plus `latency`. */
  slackFactor: number
  /** In milliseconds. */
  latency: number
  /** Maximum time of a request, in milliseconds; 0 for none. */
  timeout: number
}

/** Limits for callers' requests. Sizes in bytes, durations in milliseconds; 0 for none. */
export interface RequestLimits {
  header: number
  body: number
  headerTimeout: number
  idleTimeout: number
}

/** The part of the operators' configuration that an entry uses. */
export interface DispatchConfiguration {
  version: number
  queues: Queue[]
  limits: RequestLimits
}

/** The queues of one host, by prefix. */
interface HostQueues {
  /** Lengths of the prefixes, longest first. */
  lengths: number[]
  byPrefix: Map<string, Queue>
}

/** Finds the queue of a request by host and longest prefix, in time independent of the number of queues. */
export class QueueTable {
  readonly #byHost = new Map<string, HostQueues>()

  constructor (queues: readonly Queue[]) {
    for (const queue of queues) {
      const { byPrefix } = this.#hostQueues(queue.host.toLowerCase())
      if (!byPrefix.has(queue.prefix)) byPrefix.set(queue.prefix, queue)
    }
    for (const host of this.#byHost.values()) host.lengths = lengthsOf(host.byPrefix.keys())
  }

  find (host: string, path: string): Queue | undefined {
    const queues = this.#byHost.get(host.toLowerCase())
    if (queues === undefined) return undefined
    for (const length of queues.lengths) {
      const queue = length > path.length ? undefined : queues.byPrefix.get(path.slice(0, length))
      if (queue !== undefined) return queue
    }
    return undefined
  }

  #hostQueues (name: string): HostQueues {
    let host = this.#byHost.get(name)
    if (host === undefined) {
      host = { lengths: [], byPrefix: new Map() }
      this.#byHost.set(name, host)
    }
    return host
  }
}

function lengthsOf (prefixes: Iterable<string>): number[] {
  const lengths = new Set<number>()
  for (const prefix of prefixes) lengths.add(prefix.length)
  return [...lengths].sort((one, other) => other - one)
}
