/** How long a task may outlive whoever watches over it, worked out from the platform's bounds. */
import { CLOCK_RATE_MARGIN, IDLE_PING_MILLISECONDS, PINGS_PER_CONTACT, MIN_FRESH_CONTACT_MILLISECONDS, MIN_LEASE_MILLISECONDS, TIMER_MARGIN_MILLISECONDS } from './defaults.ts'

/** Bounds of the platform, in milliseconds. */
export interface Bounds {
  /** After this time a caller submits again a job whose connection broke, through any entry. */
  resubmission: number
  /** Longest lease that a target grants. */
  longestLease: number
  /** A stop of a task takes at most this long. */
  stop: number
}

/** Limits that keep two runs of one task apart, in milliseconds. */
export interface Timings {
  /** Lease of a target, renewed with each poll: without its agent its tasks end after this. */
  lease: number
  /** Tasks of an entry that has not echoed a ping for this long are stopped. */
  contact: number
  ping: number
  idlePing: number
  /** From the last message that may renew the lease until the target has certainly ended its tasks. */
  expiry: number
  /** The same for a target that has started again unnoticed: its clock has too, so it grants the longest lease. */
  maxExpiry: number
  /** From the last echo that an entry sent until its tasks at a silent agent have certainly ended. */
  silence: number
  /** The same as `contact` for what a life of the target may take that has started again unnoticed: it grants the longest lease. */
  freshContact: number
}

/**
 * Splits the time until a resubmission between the two limits.
 *
 * The longest chain: an entry dies right after an echo; its agent stops the tasks `contact` later
 * and dies or is ignored at that instant; the target ends them when its lease lapses, on a clock
 * that is slow by the rate margin. The sum stays below the time after which the caller submits
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
