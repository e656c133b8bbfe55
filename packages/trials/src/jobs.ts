/** Jobs as the trials lodge them. */
import type { JobSubmission } from '@amaranthmast/standins/records'

import { DEADLINE } from './defaults.ts'

/** Tenant of every directed job. */
export const TENANT = 'vaalrand'

/** Service of every directed job. */
export const SERVICE = 'certificate'

/** What a job is to be like; the rest is filled in. */
export interface JobOptions {
  /** @default 1 */
  tasks?: number
  /** Run time of each task, in milliseconds. */
  run: number
  /** @default false */
  repeatable?: boolean
  /** @default 15000 */
  deadline?: number
}

/** A job that dates itself, so that every submission of it is the same. */
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
