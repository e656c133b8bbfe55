/** The planned stop of an entry: it finishes its jobs, hands its records over and leaves the view. */
import type { EntryContext } from './entrycontext.ts'
import type { Member } from './messages.ts'
import type { Membership } from './membership.ts'

/** How long a stopping entry continues to accept requests that were already in flight. */
const IN_FLIGHT_GRACE_MILLISECONDS = 1000
/** How long a stopping entry that has handed everything over waits for its removal from the view. */
const DEPARTURE_TIMEOUT_MILLISECONDS = 3000

export interface PlannedStopDependencies {
  context: EntryContext
  membership: Membership
  otherMembers: () => readonly Member[]
  /** Whether no job and no request is open here. */
  idle: () => boolean
  /** Hands all job records held here over to the remaining entries. */
  handOver: () => void
  /** Ends the entry. */
  stop: () => void
}

export class PlannedStop {
  readonly #context: EntryContext
  readonly #membership: Membership
  readonly #otherMembers: () => readonly Member[]
  readonly #idle: () => boolean
  readonly #handOver: () => void
  readonly #stop: () => void
  #orderedAt: number | undefined
  #departingSince: number | undefined

  constructor (dependencies: PlannedStopDependencies) {
    this.#context = dependencies.context
    this.#membership = dependencies.membership
    this.#otherMembers = dependencies.otherMembers
    this.#idle = dependencies.idle
    this.#handOver = dependencies.handOver
    this.#stop = dependencies.stop
  }

  get ordered (): boolean {
    return this.#orderedAt !== undefined
  }

  /** Whether everything has been handed over and this entry waits for its removal from the view. */
  get departing (): boolean {
    return this.#departingSince !== undefined
  }

  /** Begins the stop; returns false when it had already begun. */
  order (now: number): boolean {
    if (this.#orderedAt !== undefined) return false
    this.#orderedAt = now
    this.#membership.leave()
    return true
  }

  tick (now: number): void {
    if (this.#orderedAt === undefined) return
    if (this.#departingSince !== undefined) {
      if (now - this.#departingSince >= DEPARTURE_TIMEOUT_MILLISECONDS) this.#stop()
      return
    }
    const graceElapsed = now - this.#orderedAt >= IN_FLIGHT_GRACE_MILLISECONDS
    if (!graceElapsed || !this.#canHandOver() || !this.#idle()) return
    this.#departingSince = now
    this.#handOver()
    this.#membership.depart()
  }

  /** Whether the other members own this entry's job ids now, and all of them are connected. */
  #canHandOver (): boolean {
    const others = this.#otherMembers()
    if (others.length > 0 && !this.#membership.leavingPublished) return false
    return others.every(member => this.#context.peerConnected(member.instance))
  }
}
