/** The platform's store as far as cancellations go: it confirms writes and reports them to all running entries. */
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
  readonly #jobs = new Set<string>()
  #awayUntil = 0
  #writes = 0

  constructor (timeline: Timeline, entries: readonly EntryProcess[]) {
    this.#timeline = timeline
    this.#entries = entries
  }

  /** Writes so far. */
  get writes (): number {
    return this.#writes
  }

  /** The store answers no call for a time. */
  away (milliseconds: number): void {
    this.#awayUntil = Math.max(this.#awayUntil, this.#timeline.now + milliseconds)
  }

  /** Reads all cancellations for an entry that has just started. */
  entryStarted (entry: EntryProcess): void {
    entry.after(WRITE_DELAY, () => {
      if (this.#isAway) return entry.after(RETRY_DELAY, () => this.entryStarted(entry))
      this.#report(entry, [...this.#jobs])
    })
  }

  /** Carries out a write of an entry. It takes effect even if the entry ends meanwhile. */
  write (entry: EntryProcess, jobs: readonly string[]): void {
    const { incarnation } = entry
    this.#timeline.after(WRITE_DELAY, () => {
      if (this.#isAway) return entry.after(RETRY_DELAY, () => { if (entry.incarnation === incarnation) this.write(entry, jobs) })
      this.#writes += 1
      for (const job of jobs) this.#jobs.add(job)
      this.#timeline.after(REPORT_DELAY, () => { if (entry.incarnation === incarnation) entry.post({ type: 'cancellationsStored' }) })
      for (const reader of this.#entries) if (reader.alive) this.#report(reader, jobs)
    })
  }

  get #isAway (): boolean {
    return this.#timeline.now < this.#awayUntil
  }

  #report (entry: EntryProcess, jobs: readonly string[]): void {
    const { incarnation } = entry
    this.#timeline.after(REPORT_DELAY, () => { if (entry.incarnation === incarnation) entry.post({ type: 'cancellationsRead', jobs }) })
  }
}
