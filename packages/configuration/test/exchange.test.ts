import type { ConfigurationMessage } from '../src/messages.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { ConfigurationExchange } from '../src/exchange.ts'
import { pack } from '../src/packing.ts'
import { documentOf, Mesh, read } from './mesh.ts'

/** Size of a configuration with thousands of queues, in characters. */
const LARGE_SIZE = 900_000

/** Capacity of a slow link, in characters per millisecond. */
const SLOW_LINK_RATE = 2000

/** Maximum age of a confirmation, in milliseconds. */
const BOUND = 2000

/** Creates linked entries. The last one has a slow link, and the tests give it nothing from the store. */
function newFleet (size: number): Mesh {
  const mesh = new Mesh()
  for (let index = 0; index < size; index += 1) mesh.add(`entry-${index}`, index === size - 1 ? SLOW_LINK_RATE : Infinity)
  return mesh
}

function lastOf (mesh: Mesh): string {
  return `entry-${mesh.entries.size - 1}`
}

function storeAtOthers (mesh: Mesh, version: number, size: number): void {
  for (const name of mesh.entries.keys()) if (name !== lastOf(mesh)) mesh.store(name, version, size)
}

function entryOf (mesh: Mesh, name: string) {
  const entry = mesh.entries.get(name)
  if (entry === undefined) throw new Error(`no entry ${name}`)
  return entry
}

// If each of 35 entries sent its version to all others every 400 ms, an idle fleet would send 3,000 messages per second.
test('an entry sends its version to a few peers at a time, round-robin', () => {
  const exchange = new ConfigurationExchange({ read })
  for (let index = 0; index < 10; index += 1) exchange.handle({ type: 'peerLinked', peer: `entry-${index}` }, 0)
  const recipients = [400, 800, 1200].map(now => exchange.handle({ type: 'tick' }, now).flatMap(effect => effect.type === 'tell' ? effect.peer : []))
  expect(recipients.map(peers => peers.length)).toEqual([4, 4, 4])
  expect(new Set(recipients.flat()).size).toEqual(10)
})

// The store rejects the entry's reads, so it can get the configuration only from its peers.
test('an entry without the store receives a large configuration from a peer within half a second', () => {
  const mesh = newFleet(8)
  mesh.run(1000)
  storeAtOthers(mesh, 1, LARGE_SIZE)
  mesh.run(500)
  expect(entryOf(mesh, lastOf(mesh)).version).toEqual(1)
})

// If peers pushed the document, every entry with the newer version would send it whenever the outdated entry reports its version.
test('an outdated entry is sent a document only once, by one peer', () => {
  const mesh = newFleet(8)
  mesh.run(1000)
  storeAtOthers(mesh, 1, LARGE_SIZE)
  const lagging = entryOf(mesh, lastOf(mesh))
  const before = lagging.received
  mesh.run(3000)
  expect(lagging.received - before).toBeLessThan(1.05 * pack(documentOf(1, LARGE_SIZE)).length)
  expect([...mesh.entries.values()].reduce((sum, { exchange }) => sum + exchange.status.documentsSent, 0)).toEqual(1)
})

test('an entry whose own watch delivers the document does not fetch it', () => {
  const mesh = newFleet(8)
  mesh.run(1000)
  for (const name of mesh.entries.keys()) mesh.store(name, 1, LARGE_SIZE)
  mesh.run(20)
  for (const name of mesh.entries.keys()) mesh.store(name, 2, LARGE_SIZE)
  mesh.run(1000)
  expect([...mesh.entries.values()].every(({ version }) => version === 2)).toEqual(true)
  expect([...mesh.entries.values()].some(({ exchange }) => exchange.status.documentsSent > 0)).toEqual(false)
})

test('a transfer from an entry that freezes is restarted from another one', () => {
  const mesh = newFleet(3)
  mesh.run(1000)
  storeAtOthers(mesh, 1, LARGE_SIZE)
  mesh.run(30)
  const sender = [...mesh.entries.values()].find(({ exchange }) => exchange.status.documentsSent > 0)
  expect(sender === undefined).toEqual(false)
  if (sender !== undefined) sender.frozen = true
  mesh.run(1500)
  expect(entryOf(mesh, lastOf(mesh)).version).toEqual(1)
})

