/**
 * Simulated targets. A target outlives its agent: a task continues when the agent that started it is gone.
 * Each call counts as a start, and the recorded starts are the reference for the invariants.
 */
import type { Dispatch, Instance } from '../src/messages.ts'
import type { SeededRandom } from './seededrandom.ts'
import type { Timeline } from './timeline.ts'
import { TaskOutcome } from '../src/messages.ts'

const FAILURE_PROBABILITY = 0.06
const INTERRUPTED_CALL_PROBABILITY = 0.03
const MAX_OVERRUN_FACTOR = 3
const ABORT_DELAY = 20

/** One start of one task. */
export interface Start {
  at: number
  agent: Instance
}

/** The end of a call to the target, as reported to its agent. */
export interface TaskEnding {
  outcome: TaskOutcome
  payload: Uint8Array
  detail: string
  runMilliseconds: number
}

interface Call {
  ended: boolean
  end: (ending: TaskEnding) => void
}

const EMPTY_PAYLOAD = new Uint8Array()
const encoder = new TextEncoder()

/** The expected result of a task, independent of where it runs. */
export function resultOf (job: string, index: number): string {
  return `result of ${job}/${index}`
}

/** Runs tasks in virtual time, with failures and interrupted calls at random. */
export class FakeTargets {
  readonly #timeline: Timeline
  readonly #chance: SeededRandom
  readonly #onStart: (job: string, index: number, agent: Instance, earlier: readonly Start[]) => void
  readonly #starts = new Map<string, Start[]>()
  readonly #firstStart = new Map<string, number>()
  readonly #calls = new Map<string, Call>()

  constructor (timeline: Timeline, chance: SeededRandom, onStart: (job: string, index: number, agent: Instance, earlier: readonly Start[]) => void) {
    this.#timeline = timeline
    this.#chance = chance
    this.#onStart = onStart
  }

  /** Whether a task of the job has ever started. */
  started (job: string): boolean {
    return this.#firstStart.has(job)
  }

  run (agent: Instance, task: number, dispatch: Dispatch, end: (ending: TaskEnding) => void): void {
    const { job, index } = dispatch
    const name = `${job}/${index}`
    const starts = this.#starts.get(name) ?? []
    this.#onStart(job, index, agent, starts)
    starts.push({ at: this.#timeline.now, agent })
    this.#starts.set(name, starts)
    if (!this.#firstStart.has(job)) this.#firstStart.set(job, this.#timeline.now)
    const call = { ended: false, end }
    this.#calls.set(`${agent}/${task}`, call)
    const runMilliseconds = dispatch.runMilliseconds * this.#chance.between(0.5, this.#chance.happens(0.1) ? MAX_OVERRUN_FACTOR : 1.5)
    const ending = this.#ending(job, index, runMilliseconds)
    this.#timeline.after(runMilliseconds, () => this.#end(call, ending))
  }

  /** Aborts the call of an agent; the task may continue nevertheless. */
  abort (agent: Instance, task: number): void {
    const call = this.#calls.get(`${agent}/${task}`)
    if (call === undefined || this.#chance.happens(0.3)) return
    const ending = { outcome: TaskOutcome.MayHaveRun, payload: EMPTY_PAYLOAD, detail: 'the call was aborted', runMilliseconds: 0 }
    this.#timeline.after(ABORT_DELAY, () => this.#end(call, ending))
  }

  #end (call: Call, ending: TaskEnding): void {
    if (call.ended) return
    call.ended = true
    call.end(ending)
  }

  #ending (job: string, index: number, runMilliseconds: number): TaskEnding {
    const draw = job.includes('fresh') ? 1 : this.#chance.next()
    if (draw < FAILURE_PROBABILITY) return { outcome: TaskOutcome.Failed, payload: EMPTY_PAYLOAD, detail: 'failed by chance', runMilliseconds }
    if (draw < FAILURE_PROBABILITY + INTERRUPTED_CALL_PROBABILITY) {
      return { outcome: TaskOutcome.MayHaveRun, payload: EMPTY_PAYLOAD, detail: 'the call broke off', runMilliseconds }
    }
    return { outcome: TaskOutcome.Succeeded, payload: encoder.encode(resultOf(job, index)), detail: '', runMilliseconds }
  }
}
