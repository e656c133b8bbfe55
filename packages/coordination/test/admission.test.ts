import { test } from 'node:test'
import { expect } from 'earl'
import { decideAdmission, expectedDuration } from '../src/admission.ts'
import type { AdmissionInput } from '../src/admission.ts'
import { Cause } from '../src/messages.ts'

const idle: AdmissionInput = {
  remaining: 10_000,
  work: 2000,
  longest: 500,
  waitingWork: 0,
  tenantWork: 0,
  tenantPart: 1,
  slots: 20,
  patience: 2000,
  meanPatience: 2000,
  quotaSlots: Infinity,
  rateWait: 0
}

test('admits a job while nothing waits, whatever run time it declares', () => {
  expect(decideAdmission({ ...idle, work: 1e9, longest: 1e8 }, 0)).toEqual({ admitted: true })
})

const refusals = [
  { name: 'more work waits than can be done in time', question: { waitingWork: 400_000, tenantWork: 400_000 }, cause: Cause.Overloaded },
  { name: 'no target accepts work', question: { slots: 0 }, cause: Cause.Overloaded },
  { name: 'the rate quota of the tenant delays it too long', question: { rateWait: 20_000 }, cause: Cause.QuotaExceeded },
  { name: 'the slot quota of the tenant is too small', question: { quotaSlots: 1, tenantWork: 30_000 }, cause: Cause.QuotaExceeded }
]
for (const { name, question, cause } of refusals) {
  test(`refuses when ${name}, with a retry time`, () => {
    const admission = decideAdmission({ ...idle, ...question }, 0.5)
    expect(admission.admitted).toEqual(false)
    if (admission.admitted) return
    expect(admission.cause).toEqual(cause)
    expect(admission.retryAfterMilliseconds >= 100 && admission.retryAfterMilliseconds <= 30_000).toEqual(true)
  })
}

test('a job of a tenant within its fair share is admitted although another tenant has filled the queue', () => {
  const question = { ...idle, waitingWork: 4e6, tenantWork: 1000, tenantPart: 0.5 }
  expect(decideAdmission(question, 0).admitted).toEqual(true)
})

test('a job with a higher overtaking limit is expected to take longer', () => {
  const busy = { ...idle, waitingWork: 60_000, tenantWork: 60_000 }
  expect(expectedDuration({ ...busy, patience: 4000 }) > expectedDuration(busy)).toEqual(true)
})
