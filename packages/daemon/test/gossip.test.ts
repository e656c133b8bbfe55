import type { GossipMessage } from '../src/gossip.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { Gossip, isGossip } from '../src/gossip.ts'

interface Sent {
  peer: string
  message: GossipMessage
}

function newGossip (sent: Sent[], found: string[] = []): Gossip {
  return new Gossip({
    store: { readConfiguration: () => undefined },
    bound: 2000,
    configured: () => {},
    agentFound: address => found.push(address),
    note: () => {},
    send: (peer, message) => sent.push({ peer, message }),
    now: () => 0
  })
}

function agentAddressesSent (sent: readonly Sent[]): Array<[peer: string, addresses: string[]]> {
  return sent.flatMap(({ peer, message }) => message.type === 'agents' ? [[peer, message.addresses]] : [])
}

test('the address of a linked agent is sent to every other entry once, and to later ones when they link', () => {
  const sent: Sent[] = []
  const gossip = newGossip(sent)
  gossip.linked('one')
  gossip.agentLinked('10.0.0.1:7720')
  gossip.agentLinked('10.0.0.1:7720')
  gossip.linked('two')
  expect(agentAddressesSent(sent)).toEqual([['one', ['10.0.0.1:7720']], ['two', ['10.0.0.1:7720']]])
})

// Two entries may have two links, one dialled by each. When one of them ends, the entries are still linked.
test('an entry is linked until its last link has ended', () => {
  const sent: Sent[] = []
  const gossip = newGossip(sent)
  gossip.linked('one')
  gossip.linked('one')
  gossip.unlinked('one')
  gossip.agentLinked('10.0.0.1:7720')
  expect(agentAddressesSent(sent).length).toEqual(1)
  gossip.unlinked('one')
  gossip.agentLinked('10.0.0.2:7720')
  expect(agentAddressesSent(sent).length).toEqual(1)
})

test('agents to which another entry is linked are reported', () => {
  const found: string[] = []
  newGossip([], found).received('one', { type: 'agents', addresses: ['10.0.0.1:7720'] })
  expect(found).toEqual(['10.0.0.1:7720'])
})

test('messages about capacity are distinguished from gossip', () => {
  expect(isGossip({ type: 'version', version: 3 })).toEqual(true)
  expect(isGossip({ type: 'agents', addresses: ['10.0.0.1:7720'] })).toEqual(true)
  expect(isGossip({ type: 'agents', addresses: [3] })).toEqual(false)
  expect(isGossip({ type: 'ask' })).toEqual(false)
  expect(isGossip(undefined)).toEqual(false)
})