test('a transfer from an entry whose link ends is restarted from another one at once', () => {
  const mesh = newFleet(3)
  mesh.run(1000)
  storeAtOthers(mesh, 1, LARGE_SIZE)
  mesh.run(30)
  const [name = ''] = [...mesh.entries].find(([, { exchange }]) => exchange.status.documentsSent > 0) ?? []
  mesh.unlink(name, lastOf(mesh))
  mesh.run(300)
  expect(entryOf(mesh, lastOf(mesh)).version).toEqual(1)
})

test('a transfer of a version that is replaced during it delivers the newer version', () => {
  const mesh = newFleet(3)
  mesh.run(1000)
  storeAtOthers(mesh, 1, LARGE_SIZE)
  mesh.run(30)
  storeAtOthers(mesh, 2, LARGE_SIZE)
  mesh.run(500)
  expect(entryOf(mesh, lastOf(mesh)).version).toEqual(2)
})

// Load test: configurations change in quick succession, and one entry can get them only from its peers.
test('configurations in quick succession stay below the capacity of a slow link', () => {
  const mesh = newFleet(35)
  mesh.run(1000)
  let version = 0
  const lagging = entryOf(mesh, lastOf(mesh))
  const before = lagging.received
  mesh.run(4000, () => {
    if (mesh.now % 200 !== 0) return
    version += 1
    storeAtOthers(mesh, version, LARGE_SIZE)
  })
  expect(lagging.received - before).toBeLessThan(0.5 * SLOW_LINK_RATE * 4000)
  mesh.run(500)
  expect(lagging.version).toEqual(version)
})

// A document that is invalid for this build but valid for others must not be requested over and over.
test('an invalid document is requested from each entry once', () => {
  const requests: ConfigurationMessage[] = []
  const exchange = new ConfigurationExchange<{ version: number }>({ read: () => undefined })
  const packed = pack('{"version":7}')
  for (const peer of ['one', 'two']) {
    exchange.handle({ type: 'peerLinked', peer }, 0)
    exchange.handle({ type: 'received', peer, message: { type: 'version', version: 7, age: 0 } }, 0)
  }
  for (let now = 50; now < 20_000; now += 50) {
    for (const effect of exchange.handle({ type: 'tick' }, now)) {
      if (effect.type !== 'tell' || effect.message.type !== 'fetch') continue
      requests.push(effect.message)
      exchange.handle({ type: 'received', peer: effect.peer, message: { type: 'part', version: 7, offset: 0, total: packed.length, text: packed } }, now)
    }
  }
  expect(requests.length).toBeLessThanOrEqual(2)
})

test('a part that is not a packed document is ignored', () => {
  const exchange = new ConfigurationExchange({ read })
  exchange.handle({ type: 'peerLinked', peer: 'one' }, 0)
  exchange.handle({ type: 'received', peer: 'one', message: { type: 'version', version: 7, age: 0 } }, 0)
  exchange.handle({ type: 'tick' }, 200)
  const effects = exchange.handle({ type: 'received', peer: 'one', message: { type: 'part', version: 7, offset: 0, total: 4, text: 'text' } }, 210)
  expect(effects.some(({ type }) => type === 'adopt')).toEqual(false)
  expect(exchange.status.version).toEqual(0)
})

test('an entry of an earlier build is sent the whole document once per link', () => {
  const exchange = new ConfigurationExchange({ read })
  const document = documentOf(3)
  exchange.handle({ type: 'stored', configuration: { version: 3, text: '' }, document }, 0)
  const countSentDocuments = (): number => exchange.handle({ type: 'received', peer: 'old', message: { type: 'version', version: 2 } }, 10).filter(effect => effect.type === 'tell' && effect.message.type === 'configuration').length
  exchange.handle({ type: 'peerLinked', peer: 'old' }, 5)
  expect([countSentDocuments(), countSentDocuments(), countSentDocuments()]).toEqual([1, 0, 0])
  exchange.handle({ type: 'peerUnlinked', peer: 'old' }, 20)
  exchange.handle({ type: 'peerLinked', peer: 'old' }, 30)
  expect(countSentDocuments()).toEqual(1)
})

