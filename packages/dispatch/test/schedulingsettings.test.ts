import { test } from 'node:test'
import { expect } from 'earl'
import { DEFAULT_POLICY } from '../src/policy.ts'
import { decodeScheduling, DEFAULT_SCHEDULING, policyOf } from '../src/schedulingsettings.ts'

test('without a scheduling section every mechanism has its default', () => {
  expect(decodeScheduling()).toEqual({ ...DEFAULT_SCHEDULING })
  expect({ ...DEFAULT_POLICY, ...policyOf(decodeScheduling()) }).toEqual({ ...DEFAULT_POLICY })
})

test('a setting enables its mechanism and leaves the others off', () => {
  const policy = policyOf(decodeScheduling({ room: 'partitions', weights: [2, 1] }))
  expect([policy.partitions, policy.fleetAdmission]).toEqual([true, false])
})

test('the error for an unknown value lists the allowed values', () => {
  expect(() => decodeScheduling({ admission: 'everyone' })).toThrow('scheduling.admission cannot be used: it takes one of entry, fleet')
})

test('an unknown setting is rejected', () => {
  expect(() => decodeScheduling({ rooms: 'partitions' })).toThrow('scheduling.rooms cannot be used')
})

test('a weight of 0 is rejected, since its queue would get no capacity', () => {
  expect(() => decodeScheduling({ weights: [1, 0] })).toThrow('scheduling.weights cannot be used: it takes a list of numbers above 0')
})
