import { test } from 'node:test'
import { expect } from 'earl'
import { CLOCK_RATE_MARGIN, TIMER_MARGIN_MILLISECONDS } from '../src/defaults.ts'
import { timingsFor } from '../src/timings.ts'

const BOUNDS = { resubmission: 1300, longestLease: 1000, stop: 50 }

// An entry dies just after an echo. Its agent detects this when the contact ends, and dies at that
// moment without stopping the tasks. The target's lease, last renewed at the same time, ends them on
// a slow clock. Only after that may the caller submit the job again through another entry.
test('contact, lease on a slow clock, stop and a late timer fit into the time before a resubmission', () => {
  const { contact, lease } = timingsFor(BOUNDS)
  const chain = contact + lease * (1 + CLOCK_RATE_MARGIN) + BOUNDS.stop + TIMER_MARGIN_MILLISECONDS
  expect(chain).toBeLessThanOrEqual(BOUNDS.resubmission)
})

test('an entry waits for an unresponsive agent as long as its tasks may run after the last echo', () => {
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

test('a longer time before a resubmission allows longer limits', () => {
  const short = timingsFor(BOUNDS)
  const long = timingsFor({ ...BOUNDS, resubmission: 3000, longestLease: 5000 })
  expect(long.lease).toBeGreaterThan(short.lease)
  expect(long.contact).toBeGreaterThan(short.contact)
})
