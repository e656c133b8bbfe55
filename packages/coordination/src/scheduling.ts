/**
 * What the entry asks of a scheduler: whether to take a job, and which task runs next, where. The
 * scheduler keeps the queue; the entry keeps the jobs, the claims and the answers.
 */
import type { Configuration } from './configuration.ts'
import type { Cause, Instance, JobKey, TargetDescription, TargetReport, TaskNeeds, TaskOutcome } from './messages.ts'

/** A task as the scheduler needs to know it. */
export interface SchedulableTask {
  job: JobKey
  index: number
  tenant: string
  service: string
  needs: TaskNeeds
  /** Run time the caller declares, in milliseconds; 0 when none. */
  runMilliseconds: number
  /** Instant of the entry's clock by which the job must be answered. */
  deadline: number
}

/** A task and the agent that has it. */
export interface PlacedTask {
  job: JobKey
  index: number
  agent: Instance
}

/** A task to be dispatched now, and the agent it goes to. */
export interface Assignment extends PlacedTask {
  /**
   * How long other tasks may overtake this one at the agent, in milliseconds from now; negative when
   * it has waited for longer than that already.
   */
  patienceMilliseconds: number
}

/** Whether a job is taken. */
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

/** Decides who runs next, where. Every instant is a reading of the clock of the caller. */
export interface Scheduler {
  configure: (configuration: Configuration, now: number) => void
  /** Number of entries that share the work, for quotas and credits. */
  setEntryCount: (entries: number, now: number) => void
  targetUp: (agent: Instance, target: TargetDescription, report: TargetReport, now: number) => void
  targetReport: (agent: Instance, report: TargetReport, now: number) => void
  /** The link to the agent is gone: it gets no more work. Its outstanding tasks stay counted until `settled`. */
  targetDown: (agent: Instance, now: number) => void
  /** Asks for a whole job before it is enqueued. Changes nothing when it refuses. */
  admit: (tasks: readonly SchedulableTask[], now: number) => Admission
  enqueue: (tasks: readonly SchedulableTask[], now: number) => void
  /** Takes back tasks that are still queued here; the indexes removed are returned. */
  remove: (job: JobKey) => number[]
  /** Tasks to dispatch now; each counts as outstanding at its agent until `settled`. */
  decide: (now: number) => Assignment[]
  /** An outstanding task is no longer at its agent. Not-started tasks may be enqueued again by the entry. */
  settled: (placed: PlacedTask, outcome: TaskOutcome, runMilliseconds: number, now: number) => void
  /** Until when `decide` can change nothing by itself; undefined when only an event can. */
  nextDecision: (now: number) => number | undefined
  status: () => SchedulerStatus
}
