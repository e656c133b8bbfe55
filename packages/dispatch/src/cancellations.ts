/**
 * Jobs that were cancelled by their callers, as known to one entry.
 *
 * A cancellation may reach another entry than the one that runs the job, or overtake the submission. It is therefore
 * remembered for as long as a caller may retry, and sent to the other entries: at once, and on each new link.
 * Cancellations received from an entry are sent only to entries that link later, so that they are not forwarded in
 * circles.
 *
 * The memory of the entries is lost when all of them are killed. A cancellation is therefore acknowledged once it is
 * stored, and an entry accepts jobs once it knows the stored cancellations. It reads them from the store, and asks the
 * other entries when that takes too long.
 */
import type { Answer, EntryEffect } from './entrytypes.ts'
import type { JobName } from './jobname.ts'
import { refused } from './answers.ts'
import { CancellationWrites } from './cancellationwrites.ts'
import { CANCELLATION_PATIENCE_MILLISECONDS, CANCELLATION_RETENTION_MILLISECONDS, CANCELLATION_RETRY_MILLISECONDS, MAX_CANCELLATIONS, MAX_CANCELLATIONS_PER_MESSAGE, RECOVERY_ASK_MILLISECONDS } from './cancellationdefaults.ts'
import { Reason } from './entrytypes.ts'

export interface CancellationsDependencies {
  /** Whether cancelled ids are remembered. */
  remembers: boolean
  /** Whether cancellations are sent to the other entries. */
  sendsToPeers: boolean
  /** Whether cancellations are stored before they are acknowledged, and read before jobs are accepted. */
  stores: boolean
  emit: (effect: EntryEffect) => void
}

/** A caller's request to cancel a job. */
export interface CancelRequest {
  request: number
  /** Answer once the cancellation is stored. */
  answer: Answer
  /** How long the caller waits for it, in milliseconds. */
  remaining: number
}

/** A cancelled job in a message between entries. */
export interface CancelledJob {
  /** Id of the job. */
  job: string
  /** Address of the job. Earlier builds omit it: the job of any queue is meant. */
  address?: string
  /** How long ago it was cancelled, in milliseconds. */
  ago: number
}

/** A message between entries. */
export interface CancellationsMessage {
  jobs: readonly CancelledJob[]
  /** Whether the sender has sent all that it knows, among them all stored ones. */
  complete?: boolean
  /** Whether the sender doesn't know all stored ones, and asks for them. */
  asks?: boolean
}

interface Cancellation {
  job: JobName
  at: number
}

export class Cancellations {
  readonly #dependencies: CancellationsDependencies
  readonly #writes: CancellationWrites
  readonly #peers = new Set<string>()
  /** By address, or by id where that is all that is known; roughly in order of time: those that other entries send may be older than the last. */
  readonly #cancelled = new Map<string, Cancellation>()
  /** Addresses of the cancelled jobs that the store knows. */
  readonly #stored = new Set<string>()
  #complete: boolean
  /** When the other entries were asked last; at first the time of the first tick. */
  #askedAt: number | undefined

