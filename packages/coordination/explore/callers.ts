/** The callers of the entries, and what they ask. */
import type { EntryEvent } from '../src/entrytypes.ts'
import type { Instance, Job } from '../src/messages.ts'
import type { Judge } from './invariants.ts'
import type { EntryProcess } from './processes.ts'
import type { Timeline } from './timeline.ts'
import type { Trace } from './trace.ts'

export interface CallersParts {
  timeline: Timeline
  judge: Judge
  entries: ReadonlyMap<Instance, EntryProcess>
  trace: Trace
  /** Does this when the process takes in what has arrived. */
  arrive: (entry: EntryProcess, handle: () => void) => void
  entryEvent: (entry: EntryProcess, event: EntryEvent) => void
}

export class Callers {
  readonly #timeline: Timeline
  readonly #judge: Judge
  readonly #entries: ReadonlyMap<Instance, EntryProcess>
  readonly #trace: Trace
  readonly #arrive: (entry: EntryProcess, handle: () => void) => void
  readonly #entryEvent: (entry: EntryProcess, event: EntryEvent) => void
  #nextRequest = 1

  constructor (parts: CallersParts) {
    this.#timeline = parts.timeline
    this.#judge = parts.judge
    this.#entries = parts.entries
    this.#trace = parts.trace
    this.#arrive = parts.arrive
    this.#entryEvent = parts.entryEvent
  }

  /** Submits a job; the name of the request. */
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
    const asked = this.#judge.request(request)
    const entry = asked === undefined ? undefined : this.#entries.get(asked.entry)
    if (asked === undefined || entry === undefined || asked.answer !== undefined) return
    asked.abandoned = true
    this.#trace.note(entry.instance, `caller of ${request} gone`)
    this.#entryEvent(entry, { type: 'callerGone', request })
  }

  #ask (entry: EntryProcess, job: Job, isSubmission: boolean, event: (request: string) => EntryEvent): string {
    const name = `request-${this.#nextRequest++}`
    const asked = { name, entry: entry.instance, job, submittedAt: this.#timeline.now, isSubmission, answer: undefined, received: false, abandoned: !entry.alive }
    this.#judge.asked(asked)
    this.#arrive(entry, () => { asked.received = true })
    this.#trace.note(entry.instance, `${isSubmission ? 'SUBMIT' : 'CANCEL'} ${job.key} ${name}`)
    this.#entryEvent(entry, event(name))
    return name
  }
}
