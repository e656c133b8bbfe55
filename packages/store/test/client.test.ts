/** Tests of the client's calls and their results against a working service. */
import type { KeyValueStandIn } from '@amaranthmast/standins/keyvalue'
import type { AddressInfo } from 'node:net'
import { createServer } from 'node:http'
import { test } from 'node:test'
import { Outage } from '@amaranthmast/standins/keyvaluefaults'
import { waitFor } from '@amaranthmast/standins/wait'
import { expect } from 'earl'
import type { KeyValueClient } from '../src/client.ts'
import type { ChangeResult, KeyValueEntry, WatchEnd, WatchEvent } from '../src/entries.ts'
import { WatchEndKind, WatchEventKind } from '../src/entries.ts'
import { StoreErrorCode } from '../src/errors.ts'
import { encodeBase64 } from '../src/gateway.ts'
import { connect, DEAD_ENDPOINT, start, startStandIn } from './service.ts'

test('a missing key is read as no entry', async (context) => {
  const { client } = await start(context)

  const read = await client.read('configuration')

  expect(read._unsafeUnwrap()).toEqual({ entry: undefined, revision: 1 })
  expect(client.lastAnswerAt).toEqual(7)
})

test('a swap against 0 creates the key once', async (context) => {
  const { client } = await start(context)

  const first = await client.compareAndSwap('view', 0, 'één')
  const second = await client.compareAndSwap('view', 0, 'two')

  expect(first._unsafeUnwrap()).toEqual({ applied: true, revision: 2 })
  expect(second._unsafeUnwrap()).toEqual({
    applied: false, revision: 2, entry: { key: 'view', value: 'één', modRevision: 2, version: 1 }
  })
})

test('exactly one of several concurrent swaps is applied', async (context) => {
  const standIn = await startStandIn(context)
  const clients = Array.from({ length: 8 }, () => connect(context, standIn.endpoint))

  const swaps = await Promise.all(clients.map((client, index) => client.compareAndSwap('view', 0, String(index))))

  expect(swaps.filter((swap) => swap._unsafeUnwrap().applied).length).toEqual(1)
})

test('a swap writes its additional keys in the same revision or not at all', async (context) => {
  const { client } = await start(context)

  await client.compareAndSwap('configuration', 0, 'a', [{ key: 'history/1', value: 'a' }])
  await client.compareAndSwap('configuration', 0, 'b', [{ key: 'history/2', value: 'b' }])
  const history = await client.readPrefix('history/', 10)

  expect(history._unsafeUnwrap()).toEqual({
    entries: [{ key: 'history/1', value: 'a', modRevision: 2, version: 1 }], more: false, revision: 2
  })
})

const PREFIXES = [
  { prefix: 'history/', limit: 2, descending: true, keys: ['history/3', 'history/2'], more: true },
  { prefix: 'history/', limit: 3, descending: false, keys: ['history/1', 'history/2', 'history/3'], more: false },
  { prefix: '', limit: 10, descending: false, keys: ['a', 'history/1', 'history/2', 'history/3', 'historz'], more: false }
]

for (const { prefix, limit, descending, keys, more } of PREFIXES) {
  test(`reading the prefix "${prefix}" with limit ${limit} returns ${keys.join(' ')}`, async (context) => {
    const { client } = await start(context)
    for (const key of ['a', 'history/1', 'history/2', 'history/3', 'historz']) {
      await client.put(key, key)
    }

    const found = (await client.readPrefix(prefix, limit, descending))._unsafeUnwrap()

    expect(found.entries.map((entry) => entry.key)).toEqual(keys)
    expect(found.more).toEqual(more)
  })
}

test('a key is deleted when its lease is revoked', async (context) => {
  const { client } = await start(context)
  const { lease, seconds } = (await client.grantLease(30))._unsafeUnwrap()
  await client.put('owner', 'me', lease)

  const renewed = await client.keepLeaseAlive(lease)
  const held = await client.read('owner')
  await client.revokeLease(lease)
  const gone = await client.read('owner')
  const renewedAfterRevocation = await client.keepLeaseAlive(lease)

  expect(seconds).toEqual(30)
  expect(renewed._unsafeUnwrap()).toEqual({ lease, seconds: 30 })
  expect(held._unsafeUnwrap().entry?.lease).toEqual(lease)
  expect(gone._unsafeUnwrap().entry).toEqual(undefined)
  expect(renewedAfterRevocation._unsafeUnwrap()).toEqual({ lease, seconds: 0 })
})

