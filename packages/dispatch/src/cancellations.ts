/**
 * Jobs that were cancelled by their callers, as known to one entry.
 *
 * A cancellation may reach another entry than the one that runs the job, or overtake the submission. It is therefore
 * remembered for as long as a caller may retry, and sent to the other entries: at once, and on each new link.
 * Cancellations received from an entry are sent only to entries that link later, so that they are not forwarded in
 * circles.
 */
import type { PeerMessage } from './peermessages.ts'
import { CANCELLATION_RETENTION_MILLISECONDS, MAX_CANCELLATIONS } from './crashdefaults.ts'

export interface CancellationsDependencies {
  /** Whether cancelled ids are remembered. */
  remembers: boolean
  /** Whether cancellations are sent to the other entries. */
  sendsToPeers: boolean
  tell: (peer: string, message: PeerMessage) => void
}

export class Cancellations {
  readonly #dependencies: CancellationsDependencies
  readonly #peers = new Set<string>()
  /** When each job was cancelled, oldest first. */
  readonly #cancelled = new Map<string, number>()

  constructor (dependencies: CancellationsDependencies) {
    this.#dependencies = dependencies
  }

  get size (): number {
    return this.#cancelled.size
  }

  has (job: string): boolean {
    return this.#cancelled.has(job)
  }

  /** Records a cancellation by a caller of this entry and sends it to the other entries. */
  add (job: string, now: number): void {
    this.#remember(job, now)
    for (const peer of this.#peers) this.#send(peer, [job], now)
  }

  /** Records cancellations sent by another entry, and returns the ids that are new here. */
  receive (jobs: ReadonlyArray<{ job: string, ago: number }>, now: number): string[] {
    const fresh = jobs.filter(({ job, ago }) => !this.#cancelled.has(job) && ago < CANCELLATION_RETENTION_MILLISECONDS)
    for (const { job, ago } of fresh) this.#remember(job, now - ago)
    return fresh.map(({ job }) => job)
  }

  peerLinked (peer: string, now: number): void {
    this.#peers.add(peer)
    this.#send(peer, [...this.#cancelled.keys()], now)
  }

  peerUnlinked (peer: string): void {
    this.#peers.delete(peer)
  }

  tick (now: number): void {
    for (const [job, at] of this.#cancelled) if (now - at >= CANCELLATION_RETENTION_MILLISECONDS) this.#cancelled.delete(job)
  }

  #remember (job: string, at: number): void {
    if (!this.#dependencies.remembers || this.#cancelled.has(job)) return
    this.#cancelled.set(job, at)
    if (this.#cancelled.size <= MAX_CANCELLATIONS) return
    const oldest = this.#cancelled.keys().next().value
    if (oldest !== undefined) this.#cancelled.delete(oldest)
  }

  #send (peer: string, jobs: readonly string[], now: number): void {
    if (!this.#dependencies.sendsToPeers || jobs.length === 0) return
    this.#dependencies.tell(peer, { type: 'cancel', jobs: jobs.map(job => ({ job, ago: Math.round(now - (this.#cancelled.get(job) ?? now)) })) })
  }
}
