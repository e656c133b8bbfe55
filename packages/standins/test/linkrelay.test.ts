import { once } from 'node:events'
import type { AddressInfo, Server, Socket } from 'node:net'
import { connect, createServer } from 'node:net'
import type { TestContext } from 'node:test'
import { test } from 'node:test'

import { expect } from 'earl'

import { LinkRelay, LinkState } from '@amaranthmast/standins/linkrelay'
import { waitFor } from '@amaranthmast/standins/wait'

/** Both ends of one relayed connection, and the data that each has received so far. */
class TestLink {
  readonly relay: LinkRelay
  readonly server: Server
  port = 0
  client!: Socket
  accepted!: Socket
  atClient = ''
  atServer = ''
  serverEnded = false

  constructor (server: Server, cutter: LinkRelay) {
    this.server = server
    this.relay = cutter
  }

  async dial (): Promise<void> {
    const accepted = once(this.server, 'connection')
    this.client = connect({ port: this.port, host: '127.0.0.1' })
    this.client.on('error', () => {})
    this.accepted = (await accepted)[0] as Socket
    this.accepted.on('error', () => {})
    this.accepted.on('end', () => { this.serverEnded = true })
    this.client.on('data', bytes => { this.atClient += bytes.toString() })
    this.accepted.on('data', bytes => { this.atServer += bytes.toString() })
  }

  /** Sends one word each way and waits until both have arrived. */
  async exchange (): Promise<void> {
    this.client.write('ping')
    this.accepted.write('pong')
    await waitFor('both words', 5000, 5, () => this.atServer.endsWith('ping') && this.atClient.endsWith('pong'))
  }
}

async function newLink (context: TestContext): Promise<TestLink> {
  const server = createServer()
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const cutter = new LinkRelay((server.address() as AddressInfo).port)
  const link = new TestLink(server, cutter)
  link.port = await cutter.listen()
  await link.dial()
  context.after(async () => {
    link.client.destroy()
    link.accepted.destroy()
    await cutter.close()
    server.close()
  })
  return link
}

/** Waits far longer than bytes need on an open link. */
function settle (): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, 60) })
}

async function connectError (port: number): Promise<string> {
  const socket = connect({ port, host: '127.0.0.1' })
  const [error] = await once(socket, 'error') as [NodeJS.ErrnoException]
  return error.code ?? ''
}

test('an open link forwards bytes in both directions', async context => {
  const link = await newLink(context)
  await link.exchange()
  expect([link.atServer, link.atClient]).toEqual(['ping', 'pong'])
})

test('a cut link resets both ends', async context => {
  const link = await newLink(context)
  await link.exchange()
  const errors = Promise.all([once(link.client, 'error'), once(link.accepted, 'error')])
  link.relay.cut()
  const codes = (await errors).map(([error]) => (error as NodeJS.ErrnoException).code)
  expect(codes).toEqual(['ECONNRESET', 'ECONNRESET'])
})

test('a cut link resets new connections until it is restored', async context => {
  const link = await newLink(context)
  link.relay.cut()
  expect(await connectError(link.port)).toEqual('ECONNRESET')
  link.relay.restore()
  await link.dial()
  await link.exchange()
})

const STALLS = [
  { state: LinkState.Stalled, atServer: '', atClient: '' },
  { state: LinkState.StalledToServer, atServer: '', atClient: 'to client' },
  { state: LinkState.StalledToClient, atServer: 'to server', atClient: '' }
] as const

for (const { state, atServer, atClient } of STALLS) {
  test(`a link in state ${state} holds bytes back and forwards them when it is restored`, async context => {
    const link = await newLink(context)
    link.relay.stall(state)
    link.client.write('to server')
    link.accepted.write('to client')
    await settle()
    expect([link.atServer, link.atClient]).toEqual([atServer, atClient])
    link.relay.restore()
    await waitFor('the bytes', 5000, 5, () => link.atServer === 'to server' && link.atClient === 'to client')
  })
}

test('a stalled link holds back the end of a connection until it is restored', async context => {
  const link = await newLink(context)
  link.relay.stall()
  link.client.end('last words')
  await settle()
  expect([link.atServer, link.serverEnded]).toEqual(['', false])
  link.relay.restore()
  await waitFor('the end', 5000, 5, () => link.serverEnded)
  expect(link.atServer).toEqual('last words')
})

test('a link stalled in one direction holds back a reset in that direction until it is restored', async context => {
  const link = await newLink(context)
  let closed = false
  link.accepted.on('close', () => { closed = true })
  link.relay.stall(LinkState.StalledToServer)
  link.client.resetAndDestroy()
  link.accepted.write('anyone there?')
  await settle()
  link.accepted.write('hello?')
  await settle()
  expect(closed).toEqual(false)
  link.relay.restore()
  await waitFor('the reset', 5000, 5, () => closed)
})

test('a stalled link accepts a new connection and holds its data back', async context => {
  const link = await newLink(context)
  link.relay.stall()
  const client = connect({ port: link.port, host: '127.0.0.1' })
  context.after(() => client.destroy())
  await once(client, 'connect')
  let received = ''
  link.server.on('connection', socket => socket.on('error', () => {}).on('data', bytes => { received += bytes.toString() }))
  client.write('hello')
  await settle()
  expect(received).toEqual('')
  link.relay.restore()
  await waitFor('the bytes', 5000, 5, () => received === 'hello')
})

test('a closed link refuses connections until it listens again', async context => {
  const link = await newLink(context)
  await link.relay.close()
  expect(await connectError(link.port)).toEqual('ECONNREFUSED')
  await link.relay.listen(link.port)
  await link.dial()
  await link.exchange()
})
