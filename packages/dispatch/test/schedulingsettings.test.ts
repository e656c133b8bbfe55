import { test } from 'node:test'
import { expect } from 'earl'
import { DEFAULT_POLICY } from '../src/policy.ts'
import { decodeScheduling, DEFAULT_SCHEDULING, policyOf } from '../src/schedulingsettings.ts'

test('without a section every part stays off', () => {
  expect(decodeScheduling()).toEqual({ ...DEFAULT_SCHEDULING })
  expect({ ...DEFAULT_POLICY, ...policyOf(decodeScheduling()) }).toEqual({ ...DEFAULT_POLICY })
})

test('a setting switches its part on and leaves the others off', () => {
  const policy = policyOf(decodeScheduling({ room: 'partitions', weights: [2, 1] }))
  expect([policy.partitions, policy.fleetAdmission]).toEqual([true, false])
})

test('a value that is not known names the values that are', () => {
  expect(() => decodeScheduling({ admission: 'everyone' })).toThrow('scheduling.admission cannot be used: it takes one of entry, fleet')
})

test('an unknown setting is not passed over', () => {
  expect(() => decodeScheduling({ rooms: 'partitions' })).toThrow('scheduling.rooms cannot be used')
})

test('a weight of 0 would give its queue nothing', () => {
  expect(() => decodeScheduling({ weights: [1, 0] })).toThrow('scheduling.weights cannot be used: it takes a list of numbers above 0')
})
