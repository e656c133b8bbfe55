/**
 * Whether an agent may still rely on its view.
 *
 * Only the agent's own clock is used. A heartbeat carries a reading of that clock and the answer returns it, which
 * gives a lower bound on the time at which the answer was made. So clocks need not agree, only run at similar rates.
 *
 * An agent may start tasks while the store confirmed its view at most `contact` milliseconds ago, or while every
 * entry of the view answered it within that time. The first condition lets the fleet continue when an entry is lost,
 * the second when the store is. An agent that meets neither may be partitioned from processes that have removed its
 * entries and reassigned their jobs.
 */
import type { Instance, View } from './messages.ts'
import { liveMembers } from './view.ts'

interface Reply {
  sent: number
  viewVersion: number
  confirmedAgeMilliseconds: number
}

export class ViewConfirmation {
  readonly #contact: number
  readonly #repliedAt = new Map<Instance, number>()
  #confirmedVersion = 0
  #confirmedAt = Number.NEGATIVE_INFINITY

  constructor (contact: number) {
    this.#contact = contact
  }

  /** Records an entry's answer to a heartbeat; `sent` is the agent's own clock reading. */
  replied (entry: Instance, reply: Reply, version: number): void {
    const last = this.#repliedAt.get(entry) ?? Number.NEGATIVE_INFINITY
    this.#repliedAt.set(entry, Math.max(last, reply.sent))
    if (reply.viewVersion !== version) return
    const confirmedAt = reply.sent - reply.confirmedAgeMilliseconds
    if (this.#confirmedVersion === version && confirmedAt <= this.#confirmedAt) return
    this.#confirmedVersion = version
    this.#confirmedAt = confirmedAt
  }

  /** Whether the view is confirmed, so that tasks may start. */
  holds (view: View, now: number): boolean {
    const confirmed = this.#confirmedVersion === view.version && now - this.#confirmedAt <= this.#contact
    if (confirmed) return true
    const members = liveMembers(view)
    return members.length > 0 && members.every(member => now - this.#lastReply(member.instance) <= this.#contact)
  }

  /** Whether every member has answered at least one heartbeat. */
  everyMemberReplied (view: View): boolean {
    const members = liveMembers(view)
    return members.length > 0 && members.every(member => this.#repliedAt.has(member.instance))
  }

  #lastReply (entry: Instance): number {
    return this.#repliedAt.get(entry) ?? Number.NEGATIVE_INFINITY
  }
}
