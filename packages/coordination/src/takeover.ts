/**
 * Whether an entry's memory of its job ids is complete in the current epoch. Each change of members
 * moves job ids between entries, so the new owner first hears from every other member what it
 * holds, and from every agent what it started for entries that are gone.
 */
import type { Instance } from './messages.ts'
import { CLOCK_RATE_MARGIN } from './defaults.ts'

export interface TakeoverTimings {
  /** Silence after which an agent counts as missing, in milliseconds. */
  agentLost: number
  /** How long a cut-off agent may go on starting tasks, in milliseconds. */
  contact: number
}

/** What one epoch begins with. */
export interface TakeoverStart {
  epoch: string
  /** The other members, each of which will send a transfer. */
  peers: readonly Instance[]
  /** Agent runs that may have started something, with the time since which each is disconnected. */
  agents: ReadonlyMap<Instance, number | undefined>
  /** Whether two entries were lost without handing over while memories of the same job may be theirs. */
  memoriesLost: boolean
  now: number
}

/** Tracks the transfers and recalls of one epoch at a time. */
export class Takeover {
  readonly #timings: TakeoverTimings
  readonly #peers = new Set<Instance>()
  /** Agents whose lines are awaited, with the time since which each is. */
  readonly #agents = new Map<Instance, number>()
  readonly #missing = new Set<Instance>()
  #epoch = ''
  #beganAt = 0
  #memoriesLost = false
  #lossTaken = false

  constructor (timings: TakeoverTimings) {
    this.#timings = timings
  }

  get epoch (): string {
    return this.#epoch
  }

  /** Agents whose ledger lines are awaited. */
  get awaitedAgents (): ReadonlyMap<Instance, number> {
    return this.#agents
  }

  /** Every member has told what it holds: an unknown job id is unknown to all of them. */
  get transfersComplete (): boolean {
    return this.#peers.size === 0
  }

  /** Whether this member has told what it holds: it takes nothing more of this entry's job ids. */
  hasTransferred (peer: Instance): boolean {
    return !this.#peers.has(peer)
  }

  /** Every agent has answered or is given up. */
  get recallEnded (): boolean {
    return this.#agents.size === 0
  }

  /** Every agent has answered: what no ledger names was never started by an entry that is gone. */
  get ledgersComplete (): boolean {
    return this.recallEnded && this.#missing.size === 0
  }

  /** Both memories of a job may be gone. */
  noteMemoriesLost (): void {
    this.#memoriesLost = true
  }

  /**
   * True once an epoch: memories are gone that no ledger replaces, nothing more will come in, and
   * an agent that stays silent, cut off from this entry, has stopped starting tasks. Until the loss
   * is taken, no unknown job id is new.
   */
  takeMemoryLoss (now: number): boolean {
    if (this.#lossTaken || !this.#memoriesLost || this.#missing.size === 0) return false
    const isolated = now - this.#beganAt >= this.#timings.contact * (1 + CLOCK_RATE_MARGIN)
    this.#lossTaken = this.transfersComplete && this.recallEnded && isolated
    return this.#lossTaken
  }

  begin (start: TakeoverStart): void {
    this.#epoch = start.epoch
    this.#beganAt = start.now
    this.#memoriesLost = start.memoriesLost
    this.#lossTaken = false
    this.#peers.clear()
    this.#agents.clear()
    this.#missing.clear()
    for (const peer of start.peers) this.#peers.add(peer)
    for (const [agent, disconnectedAt] of start.agents) this.#await(agent, disconnectedAt, start.now)
  }

  transferred (peer: Instance, epoch: string): void {
    if (epoch === this.#epoch) this.#peers.delete(peer)
  }

  /** An agent run that only another entry knew of. */
  learned (agent: Instance, disconnectedAt: number | undefined, now: number): void {
    this.#await(agent, disconnectedAt, now)
  }

  /** Nobody remembers which agents there were before: their ledgers cannot be read. */
  forgotten (agents: Instance): void {
    this.#missing.add(agents)
  }

  recalled (agent: Instance, epoch: string): void {
    if (epoch !== this.#epoch) return
    this.#agents.delete(agent)
    this.#missing.delete(agent)
  }

  /**
   * Whether an unknown job id may be taken as new. With both memories of a job possibly gone, that
   * takes every ledger, or the horizon that stands for the ones that stay silent.
   */
  get unknownIsNew (): boolean {
    if (!this.transfersComplete) return false
    if (!this.#memoriesLost) return true
    return this.recallEnded && (this.#missing.size === 0 || this.#lossTaken)
  }

  tick (now: number): void {
    for (const [agent, since] of this.#agents) {
      if (now - since < this.#timings.agentLost) continue
      this.#agents.delete(agent)
      this.#missing.add(agent)
    }
  }

  /** An agent that was gone before the epoch began is not waited for again. */
  #await (agent: Instance, disconnectedAt: number | undefined, now: number): void {
    const gone = disconnectedAt !== undefined && now - disconnectedAt >= this.#timings.agentLost
    if (gone) this.#missing.add(agent)
    else this.#agents.set(agent, now)
  }
}
