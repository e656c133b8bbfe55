/** The planned stop of an agent: whether it was ordered, and which entries have acknowledged it. */
import type { Instance, View } from './messages.ts'
import { liveMembers } from './view.ts'

/** How long a planned stop waits for entries to acknowledge it, and to confirm refused tasks. */
const ACKNOWLEDGEMENT_TIMEOUT_MILLISECONDS = 3000

export class AgentStop {
  #orderedAt: number | undefined
  /** Entries that have answered a heartbeat sent after the planned stop was ordered. */
  readonly #acknowledgedBy = new Set<Instance>()

  get ordered (): boolean {
    return this.#orderedAt !== undefined
  }

  order (now: number): void {
    this.#orderedAt = now
  }

  /** An entry answered the heartbeat that was sent at `sent`. */
  heartbeatAnswered (entry: Instance, sent: number): void {
    if (this.#orderedAt !== undefined && sent > this.#orderedAt) this.#acknowledgedBy.add(entry)
  }

  /** Time since the stop was ordered, in milliseconds. */
  orderedFor (now: number): number {
    return now - (this.#orderedAt ?? now)
  }

  acknowledgedBy (entry: Instance): boolean {
    return this.#acknowledgedBy.has(entry)
  }

  /** Whether the time to wait for entries that do not respond is over. */
  overdue (now: number): boolean {
    return this.orderedFor(now) >= ACKNOWLEDGEMENT_TIMEOUT_MILLISECONDS
  }

  /**
   * Whether every member has acknowledged that this agent leaves, or the timeout has passed. Members whose link is
   * down are included: they send again over the next link what they sent over the old one.
   *
   * Otherwise a dispatch in flight when the stop was ordered would reach no process, and its task would be answered
   * "may have run" although it never started. Messages that an entry sends before it answers a heartbeat arrive
   * before the answer, so such a dispatch is refused in time.
   */
  acknowledgedByAll (view: View, now: number): boolean {
    return this.overdue(now) || liveMembers(view).every(({ instance }) => this.#acknowledgedBy.has(instance))
  }
}