test('a put with a lease that does not exist is rejected', async (context) => {
  const { client } = await start(context)

  const put = await client.put('owner', 'me', '99')

  expect(put._unsafeUnwrapErr().code).toEqual(StoreErrorCode.Rejected)
})

test('a value above the size limit is rejected without a call', async (context) => {
  const { standIn, client } = await start(context)
  const largest = 'é'.repeat(524_288)

  const fits = await client.compareAndSwap('configuration', 0, largest)
  const tooLarge = await client.compareAndSwap('history/1', 0, 'a', [{ key: 'history/2', value: `${largest}a` }])

  expect(fits._unsafeUnwrap().applied).toEqual(true)
  expect(tooLarge._unsafeUnwrapErr().code).toEqual(StoreErrorCode.Rejected)
  expect(tooLarge._unsafeUnwrapErr().message).toEqual(
    'the key-value service cannot accept this call: the value of history/2 has 1048577 bytes, the limit is ' +
    '1048576; change the call before sending it again'
  )
  expect(standIn.calls.writes).toEqual(1)
})

// Each case has the revision that the client knows, the steps since then, and the expected result:
// either "unchanged" or the complete current state. A change that is not reported would stay unknown.
type Step = (standIn: KeyValueStandIn, client: KeyValueClient) => unknown
const UNCHANGED: ChangeResult = { changed: false, revision: 3 }
const NEW: KeyValueEntry = { key: 'view', value: 'new', modRevision: 4, version: 3 }
const CHANGES: Array<{ name: string, known: number, since: Step, told: ChangeResult, bytes: number }> = [
  { name: 'nothing happened', known: 3, since: () => {}, told: UNCHANGED, bytes: 0 },
  { name: 'another key was written', known: 3, since: (_, client) => client.put('other', 'x'), told: { changed: false, revision: 4 }, bytes: 0 },
  { name: 'compacted', known: 3, since: (standIn) => { standIn.compact() }, told: UNCHANGED, bytes: 0 },
  { name: 'changed', known: 3, since: (_, client) => client.put('view', 'new'), told: { changed: true, revision: 4, entry: NEW }, bytes: 3 },
  { name: 'changed, then compacted', known: 3, since: async (standIn, client) => { await client.put('view', 'new'); standIn.compact() }, told: { changed: true, revision: 4, entry: NEW }, bytes: 3 },
  { name: 'created', known: 0, since: () => {}, told: { changed: true, revision: 3, entry: { key: 'view', value: 'old', modRevision: 3, version: 2 } }, bytes: 3 },
  { name: 'deleted', known: 3, since: (standIn) => deleteKey(standIn), told: { changed: true, revision: 4, entry: undefined }, bytes: 0 },
  { name: 'deleted, then compacted', known: 3, since: async (standIn) => { await deleteKey(standIn); standIn.compact() }, told: { changed: true, revision: 4, entry: undefined }, bytes: 0 },
  { name: 'deleted, known to be missing', known: 0, since: (standIn) => deleteKey(standIn), told: { changed: false, revision: 4 }, bytes: 0 },
  { name: 'deleted, then created', known: 3, since: async (standIn, client) => { await deleteKey(standIn); await client.put('view', 'new') }, told: { changed: true, revision: 5, entry: { ...NEW, modRevision: 5, version: 1 } }, bytes: 3 },
  { name: 'a stale answer from before the known state', known: 3, since: (standIn) => standIn.setFaults({ staleRevisions: 1 }), told: { changed: true, revision: 2, entry: { key: 'view', value: 'a', modRevision: 2, version: 1 } }, bytes: 1 },
  { name: 'changed, and a stale answer', known: 3, since: async (standIn, client) => { await client.put('view', 'new'); await standIn.setFaults({ staleRevisions: 1 }) }, told: UNCHANGED, bytes: 0 }
]

for (const { name, known, since, told, bytes } of CHANGES) {
  test(`a conditional read counts as one read and transfers only a changed value: ${name}`, async (context) => {
    const { standIn, client } = await start(context)
    await client.put('view', 'a')
    await client.put('view', 'old')
    await since(standIn, client)
    const { writes } = standIn.calls

    const result = await client.readIfChanged('view', known)

    expect(result._unsafeUnwrap()).toEqual(told)
    expect(standIn.calls.valueBytesRead).toEqual(bytes)
    expect([standIn.calls.reads, client.calls.reads, standIn.calls.writes]).toEqual([1, 1, writes])
  })
}

async function deleteKey (standIn: KeyValueStandIn): Promise<void> {
  await fetch(`${standIn.endpoint}/v3/kv/deleterange`, { method: 'POST', body: JSON.stringify({ key: encodeBase64('view') }) })
}

