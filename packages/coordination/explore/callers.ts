/** The callers of the entries and their requests. */
import type { EntryEvent } from '../src/entrytypes.ts'
import type { Instance, Job } from '../src/messages.ts'
import type { InvariantChecker } from './invariants.ts'
import type { EntryProcess } from './processes.ts'
import type { Timeline } from './timeline.ts'
import type { Trace } from './trace.ts'

export interface CallersDependencies {
  timeline: Timeline
  checker: InvariantChecker
  entries: ReadonlyMap<Instance, EntryProcess>
  trace: Trace
  /** Calls `handle` when the process handles its next event, or queues it while the process is paused. */
  arrive: (entry: EntryProcess, handle: () => void) => void
  entryEvent: (entry: EntryProcess, event: EntryEvent) => void
}

/** Submits, cancels and looks up jobs, and registers the requests with the checker. */
export class Callers {
  readonly #timeline: Timeline
  readonly #checker: InvariantChecker
  readonly #entries: ReadonlyMap<Instance, EntryProcess>
  readonly #trace: Trace
  readonly #arrive: (entry: EntryProcess, handle: () => void) => void
  readonly #entryEvent: (entry: EntryProcess, event: EntryEvent) => void
  #nextRequest = 1

  constructor (dependencies: CallersDependencies) {
    this.#timeline = dependencies.timeline
    this.#checker = dependencies.checker
    this.#entries = dependencies.entries
    this.#trace = dependencies.trace
    this.#arrive = dependencies.arrive
    this.#entryEvent = dependencies.entryEvent
  }

  /** Submits a job and returns the name of the request. */
  submit (entry: EntryProcess, job: Job): string {
    return this.#ask(entry, job, true, request => ({ type: 'submitted', request, job }))
  }

  cancel (entry: EntryProcess, job: Job): void {
    this.#ask(entry, job, false, request => ({ type: 'cancelRequested', request, job: job.key }))
  }

  lookUp (entry: EntryProcess, job: Job): void {
    const request = `look-up-${this.#nextRequest++}`
    this.#entryEvent(entry, { type: 'lookUpRequested', request, job: job.key })
  }

  callerGone (request: string): void {
    const sent = this.#checker.request(request)
    const entry = sent === undefined ? undefined : this.#entries.get(sent.entry)
    if (sent === undefined || entry === undefined || sent.answer !== undefined) return
    sent.abandoned = true
    this.#trace.note(entry.instance, `caller of ${request} gone`)
    this.#entryEvent(entry, { type: 'callerGone', request })
  }

  #ask (entry: EntryProcess, job: Job, isSubmission: boolean, event: (request: string) => EntryEvent): string {
    const name = `request-${this.#nextRequest++}`
    const sent = { name, entry: entry.instance, job, submittedAt: this.#timeline.now, isSubmission, answer: undefined, received: false, abandoned: !entry.alive }
    this.#checker.asked(sent)
    this.#arrive(entry, () => { sent.received = true })
    this.#trace.note(entry.instance, `${isSubmission ? 'SUBMIT' : 'CANCEL'} ${job.key} ${name}`)
    this.#entryEvent(entry, event(name))
    return name
  }
}
