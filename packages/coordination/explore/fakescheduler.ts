/**
 * A scheduler that places tasks at random, so that the explorer reaches assignments that a good policy
 * avoids: tasks are delayed without a reason, agents are overloaded, and admission refuses at random.
 */
import type { Instance, JobKey, TargetDescription, TargetReport, TaskOutcome } from '../src/messages.ts'
import type { Admission, Assignment, PlacedTask, SchedulableTask, Scheduler, SchedulerStatus } from '../src/scheduling.ts'
import type { SeededRandom } from './seededrandom.ts'
import { Cause } from '../src/messages.ts'

const REFUSAL_PROBABILITY = 0.05
const HOLD_PROBABILITY = 0.2
const MAX_HOLD = 1500
const MAX_RETRY_DELAY = 300
const OUTSTANDING_PER_AGENT = 6

interface QueuedTask {
  task: SchedulableTask
  notBefore: number
}

function nameOf (job: JobKey, index: number): string {
  return `${job}/${index}`
}

export class FakeScheduler implements Scheduler {
  readonly #chance: SeededRandom
  readonly #agents = new Map<Instance, { leaving: boolean, outstanding: number }>()
  readonly #queue = new Map<string, QueuedTask>()
  readonly #dispatched = new Set<string>()

  constructor (chance: SeededRandom) {
    this.#chance = chance
  }

  configure (): void {}
  setEntryCount (): void {}

  targetUp (agent: Instance, target: TargetDescription, report: TargetReport): void {
    const known = this.#agents.get(agent)
    this.#agents.set(agent, { leaving: report.leaving, outstanding: known?.outstanding ?? 0 })
  }

  targetReport (agent: Instance, report: TargetReport): void {
    const known = this.#agents.get(agent)
    if (known !== undefined) known.leaving = report.leaving
  }

  targetDown (agent: Instance): void {
    this.#agents.delete(agent)
  }

  /** Admits jobs at random. Jobs submitted after all faults have ended are always admitted. */
  admit (tasks: readonly SchedulableTask[]): Admission {
    if (tasks[0]?.job.includes('fresh') === true || !this.#chance.happens(REFUSAL_PROBABILITY)) return { admitted: true }
    return { admitted: false, cause: Cause.Overloaded, detail: 'refused by chance', retryAfterMilliseconds: 100 }
  }

  enqueue (tasks: readonly SchedulableTask[], now: number): void {
    for (const task of tasks) {
      const name = nameOf(task.job, task.index)
      const again = this.#dispatched.has(name)
      const held = again ? this.#chance.between(20, MAX_RETRY_DELAY) : this.#hold()
      this.#queue.set(name, { task, notBefore: now + held })
    }
  }

  remove (job: JobKey): number[] {
    const removed: number[] = []
    for (const [name, { task }] of this.#queue) {
      if (task.job !== job) continue
      this.#queue.delete(name)
      removed.push(task.index)
    }
    return removed
  }

  decide (now: number): Assignment[] {
    if (this.#queue.size === 0) return []
    const assignments: Assignment[] = []
    for (const [name, { task, notBefore }] of this.#queue) {
      if (notBefore > now) continue
      const agent = this.#chooseAgent()
      if (agent === undefined) return assignments
      this.#queue.delete(name)
      this.#dispatched.add(name)
      assignments.push({ job: task.job, index: task.index, agent, patienceMilliseconds: 0 })
    }
    return assignments
  }

  settled (assignment: PlacedTask, outcome: TaskOutcome): void {
    const known = this.#agents.get(assignment.agent)
    if (known !== undefined && outcome !== undefined) known.outstanding = Math.max(0, known.outstanding - 1)
  }

  nextDecision (): number | undefined {
    return undefined
  }

  status (): SchedulerStatus {
    return { queued: this.#queue.size, outstanding: 0, dispatched: {}, health: {}, evacuated: 0 }
  }

  #hold (): number {
    return this.#chance.happens(HOLD_PROBABILITY) ? this.#chance.between(0, MAX_HOLD) : 0
  }

  #chooseAgent (): Instance | undefined {
    const able = [...this.#agents].filter(([, load]) => !load.leaving && load.outstanding < OUTSTANDING_PER_AGENT)
    const chosen = this.#chance.pick(able)
    if (chosen === undefined) return undefined
    chosen[1].outstanding += 1
    return chosen[0]
  }
}
