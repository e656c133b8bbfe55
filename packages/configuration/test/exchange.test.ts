import type { ConfigurationMessage } from '../src/messages.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { ConfigurationExchange } from '../src/exchange.ts'
import { pack } from '../src/packing.ts'
import { documentOf, Mesh, read } from './mesh.ts'

/** Of a configuration of thousands of queues. */
const LARGE = 900_000

/** Characters a millisecond of a small link. */
const SMALL_LINK = 2000

const BOUND = 2000

/** Entries of which the last is behind a small link and is served by no store; the store confirms the others each second. */
function newFleet (size: number): Mesh {
  const mesh = new Mesh()
  for (let index = 0; index < size; index += 1) mesh.add(`entry-${index}`, index === size - 1 ? SMALL_LINK : Infinity)
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

// 35 entries told each other their version every 400 ms: 3,000 messages a second in a fleet where nothing happened.
test('an entry tells some of the others its version at a time, and each has its turn', () => {
  const exchange = new ConfigurationExchange({ read })
  for (let index = 0; index < 10; index += 1) exchange.handle({ type: 'peerLinked', peer: `entry-${index}` }, 0)
  const told = [400, 800, 1200].map(now => exchange.handle({ type: 'tick' }, now).flatMap(effect => effect.type === 'tell' ? effect.peer : []))
  expect(told.map(peers => peers.length)).toEqual([4, 4, 4])
  expect(new Set(told.flat()).size).toEqual(10)
})

// The store turns the entry away: nobody but the others can tell it.
test('an entry without the store has a large configuration from another one within half a second', () => {
  const mesh = newFleet(8)
  mesh.run(1000)
  storeAtOthers(mesh, 1, LARGE)
  mesh.run(500)
  expect(entryOf(mesh, lastOf(mesh)).version).toEqual(1)
})

// Every entry that was ahead sent the whole document, each time it heard that the other was behind.
test('an entry that is behind is sent a document once, by one of the others', () => {
  const mesh = newFleet(8)
  mesh.run(1000)
  storeAtOthers(mesh, 1, LARGE)
  const behind = entryOf(mesh, lastOf(mesh))
  const before = behind.received
  mesh.run(3000)
  expect(behind.received - before).toBeLessThan(1.05 * pack(documentOf(1, LARGE)).length)
  expect([...mesh.entries.values()].reduce((sum, { exchange }) => sum + exchange.status.documentsSent, 0)).toEqual(1)
})

test('an entry whose own watch brings the document asks nobody', () => {
  const mesh = newFleet(8)
  mesh.run(1000)
  for (const name of mesh.entries.keys()) mesh.store(name, 1, LARGE)
  mesh.run(20)
  for (const name of mesh.entries.keys()) mesh.store(name, 2, LARGE)
  mesh.run(1000)
  expect([...mesh.entries.values()].every(({ version }) => version === 2)).toEqual(true)
  expect([...mesh.entries.values()].some(({ exchange }) => exchange.status.documentsSent > 0)).toEqual(false)
})

test('a transfer from an entry that freezes goes on from another one', () => {
  const mesh = newFleet(3)
  mesh.run(1000)
  storeAtOthers(mesh, 1, LARGE)
  mesh.run(30)
  const sender = [...mesh.entries.values()].find(({ exchange }) => exchange.status.documentsSent > 0)
  expect(sender === undefined).toEqual(false)
  if (sender !== undefined) sender.frozen = true
  mesh.run(1500)
  expect(entryOf(mesh, lastOf(mesh)).version).toEqual(1)
})

test('a transfer from an entry whose link ends goes on from another one at once', () => {
  const mesh = newFleet(3)
  mesh.run(1000)
  storeAtOthers(mesh, 1, LARGE)
  mesh.run(30)
  const [name = ''] = [...mesh.entries].find(([, { exchange }]) => exchange.status.documentsSent > 0) ?? []
  mesh.unlink(name, lastOf(mesh))
  mesh.run(300)
  expect(entryOf(mesh, lastOf(mesh)).version).toEqual(1)
})

test('a transfer of a version that is replaced meanwhile ends with the newer one', () => {
  const mesh = newFleet(3)
  mesh.run(1000)
  storeAtOthers(mesh, 1, LARGE)
  mesh.run(30)
  storeAtOthers(mesh, 2, LARGE)
  mesh.run(500)
  expect(entryOf(mesh, lastOf(mesh)).version).toEqual(2)
})

// Load: configurations in quick succession at a fleet of which one entry has only the others.
test('configurations in quick succession cost a small link less than it carries', () => {
  const mesh = newFleet(35)
  mesh.run(1000)
  let version = 0
  const behind = entryOf(mesh, lastOf(mesh))
  const before = behind.received
  mesh.run(4000, () => {
    if (mesh.now % 200 !== 0) return
    version += 1
    storeAtOthers(mesh, version, LARGE)
  })
  expect(behind.received - before).toBeLessThan(0.5 * SMALL_LINK * 4000)
  mesh.run(500)
  expect(behind.version).toEqual(version)
})

// A document that one build understands and another does not must not be sent again and again.
test('a document that is not understood is asked of each entry once', () => {
  const asked: ConfigurationMessage[] = []
  const exchange = new ConfigurationExchange<{ version: number }>({ read: () => undefined })
  const packed = pack('{"version":7}')
  for (const peer of ['one', 'two']) {
    exchange.handle({ type: 'peerLinked', peer }, 0)
    exchange.handle({ type: 'received', peer, message: { type: 'version', version: 7, age: 0 } }, 0)
  }
  for (let now = 50; now < 20_000; now += 50) {
    for (const effect of exchange.handle({ type: 'tick' }, now)) {
      if (effect.type !== 'tell' || effect.message.type !== 'fetch') continue
      asked.push(effect.message)
      exchange.handle({ type: 'received', peer: effect.peer, message: { type: 'part', version: 7, offset: 0, total: packed.length, text: packed } }, now)
    }
  }
  expect(asked.length).toBeLessThanOrEqual(2)
})

test('what is no packed document is of no use and harms nothing', () => {
  const exchange = new ConfigurationExchange({ read })
  exchange.handle({ type: 'peerLinked', peer: 'one' }, 0)
  exchange.handle({ type: 'received', peer: 'one', message: { type: 'version', version: 7, age: 0 } }, 0)
  exchange.handle({ type: 'tick' }, 200)
  const effects = exchange.handle({ type: 'received', peer: 'one', message: { type: 'part', version: 7, offset: 0, total: 4, text: 'text' } }, 210)
  expect(effects.some(({ type }) => type === 'adopt')).toEqual(false)
  expect(exchange.status.version).toEqual(0)
})

test('an entry of an earlier build is sent the whole document once on each link', () => {
  const exchange = new ConfigurationExchange({ read })
  const document = documentOf(3)
  exchange.handle({ type: 'stored', configuration: { version: 3, text: '' }, document }, 0)
  const handed = (): number => exchange.handle({ type: 'received', peer: 'old', message: { type: 'version', version: 2 } }, 10).filter(effect => effect.type === 'tell' && effect.message.type === 'configuration').length
  exchange.handle({ type: 'peerLinked', peer: 'old' }, 5)
  expect([handed(), handed(), handed()]).toEqual([1, 0, 0])
  exchange.handle({ type: 'peerUnlinked', peer: 'old' }, 20)
  exchange.handle({ type: 'peerLinked', peer: 'old' }, 30)
  expect(handed()).toEqual(1)
})

test('a whole document of an earlier build is taken in', () => {
  const mesh = new Mesh()
  const entry = mesh.add('entry')
  mesh.handle('entry', { type: 'peerLinked', peer: 'old' })
  mesh.handle('entry', { type: 'received', peer: 'old', message: { type: 'configuration', document: documentOf(4) } })
  expect(entry.version).toEqual(4)
})

// A caller that is told that its queue does not exist does not come back.
test('nothing is denied while a newer configuration is known of', () => {
  const mesh = newFleet(2)
  mesh.store('entry-0', 1)
  mesh.store('entry-1', 1)
  expect(entryOf(mesh, 'entry-1').exchange.isCurrent(BOUND, mesh.now)).toEqual(true)
  mesh.store('entry-0', 2, LARGE)
  mesh.run(5)
  expect(entryOf(mesh, 'entry-1').exchange.isCurrent(BOUND, mesh.now)).toEqual(false)
})

test('nothing is denied when the last confirmation is older than the bound', () => {
  const mesh = new Mesh()
  const entry = mesh.add('entry')
  mesh.store('entry', 1)
  expect(entry.exchange.isCurrent(BOUND, BOUND)).toEqual(true)
  expect(entry.exchange.isCurrent(BOUND, BOUND + 1)).toEqual(false)
})

// The history of the store was dropped: what happened in it is not known before the next list.
test('nothing is denied after changes may have been missed, until the next confirmation', () => {
  const mesh = new Mesh()
  const entry = mesh.add('entry')
  mesh.store('entry', 1)
  mesh.handle('entry', { type: 'doubted' })
  expect(entry.exchange.isCurrent(BOUND, mesh.now)).toEqual(false)
  mesh.handle('entry', { type: 'confirmed', at: mesh.now })
  expect(entry.exchange.isCurrent(BOUND, mesh.now)).toEqual(true)
})

test('the others confirm a configuration to an entry without the store', () => {
  const mesh = newFleet(8)
  for (const name of mesh.entries.keys()) mesh.store(name, 1)
  const confirm = (): void => {
    for (const name of mesh.entries.keys()) if (name !== lastOf(mesh)) mesh.handle(name, { type: 'confirmed', at: mesh.now })
  }
  mesh.run(5000, confirm)
  expect(entryOf(mesh, lastOf(mesh)).exchange.isCurrent(BOUND, mesh.now)).toEqual(true)
})

// A partition holds the answer up for seconds: what it says was true when it was sent.
test('an answer that was held up confirms nothing later than its question', () => {
  const exchange = new ConfigurationExchange({ read })
  exchange.handle({ type: 'stored', configuration: { version: 1, text: '' }, document: documentOf(1) }, 0)
  exchange.handle({ type: 'peerLinked', peer: 'one' }, 100)
  exchange.handle({ type: 'received', peer: 'one', message: { type: 'version', version: 1, age: 20, echo: 100 } }, 6000)
  expect(exchange.confirmedAt).toEqual(80)
})

test('a statement that answers no question confirms nothing', () => {
  const exchange = new ConfigurationExchange({ read })
  exchange.handle({ type: 'stored', configuration: { version: 1, text: '' }, document: documentOf(1) }, 0)
  exchange.handle({ type: 'peerLinked', peer: 'one' }, 100)
  exchange.handle({ type: 'received', peer: 'one', message: { type: 'version', version: 1, age: 0 } }, 6000)
  expect(exchange.confirmedAt).toEqual(undefined)
})

test('a message of an entry without a link is ignored', () => {
  const exchange = new ConfigurationExchange({ read })
  expect(exchange.handle({ type: 'received', peer: 'gone', message: { type: 'version', version: 9, age: 0 } }, 10)).toEqual([])
})
