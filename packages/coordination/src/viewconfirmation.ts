/**
 * Whether an agent may still trust its view. It relies on its own clock alone: a reading that
 * it sent and got back bounds from below when the answer can have been made, so only the rates of
 * clocks matter and never their agreement.
 *
 * An agent may start tasks while the store confirmed its view at most `contact` milliseconds ago,
 * or while every entry of the view answered it within that time. The first lets the fleet go on
 * when an entry is lost, the second when the store is. An agent that has neither may stand on the
 * far side of a cut, where others have removed its entries and given their jobs to someone else.
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

  /** Takes an entry's answer to a heartbeat in; `sent` is the agent's own clock reading. */
  replied (entry: Instance, reply: Reply, version: number): void {
    const last = this.#repliedAt.get(entry) ?? Number.NEGATIVE_INFINITY
    this.#repliedAt.set(entry, Math.max(last, reply.sent))
    if (reply.viewVersion !== version) return
    const confirmedAt = reply.sent - reply.confirmedAgeMilliseconds
    if (this.#confirmedVersion === version && confirmedAt <= this.#confirmedAt) return
    this.#confirmedVersion = version
    this.#confirmedAt = confirmedAt
  }

  holds (view: View, now: number): boolean {
    const confirmed = this.#confirmedVersion === view.version && now - this.#confirmedAt <= this.#contact
    if (confirmed) return true
    const members = liveMembers(view)
    return members.length > 0 && members.every(member => now - this.#lastReply(member.instance) <= this.#contact)
  }

  everyMemberReplied (view: View): boolean {
    const members = liveMembers(view)
    return members.length > 0 && members.every(member => this.#repliedAt.has(member.instance))
  }

  #lastReply (entry: Instance): number {
    return this.#repliedAt.get(entry) ?? Number.NEGATIVE_INFINITY
  }
}
