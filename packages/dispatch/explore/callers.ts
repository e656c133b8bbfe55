/** The callers in the explorer: they submit jobs, wait, give up, and submit again what was not answered. */
import type { EntryProcess } from '@amaranthmast/emulator/linkends'
import type { Timeline } from '@amaranthmast/emulator/timeline'
import type { SeededRandom } from '@amaranthmast/standins/random'
import type { Queue } from '../src/queues.ts'
import type { EntryEvent } from '../src/entrytypes.ts'
import { AnswerKind } from '../src/entrytypes.ts'

/** Pause between two jobs on average, in milliseconds. */
const JOB_INTERVAL = 120

export interface CallerParts {
  timeline: Timeline
  random: SeededRandom
  entries: readonly EntryProcess[]
  queue: Queue
  /** What a task needs of the processors, in thousandths of a core. */
  cpu: number
  /** How long a caller waits, and after which time it submits again, in milliseconds. */
  deadline: number
  resubmission: number
  /** How long the news travel that a caller has gone, in milliseconds; undefined for not at all. */
  travel?: (() => number) | undefined
}

/** One submission of a caller that waits for its answer. */
interface Submission {
  id: string
  entry: number
  answered: boolean
}

export class Callers {
  readonly #parts: CallerParts
  /** Answers so far, by kind. */
  readonly answers = new Map<string, number>()
  readonly #submissions = new Map<number, Submission>()
  #requests = 0
  #jobs = 0

  constructor (parts: CallerParts) {
    this.#parts = parts
  }

  /** Ids of the jobs whose callers wait. */
  waiting (): string[] {
    return [...this.#submissions.values()].map(({ id }) => id)
  }

  /** Callers submit jobs until then. */
  submitUntil (end: number): void {
    const { timeline, random } = this.#parts
    if (timeline.now >= end) return
    this.#jobs += 1
    this.#submit(`job${this.#jobs}`)
    timeline.after(random.next() * JOB_INTERVAL * 2, () => this.submitUntil(end))
  }

  answered (request: number, kind: AnswerKind): void {
    const submission = this.#submissions.get(request)
    if (submission === undefined || submission.answered) return
    submission.answered = true
    this.#submissions.delete(request)
    this.answers.set(kind, (this.answers.get(kind) ?? 0) + 1)
    if (kind === AnswerKind.TimedOut) this.#submitAgain(submission)
  }

  /** The connections of an entry's callers break, with its process. */
  breakOff (entry: number): void {
    for (const [request, submission] of this.#submissions) {
      if (submission.entry !== entry) continue
      this.#submissions.delete(request)
      this.#submitAgain(submission)
    }
  }

  /** Callers at an entry leave before their deadlines, each at a time of its own. @param within longest time until then, in milliseconds */
  leave (entry: number, within: number): void {
    const { timeline, random } = this.#parts
    for (const [request, submission] of this.#submissions) {
      if (submission.entry === entry) timeline.after(random.next() * within, () => this.#giveUp(request))
    }
  }

  #submit (id: string): void {
    const { timeline, random, entries, queue, cpu, deadline, resubmission } = this.#parts
    const index = random.integer(0, entries.length - 1)
    const entry = entries[index] as EntryProcess
    if (!entry.alive) {
      timeline.after(resubmission, () => this.#submit(id))
      return
    }
    this.#requests += 1
    const request = this.#requests
    this.#submissions.set(request, { id, entry: index, answered: false })
    const step = { count: 1 + Number(id.length % 2), needs: { cpu, memory: 1, accelerators: 0 }, estimated: 800, after: [], label: '', rack: '', perTarget: 0 }
    entry.post({ type: 'submitted', request, job: { id, queue, payload: '', steps: [step], remaining: deadline } })
    timeline.after(deadline, () => this.#giveUp(request))
  }

  /** The caller waits no longer: it goes, and submits again a while later. */
  #giveUp (request: number): void {
    const submission = this.#submissions.get(request)
    if (submission === undefined) return
    this.#submissions.delete(request)
    this.#tellGone(submission, request)
    this.#submitAgain(submission)
  }

  #tellGone ({ entry: index }: Submission, request: number): void {
    const { timeline, entries, travel } = this.#parts
    const entry = entries[index] as EntryProcess
    if (travel === undefined) return entry.post({ type: 'requestGone', request })
    const { incarnation } = entry
    timeline.after(travel(), () => { if (entry.incarnation === incarnation) entry.post({ type: 'requestGone', request }) })
  }

  #submitAgain ({ id }: Submission): void {
    const { timeline, resubmission } = this.#parts
    timeline.after(resubmission, () => this.#submit(id))
  }
}

/** As an entry's loop does: ends of callers go before everything else, and what such a caller has submitted is not begun. */
export function endsFirst (events: readonly EntryEvent[]): readonly EntryEvent[] {
  const gone = new Set(events.flatMap(event => event.type === 'requestGone' ? [event.request] : []))
  if (gone.size === 0) return events
  const withdrawn = new Set(events.flatMap(event => event.type === 'submitted' && gone.has(event.request) ? [event.request] : []))
  const isEnd = (event: EntryEvent): boolean => event.type === 'requestGone'
  const isLeft = (event: EntryEvent): boolean => !('request' in event) || !withdrawn.has(event.request)
  return [...events.filter(isEnd), ...events.filter(event => !isEnd(event))].filter(isLeft)
}
