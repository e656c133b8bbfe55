/** The streams of the inner protocol over real connections. */
import type { AgentEvent } from '@amaranthmast/coordination/agenttypes'
import type { EntryEvent } from '@amaranthmast/coordination/entrytypes'
import { expect } from 'earl'
import { pino } from 'pino'
import { test } from 'node:test'
import { Agents } from '../src/agents.ts'
import { Entries } from '../src/entries.ts'
import type { Environment } from '../src/environment.ts'
import { InnerListener } from '../src/innerlistener.ts'
import { Peers } from '../src/peers.ts'

const heartbeat = { sent: 1, viewVersion: 2, configurationVersion: 3 }

test('an agent and an entry exchange messages in order', async () => {
  const entry = await startEntry('entry-1#a')
  const agent = startAgent('agent-1#b')
  agent.entries.connect([{ instance: 'entry-1#a', address: entry.address }])
  expect(await agent.next()).toEqual({ type: 'entryConnected', entry: 'entry-1#a' })
  for (const sent of [1, 2, 3]) agent.entries.send('entry-1#a', { case: 'heartbeat', value: { ...heartbeat, sent } })
  expect([sentOf(await entry.next()), sentOf(await entry.next()), sentOf(await entry.next())]).toEqual([1, 2, 3])
  entry.agents.send('agent-1#b', { case: 'heartbeatReply', value: { sent: 3, viewVersion: 2, confirmedAgeMilliseconds: 5 } })
  expect(sentOf(await agent.next())).toEqual(3)
  agent.entries.finish()
  entry.listener.close()
})

test('an agent that ends its stream is reported as disconnected once', async () => {
  const entry = await startEntry('entry-1#a')
  const agent = startAgent('agent-1#b')
  agent.entries.connect([{ instance: 'entry-1#a', address: entry.address }])
  await agent.next()
  agent.entries.connect([])
  expect(await agent.next()).toEqual({ type: 'entryDisconnected', entry: 'entry-1#a' })
  expect(await entry.next()).toEqual({ type: 'agentDisconnected', agent: 'agent-1#b' })
  entry.listener.close()
  expect(entry.left()).toEqual([])
})

test('an agent reconnects by itself after an entry has closed its stream', async () => {
  const entry = await startEntry('entry-1#a')
  const agent = startAgent('agent-1#b')
  agent.entries.connect([{ instance: 'entry-1#a', address: entry.address }])
  await agent.next()
  entry.agents.sweep(0, 0)
  entry.agents.sweep(1000, 0)
  const events = [await agent.next(), await agent.next()]
  expect(events.map(event => event.type)).toEqual(['entryDisconnected', 'entryConnected'])
  agent.entries.finish()
  entry.listener.close()
})

test('of two entries, the instance with the greater name opens the only stream', async () => {
  const lesser = await startEntry('entry-1#a')
  const greater = await startEntry('entry-2#b')
  lesser.peers.connect([{ instance: 'entry-2#b', address: greater.address }])
  greater.peers.connect([{ instance: 'entry-1#a', address: lesser.address }])
  expect([await lesser.next(), await greater.next()]).toEqual([
    { type: 'peerConnected', peer: 'entry-2#b' }, { type: 'peerConnected', peer: 'entry-1#a' }
  ])
  lesser.peers.send('entry-2#b', { case: 'heartbeat', value: heartbeat })
  expect(sentOf(await greater.next())).toEqual(1)
  greater.peers.finish()
  lesser.peers.finish()
  lesser.listener.close()
  greater.listener.close()
})

for (const { end, own, other } of [
  { end: 'dialling', own: 'entry-2#b', other: 'entry-1#a' },
  { end: 'dialled', own: 'entry-1#a', other: 'entry-2#b' }
]) {
  test(`the ${end} end detects that a peer's address refuses connections`, async () => {
    const gone = await startEntry(other)
    const alive = await startEntry(own)
    gone.listener.close()
    alive.peers.connect([{ instance: other, address: gone.address }])
    expect(await alive.next()).toEqual({ type: 'peerDisconnected', peer: other, refused: true })
    alive.peers.finish()
    alive.listener.close()
  })

  test(`the ${end} end detects that another incarnation listens at a peer's address`, async () => {
    // An entry is killed and its replacement listens at the same address at once. No process ever gets
    // a refused connection, and the job ids of the ended entry would stay without an owner.
    const replacement = await startEntry('entry-9#new')
    const alive = await startEntry(own)
    alive.peers.connect([{ instance: other, address: replacement.address }])
    expect(await alive.next()).toEqual({ type: 'peerDisconnected', peer: other, refused: true })
    alive.peers.finish()
    alive.listener.close()
    replacement.listener.close()
  })
}

test('a peer that listens but has not connected is not reported as refused', async () => {
  const silent = await startEntry('entry-2#b')
  const alive = await startEntry('entry-1#a')
  alive.peers.connect([{ instance: 'entry-2#b', address: silent.address }])
  silent.peers.connect([{ instance: 'entry-1#a', address: alive.address }])
  expect(await alive.next()).toEqual({ type: 'peerConnected', peer: 'entry-2#b' })
  expect(alive.left()).toEqual([])
  silent.peers.finish()
  alive.peers.finish()
  silent.listener.close()
  alive.listener.close()
})

async function startEntry (instance: string) {
  const { post, next, left } = inbox<EntryEvent>()
  const agents = new Agents(instance, post)
  const peers = new Peers(environmentOf(instance), post)
  const listener = new InnerListener({
    agent: (frames, context) => agents.serve(frames, context),
    peer: (frames, context) => peers.serve(frames, context)
  })
  const port = (await listener.listen('127.0.0.1', 0))._unsafeUnwrap()
  return { agents, peers, listener, next, left, address: `http://127.0.0.1:${port}` }
}

function startAgent (instance: string) {
  const { post, next } = inbox<AgentEvent>()
  return { entries: new Entries(environmentOf(instance), post), next }
}

function environmentOf (instance: string): Environment {
  return { instance, log: pino({ level: 'silent' }), now: () => performance.now(), wallClock: () => 0, random: () => 0.5 }
}

function inbox<Event> () {
  const events: Event[] = []
  const waiting: Array<(event: Event) => void> = []
  const post = (event: Event): void => {
    const waiter = waiting.shift()
    if (waiter === undefined) events.push(event)
    else waiter(event)
  }
  const next = async (): Promise<Event> => events.shift() ?? await new Promise<Event>(resolve => waiting.push(resolve))
  return { post, next, left: () => events }
}

function sentOf (event: EntryEvent | AgentEvent): number | undefined {
  const value: object = 'message' in event ? event.message.value : {}
  return 'sent' in value ? Number(value.sent) : undefined
}
