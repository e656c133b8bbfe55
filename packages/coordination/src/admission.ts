/**
 * Whether a job is taken: by the time it is expected to need, against the time it has.
 *
 * Refusing what would come too late keeps the slots for what comes in time, so that at twice the
 * capacity nearly all of the capacity still goes into answers that count.
 */
import { Cause } from './messages.ts'
import { ADMISSION_PART, LONGEST_OVERTAKING, LONGEST_RETRY_AFTER_MILLISECONDS, SHORTEST_RETRY_AFTER_MILLISECONDS } from './schedulingdefaults.ts'
import type { Admission } from './scheduling.ts'

/** What is known when a job asks to be taken. All times in milliseconds, all work as run time. */
export interface AdmissionQuestion {
  /** Time left until the deadline. */
  remaining: number
  /** Expected run time of the job's tasks together, and of the longest. */
  work: number
  longest: number
  /** Work that waits before it, here and at the agents: of every tenant, and of its own tenant. */
  waitingWork: number
  tenantWork: number
  /** Weight of its tenant over the weights of all tenants that would wait with it. */
  tenantPart: number
  /** Slots that this entry can count on for the service. */
  slots: number
  /** How long others may overtake it, and the mean of that over the work taken lately. */
  patience: number
  meanPatience: number
  /** Slots that the tenant's quota allows at this entry. */
  quotaSlots: number
  /** Time that the tenant's rate needs for the queued tasks and these. */
  rateWait: number
}

/**
 * Time until the job's last task is expected to end; 0 when nothing waits, since an estimate of the
 * job alone is too unsure to refuse it while slots are free. What waits is done in the order of the queue:
 * the mean wait is that of arrival order, and a job waits longer or shorter than that by as much as
 * the queue lets others overtake it more or less than the mean job.
 */
export function expectedDuration (question: AdmissionQuestion): number {
  const { work, longest, waitingWork, tenantWork, tenantPart, slots, patience, meanPatience } = question
  const ahead = Math.min(waitingWork, tenantWork / tenantPart)
  if (ahead <= 0) return 0
  const wait = ahead / slots
  const start = Math.max(0, Math.min(wait + patience - meanPatience, wait * LONGEST_OVERTAKING))
  return start + Math.max(longest, work / slots)
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

/**
 * A refusal.
 *
 * @param figures what it was judged by, for the log
 */
export function refuse (cause: Cause, detail: string, retryAfterMilliseconds: number, figures: Readonly<Record<string, number>> = {}): Admission {
  return { admitted: false, cause, detail, retryAfterMilliseconds, figures }
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
    return refuse(Cause.Overloaded, 'no target takes this work now: come back later', retryAfter(1000 * spread), { ...question })
  }
  const expected = expectedDuration(question)
  if (expected <= allowed) return { admitted: true }
  return refuse(Cause.Overloaded, `the job is expected to need ${Math.round(expected)} ms: come back later or allow more time`, retryAfter((expected - allowed) * spread), { ...question, expected })
}
