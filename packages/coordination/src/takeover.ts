/**
 * Tracks whether an entry has received all that other processes hold of its job ids, in the current epoch.
 *
 * Each change of members moves job ids between entries. The new owner first receives from every other member the jobs
 * it holds, and from every agent the tasks it started for entries that are gone.
 */
import type { Instance } from './messages.ts'
import { CLOCK_RATE_MARGIN } from './defaults.ts'

export interface TakeoverTimings {
  /** Time without contact after which an agent counts as lost, in milliseconds. */
  agentLost: number
  /** How long a disconnected agent may go on starting tasks, in milliseconds. */
  contact: number
}

/** State at the beginning of an epoch. */
export interface TakeoverStart {
  epoch: string
  /** The other members, each of which sends a transfer. */
  peers: readonly Instance[]
  /** Agent incarnations that may have started tasks, with the time since which each is disconnected. */
  agents: ReadonlyMap<Instance, number | undefined>
  /** Whether two entries were lost without a handover, so that both copies of a job's record may be gone. */
  bothCopiesLost: boolean
  now: number
}

/** Tracks the transfers and recalls of one epoch at a time. */
export class Takeover {
  readonly #timings: TakeoverTimings
  readonly #peers = new Set<Instance>()
  /** Agents whose ledger records are awaited, with the time since which they are. */
  readonly #agents = new Map<Instance, number>()
  /** Agents whose ledgers could not be read. */
  readonly #missing = new Set<Instance>()
  #epoch = ''
  #beganAt = 0
  #bothCopiesLost = false
  #memoryLossConfirmed = false

  constructor (timings: TakeoverTimings) {
    this.#timings = timings
  }

  get epoch (): string {
    return this.#epoch
  }

  /** Agents whose ledger records are awaited. */
  get awaitedAgents (): ReadonlyMap<Instance, number> {
    return this.#agents
  }

  /** Whether every member has sent the jobs it holds: a job id unknown here is unknown to all of them. */
  get transfersComplete (): boolean {
    return this.#peers.size === 0
  }

  /** Whether this member has sent the jobs it holds. After that it accepts no more of this entry's job ids. */
  hasTransferred (peer: Instance): boolean {
    return !this.#peers.has(peer)
  }

  /** Whether every agent has answered or timed out. */
  get recallEnded (): boolean {
    return this.#agents.size === 0
  }

  /** Whether every agent has answered: a task that no ledger contains was never started by an entry that is gone. */
  get ledgersComplete (): boolean {
    return this.recallEnded && this.#missing.size === 0
  }

  /** Records that both copies of a job's record may be gone. */
  noteBothCopiesLost (): void {
    this.#bothCopiesLost = true
  }

  /**
   * Returns true once per epoch, when job records are lost for good: they were lost with an agent whose ledger cannot
   * replace them, no further transfer or ledger is expected, and an agent that does not respond because it is
   * disconnected from this entry has stopped starting tasks. Until the loss is confirmed, no unknown job id is new.
   */
  confirmMemoryLoss (now: number): boolean {
    if (this.#memoryLossConfirmed || !this.#bothCopiesLost || this.#missing.size === 0) return false
    const isolated = now - this.#beganAt >= this.#timings.contact * (1 + CLOCK_RATE_MARGIN)
    this.#memoryLossConfirmed = this.transfersComplete && this.recallEnded && isolated
    return this.#memoryLossConfirmed
  }

  begin (start: TakeoverStart): void {
    this.#epoch = start.epoch
    this.#beganAt = start.now
    this.#bothCopiesLost = start.bothCopiesLost
    this.#memoryLossConfirmed = false
    this.#peers.clear()
    this.#agents.clear()
    this.#missing.clear()
    for (const peer of start.peers) this.#peers.add(peer)
    for (const [agent, disconnectedAt] of start.agents) this.#awaitLedger(agent, disconnectedAt, start.now)
  }

  transferred (peer: Instance, epoch: string): void {
    if (epoch === this.#epoch) this.#peers.delete(peer)
  }

  /** Adds an agent incarnation that announced itself or that another entry reported; its ledger records are awaited. */
  addAgent (agent: Instance, disconnectedAt: number | undefined, now: number): void {
    this.#awaitLedger(agent, disconnectedAt, now)
  }

  /** Records that it is not known which agents existed before, so that their ledgers cannot be read. */
  addUnknownAgents (agents: Instance): void {
    this.#missing.add(agents)
  }

  recalled (agent: Instance, epoch: string): void {
    if (epoch !== this.#epoch) return
    this.#agents.delete(agent)
    this.#missing.delete(agent)
  }

  /**
   * Whether an unknown job id may be accepted as new. If both copies of a job's record may be lost, this requires
   * every ledger, or a raised horizon that covers the agents that did not respond.
   */
  get unknownJobsAreNew (): boolean {
    if (!this.transfersComplete) return false
    if (!this.#bothCopiesLost) return true
    return this.recallEnded && (this.#missing.size === 0 || this.#memoryLossConfirmed)
  }

  tick (now: number): void {
    for (const [agent, since] of this.#agents) {
      if (now - since < this.#timings.agentLost) continue
      this.#agents.delete(agent)
      this.#missing.add(agent)
    }
  }

  /** An agent that was lost before the epoch began is not waited for again. */
  #awaitLedger (agent: Instance, disconnectedAt: number | undefined, now: number): void {
    const alreadyLost = disconnectedAt !== undefined && now - disconnectedAt >= this.#timings.agentLost
    if (alreadyLost) this.#missing.add(agent)
    else this.#agents.set(agent, now)
  }
}
