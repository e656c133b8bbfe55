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

function agentsTold (sent: readonly Sent[]): Array<[peer: string, addresses: string[]]> {
  return sent.flatMap(({ peer, message }) => message.type === 'agents' ? [[peer, message.addresses]] : [])
}

test('an agent that is linked is told to every other entry once, and to later ones as they link', () => {
  const sent: Sent[] = []
  const gossip = newGossip(sent)
  gossip.linked('one')
  gossip.agentLinked('10.0.0.1:7720')
  gossip.agentLinked('10.0.0.1:7720')
  gossip.linked('two')
  expect(agentsTold(sent)).toEqual([['one', ['10.0.0.1:7720']], ['two', ['10.0.0.1:7720']]])
})

// Two links stand between a pair of entries; the end of one must not make them strangers.
test('an entry counts as linked until its last link has ended', () => {
  const sent: Sent[] = []
  const gossip = newGossip(sent)
  gossip.linked('one')
  gossip.linked('one')
  gossip.unlinked('one')
  gossip.agentLinked('10.0.0.1:7720')
  expect(agentsTold(sent).length).toEqual(1)
  gossip.unlinked('one')
  gossip.agentLinked('10.0.0.2:7720')
  expect(agentsTold(sent).length).toEqual(1)
})

test('agents that another entry has links to are found', () => {
  const found: string[] = []
  newGossip([], found).received('one', { type: 'agents', addresses: ['10.0.0.1:7720'] })
  expect(found).toEqual(['10.0.0.1:7720'])
})

test('messages on room are told apart from gossip', () => {
  expect(isGossip({ type: 'version', version: 3 })).toEqual(true)
  expect(isGossip({ type: 'agents', addresses: ['10.0.0.1:7720'] })).toEqual(true)
  expect(isGossip({ type: 'agents', addresses: [3] })).toEqual(false)
  expect(isGossip({ type: 'ask' })).toEqual(false)
  expect(isGossip(undefined)).toEqual(false)
})
