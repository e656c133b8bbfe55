/** The planned stop of an agent: whether it was ordered, and which entries know. */
import type { Instance, View } from './messages.ts'
import { isMember } from './view.ts'

/** How long a planned stop waits for entries to learn of it. */
const RELIEF_PATIENCE_MILLISECONDS = 3000

export class AgentStop {
  #orderedAt: number | undefined
  /** Entries that have answered a heartbeat sent after the planned stop was ordered. */
  readonly #relievedBy = new Set<Instance>()

  get ordered (): boolean {
    return this.#orderedAt !== undefined
  }

  order (now: number): void {
    this.#orderedAt = now
  }

  /** An entry has answered the heartbeat that was sent at `sent`. */
  heartbeatAnswered (entry: Instance, sent: number): void {
    if (this.#orderedAt !== undefined && sent > this.#orderedAt) this.#relievedBy.add(entry)
  }

  /** Time since the order, in milliseconds. */
  orderedFor (now: number): number {
    return now - (this.#orderedAt ?? now)
  }

  knownTo (entry: Instance): boolean {
    return this.#relievedBy.has(entry)
  }

  /**
   * Whether every entry knows that this agent leaves. A dispatch that was on its way when the stop was
   * ordered would find nobody: its task, which never started, would be answered "may have run". What an
   * entry sends before it answers a heartbeat arrives before the answer, so that it is refused in time.
   */
  relieved (connected: Iterable<Instance>, view: View, now: number): boolean {
    if (now - (this.#orderedAt ?? now) >= RELIEF_PATIENCE_MILLISECONDS) return true
    return [...connected].every(entry => !isMember(view, entry) || this.#relievedBy.has(entry))
  }
}
