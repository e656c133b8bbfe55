import { test } from 'node:test'
import { expect } from 'earl'
import { CLOCK_RATE_MARGIN, TIMER_MARGIN_MILLISECONDS } from '../src/defaults.ts'
import { timingsFor } from '../src/timings.ts'

const BOUNDS = { resubmission: 1300, longestLease: 1000, stop: 50 }

// An entry dies just after an echo. Its agent finds out when the contact ends, and dies at that
// instant without having stopped anything. The target's lease, renewed last at the same time, ends
// its tasks on a slow clock. Only then may the caller come back through another entry.
test('contact, lease on a slow clock, stop and a late timer fit before a resubmission', () => {
  const { contact, lease } = timingsFor(BOUNDS)
  const chain = contact + lease * (1 + CLOCK_RATE_MARGIN) + BOUNDS.stop + TIMER_MARGIN_MILLISECONDS
  expect(chain).toBeLessThanOrEqual(BOUNDS.resubmission)
})

test('an entry waits for a silent agent as long as its tasks may outlive the last echo', () => {
  const { contact, expiry: lapse, silence } = timingsFor(BOUNDS)
  expect(silence).toEqual(contact + lapse)
})

test('several pings fit into one contact', () => {
  const { contact, ping } = timingsFor(BOUNDS)
  expect(contact / ping).toBeGreaterThanOrEqual(3)
})

test('a lease is never longer than the target grants', () => {
  expect(timingsFor({ ...BOUNDS, longestLease: 400 }).lease).toEqual(400)
})

test('a longer pause before a resubmission makes room for longer limits', () => {
  const short = timingsFor(BOUNDS)
  const long = timingsFor({ ...BOUNDS, resubmission: 3000, longestLease: 5000 })
  expect(long.lease).toBeGreaterThan(short.lease)
  expect(long.contact).toBeGreaterThan(short.contact)
})