  constructor (dependencies: CancellationsDependencies) {
    this.#dependencies = dependencies
    this.#complete = !dependencies.stores
    this.#writes = new CancellationWrites({
      write: jobs => dependencies.emit({ type: 'storeCancellations', jobs }),
      answer: (request, answer) => this.#answer(request, answer)
    })
  }

  get size (): number {
    return this.#cancelled.size
  }

  /** Number of cancellations that are not stored yet. */
  get unstored (): number {
    return this.#writes.size
  }

  /** Whether every cancellation that was acknowledged before this entry started is known. */
  get complete (): boolean {
    return this.#complete
  }

  has ({ id, address }: JobName): boolean {
    return this.#cancelled.has(address) || this.#cancelled.has(id)
  }

  /** Records a cancellation by a caller of this entry, sends it to the other entries, and answers the caller once it is stored. */
  add (job: JobName, { request, answer, remaining }: CancelRequest, now: number): void {
    if (!this.has(job) && Math.max(this.#cancelled.size, this.#writes.size) >= MAX_CANCELLATIONS) return this.#answer(request, refused(Reason.Overload, CANCELLATION_RETRY_MILLISECONDS))
    this.#remember(job, now)
    for (const peer of this.#peers) this.#send(peer, [{ job, at: now }], now)
    if (!this.#dependencies.stores || this.#stored.has(job.address)) return this.#answer(request, answer)
    this.#writes.add(job, { request, answer, until: now + Math.min(remaining, CANCELLATION_PATIENCE_MILLISECONDS) }, now)
  }

  /**
   * Records cancellations sent by another entry, and returns the jobs that are new here. Sends that entry all that is known
   * here when it asks.
   */
  receive (peer: string, { jobs, complete, asks }: CancellationsMessage, now: number): JobName[] {
    const fresh = jobs.map(({ job, address = '', ago }) => ({ job: { id: job, address }, at: now - ago }))
      .filter(({ job, at }) => !this.#cancelled.has(keyOf(job)) && now - at < CANCELLATION_RETENTION_MILLISECONDS)
    for (const { job, at } of fresh) this.#remember(job, at)
    if (complete === true) this.#completed('entry')
    if (asks === true && this.#complete) this.#sendAll(peer, now, { complete: true })
    return fresh.map(({ job }) => job)
  }

  /** Records cancellations read from the store, and returns the jobs that are new here. */
  read (jobs: readonly JobName[], now: number): JobName[] {
    const fresh = jobs.filter(job => !this.#cancelled.has(keyOf(job)))
    for (const job of jobs) {
      this.#remember(job, now)
      this.#stored.add(job.address)
    }
    this.#completed('store')
    return fresh
  }

  /** The last write has been stored. The retention starts now, when the callers get their answers. */
  written (now: number): void {
    for (const job of this.#writes.written(now)) {
      this.#cancelled.delete(keyOf(job))
      this.#remember(job, now)
      this.#stored.add(job.address)
    }
  }

  peerLinked (peer: string, now: number): void {
    this.#peers.add(peer)
    this.#sendAll(peer, now)
  }

  peerUnlinked (peer: string): void {
    this.#peers.delete(peer)
  }

  /** The process is about to exit: the requests that wait for the store are answered. */
  end (): void {
    this.#writes.end()
  }

  tick (now: number): void {
    this.#writes.tick(now)
    if (!this.#complete) this.#askPeers(now)
    for (const [key, { at }] of this.#cancelled) {
      if (now - at < CANCELLATION_RETENTION_MILLISECONDS) break
      this.#forget(key)
    }
  }

  #remember (job: JobName, at: number): void {
    const key = keyOf(job)
    if (!this.#dependencies.remembers || this.#cancelled.has(key)) return
    this.#cancelled.set(key, { job, at })
    if (this.#cancelled.size <= MAX_CANCELLATIONS) return
    const [oldest] = this.#cancelled.keys()
    if (oldest === undefined) return
    this.#forget(oldest)
    this.#note('cancellation dropped, too many are remembered', { job: oldest })
  }

  #forget (key: string): void {
    this.#cancelled.delete(key)
    this.#stored.delete(key)
  }

  /** Asks the other entries for what the store has not told in time, which may be away. */
  #askPeers (now: number): void {
    this.#askedAt ??= now
    if (now - this.#askedAt < RECOVERY_ASK_MILLISECONDS) return
    this.#askedAt = now
    for (const peer of this.#peers) this.#send(peer, [], now, { asks: true })
  }

  #completed (source: string): void {
    if (this.#complete) return
    this.#complete = true
    this.#note('stored cancellations known', { source, cancelled: this.size })
  }

  #sendAll (peer: string, now: number, extra?: { complete: true }): void {
    const cancellations = [...this.#cancelled.values()]
    for (let first = 0; first < cancellations.length; first += MAX_CANCELLATIONS_PER_MESSAGE) {
      this.#send(peer, cancellations.slice(first, first + MAX_CANCELLATIONS_PER_MESSAGE), now)
    }
    if (extra !== undefined) this.#send(peer, [], now, extra)
  }

  #send (peer: string, cancellations: readonly Cancellation[], now: number, extra: Pick<CancellationsMessage, 'complete' | 'asks'> = {}): void {
    if (!this.#dependencies.sendsToPeers) return
    const jobs = cancellations.map(({ job: { id, address }, at }) => ({ job: id, ...address === '' ? {} : { address }, ago: Math.round(now - at) }))
    this.#dependencies.emit({ type: 'tell', peer, message: { type: 'cancel', jobs, ...extra } })
  }

  #answer (request: number, answer: Answer): void {
    this.#dependencies.emit({ type: 'answer', request, answer })
  }

  #note (what: string, fields: Record<string, unknown>): void {
    this.#dependencies.emit({ type: 'note', what, fields })
  }
}

function keyOf ({ id, address }: JobName): string {
  return address === '' ? id : address
}
