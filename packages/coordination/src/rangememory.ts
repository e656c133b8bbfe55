/**
 * Whether an entry's memory of its job ids is complete, since when, and what losses of other entries
 * have taken from it.
 */
import type { AgentLinks } from './agentlinks.ts'
import type { EntryContext } from './entrycontext.ts'
import type { Instance, Transfer } from './messages.ts'
import type { Membership } from './membership.ts'
import type { Takeover } from './takeover.ts'
import { onlyJoinsSoFar } from './view.ts'

/** Stands for the agent runs that nobody remembers any more. */
const UNKNOWN_AGENTS = 'unknown before '

export interface RangeMemoryParts {
  context: EntryContext
  membership: Membership
  takeover: Takeover
  agents: AgentLinks
}

export class RangeMemory {
  readonly #context: EntryContext
  readonly #membership: Membership
  readonly #takeover: Takeover
  readonly #agents: AgentLinks
  /** Entries that stop and have handed their memory over. */
  readonly #handedOver = new Set<Instance>()
  /** When entries were lost without handing over, by this entry's clock. */
  #losses: number[] = []
  #horizon = 0
  #complete = false
  /** Whether some member with a complete memory has sent its transfer in this epoch. */
  #peerComplete = false

  constructor ({ context, membership, takeover, agents }: RangeMemoryParts) {
    this.#context = context
    this.#membership = membership
    this.#takeover = takeover
    this.#agents = agents
  }

  /** Since when the memory is complete, in milliseconds since 1970; 0 for ever. */
  get horizon (): number {
    return this.#horizon
  }

  /** Whether the memory has ever been complete. */
  get complete (): boolean {
    return this.#complete
  }

  /** Entries lost without handing over within the retention time. */
  get losses (): number {
    return this.#losses.length
  }

  /** A new epoch: what other members know is not known to be here yet. */
  begin (): void {
    this.#peerComplete = false
  }

  /** An entry that goes without having left takes one memory of some jobs with it. */
  memberGone (peer: Instance, now: number): void {
    if (!this.#handedOver.delete(peer)) this.#losses.push(now)
  }

  /** A stopping entry has handed everything over. */
  handedOver (peer: Instance): void {
    this.#handedOver.add(peer)
  }

  /** A member with a complete memory has begun this epoch too. */
  peerComplete (): void {
    this.#peerComplete = true
    this.#membership.acquaint()
  }

  /** Takes in what another entry knows to be gone. */
  learn ({ horizon, losses }: Transfer, now: number): void {
    this.#horizon = Math.max(this.#horizon, horizon)
    while (this.#losses.length < losses) this.#losses.push(now)
    if (this.#losses.length > 1) this.#takeover.noteMemoriesLost()
  }

  /** Forgets losses of which no job is remembered any more. */
  expireLosses (now: number): void {
    this.#losses = this.#losses.filter(at => now - at <= this.#context.timings.retention)
  }

  /** Raises the horizon where memory is gone, before any job id is taken as new. */
  settle (now: number): void {
    if (this.#membership.joined && !this.#complete && this.#takeover.transfersComplete) this.#inherit(now)
    if (this.#takeover.takeMemoryLoss(now)) this.#raiseHorizon()
  }

  /**
   * The memory of a new entry is as complete as that of any other member whose memory was. With
   * none, what ran before is forgotten, unless nothing can have run, since entries have only joined so
   * far, perhaps several before the first had read its own join; and so is which agents ran it, for
   * which an agent run stands that nobody will ever reach.
   */
  #inherit (now: number): void {
    this.#complete = true
    this.#membership.acquaint()
    if (this.#peerComplete || onlyJoinsSoFar(this.#membership.view)) return
    this.#raiseHorizon()
    const unknown = `${UNKNOWN_AGENTS}${this.#context.instance}`
    this.#agents.learn(unknown, now)
    this.#takeover.forgotten(unknown)
  }

  #raiseHorizon (): void {
    this.#horizon = Math.max(this.#horizon, this.#context.wallClock())
  }
}
