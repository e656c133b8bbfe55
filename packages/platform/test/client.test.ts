/** Contract of the client with the service, and what it may say when a call fails. */
import type { KeyValueFaults } from '@amaranthmast/standins/keyvaluefaults'
import type { TestContext } from 'node:test'
import { test } from 'node:test'
import { KeyValueStandIn } from '@amaranthmast/standins/keyvalue'
import { LostAnswer, Outage } from '@amaranthmast/standins/keyvaluefaults'
import { waitFor } from '@amaranthmast/standins/wait'
import { expect } from 'earl'
import { KeyValueClient } from '../src/client.ts'
import { Endpoints } from '../src/endpoints.ts'
import { WatchEndKind, WatchEventKind } from '../src/entries.ts'
import type { WatchEnd, WatchEvent } from '../src/entries.ts'
import { StoreErrorCode } from '../src/errors.ts'
import { judgeStatus } from '../src/verdict.ts'

const TIMEOUT = 300
const DEAD_ENDPOINT = 'http://127.0.0.1:1'

async function startStandIn (context: TestContext): Promise<KeyValueStandIn> {
  const standIn = new KeyValueStandIn()
  await standIn.start()
  context.after(() => standIn.stop())
  return standIn
}

function connect (context: TestContext, ...endpoints: string[]): KeyValueClient {
  const client = new KeyValueClient({ endpoints, timeoutMilliseconds: TIMEOUT, random: () => 0, now: () => 7 })
  context.after(() => client.close())
  return client
}

test('a missing key is read as no entry', async (context) => {
  const standIn = await startStandIn(context)
  const client = connect(context, standIn.endpoint)

  const read = await client.read('configuration')

  expect(read._unsafeUnwrap()).toEqual({ entry: undefined, revision: 1 })
  expect(client.lastAnswerAt).toEqual(7)
})

test('a swap against 0 creates the key once', async (context) => {
  const standIn = await startStandIn(context)
  const client = connect(context, standIn.endpoint)

  const first = await client.compareAndSwap('view', 0, 'één')
  const second = await client.compareAndSwap('view', 0, 'two')

  expect(first._unsafeUnwrap()).toEqual({ applied: true, revision: 2 })
  expect(second._unsafeUnwrap()).toEqual({
    applied: false, revision: 2, entry: { key: 'view', value: 'één', modRevision: 2, version: 1 }
  })
})

test('of racing swaps one is applied', async (context) => {
  const standIn = await startStandIn(context)
  const clients = Array.from({ length: 8 }, () => connect(context, standIn.endpoint))

  const swaps = await Promise.all(clients.map((client, index) => client.compareAndSwap('view', 0, String(index))))

  expect(swaps.filter((swap) => swap._unsafeUnwrap().applied).length).toEqual(1)
})

test('a swap writes its other keys in the same revision or not at all', async (context) => {
  const standIn = await startStandIn(context)
  const client = connect(context, standIn.endpoint)

  await client.compareAndSwap('configuration', 0, 'a', [{ key: 'history/1', value: 'a' }])
  await client.compareAndSwap('configuration', 0, 'b', [{ key: 'history/2', value: 'b' }])
  const history = await client.readPrefix('history/', 10)

  expect(history._unsafeUnwrap()).toEqual({
    entries: [{ key: 'history/1', value: 'a', modRevision: 2, version: 1 }], more: false, revision: 2
  })
})

test('a prefix is read up to its limit, last key first when asked', async (context) => {
  const standIn = await startStandIn(context)
  const client = connect(context, standIn.endpoint)
  for (const key of ['history/1', 'history/2', 'history/3', 'historz']) {
    await client.put(key, key)
  }

  const prefix = (await client.readPrefix('history/', 2, true))._unsafeUnwrap()

  expect(prefix.entries.map((entry) => entry.key)).toEqual(['history/3', 'history/2'])
  expect(prefix.more).toEqual(true)
})

test('the empty prefix reads every key', async (context) => {
  const standIn = await startStandIn(context)
  const client = connect(context, standIn.endpoint)
  await client.put('a', '1')
  await client.put('z', '2')

  const prefix = (await client.readPrefix('', 10))._unsafeUnwrap()

  expect(prefix.entries.map((entry) => entry.key)).toEqual(['a', 'z'])
})

