/** Builds the jobs that trials submit directly. */
import type { JobSubmission } from '@amaranthmast/standins/records'

import { DEADLINE } from './defaults.ts'

/** Tenant of every job that a trial submits directly. */
export const TENANT = 'vaalrand'

/** Service of every job that a trial submits directly. */
export const SERVICE = 'certificate'

/** The properties of a job that differ between trials. */
export interface JobOptions {
  /** Number of tasks. @default 1 */
  tasks?: number
  /** Run time of each task, in milliseconds. */
  run: number
  /** Whether a resubmission may run the job again once the fleet has no record of it any more. @default false */
  repeatable?: boolean
  /** Time until the job must be answered, in milliseconds. @default 15000 */
  deadline?: number
}

/** Builds a job with `lodgedAt` already set, so that all its submissions are identical. */
export function newJob (job: string, { tasks = 1, run, repeatable = false, deadline = DEADLINE }: JobOptions): JobSubmission {
  return {
    job,
    tenant: TENANT,
    service: SERVICE,
    repeatable,
    deadlineMilliseconds: deadline,
    lodgedAt: Date.now(),
    tasks: Array.from({ length: tasks }, () => ({ payload: { runMilliseconds: run }, runMilliseconds: run }))
  }
}
