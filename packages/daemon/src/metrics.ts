/** Metrics of both roles. */
import { Counters } from './counters.ts'
import { Exposition } from './exposition.ts'

const MICROSECONDS_PER_SECOND = 1_000_000

/** Direction of a message. */
export enum Direction {
  Sent = 'sent',
  Received = 'received'
}

/** Counters of the process and of the inner protocol. */
export class ProcessMetrics {
  readonly #messages = new Counters(['link', 'direction', 'kind'])

  /**
   * Counts a message of the inner protocol.
   *
   * @param link role of the other end
   */
  message (link: string, direction: Direction, kind: string): void {
    this.#messages.add([link, direction, kind])
  }

  /** Adds the metrics of the process to an exposition. */
  expose (exposition: Exposition, state: string, sizes: Readonly<Record<string, number>>): void {
    const { user, system } = process.cpuUsage()
    exposition.gauge('amaranthmast_state', 'Life state of the daemon', [{ labels: { state }, value: 1 }])
    exposition.gauge('amaranthmast_size', 'Links, waiting callers, calls in progress, evacuated data centres',
      Object.entries(sizes).map(([kind, value]) => ({ labels: { kind }, value })))
    exposition.counter('amaranthmast_messages_total', 'Messages of the inner protocol', this.#messages.samples())
    exposition.counter('process_cpu_seconds_total', 'Processor time used', [{ labels: {}, value: (user + system) / MICROSECONDS_PER_SECOND }])
    exposition.gauge('process_resident_memory_bytes', 'Resident set', [{ labels: {}, value: process.memoryUsage.rss() }])
  }
}
