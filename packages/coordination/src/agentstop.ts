/** The planned stop of an agent: whether it was ordered, and which entries know. */
import type { Instance, View } from './messages.ts'
import { liveMembers } from './view.ts'

/** How long a planned stop waits for entries to learn of it, and to confirm what was refused. */
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

  /** An entry has answered the heartbeat that was sent at `sent`. */
  heartbeatAnswered (entry: Instance, sent: number): void {
    if (this.#orderedAt !== undefined && sent > this.#orderedAt) this.#acknowledgedBy.add(entry)
  }

  /** Time since the order, in milliseconds. */
  orderedFor (now: number): number {
    return now - (this.#orderedAt ?? now)
  }

  acknowledgedBy (entry: Instance): boolean {
    return this.#acknowledgedBy.has(entry)
  }

  /** Whether entries that are not heard of are waited for no longer. */
  overdue (now: number): boolean {
    return this.orderedFor(now) >= ACKNOWLEDGEMENT_TIMEOUT_MILLISECONDS
  }

  /**
   * Whether every member knows that this agent leaves, also one whose link is down: what it sent over that link it sends again
   * over the next. A dispatch that was on its way when the stop was
   * ordered would find nobody: its task, which never started, would be answered "may have run". What an
   * entry sends before it answers a heartbeat arrives before the answer, so that it is refused in time.
   */
  acknowledgedByAll (view: View, now: number): boolean {
    return this.overdue(now) || liveMembers(view).every(({ instance }) => this.#acknowledgedBy.has(instance))
  }
}
