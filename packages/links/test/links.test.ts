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

async function until (holds: () => boolean): Promise<void> {
  while (!holds()) await new Promise(resolve => setTimeout(resolve, 5))
}

/** A listener of an agent, with what it hears. */
async function agentOn (port: number): Promise<{ heard: string[], listener: Listener }> {
  const heard: string[] = []
  const listener = new Listener(greeting(PeerRole.Agent, 'agent', port), {
    linked: (_link, peer) => heard.push(`linked ${peer.name}#${peer.incarnation}`),
    received: (peer, message) => heard.push(`${peer.name}: ${JSON.stringify(message)}`),
    unlinked: peer => heard.push(`unlinked ${peer.name}`)
  })
  await listener.listen(HOST, port)
  cleanups.push(() => listener.close())
  return { heard, listener }
}

function entryDialling (address: string, incarnation = '1'): { heard: string[], dialer: Dialer } {
  const heard: string[] = []
  const dialer = new Dialer(greeting(PeerRole.Entry, 'entry', 0, incarnation), {
    linked: peer => heard.push(`linked ${peer.name}`),
    received: (_peer, message) => heard.push(JSON.stringify(message)),
    unlinked: peer => heard.push(`unlinked ${peer.name}`)
  }, () => performance.now())
  dialer.add(address)
  cleanups.push(() => dialer.close())
  return { heard, dialer }
}

test('both ends learn who is there, and messages go both ways in order', async () => {
  const port = await ports.pick()
  const agent = await agentOn(port)
  const entry = entryDialling(`${HOST}:${port}`)
  await until(() => entry.heard.length === 1)
  for (const number of [1, 2, 3]) entry.dialer.send('agent', { number })
  agent.listener.link('entry')?.send({ reply: 1 })
  await until(() => agent.heard.length === 4 && entry.heard.length === 2)
  expect(agent.heard).toEqual(['linked entry#1', 'entry: {"number":1}', 'entry: {"number":2}', 'entry: {"number":3}'])
  expect(entry.heard).toEqual(['linked agent', '{"reply":1}'])
})

// The last order of a process that stops is one to stop tasks: nothing else would stop them as soon.
test('what was sent before a dialer closes still arrives', async () => {
  const port = await ports.pick()
  const agent = await agentOn(port)
  const entry = entryDialling(`${HOST}:${port}`)
  await until(() => entry.heard.length === 1)
  entry.dialer.send('agent', { last: true })
  entry.dialer.close()
  await until(() => agent.heard.includes('unlinked entry'))
  expect(agent.heard).toEqual(['linked entry#1', 'entry: {"last":true}', 'unlinked entry'])
})

test('a destination that is not there yet is dialled again', async () => {
  const port = await ports.pick()
  const entry = entryDialling(`${HOST}:${port}`)
  await new Promise(resolve => setTimeout(resolve, 120))
  await agentOn(port)
  await until(() => entry.heard.includes('linked agent'))
})

// A connection goes silent for good. The entry dials anew; what still arrives on the old connection
// must not be taken for a word of the present one.
test('a later link of a process replaces the earlier one', async () => {
  const port = await ports.pick()
  const agent = await agentOn(port)
  const first = entryDialling(`${HOST}:${port}`)
  await until(() => first.heard.length === 1)
  const second = entryDialling(`${HOST}:${port}`, '2')
  await until(() => second.heard.length === 1)
  second.dialer.send('agent', 'second')
  await until(() => agent.heard.includes('entry: "second"'))
  expect(agent.heard).toEqual(['linked entry#1', 'unlinked entry', 'linked entry#2', 'entry: "second"'])
  first.dialer.close()
})

test('a renewed link is dialled at once', async () => {
  const port = await ports.pick()
  await agentOn(port)
  const entry = entryDialling(`${HOST}:${port}`)
  await until(() => entry.heard.length === 1)
  entry.dialer.reconnect('agent')
  await until(() => entry.heard.length === 3)
  expect(entry.heard).toEqual(['linked agent', 'unlinked agent', 'linked agent'])
})

// An entry found its own record in the store and dialled it. It then heard of a visitor, dialled that
// in turn, and spent its whole processor on dialling itself.
test('a process never links to itself', async () => {
  const port = await ports.pick()
  const own = greeting(PeerRole.Entry, 'entry', port)
  const heard: string[] = []
  const listener = new Listener(own, { linked: (_link, peer) => heard.push(peer.name), received: () => {}, unlinked: () => {} })
  await listener.listen(HOST, port)
  cleanups.push(() => listener.close())
  const dialer = new Dialer(own, { linked: () => {}, received: () => {}, unlinked: () => {} }, () => performance.now())
  cleanups.push(() => dialer.close())
  dialer.add(own.address)
  expect(dialer.addresses).toEqual([])
  const elsewhere = entryDialling(`${HOST}:${port}`)
  await until(() => elsewhere.dialer.addresses.length === 0)
  expect(heard).toEqual([])
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
  expect(agent.heard).toEqual([])
})

/** One message socket on an accepted connection, and the raw client at its other end. */
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

test('a message in several pieces is put together', async () => {
  const { received, client } = await rawPair()
  for (const piece of ['{"a', '":', '1}\n{"b":2', '}\n']) {
    client.write(piece)
    await new Promise(resolve => setTimeout(resolve, 10))
  }
  await until(() => received.length === 2)
  expect(received).toEqual([{ a: 1 }, { b: 2 }])
})

test('a line that is not JSON ends the connection', async () => {
  const { received, closed, client } = await rawPair()
  client.write('hello\n{"a":1}\n')
  await until(() => closed.length === 1)
  expect(closed).toEqual(['a line is not JSON'])
  expect(received).toEqual([])
})
