import { test } from 'node:test'
import { expect } from 'earl'
import { anything, assert, constantFrom, property, record } from 'fast-check'
import { ConfigurationExchange } from '../src/exchange.ts'
import { isConfigurationMessage } from '../src/messages.ts'

test('messages are recognized only if every field is valid', () => {
  expect(isConfigurationMessage({ type: 'version', version: 3 })).toEqual(true)
  expect(isConfigurationMessage({ type: 'version', version: 3, age: null, sent: 4.5 })).toEqual(true)
  expect(isConfigurationMessage({ type: 'fetch', version: 3, offset: 0 })).toEqual(true)
  expect(isConfigurationMessage({ type: 'version', version: '3' })).toEqual(false)
  expect(isConfigurationMessage({ type: 'version', version: 3, age: -1 })).toEqual(false)
  expect(isConfigurationMessage({ type: 'part', version: 3, offset: 0, total: 4 })).toEqual(false)
  expect(isConfigurationMessage({ type: 'ask' })).toEqual(false)
  expect(isConfigurationMessage({ type: 'toString' })).toEqual(false)
  expect(isConfigurationMessage(undefined)).toEqual(false)
})

// A malformed message from another process must not crash the receiver.
test('no message that passes the check makes the exchange throw', () => {
  const messages = record({ type: constantFrom('version', 'fetch', 'part', 'configuration'), version: anything(), offset: anything(), total: anything(), text: anything(), document: anything(), age: anything(), sent: anything(), echo: anything() }, { requiredKeys: ['type'] })
  assert(property(messages, message => {
    const exchange = new ConfigurationExchange<{ version: number }>({ read: () => undefined })
    exchange.handle({ type: 'peerLinked', peer: 'one' }, 0)
    if (isConfigurationMessage(message)) exchange.handle({ type: 'received', peer: 'one', message }, 1)
  }), { seed: 7, numRuns: 500 })
})