test('a key goes with its lease', async (context) => {
  const standIn = await startStandIn(context)
  const client = connect(context, standIn.endpoint)
  const { lease, seconds } = (await client.grantLease(30))._unsafeUnwrap()
  await client.put('owner', 'me', lease)

  const renewed = await client.keepLeaseAlive(lease)
  const held = await client.read('owner')
  await client.revokeLease(lease)
  const gone = await client.read('owner')
  const late = await client.keepLeaseAlive(lease)

  expect(seconds).toEqual(30)
  expect(renewed._unsafeUnwrap()).toEqual({ lease, seconds: 30 })
  expect(held._unsafeUnwrap().entry?.lease).toEqual(lease)
  expect(gone._unsafeUnwrap().entry).toEqual(undefined)
  expect(late._unsafeUnwrap()).toEqual({ lease, seconds: 0 })
})

test('a put under a lease that is gone is rejected', async (context) => {
  const standIn = await startStandIn(context)
  const client = connect(context, standIn.endpoint)

  const put = await client.put('owner', 'me', '99')

  expect(put._unsafeUnwrapErr().code).toEqual(StoreErrorCode.Rejected)
})

test('a value over the limit is refused without a call', async (context) => {
  const standIn = await startStandIn(context)
  const client = connect(context, standIn.endpoint)
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

// An operator applies a file and is told that it failed, or that nothing was written, while the
// store holds it: the answer to the write was lost after its effect. The client must say of each
// failed write whether it may have taken effect, and never send such a write again.
const FAILED_WRITES: Array<{
  name: string, faults: Partial<KeyValueFaults>, code: StoreErrorCode, mayHaveTakenEffect: boolean, applied: boolean
}> = [
  { name: 'connection refused', faults: { outage: Outage.Refuse }, code: StoreErrorCode.Unavailable, mayHaveTakenEffect: false, applied: false },
  { name: 'no leader', faults: { outage: Outage.NoLeader }, code: StoreErrorCode.Unavailable, mayHaveTakenEffect: false, applied: false },
  { name: 'over the write rate', faults: { maximumWritesPerSecond: 0.5 }, code: StoreErrorCode.Unavailable, mayHaveTakenEffect: false, applied: false },
  { name: 'no answer, no effect', faults: { outage: Outage.Hang }, code: StoreErrorCode.TimedOut, mayHaveTakenEffect: true, applied: false },
  { name: 'effect, connection cut', faults: { loseAnswers: 1 }, code: StoreErrorCode.TimedOut, mayHaveTakenEffect: true, applied: true },
  { name: 'effect, no answer', faults: { loseAnswers: 1, loseAnswersBy: LostAnswer.Hang }, code: StoreErrorCode.TimedOut, mayHaveTakenEffect: true, applied: true },
  { name: 'effect after the time limit', faults: { writeDelayMilliseconds: 2 * TIMEOUT }, code: StoreErrorCode.TimedOut, mayHaveTakenEffect: true, applied: true }
]

for (const { name, faults, code, mayHaveTakenEffect, applied } of FAILED_WRITES) {
  test(`a failed write says what is known of its effect: ${name}`, async (context) => {
    const standIn = await startStandIn(context)
    const client = connect(context, standIn.endpoint)
    await client.read('view')
    await standIn.setFaults(faults)

    const error = (await client.compareAndSwap('view', 0, 'new'))._unsafeUnwrapErr()
    await standIn.clearFaults()

    expect(error.code).toEqual(code)
    expect(error.mayHaveTakenEffect).toEqual(mayHaveTakenEffect)
    expect(client.calls.writes).toEqual(1)
    if (applied) {
      await waitFor('the effect', 5000, 10, () => standIn.revision === 2)
    }
    expect((await client.read('view'))._unsafeUnwrap().entry?.value).toEqual(applied ? 'new' : undefined)
  })
}

const FAILED_READS: Array<{ name: string, faults: Partial<KeyValueFaults>, code: StoreErrorCode }> = [
  { name: 'connection refused', faults: { outage: Outage.Refuse }, code: StoreErrorCode.Unavailable },
  { name: 'no leader', faults: { outage: Outage.NoLeader }, code: StoreErrorCode.Unavailable },
  { name: 'no answer', faults: { outage: Outage.Hang }, code: StoreErrorCode.TimedOut },
  { name: 'slower than the time limit', faults: { readDelayMilliseconds: 2 * TIMEOUT }, code: StoreErrorCode.TimedOut }
]

for (const { name, faults, code } of FAILED_READS) {
  test(`a failed read has no effect: ${name}`, async (context) => {
    const standIn = await startStandIn(context)
    const client = connect(context, standIn.endpoint)
    await standIn.setFaults(faults)

    const error = (await client.read('view'))._unsafeUnwrapErr()

    expect(error.code).toEqual(code)
    expect(error.mayHaveTakenEffect).toEqual(false)
  })
}

const STATUSES: Array<{ status: number, body: string, code: StoreErrorCode, mayHaveTakenEffect: boolean }> = [
  { status: 503, body: '{"code":14,"message":"etcdserver: request timed out"}', code: StoreErrorCode.TimedOut, mayHaveTakenEffect: true },
  { status: 503, body: '{"code":14,"message":"etcdserver: leader changed"}', code: StoreErrorCode.TimedOut, mayHaveTakenEffect: true },
  { status: 503, body: '{"code":14,"message":"etcdserver: no leader"}', code: StoreErrorCode.Unavailable, mayHaveTakenEffect: false },
  { status: 429, body: '{"code":8,"message":"etcdserver: too many requests"}', code: StoreErrorCode.Unavailable, mayHaveTakenEffect: false },
  { status: 429, body: '{"code":8,"message":"etcdserver: mvcc: database space exceeded"}', code: StoreErrorCode.Unavailable, mayHaveTakenEffect: false },
  { status: 502, body: '<html>Bad Gateway</html>', code: StoreErrorCode.TimedOut, mayHaveTakenEffect: true },
  { status: 504, body: '', code: StoreErrorCode.TimedOut, mayHaveTakenEffect: true },
  { status: 408, body: '', code: StoreErrorCode.TimedOut, mayHaveTakenEffect: true },
  { status: 400, body: '{"code":3,"message":"etcdserver: request is too large"}', code: StoreErrorCode.Rejected, mayHaveTakenEffect: false },
  { status: 401, body: '{"code":16,"message":"etcdserver: invalid auth token"}', code: StoreErrorCode.Rejected, mayHaveTakenEffect: false }
]

for (const { status, body, code, mayHaveTakenEffect } of STATUSES) {
  test(`a write answered ${status} ${body} is ${code}`, () => {
    const error = judgeStatus(status, body, true)

    expect(error.code).toEqual(code)
    expect(error.mayHaveTakenEffect).toEqual(mayHaveTakenEffect)
  })
}

// An entry is told that its write did nothing, decides otherwise, and finds the write in the store a
// second later. The write had waited for a free connection beyond its time limit, was reported as
// not sent, and went out when a connection came free.
test('a write reported as not sent is never sent later', async (context) => {
  const standIn = await startStandIn(context)
  const client = connect(context, standIn.endpoint)
  await standIn.setFaults({ outage: Outage.Hang })

  const reads = [client.read('a'), client.read('b')]
  const error = (await client.compareAndSwap('view', 0, 'late'))._unsafeUnwrapErr()
  await standIn.clearFaults()
  await Promise.all(reads)
  const later = (await client.read('view'))._unsafeUnwrap()

  expect(error.code).toEqual(StoreErrorCode.Unavailable)
  expect(later).toEqual({ entry: undefined, revision: 1 })
})

test('calls go to the next endpoint when one refuses connections', async (context) => {
  const standIn = await startStandIn(context)
  const client = connect(context, DEAD_ENDPOINT, standIn.endpoint)

  const swap = await client.compareAndSwap('view', 0, 'a')
  const read = await client.read('view')

  expect(swap._unsafeUnwrap().applied).toEqual(true)
  expect(read._unsafeUnwrap().entry?.value).toEqual('a')
  expect(client.calls).toEqual({ reads: 1, writes: 2, leases: 0, watchesOpened: 0, watchesOpen: 0 })
})

test('a read goes to the next endpoint when one is silent, a write does not', async (context) => {
  const silent = await startStandIn(context)
  const standIn = await startStandIn(context)
  await silent.setFaults({ outage: Outage.Hang })
  const reader = connect(context, silent.endpoint, standIn.endpoint)
  const writer = connect(context, silent.endpoint, standIn.endpoint)

  const read = await reader.read('view')
  const swap = await writer.compareAndSwap('view', 0, 'a')

  expect(read.isOk()).toEqual(true)
  expect(swap._unsafeUnwrapErr().mayHaveTakenEffect).toEqual(true)
  expect(standIn.calls.writes).toEqual(0)
})

test('the endpoint after the last is the first', async (context) => {
  const standIn = await startStandIn(context)
  const client = new KeyValueClient({
    endpoints: [standIn.endpoint, DEAD_ENDPOINT], timeoutMilliseconds: TIMEOUT, random: () => 0.99, now: () => 0
  })
  context.after(() => client.close())

  const read = await client.read('view')

  expect(read.isOk()).toEqual(true)
  expect(client.calls.reads).toEqual(2)
})

test('after a write in doubt another endpoint is asked first', async (context) => {
  const silent = await startStandIn(context)
  const standIn = await startStandIn(context)
  await silent.setFaults({ outage: Outage.Hang })
  const client = connect(context, silent.endpoint, standIn.endpoint)

  await client.compareAndSwap('view', 0, 'a')
  await client.read('view')

  expect(silent.calls.reads).toEqual(0)
  expect(standIn.calls.reads).toEqual(1)
})

test('a call stays in doubt when only its last attempt did nothing', async (context) => {
  const silent = await startStandIn(context)
  await silent.setFaults({ outage: Outage.Hang })
  const client = connect(context, silent.endpoint, DEAD_ENDPOINT)

  const error = (await client.revokeLease('5'))._unsafeUnwrapErr()

  expect(error.code).toEqual(StoreErrorCode.TimedOut)
  expect(error.mayHaveTakenEffect).toEqual(true)
})

// A lease's holder revokes it; the answer is lost, and the repeated call finds no such lease. Told
// only of the rejection, the holder would think that it never held the lease.
test('a rejection of a repeated call does not hide that the first may have taken effect', async (context) => {
  const silent = await startStandIn(context)
  const standIn = await startStandIn(context)
  await silent.setFaults({ outage: Outage.Hang })
  const client = connect(context, silent.endpoint, standIn.endpoint)

  const error = (await client.revokeLease('5'))._unsafeUnwrapErr()

  expect(standIn.calls.leases).toEqual(1)
  expect(error.mayHaveTakenEffect).toEqual(true)
})

test('a failure at an endpoint that is no longer the first changes nothing', () => {
  const endpoints = new Endpoints(['http://a', 'http://b', 'http://c'], TIMEOUT, () => 0)

  const preferred = [0, 1, 0, 2].map((index) => {
    endpoints.avoid(index)
    return endpoints.preferred
  })

  expect(preferred).toEqual([1, 2, 2, 0])
})

test('a watch that cannot be opened sends the next one to another endpoint', async (context) => {
  const standIn = await startStandIn(context)
  const client = connect(context, DEAD_ENDPOINT, standIn.endpoint)
  await new Promise<WatchEnd>((resolve) => { client.watch('view', 1, () => {}, resolve) })

  client.watch('view', 1, () => {}, () => {})
  await waitFor('the watch', 5000, 5, () => standIn.calls.watchesOpen === 1)

  expect(client.calls.watchesOpened).toEqual(2)
})

test('a watch reports kept and new changes in order', async (context) => {
  const standIn = await startStandIn(context)
  const client = connect(context, standIn.endpoint)
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
  test(`a watch ends once and is counted open until then: ${name}`, async (context) => {
    const standIn = await startStandIn(context)
    const client = connect(context, standIn.endpoint)
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

test('a watch that is not confirmed in time ends', async (context) => {
  const standIn = await startStandIn(context)
  const client = connect(context, standIn.endpoint)
  await standIn.setFaults({ outage: Outage.Hang })

  const end = await new Promise<WatchEnd>((resolve) => { client.watch('view', 1, () => {}, resolve) })

  expect(end.kind).toEqual(WatchEndKind.Cut)
})

test('a watch from a compacted revision says so', async (context) => {
  const standIn = await startStandIn(context)
  const client = connect(context, standIn.endpoint)
  await client.put('view', 'a')
  await client.put('view', 'b')
  standIn.compact()

  const end = await new Promise<WatchEnd>((resolve) => { client.watch('view', 2, () => {}, resolve) })

  expect(end).toEqual({ kind: WatchEndKind.Compacted, compactRevision: 3 })
})

test('calls after close fail and say that they did nothing', async (context) => {
  const standIn = await startStandIn(context)
  const client = connect(context, standIn.endpoint)
  await client.read('view')
  await client.close()

  const swap = await client.compareAndSwap('view', 0, 'a')

  expect(swap._unsafeUnwrapErr().code).toEqual(StoreErrorCode.Unavailable)
  expect(standIn.calls.writes).toEqual(0)
})