// A proxy between an instance and the service responds to a transaction with {} and status 200. Decoded as
// a transaction that found no key, this would remove the operators' configuration on that instance.
test('a response without a range is a failed read, not a deletion', async (context) => {
  const server = createServer((_request, response) => { response.end('{}') })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  context.after(() => { server.close() })
  const client = connect(context, `http://127.0.0.1:${(server.address() as AddressInfo).port}`)

  const error = (await client.readIfChanged('view', 3))._unsafeUnwrapErr()

  expect(error.code).toEqual(StoreErrorCode.TimedOut)
  expect(error.mayHaveTakenEffect).toEqual(false)
})

test('after a watch that cannot be opened the next one uses another endpoint', async (context) => {
  const standIn = await startStandIn(context)
  const client = connect(context, DEAD_ENDPOINT, standIn.endpoint)
  await new Promise<WatchEnd>((resolve) => { client.watch('view', 1, () => {}, resolve) })

  client.watch('view', 1, () => {}, () => {})
  await waitFor('the watch', 5000, 5, () => standIn.calls.watchesOpen === 1)

  expect(client.calls.watchesOpened).toEqual(2)
})

test('a watch reports past and new changes in order', async (context) => {
  const { client } = await start(context)
  const events: WatchEvent[] = []
  const { lease } = (await client.grantLease(30))._unsafeUnwrap()
  await client.put('view', 'a')

  client.watch('view', 2, (event) => events.push(event), () => {})
  await client.put('other', 'x')
  await client.put('view', 'b', lease)
  await client.revokeLease(lease)
  await waitFor('three events', 5000, 5, () => events.length === 3)

  expect(events).toEqual([
    { kind: WatchEventKind.Put, entry: { key: 'view', value: 'a', modRevision: 2, version: 1 } },
    { kind: WatchEventKind.Put, entry: { key: 'view', value: 'b', modRevision: 4, version: 2, lease } },
    { kind: WatchEventKind.Delete, key: 'view', modRevision: 5 }
  ])
})

const WATCH_ENDS: Array<{ name: string, end: (standIn: KeyValueStandIn, cancel: () => void, client: KeyValueClient) => unknown }> = [
  { name: 'cut', end: (standIn) => { standIn.cutWatches() } },
  { name: 'outage', end: (standIn) => standIn.setFaults({ outage: Outage.Refuse }) },
  { name: 'cancelled', end: (standIn, cancel) => { cancel() } },
  { name: 'client closed', end: (standIn, cancel, client) => client.close() }
]

for (const { name, end } of WATCH_ENDS) {
  test(`a watch ends exactly once and counts as open until then: ${name}`, async (context) => {
    const { standIn, client } = await start(context)
    const ends: WatchEnd[] = []
    const cancel = client.watch('view', 1, () => {}, (watchEnd) => ends.push(watchEnd))
    await waitFor('the watch', 5000, 5, () => standIn.calls.watchesOpen === 1)
    const openBefore = client.calls.watchesOpen

    await end(standIn, cancel, client)
    await waitFor('the end', 5000, 5, () => ends.length > 0 && standIn.calls.watchesOpen === 0)
    cancel()

    expect(openBefore).toEqual(1)
    expect(ends.map((watchEnd) => watchEnd.kind)).toEqual([WatchEndKind.Cut])
    expect(client.calls.watchesOpen).toEqual(0)
  })
}

test('a watch that is not confirmed within the timeout ends', async (context) => {
  const { standIn, client } = await start(context)
  await standIn.setFaults({ outage: Outage.Hang })

  const end = await new Promise<WatchEnd>((resolve) => { client.watch('view', 1, () => {}, resolve) })

  expect(end.kind).toEqual(WatchEndKind.Cut)
})

test('a watch from a compacted revision ends as compacted', async (context) => {
  const { standIn, client } = await start(context)
  await client.put('view', 'a')
  await client.put('view', 'b')
  standIn.compact()

  const end = await new Promise<WatchEnd>((resolve) => { client.watch('view', 2, () => {}, resolve) })

  expect(end).toEqual({ kind: WatchEndKind.Compacted, compactRevision: 3 })
})

test('calls after close fail as having no effect', async (context) => {
  const { standIn, client } = await start(context)
  await client.read('view')
  await client.close()

  const swap = await client.compareAndSwap('view', 0, 'a')

  expect(swap._unsafeUnwrapErr().code).toEqual(StoreErrorCode.Unavailable)
  expect(standIn.calls.writes).toEqual(0)
})
