/** Jobs whose answers callers of an entry wait for. */
import type { Instance, Job } from './messages.ts'

/** A job whose answer callers of this entry wait for. */
export interface WaitingJob {
  job: Job
  submission: string
  requests: Set<string>
  /** The entry it was sent to last; this entry itself when the job is held or parked here. */
  sentTo: Instance | undefined
  /** Entries it was sent to that have not answered: each of them may have accepted it. */
  unresolved: Set<Instance>
  deadline: number
  rerouteAt: number
  redirects: number
}

export function newWaitingJob (submission: string, request: string, job: Job, now: number): WaitingJob {
  return {
    job,
    submission,
    requests: new Set([request]),
    sentTo: undefined,
    unresolved: new Set(),
    deadline: now + job.remainingMilliseconds,
    rerouteAt: now,
    redirects: 0
  }
}

/** Whether no caller waits for the answer any more. */
export function isAbandoned (waiting: WaitingJob): boolean {
  return waiting.requests.size === 0
}
