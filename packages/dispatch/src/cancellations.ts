/**
 * Jobs whose callers have cancelled them, as one entry knows.
 *
 * A cancellation may reach another entry than the one that runs the job, or come before a submission that is still under
 * way. So it is remembered for as long as a caller may come back, and told to the other entries: at once, and with each new
 * link. What they hear they tell only to entries that link later, so that nothing goes round.
 */
import type { PeerMessage } from './peermessages.ts'
import { CANCELLATION_MEMORY_MILLISECONDS, CANCELLATIONS_REMEMBERED } from './crashdefaults.ts'

export interface CancellationsParts {
  /** Cancelled ids are remembered. */
  remembers: boolean
  /** The other entries are told. */
  tells: boolean
  tell: (peer: string, message: PeerMessage) => void
}

export class Cancellations {
  readonly #parts: CancellationsParts
  readonly #peers = new Set<string>()
  /** When each job was cancelled, oldest first. */
  readonly #cancelled = new Map<string, number>()

  constructor (parts: CancellationsParts) {
    this.#parts = parts
  }

  get size (): number {
    return this.#cancelled.size
  }

  has (job: string): boolean {
    return this.#cancelled.has(job)
  }

  /** A caller has cancelled the job here. */
  add (job: string, now: number): void {
    this.#remember(job, now)
    for (const peer of this.#peers) this.#tell(peer, [job], now)
  }

  /** Another entry tells of cancellations; gives those that are new here. */
  heard (jobs: ReadonlyArray<{ job: string, ago: number }>, now: number): string[] {
    const fresh = jobs.filter(({ job, ago }) => !this.#cancelled.has(job) && ago < CANCELLATION_MEMORY_MILLISECONDS)
    for (const { job, ago } of fresh) this.#remember(job, now - ago)
    return fresh.map(({ job }) => job)
  }

  peerLinked (peer: string, now: number): void {
    this.#peers.add(peer)
    this.#tell(peer, [...this.#cancelled.keys()], now)
  }

  peerUnlinked (peer: string): void {
    this.#peers.delete(peer)
  }

  tick (now: number): void {
    for (const [job, at] of this.#cancelled) if (now - at >= CANCELLATION_MEMORY_MILLISECONDS) this.#cancelled.delete(job)
  }

  #remember (job: string, at: number): void {
    if (!this.#parts.remembers || this.#cancelled.has(job)) return
    this.#cancelled.set(job, at)
    if (this.#cancelled.size <= CANCELLATIONS_REMEMBERED) return
    const oldest = this.#cancelled.keys().next().value
    if (oldest !== undefined) this.#cancelled.delete(oldest)
  }

  #tell (peer: string, jobs: readonly string[], now: number): void {
    if (!this.#parts.tells || jobs.length === 0) return
    this.#parts.tell(peer, { type: 'cancel', jobs: jobs.map(job => ({ job, ago: Math.round(now - (this.#cancelled.get(job) ?? now)) })) })
  }
}
