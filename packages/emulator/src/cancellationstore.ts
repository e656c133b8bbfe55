/** The platform's store as far as cancellations go: it confirms writes and reports them to all running entries. */
import type { JobName } from '@amaranthmast/dispatch/jobname'
import type { EntryProcess } from './linkends.ts'
import type { Timeline } from './timeline.ts'

/** Time until a write takes effect, and from then until the answer or a report arrives, in milliseconds. */
const WRITE_DELAY = 2
const REPORT_DELAY = 2

/** Pause after a write that the store has not confirmed, in milliseconds. */
const RETRY_DELAY = 400

/** Outlives the entries. */
export class CancellationStore {
  readonly #timeline: Timeline
  readonly #entries: readonly EntryProcess[]
  /** By address. */
  readonly #jobs = new Map<string, JobName>()
  readonly #readDelay: number
  /** When the cut of each entry from the store ends, on the timeline. */
  readonly #cuts = new Map<EntryProcess, number>()
  #awayUntil = 0

  /** @param readDelay time until a started entry has read all cancellations, in milliseconds; 0 for no time at all */
  constructor (timeline: Timeline, entries: readonly EntryProcess[], readDelay: number) {
    this.#timeline = timeline
    this.#entries = entries
    this.#readDelay = readDelay
  }

  /** The store answers no call for a time. */
  away (milliseconds: number): void {
    this.#awayUntil = Math.max(this.#awayUntil, this.#timeline.now + milliseconds)
  }

  /** An entry does not reach the store for a time, and lists everything afterwards. */
  cut (entry: EntryProcess, milliseconds: number): void {
    this.#cuts.set(entry, Math.max(this.#cuts.get(entry) ?? 0, this.#timeline.now + milliseconds))
  }

  /** Whether any entry does not reach the store. */
  get isCut (): boolean {
    return this.#entries.some(entry => this.#isCutFrom(entry))
  }

  /** Reads all cancellations for an entry that has just started, or has not reached the store. */
  list (entry: EntryProcess): void {
    if (!this.#isReachedBy(entry)) return entry.after(RETRY_DELAY, () => this.list(entry))
    const read = (): void => entry.post({ type: 'cancellationsRead', jobs: [...this.#jobs.values()] })
    if (this.#readDelay === 0) read()
    else entry.after(this.#readDelay, read)
  }

  /** Carries out a write of an entry. It takes effect even if the entry ends meanwhile. */
  write (entry: EntryProcess, jobs: readonly JobName[]): void {
    const { incarnation } = entry
    this.#timeline.after(WRITE_DELAY, () => {
      if (!this.#isReachedBy(entry)) return entry.after(RETRY_DELAY, () => { if (entry.incarnation === incarnation) this.write(entry, jobs) })
      for (const job of jobs) this.#jobs.set(job.address, job)
      this.#timeline.after(REPORT_DELAY, () => { if (entry.incarnation === incarnation) entry.post({ type: 'cancellationsStored' }) })
      for (const reader of this.#entries) if (reader.alive) this.#report(reader, jobs)
    })
  }

  #isReachedBy (entry: EntryProcess): boolean {
    return this.#timeline.now >= this.#awayUntil && !this.#isCutFrom(entry)
  }

  #isCutFrom (entry: EntryProcess): boolean {
    return this.#timeline.now < (this.#cuts.get(entry) ?? 0)
  }

  #report (entry: EntryProcess, jobs: readonly JobName[]): void {
    const { incarnation } = entry
    this.#timeline.after(REPORT_DELAY, () => {
      if (entry.incarnation !== incarnation) return
      if (this.#isCutFrom(entry)) this.list(entry)
      else entry.post({ type: 'cancellationsRead', jobs })
    })
  }
}