test('a whole document from an earlier build is adopted', () => {
  const mesh = new Mesh()
  const entry = mesh.add('entry')
  mesh.handle('entry', { type: 'peerLinked', peer: 'old' })
  mesh.handle('entry', { type: 'received', peer: 'old', message: { type: 'configuration', document: documentOf(4) } })
  expect(entry.version).toEqual(4)
})

// A caller that receives "queue does not exist" does not retry, so the entry must not report this while it may be outdated.
test('the configuration is not current while a newer version is known', () => {
  const mesh = newFleet(2)
  mesh.store('entry-0', 1)
  mesh.store('entry-1', 1)
  expect(entryOf(mesh, 'entry-1').exchange.isCurrent(BOUND, mesh.now)).toEqual(true)
  mesh.store('entry-0', 2, LARGE_SIZE)
  mesh.run(5)
  expect(entryOf(mesh, 'entry-1').exchange.isCurrent(BOUND, mesh.now)).toEqual(false)
})

test('the configuration is not current when the last confirmation is older than the bound', () => {
  const mesh = new Mesh()
  const entry = mesh.add('entry')
  mesh.store('entry', 1)
  expect(entry.exchange.isCurrent(BOUND, BOUND)).toEqual(true)
  expect(entry.exchange.isCurrent(BOUND, BOUND + 1)).toEqual(false)
})

// After the store has dropped its history, missed changes are unknown until the next full read.
test('after changes may have been missed the configuration is not current until the next confirmation', () => {
  const mesh = new Mesh()
  const entry = mesh.add('entry')
  mesh.store('entry', 1)
  mesh.handle('entry', { type: 'doubted' })
  expect(entry.exchange.isCurrent(BOUND, mesh.now)).toEqual(false)
  mesh.handle('entry', { type: 'confirmed', at: mesh.now })
  expect(entry.exchange.isCurrent(BOUND, mesh.now)).toEqual(true)
})

test('peers confirm the configuration of an entry without the store', () => {
  const mesh = newFleet(8)
  for (const name of mesh.entries.keys()) mesh.store(name, 1)
  const confirm = (): void => {
    for (const name of mesh.entries.keys()) if (name !== lastOf(mesh)) mesh.handle(name, { type: 'confirmed', at: mesh.now })
  }
  mesh.run(5000, confirm)
  expect(entryOf(mesh, lastOf(mesh)).exchange.isCurrent(BOUND, mesh.now)).toEqual(true)
})

// A partition can delay a response by seconds. Its content is only known to hold when the request was sent.
test('a delayed response confirms nothing later than its request', () => {
  const exchange = new ConfigurationExchange({ read })
  exchange.handle({ type: 'stored', configuration: { version: 1, text: '' }, document: documentOf(1) }, 0)
  exchange.handle({ type: 'peerLinked', peer: 'one' }, 100)
  exchange.handle({ type: 'received', peer: 'one', message: { type: 'version', version: 1, age: 20, echo: 100 } }, 6000)
  expect(exchange.confirmedAt).toEqual(80)
})

test('a version message without an echo confirms nothing', () => {
  const exchange = new ConfigurationExchange({ read })
  exchange.handle({ type: 'stored', configuration: { version: 1, text: '' }, document: documentOf(1) }, 0)
  exchange.handle({ type: 'peerLinked', peer: 'one' }, 100)
  exchange.handle({ type: 'received', peer: 'one', message: { type: 'version', version: 1, age: 0 } }, 6000)
  expect(exchange.confirmedAt).toEqual(undefined)
})

test('a message from an entry without a link is ignored', () => {
  const exchange = new ConfigurationExchange({ read })
  expect(exchange.handle({ type: 'received', peer: 'gone', message: { type: 'version', version: 9, age: 0 } }, 10)).toEqual([])
})
