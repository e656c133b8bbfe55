/** Callers of one emulated day: each submits its job once, comes back when its connection breaks, and leaves at its deadline. */
import type { Answer } from '@amaranthmast/dispatch/entrytypes'
import type { SeededRandom } from '@amaranthmast/standins/random'
import type { DayPlan, JobPlan } from './dayplan.ts'
import type { EmulatedFleet } from './fleet.ts'
import type { Timeline } from './timeline.ts'
import { AnswerKind } from '@amaranthmast/dispatch/entrytypes'
import { BOUNDS } from './fleet.ts'

/** How a caller fared. */
export enum Fate {
  InTime = 'inTime',
  Late = 'late',
  /** Answered too late to count, or the deadline passed. */
  TooLate = 'tooLate',
  Refused = 'refused',
  Failed = 'failed',
  /** It left early by itself. */
  Left = 'left'
}

export interface Verdict {
  job: JobPlan
  fate: Fate
  /** From the first submission to the answer, in milliseconds. */
  took: number
  /** Part of the job's worth that its caller got. */
  credit: number
  /** From the last submission to the answer, in milliseconds. */
  answeredAfter: number
}

/** A late answer counts a fifth, up to three times the objective (the users' rule of credit). */
const LATE_CREDIT = 0.2
const LATE_FACTOR = 3

const MILLISECONDS_PER_SECOND = 1000

interface Caller {
  job: JobPlan
  entry: number
  request: number
  submittedAt: number
}

export class Callers {
  readonly verdicts: Verdict[] = []
  readonly #plan: DayPlan
  readonly #timeline: Timeline
  readonly #random: SeededRandom
  readonly #fleet: () => EmulatedFleet
  readonly #waiting = new Map<number, Caller>()
  readonly #settled = new Set<string>()
  #requests = 0

  constructor (plan: DayPlan, timeline: Timeline, random: SeededRandom, fleet: () => EmulatedFleet) {
    this.#plan = plan
    this.#timeline = timeline
    this.#random = random
    this.#fleet = fleet
  }

  /** Submits every job of the day at its time. */
  begin (): void {
    const { now } = this.#timeline
    for (const job of this.#plan.jobs) {
      this.#timeline.after(job.at, () => this.#submit(job))
      this.#timeline.after(job.at + Math.min(job.deadline, job.leavesAfter), () => this.#leave(job, job.leavesAfter < job.deadline))
      job.at += now
    }
  }

  answered (request: number, { kind, retryAfter }: Answer): void {
    const caller = this.#waiting.get(request)
    if (caller === undefined) return
    this.#waiting.delete(request)
    this.#timeline.after(this.#plan.delays.callers, () => {
      if (kind === AnswerKind.TimedOut) return this.#comeBack(caller.job)
      if (kind === AnswerKind.Refused && caller.job.returns) return this.#comeBack(caller.job, wholeSeconds(retryAfter))
      this.#settle(caller, kind)
    })
  }

  /** @param powerLost callers get no sign of it */
  entryEnded (entry: number, powerLost: boolean): void {
    for (const [request, caller] of this.#waiting) {
      if (caller.entry !== entry) continue
      this.#waiting.delete(request)
      if (!powerLost) this.#comeBack(caller.job)
    }
  }

  #submit (job: JobPlan): void {
    if (this.#settled.has(job.id)) return
    const entry = this.#chooseEntry(job.dataCentre)
    if (entry === undefined) return this.#comeBack(job)
    this.#requests += 1
    const request = this.#requests
    this.#waiting.set(request, { job, entry, request, submittedAt: this.#timeline.now })
    const step = { count: job.tasks.length, needs: { cpu: job.cpu, memory: 64, accelerators: 0 }, estimated: job.declared, after: [], label: '', rack: '', perTarget: 0 }
    const remaining = job.at + job.deadline - this.#timeline.now
    this.#timeline.after(this.#plan.delays.callers, () => {
      this.#fleet().entries[entry]?.post({ type: 'submitted', request, job: { id: job.id, queue: job.queue, payload: '', steps: [step], remaining } })
    })
  }

  #chooseEntry (dataCentre: string): number | undefined {
    const serving = [...this.#plan.entries.keys()].filter(index => this.#fleet().isServing(index))
    const near = serving.filter(index => this.#plan.entries[index]?.dataCentre === dataCentre)
    if (serving.length === 0) return undefined
    return this.#random.pick(near.length > 0 ? near : serving)
  }

  #comeBack (job: JobPlan, pause = BOUNDS.resubmission): void {
    this.#timeline.after(pause, () => this.#submit(job))
  }

  #leave (job: JobPlan, byItself: boolean): void {
    if (this.#settled.has(job.id)) return
    for (const [request, caller] of this.#waiting) {
      if (caller.job !== job) continue
      this.#waiting.delete(request)
      this.#fleet().entries[caller.entry]?.post({ type: 'requestGone', request })
    }
    this.#record(job, byItself ? Fate.Left : Fate.TooLate)
  }

  #settle ({ job, submittedAt }: Caller, kind: AnswerKind): void {
    if (this.#settled.has(job.id)) return
    if (kind === AnswerKind.Refused) return this.#record(job, Fate.Refused, submittedAt)
    if (kind !== AnswerKind.Completed) return this.#record(job, job.poisoned && kind === AnswerKind.Failed ? this.#timeliness(job) : Fate.Failed, submittedAt)
    this.#record(job, this.#timeliness(job), submittedAt)
  }

  #timeliness (job: JobPlan): Fate {
    const took = this.#timeline.now - job.at
    const runs = job.poisoned ? job.queue.attempts : 1
    const objective = job.queue.slackFactor * runs * Math.max(...job.tasks) + job.queue.latency
    if (took <= objective) return Fate.InTime
    return took <= LATE_FACTOR * objective ? Fate.Late : Fate.TooLate
  }

  #record (job: JobPlan, earned: Fate, submittedAt = job.at): void {
    this.#settled.add(job.id)
    // A job that nobody can do isn't owed.
    const fate = job.crashing === undefined ? earned : Fate.Left
    const part = fate === Fate.InTime ? 1 : fate === Fate.Late ? LATE_CREDIT : 0
    this.verdicts.push({ job, fate, took: this.#timeline.now - job.at, credit: part * job.worth, answeredAfter: this.#timeline.now - submittedAt })
  }
}

/** As the header tells it. */
function wholeSeconds (milliseconds: number): number {
  return Math.ceil(milliseconds / MILLISECONDS_PER_SECOND) * MILLISECONDS_PER_SECOND
}
