import type { ServiceSettings } from '../src/ports.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { Gossip, isGossip } from '../src/gossip.ts'

// 35 entries told each other their version every 400 ms: 3,000 messages a second in a fleet where nothing happened.
test('an entry tells some of the others its version at a time, and each has its turn', context => {
  context.mock.timers.enable({ apis: ['setInterval'] })
  const told: string[] = []
  const peers = Array.from({ length: 10 }, (_none, index) => `entry-${index}`)
  const gossip = new Gossip({
    store: { readConfiguration: () => undefined },
    settings: {} as ServiceSettings,
    configured: () => {},
    agentFound: () => {},
    note: () => {},
    sendAll: () => {},
    peers: () => peers,
    send: peer => told.push(peer)
  })
  gossip.start()
  context.mock.timers.tick(400)
  expect(told.length).toEqual(4)
  context.mock.timers.tick(800)
  expect(new Set(told).size).toEqual(10)
  gossip.stop()
})

test('messages on room are told apart from gossip', () => {
  expect(isGossip({ type: 'version', version: 3 })).toEqual(true)
  expect(isGossip({ type: 'ask' })).toEqual(false)
  expect(isGossip(undefined)).toEqual(false)
})
