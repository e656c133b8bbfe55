/**
 * Whether a job is taken: by the time it is expected to need, against the time it has.
 *
 * Refusing what would come too late keeps the slots for what comes in time, so that at twice the
 * capacity nearly all of the capacity still goes into answers that count.
 */
import { Cause } from './messages.ts'
import { ADMISSION_PART, LONGEST_RETRY_AFTER_MILLISECONDS, SHORTEST_RETRY_AFTER_MILLISECONDS } from './schedulingdefaults.ts'
import type { Admission } from './scheduling.ts'

/** What is known when a job asks to be taken. All times in milliseconds, all work as run time. */
export interface AdmissionQuestion {
  /** Time left until the deadline. */
  remaining: number
  /** Expected run time of the job's tasks together, and of the longest. */
  work: number
  longest: number
  /** Work queued before it at this entry: of every tenant, and of its own tenant. */
  queuedWork: number
  tenantWork: number
  /** Weight of its tenant over the weights of all tenants that would wait with it. */
  tenantPart: number
  /** Slots that this entry can count on for the service. */
  slots: number
  /** Slots that the tenant's quota allows at this entry. */
  quotaSlots: number
  /** Time that the tenant's rate needs for the queued tasks and these. */
  rateWait: number
}

/** Time until the job's last task is expected to end. */
export function expectedDuration (question: AdmissionQuestion): number {
  const { work, longest, queuedWork, tenantWork, tenantPart, slots } = question
  const ahead = Math.min(queuedWork, tenantWork / tenantPart)
  return Math.max(longest, (ahead + work) / slots) + (ahead > 0 ? longest / 2 : 0)
}

/** Time that the tenant's quotas impose on the job. */
export function quotaDuration (question: AdmissionQuestion): number {
  const { work, longest, tenantWork, quotaSlots, rateWait } = question
  const bySlots = quotaSlots === Infinity ? 0 : (tenantWork + work) / quotaSlots
  return Math.max(bySlots, rateWait + (rateWait > 0 ? longest : 0))
}

/** Bounds the time after which a refused caller should come back. */
export function retryAfter (milliseconds: number): number {
  const bounded = Math.min(LONGEST_RETRY_AFTER_MILLISECONDS, Math.max(SHORTEST_RETRY_AFTER_MILLISECONDS, milliseconds))
  return Math.ceil(bounded)
}

/** A refusal. */
export function refuse (cause: Cause, detail: string, retryAfterMilliseconds: number): Admission {
  return { admitted: false, cause, detail, retryAfterMilliseconds }
}

/** Decides by expected time against the time left. `jitter` in [0, 1) spreads the callers' return. */
export function decideAdmission (question: AdmissionQuestion, jitter: number): Admission {
  const allowed = question.remaining * ADMISSION_PART
  const quota = quotaDuration(question)
  const spread = 1 + 0.25 * jitter
  if (quota > allowed) {
    return refuse(Cause.QuotaExceeded, 'the tenant is above its quota: send less, or ask the operators for more', retryAfter((quota - allowed) * spread))
  }
  if (question.slots <= 0) {
    return refuse(Cause.Overloaded, 'no target takes this work now: come back later', retryAfter(1000 * spread))
  }
  const expected = expectedDuration(question)
  if (expected <= allowed) return { admitted: true }
  return refuse(Cause.Overloaded, `the job is expected to need ${Math.round(expected)} ms: come back later or allow more time`, retryAfter((expected - allowed) * spread))
}
