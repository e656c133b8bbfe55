/** Time limits that ensure that a task ends soon after its entry or agent fails, computed from the bounds of the platform. */
import { CLOCK_RATE_MARGIN, IDLE_PING_MILLISECONDS, PINGS_PER_CONTACT, MIN_FRESH_CONTACT_MILLISECONDS, MIN_LEASE_MILLISECONDS, TIMER_MARGIN_MILLISECONDS } from './defaults.ts'

/** Bounds of the platform, in milliseconds. */
export interface Bounds {
  /** Time after which a caller whose connection broke submits its job again, through any entry. */
  resubmission: number
  /** Longest lease that a target grants. */
  longestLease: number
  /** Longest time that the target takes to stop a task. */
  stop: number
}

/** Time limits that prevent simultaneous runs of one task, in milliseconds. */
export interface Timings {
  /** Lease of a target, renewed with each poll. Without its agent, the tasks of the target end after this time. */
  lease: number
  /** Time without an echo after which the tasks of an entry are stopped. */
  contact: number
  ping: number
  idlePing: number
  /** Time from the last message that may renew the lease until the target has certainly ended its tasks. */
  expiry: number
  /** The same for a target that has restarted unnoticed. Its clock starts anew, so it grants the longest lease. */
  maxExpiry: number
  /** Time from the last echo that an entry sent until its tasks at an unresponsive agent have certainly ended. */
  silence: number
  /** The same as `contact` for orders that may reach a new incarnation of the target unnoticed, which grants the longest lease. */
  freshContact: number
}

/**
 * Divides the time until a resubmission between contact and lease.
 *
 * The worst case: an entry dies right after an echo. Its agent would stop the tasks `contact` later,
 * but dies or gets no answer at that moment. The target then ends them when its lease expires, on a
 * clock that is slow by the rate margin. The sum stays below the time after which the caller submits
 * the job through another entry.
 */
export function timingsFor (bounds: Bounds): Timings {
  const available = bounds.resubmission - bounds.stop - TIMER_MARGIN_MILLISECONDS
  const halfLease = Math.floor(available / 2 / (1 + CLOCK_RATE_MARGIN))
  const lease = Math.max(MIN_LEASE_MILLISECONDS, Math.min(bounds.longestLease, halfLease))
  const expiryOf = (lease: number): number => Math.ceil(lease * (1 + CLOCK_RATE_MARGIN)) + bounds.stop + TIMER_MARGIN_MILLISECONDS
  const expiry = expiryOf(lease)
  const contact = Math.max(MIN_LEASE_MILLISECONDS, bounds.resubmission - expiry)
  const maxExpiry = expiryOf(bounds.longestLease)
  const silence = contact + expiry
  return {
    lease,
    contact,
    ping: Math.floor(contact / PINGS_PER_CONTACT),
    idlePing: IDLE_PING_MILLISECONDS,
    expiry,
    maxExpiry,
    silence,
    freshContact: Math.min(contact, Math.max(MIN_FRESH_CONTACT_MILLISECONDS, silence - maxExpiry))
  }
}
