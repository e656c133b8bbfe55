/**
 * The interface between an entry and its scheduler: whether to accept a job, and which task runs next and
 * where. The scheduler keeps the queue; the entry keeps the jobs, their claims and their answers.
 */
import type { Configuration } from './configuration.ts'
import type { Cause, Instance, JobKey, TargetDescription, TargetReport, TaskNeeds, TaskOutcome } from './messages.ts'

/** The properties of a task that scheduling depends on. */
export interface SchedulableTask {
  job: JobKey
  index: number
  tenant: string
  service: string
  needs: TaskNeeds
  /** Run time that the caller declares, in milliseconds; 0 when none. */
  runMilliseconds: number
  /** Instant, by the entry's clock, by which the job must be answered. */
  deadline: number
}

/** A task and the agent to which it is dispatched. */
export interface PlacedTask {
  job: JobKey
  index: number
  agent: Instance
}

/** A task to be dispatched now, its agent, and its position in the agent's queue. */
export interface Assignment extends PlacedTask {
  /**
   * How long later tasks may overtake this one in the agent's queue, in milliseconds from now; negative
   * when it has already waited longer than that.
   */
  patienceMilliseconds: number
}

/** The decision on a job: admitted, or refused with the cause and the time after which to try again. */
export type Admission =
  | { admitted: true }
  | { admitted: false, cause: Cause, detail: string, retryAfterMilliseconds: number, figures?: Readonly<Record<string, number>> }

/** Load and share figures for status pages and metrics. */
export interface SchedulerStatus {
  queued: number
  outstanding: number
  /** By service, then provider: tasks dispatched since start. */
  dispatched: Record<string, Record<string, number>>
  /** By target: its health weight, 0 when ejected, 1 when fully trusted. */
  health: Record<string, number>
  /** Data centres that are evacuated. */
  evacuated: number
}

/**
 * Selects which task is dispatched next, and to which target. Every instant is a reading of the caller's
 * clock.
 */
export interface Scheduler {
  configure: (configuration: Configuration, now: number) => void
  /** Number of entries that share the work, for quotas and credits. */
  setEntryCount: (entries: number, now: number) => void
  targetUp: (agent: Instance, target: TargetDescription, report: TargetReport, now: number) => void
  targetReport: (agent: Instance, report: TargetReport, now: number) => void
  /**
   * Handles the loss of the link to the agent, which gets no more work. Its outstanding tasks stay counted
   * until `settled`.
   */
  targetDown: (agent: Instance, now: number) => void
  /** Decides on a whole job before it is enqueued. A refusal changes no state. */
  admit: (tasks: readonly SchedulableTask[], now: number) => Admission
  enqueue: (tasks: readonly SchedulableTask[], now: number) => void
  /** Removes the tasks of a job that are still queued and returns their indexes. */
  remove: (job: JobKey) => number[]
  /** Tasks to dispatch now; each counts as outstanding at its agent until `settled`. */
  decide: (now: number) => Assignment[]
  /**
   * Records that an outstanding task is no longer at its agent. The entry may enqueue tasks again that were
   * not started.
   */
  settled: (placed: PlacedTask, outcome: TaskOutcome, runMilliseconds: number, now: number) => void
  /**
   * Instant at which `decide` should be called next even without an event; undefined when only an event can
   * change its result.
   */
  nextDecision: (now: number) => number | undefined
  status: () => SchedulerStatus
}
