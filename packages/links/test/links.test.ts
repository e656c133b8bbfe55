import type { Greeting } from '../src/greeting.ts'
import type { Server, Socket } from 'node:net'
import { afterEach, test } from 'node:test'
import { connect, createServer } from 'node:net'
import { PortPicker } from '@amaranthmast/standins/ports'
import { expect } from 'earl'
import { Dialer } from '../src/dialer.ts'
import { PeerRole } from '../src/greeting.ts'
import { Listener } from '../src/listener.ts'
import { MessageSocket } from '../src/messagesocket.ts'

const HOST = '127.0.0.1'
const ports = new PortPicker()
const cleanups: Array<() => void> = []

afterEach(() => { for (const cleanup of cleanups.splice(0)) cleanup() })

function greeting (role: PeerRole, name: string, port = 0, incarnation = '1'): Greeting {
  return { role, name, incarnation, address: `${HOST}:${port}` }
}

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 5))
}

/** Starts the listener of an agent and records its events. */
async function agentOn (port: number): Promise<{ events: string[], listener: Listener }> {
  const events: string[] = []
  const listener = new Listener(greeting(PeerRole.Agent, 'agent', port), {
    linked: (_link, peer) => events.push(`linked ${peer.name}#${peer.incarnation}`),
    received: (peer, message) => events.push(`${peer.name}: ${JSON.stringify(message)}`),
    unlinked: peer => events.push(`unlinked ${peer.name}`)
  })
  await listener.listen(HOST, port)
  cleanups.push(() => listener.close())
  return { events, listener }
}

function entryDialling (address: string, incarnation = '1'): { events: string[], dialer: Dialer } {
  const events: string[] = []
  const dialer = new Dialer(greeting(PeerRole.Entry, 'entry', 0, incarnation), {
    linked: peer => events.push(`linked ${peer.name}`),
    received: (_peer, message) => events.push(JSON.stringify(message)),
    unlinked: peer => events.push(`unlinked ${peer.name}`)
  }, () => performance.now())
  dialer.add(address)
  cleanups.push(() => dialer.close())
  return { events, dialer }
}

test('both ends receive the greeting of the other, and messages are delivered in order in both directions', async () => {
  const port = await ports.pick()
  const agent = await agentOn(port)
  const entry = entryDialling(`${HOST}:${port}`)
  await until(() => entry.events.length === 1)
  for (const number of [1, 2, 3]) entry.dialer.send('agent', { number })
  agent.listener.link('entry')?.send({ reply: 1 })
  await until(() => agent.events.length === 4 && entry.events.length === 2)
  expect(agent.events).toEqual(['linked entry#1', 'entry: {"number":1}', 'entry: {"number":2}', 'entry: {"number":3}'])
  expect(entry.events).toEqual(['linked agent', '{"reply":1}'])
})

// The last message of a process that stops may be an order to stop tasks. If it is lost, the tasks run on for longer.
test('messages sent before a dialer closes are still delivered', async () => {
  const port = await ports.pick()
  const agent = await agentOn(port)
  const entry = entryDialling(`${HOST}:${port}`)
  await until(() => entry.events.length === 1)
  entry.dialer.send('agent', { last: true })
  entry.dialer.close()
  await until(() => agent.events.includes('unlinked entry'))
  expect(agent.events).toEqual(['linked entry#1', 'entry: {"last":true}', 'unlinked entry'])
})

test('a destination that does not listen yet is dialled again', async () => {
  const port = await ports.pick()
  const entry = entryDialling(`${HOST}:${port}`)
  await new Promise(resolve => setTimeout(resolve, 120))
  await agentOn(port)
  await until(() => entry.events.includes('linked agent'))
})

// A connection stops responding and the entry dials again. Messages that still arrive on the old
// connection must not be attributed to the new one.
test('a later link of a process replaces the earlier one', async () => {
  const port = await ports.pick()
  const agent = await agentOn(port)
  const first = entryDialling(`${HOST}:${port}`)
  await until(() => first.events.length === 1)
  const second = entryDialling(`${HOST}:${port}`, '2')
  await until(() => second.events.length === 1)
  second.dialer.send('agent', 'second')
  await until(() => agent.events.includes('entry: "second"'))
  expect(agent.events).toEqual(['linked entry#1', 'unlinked entry', 'linked entry#2', 'entry: "second"'])
  first.dialer.close()
})

test('a link that is closed for a reconnect is dialled again', async () => {
  const port = await ports.pick()
  await agentOn(port)
  const entry = entryDialling(`${HOST}:${port}`)
  await until(() => entry.events.length === 1)
  entry.dialer.reconnect('agent')
  await until(() => entry.events.length === 3)
  expect(entry.events).toEqual(['linked agent', 'unlinked agent', 'linked agent'])
})

// An entry that finds its own record in the store and dials it would accept a link from itself, dial the
// linked address in turn, and spend all its processor time on dialling itself.
test('a process never links to itself', async () => {
  const port = await ports.pick()
  const own = greeting(PeerRole.Entry, 'entry', port)
  const events: string[] = []
  const listener = new Listener(own, { linked: (_link, peer) => events.push(peer.name), received: () => {}, unlinked: () => {} })
  await listener.listen(HOST, port)
  cleanups.push(() => listener.close())
  const dialer = new Dialer(own, { linked: () => {}, received: () => {}, unlinked: () => {} }, () => performance.now())
  cleanups.push(() => dialer.close())
  dialer.add(own.address)
  expect(dialer.addresses).toEqual([])
  const elsewhere = entryDialling(`${HOST}:${port}`)
  await until(() => elsewhere.dialer.addresses.length === 0)
  expect(events).toEqual([])
})

test('a connection without a greeting is closed', async () => {
  const port = await ports.pick()
  const agent = await agentOn(port)
  const socket = connect(port, HOST)
  let closed = false
  socket.on('close', () => { closed = true })
  socket.on('error', () => {})
  socket.resume()
  await until(() => closed)
  expect(agent.events).toEqual([])
})

/** Creates a message socket on an accepted connection, with a raw socket at the other end. */
async function rawPair (): Promise<{ received: unknown[], closed: string[], client: Socket }> {
  const received: unknown[] = []
  const closed: string[] = []
  const port = await ports.pick()
  const server: Server = createServer(socket => new MessageSocket(socket, { received: message => received.push(message), closed: reason => closed.push(reason) }))
  await new Promise<void>(resolve => server.listen(port, HOST, resolve))
  const client = connect(port, HOST)
  client.on('error', () => {})
  cleanups.push(() => {
    client.destroy()
    server.close()
  })
  await new Promise(resolve => client.once('connect', resolve))
  return { received, closed, client }
}

test('a message that arrives in several chunks is reassembled', async () => {
  const { received, client } = await rawPair()
  for (const piece of ['{"a', '":', '1}\n{"b":2', '}\n']) {
    client.write(piece)
    await new Promise(resolve => setTimeout(resolve, 10))
  }
  await until(() => received.length === 2)
  expect(received).toEqual([{ a: 1 }, { b: 2 }])
})

test('a line that is not JSON closes the connection', async () => {
  const { received, closed, client } = await rawPair()
  client.write('hello\n{"a":1}\n')
  await until(() => closed.length === 1)
  expect(closed).toEqual(['a line is not JSON'])
  expect(received).toEqual([])
})
