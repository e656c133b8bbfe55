/**
 * Tracks whether this entry's memory of its job ids is complete, since when, and which losses of other entries have
 * left gaps in it.
 */
import type { AgentLinks } from './agentlinks.ts'
import type { EntryContext } from './entrycontext.ts'
import type { Instance, Transfer } from './messages.ts'
import type { Membership } from './membership.ts'
import type { Takeover } from './takeover.ts'
import { onlyJoinsSoFar } from './view.ts'

/** Prefix of the placeholder for agent incarnations that no process remembers. */
const UNKNOWN_AGENTS_PREFIX = 'unknown before '

export interface JobMemoryDependencies {
  context: EntryContext
  membership: Membership
  takeover: Takeover
  agents: AgentLinks
}

export class JobMemory {
  readonly #context: EntryContext
  readonly #membership: Membership
  readonly #takeover: Takeover
  readonly #agents: AgentLinks
  /** Stopping entries that have handed their memory over. */
  readonly #handedOver = new Set<Instance>()
  /** When entries were lost without a handover, by this entry's clock. */
  #losses: number[] = []
  #horizon = 0
  #complete = false
  /** Whether some member with a complete memory has sent its transfer in this epoch. */
  #peerComplete = false

  constructor ({ context, membership, takeover, agents }: JobMemoryDependencies) {
    this.#context = context
    this.#membership = membership
    this.#takeover = takeover
    this.#agents = agents
  }

  /** Start of the period for which the memory is complete, in milliseconds since 1970; 0 when it always was. */
  get horizon (): number {
    return this.#horizon
  }

  /** Whether the memory has ever been complete. */
  get complete (): boolean {
    return this.#complete
  }

  /** Number of entries lost without a handover within the retention time. */
  get losses (): number {
    return this.#losses.length
  }

  /** Begins a new epoch: what other members hold is not yet known here. */
  beginEpoch (): void {
    this.#peerComplete = false
  }

  /**
   * A member was removed. Unless it handed its memory over, one of the two copies of some job records is lost with
   * it.
   */
  memberRemoved (peer: Instance, now: number): void {
    if (!this.#handedOver.delete(peer)) this.#losses.push(now)
  }

  /** A stopping entry has handed everything over. */
  handedOver (peer: Instance): void {
    this.#handedOver.add(peer)
  }

  /** A member with a complete memory has begun this epoch too. */
  peerComplete (): void {
    this.#peerComplete = true
    this.#membership.markKnownToOthers()
  }

  /** Merges the horizon and the losses that another entry reports. */
  mergeLosses ({ horizon, losses }: Transfer, now: number): void {
    this.#horizon = Math.max(this.#horizon, horizon)
    while (this.#losses.length < losses) this.#losses.push(now)
    if (this.#losses.length > 1) this.#takeover.noteBothCopiesLost()
  }

  /** Removes losses older than the retention time: no job from before them is retained any more. */
  expireLosses (now: number): void {
    this.#losses = this.#losses.filter(at => now - at <= this.#context.timings.retention)
  }

  /** Raises the horizon where memory is lost, before any job id is accepted as new. */
  update (now: number): void {
    if (this.#membership.joined && !this.#complete && this.#takeover.transfersComplete) this.#becomeComplete(now)
    if (this.#takeover.confirmMemoryLoss(now)) this.#raiseHorizon()
  }

  /**
   * Marks the memory of a new entry as complete: it is as complete as that of any other member.
   *
   * If no member has a complete memory, the records of earlier runs are lost and the horizon is raised. The agents
   * that ran them are unknown too, so a placeholder that can never be reached is added for them. Neither applies while
   * entries have only joined so far, perhaps several before the first had read its own join, since nothing can have
   * run then.
   */
  #becomeComplete (now: number): void {
    this.#complete = true
    this.#membership.markKnownToOthers()
    if (this.#peerComplete || onlyJoinsSoFar(this.#membership.view)) return
    this.#raiseHorizon()
    const unknown = `${UNKNOWN_AGENTS_PREFIX}${this.#context.instance}`
    this.#agents.addReported(unknown, now)
    this.#takeover.addUnknownAgents(unknown)
  }

  #raiseHorizon (): void {
    this.#horizon = Math.max(this.#horizon, this.#context.wallClock())
  }
}
