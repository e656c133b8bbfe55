/**
 * Decides whether a job is admitted, by comparing its expected duration with the time left.
 *
 * Refusing jobs that would finish too late reserves the slots for jobs that finish in time. At twice the
 * capacity, nearly all of it still goes into answers that arrive before their deadlines.
 */
import { Cause } from './messages.ts'
import { ADMISSION_FRACTION, MAX_OVERTAKING_FACTOR, MAX_RETRY_AFTER_MILLISECONDS, MIN_RETRY_AFTER_MILLISECONDS } from './schedulingdefaults.ts'
import type { Admission } from './scheduling.ts'

/**
 * State from which the admission of a job is decided. All times are in milliseconds, all work is run time
 * in milliseconds. The names of the fields appear in the log.
 */
export interface AdmissionInput {
  /** Time left until the deadline. */
  remaining: number
  /** Expected run time of all tasks of the job, and of the longest. */
  work: number
  longest: number
  /** Work that waits, here and at the agents: of all tenants, and of the job's tenant. */
  waitingWork: number
  tenantWork: number
  /** Fair share of the job's tenant: its weight divided by the weights of all active tenants. */
  tenantPart: number
  /** Slots that this entry can expect for the service. */
  slots: number
  /** How long later jobs may overtake it, and the mean of that limit over recent work. */
  patience: number
  meanPatience: number
  /** Slots that the tenant's quota allows at this entry. */
  quotaSlots: number
  /** Time that the tenant's rate quota needs for these tasks. */
  rateWait: number
}

/**
 * Time until the job's last task is expected to end; 0 when nothing waits, because an estimate of the job
 * alone is too uncertain to refuse it while slots are free. The mean wait is that of arrival order. A job
 * waits longer or shorter than that by the difference between its overtaking limit and the mean one.
 */
export function expectedDuration (input: AdmissionInput): number {
  const { work, longest, waitingWork, tenantWork, tenantPart, slots, patience, meanPatience } = input
  const workAhead = Math.min(waitingWork, tenantWork / tenantPart)
  if (workAhead <= 0) return 0
  const wait = workAhead / slots
  const start = Math.max(0, Math.min(wait + patience - meanPatience, wait * MAX_OVERTAKING_FACTOR))
  return start + Math.max(longest, work / slots)
}

/** Duration of the job that results from the tenant's quotas alone. */
export function quotaDelay (input: AdmissionInput): number {
  const { work, longest, tenantWork, quotaSlots, rateWait } = input
  const bySlots = quotaSlots === Infinity ? 0 : (tenantWork + work) / quotaSlots
  return Math.max(bySlots, rateWait + (rateWait > 0 ? longest : 0))
}

/** Bounds the time after which a refused caller is asked to try again. */
export function retryAfter (milliseconds: number): number {
  const bounded = Math.min(MAX_RETRY_AFTER_MILLISECONDS, Math.max(MIN_RETRY_AFTER_MILLISECONDS, milliseconds))
  return Math.ceil(bounded)
}

/**
 * Builds a refusal.
 *
 * @param figures values that the decision is based on, for the log
 */
export function refuse (cause: Cause, detail: string, retryAfterMilliseconds: number, figures: Readonly<Record<string, number>> = {}): Admission {
  return { admitted: false, cause, detail, retryAfterMilliseconds, figures }
}

/**
 * Admits a job if its expected duration fits the time left. `jitter` in [0, 1) spreads the retries of
 * callers over time.
 */
export function decideAdmission (input: AdmissionInput, jitter: number): Admission {
  const allowed = input.remaining * ADMISSION_FRACTION
  const quota = quotaDelay(input)
  const spread = 1 + 0.25 * jitter
  if (quota > allowed) {
    return refuse(Cause.QuotaExceeded, 'the tenant is above its quota: send less, or ask the operators for more', retryAfter((quota - allowed) * spread))
  }
  if (input.slots <= 0) {
    return refuse(Cause.Overloaded, 'no target takes this work now: come back later', retryAfter(1000 * spread), { ...input })
  }
  const expected = expectedDuration(input)
  if (expected <= allowed) return { admitted: true }
  return refuse(Cause.Overloaded, `the job is expected to need ${Math.round(expected)} ms: come back later or allow more time`, retryAfter((expected - allowed) * spread), { ...input, expected })
}
