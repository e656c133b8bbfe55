/** Callers of the explorer: they submit jobs, wait for the answers, time out, and resubmit unanswered jobs. */
import type { EntryProcess } from '@amaranthmast/emulator/linkends'
import type { Timeline } from '@amaranthmast/emulator/timeline'
import type { SeededRandom } from '@amaranthmast/standins/random'
import type { Queue } from '../src/queues.ts'
import type { EntryEvent } from '../src/entrytypes.ts'
import { AnswerKind } from '../src/entrytypes.ts'

/** Mean time between two submissions, in milliseconds. */
const MEAN_JOB_INTERVAL = 120

/** Fraction of the answered submissions that arrive once more, and how long after the answer, in milliseconds. */
const REPETITION_FRACTION = 0.5
const MIN_REPETITION_DELAY = 1000
const REPETITION_DELAY_SPREAD = 6000

export interface CallerDependencies {
  timeline: Timeline
  random: SeededRandom
  entries: readonly EntryProcess[]
  queue: Queue
  /** Processor demand of a task, in thousandths of a core. */
  cpu: number
  /** Time that a caller waits for an answer, and time until it resubmits, in milliseconds. */
  deadline: number
  resubmission: number
  /** Delay until the entry receives the disconnect of a caller, in milliseconds; undefined for none. */
  messageDelay?: (() => number) | undefined
  /** Some submissions arrive once more, seconds after their answer. */
  repeats: boolean
}

/** A submission that awaits its answer. */
interface Submission {
  id: string
  entry: number
  answered: boolean
}

export class Callers {
  readonly #dependencies: CallerDependencies
  /** Answers so far, by kind. */
  readonly answers = new Map<string, number>()
  readonly #submissions = new Map<number, Submission>()
  readonly #jobOfRequest = new Map<number, string>()
  #requests = 0
  #jobs = 0

  constructor (dependencies: CallerDependencies) {
    this.#dependencies = dependencies
  }

  /** Ids of the jobs whose callers are waiting; a job that was submitted twice may occur twice. */
  waiting (): string[] {
    return [...this.#submissions.values()].map(({ id }) => id)
  }

  /** Job of a submission, also after its caller has disconnected; undefined for other requests. */
  jobOf (request: number): string | undefined {
    return this.#jobOfRequest.get(request)
  }

  /** Submits jobs at random intervals until the given time. */
  submitUntil (end: number): void {
    const { timeline, random } = this.#dependencies
    if (timeline.now >= end) return
    this.#jobs += 1
    this.#submit(`job${this.#jobs}`)
    timeline.after(random.next() * MEAN_JOB_INTERVAL * 2, () => this.submitUntil(end))
  }

  answered (request: number, kind: AnswerKind): void {
    const submission = this.#submissions.get(request)
    if (submission === undefined || submission.answered) return
    submission.answered = true
    this.#submissions.delete(request)
    this.answers.set(kind, (this.answers.get(kind) ?? 0) + 1)
    if (kind === AnswerKind.TimedOut) this.#resubmit(submission)
    else if (this.#dependencies.repeats && kind !== AnswerKind.Refused) this.#repeat(submission)
  }

  /** Delivers a copy of an answered submission, as a network may. Nobody waits for its answer. */
  #repeat ({ id }: Submission): void {
    const { timeline, random } = this.#dependencies
    if (random.next() < REPETITION_FRACTION) timeline.after(MIN_REPETITION_DELAY + random.next() * REPETITION_DELAY_SPREAD, () => this.#submit(id))
  }

  /** Breaks the connections of all callers of an entry whose process ended; they resubmit their jobs. */
  breakConnections (entry: number): void {
    for (const [request, submission] of this.#submissions) {
      if (submission.entry !== entry) continue
      this.#submissions.delete(request)
      this.#resubmit(submission)
    }
  }

  /** Lets all callers of an entry disconnect before their deadlines, each at a random time. @param within longest time until then, in milliseconds */
  leave (entry: number, within: number): void {
    const { timeline, random } = this.#dependencies
    for (const [request, submission] of this.#submissions) {
      if (submission.entry === entry) timeline.after(random.next() * within, () => this.#abandon(request))
    }
  }

  #submit (id: string): void {
    const { timeline, random, entries, queue, cpu, deadline, resubmission } = this.#dependencies
    const index = random.integer(0, entries.length - 1)
    const entry = entries[index] as EntryProcess
    if (!entry.alive) {
      timeline.after(resubmission, () => this.#submit(id))
      return
    }
    this.#requests += 1
    const request = this.#requests
    this.#submissions.set(request, { id, entry: index, answered: false })
    this.#jobOfRequest.set(request, id)
    const step = { count: 1 + Number(id.length % 2), needs: { cpu, memory: 1, accelerators: 0 }, estimated: 800, after: [], label: '', rack: '', perTarget: 0 }
    entry.post({ type: 'submitted', request, job: { id, queue, payload: '', steps: [step], remaining: deadline } })
    timeline.after(deadline, () => this.#abandon(request))
  }

  /** Disconnects a caller that waits no longer; it resubmits its job later. */
  #abandon (request: number): void {
    const submission = this.#submissions.get(request)
    if (submission === undefined) return
    this.#submissions.delete(request)
    this.#sendGone(submission, request)
    this.#resubmit(submission)
  }

  #sendGone ({ entry: index }: Submission, request: number): void {
    const { timeline, entries, messageDelay: travel } = this.#dependencies
    const entry = entries[index] as EntryProcess
    if (travel === undefined) return entry.post({ type: 'requestGone', request })
    const { incarnation } = entry
    timeline.after(travel(), () => { if (entry.incarnation === incarnation) entry.post({ type: 'requestGone', request }) })
  }

  #resubmit ({ id }: Submission): void {
    const { timeline, resubmission } = this.#dependencies
    timeline.after(resubmission, () => this.#submit(id))
  }
}

/** Orders a batch of events as the loop of an entry does: disconnects of callers come first, and a request that is both submitted and disconnected within the batch is dropped. */
export function handleEndsFirst (events: readonly EntryEvent[]): readonly EntryEvent[] {
  const gone = new Set(events.flatMap(event => event.type === 'requestGone' ? [event.request] : []))
  if (gone.size === 0) return events
  const withdrawn = new Set(events.flatMap(event => event.type === 'submitted' && gone.has(event.request) ? [event.request] : []))
  const isEnd = (event: EntryEvent): boolean => event.type === 'requestGone'
  const isKept = (event: EntryEvent): boolean => !('request' in event) || !withdrawn.has(event.request)
  return [...events.filter(isEnd), ...events.filter(event => !isEnd(event))].filter(isKept)
}
