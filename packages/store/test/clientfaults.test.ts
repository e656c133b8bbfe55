/** Tests of the errors that the client reports for failed calls, and of the endpoint it tries next. */
import type { KeyValueFaults } from '@amaranthmast/standins/keyvaluefaults'
import { test } from 'node:test'
import { LostAnswerMode, Outage } from '@amaranthmast/standins/keyvaluefaults'
import { waitFor } from '@amaranthmast/standins/wait'
import { expect } from 'earl'
import { KeyValueClient } from '../src/client.ts'
import { Pool } from '../src/connections.ts'
import { Endpoints } from '../src/endpoints.ts'
import { StoreErrorCode, StoreUnavailable } from '../src/errors.ts'
import { postJson, ExchangeOutcome } from '../src/exchange.ts'
import { encodeBase64, GatewayPath } from '../src/gateway.ts'
import { classifyExchange, classifyStatus } from '../src/classification.ts'
import { connect, DEAD_ENDPOINT, start, startStandIn, TIMEOUT_MILLISECONDS } from './service.ts'

// The response to a write can be lost after the write was applied. If the client reported this as
// "not written", an operator's apply would fail although the store holds the new file. The client
// must report for each failed write whether it may have taken effect, and must not retry such a write.
const FAILED_WRITES: Array<{
  name: string, faults: Partial<KeyValueFaults>, code: StoreErrorCode, mayHaveTakenEffect: boolean, applied: boolean
}> = [
  { name: 'connection refused', faults: { outage: Outage.Refuse }, code: StoreErrorCode.Unavailable, mayHaveTakenEffect: false, applied: false },
  { name: 'no leader', faults: { outage: Outage.NoLeader }, code: StoreErrorCode.Unavailable, mayHaveTakenEffect: false, applied: false },
  { name: 'over the write rate', faults: { maximumWritesPerSecond: 0.5 }, code: StoreErrorCode.Unavailable, mayHaveTakenEffect: false, applied: false },
  { name: 'no answer, no effect', faults: { outage: Outage.Hang }, code: StoreErrorCode.TimedOut, mayHaveTakenEffect: true, applied: false },
  { name: 'effect, connection cut', faults: { loseAnswers: 1 }, code: StoreErrorCode.TimedOut, mayHaveTakenEffect: true, applied: true },
  { name: 'effect, no answer', faults: { loseAnswers: 1, loseAnswersBy: LostAnswerMode.Hang }, code: StoreErrorCode.TimedOut, mayHaveTakenEffect: true, applied: true },
  { name: 'effect after the time limit', faults: { writeDelayMilliseconds: 2 * TIMEOUT_MILLISECONDS }, code: StoreErrorCode.TimedOut, mayHaveTakenEffect: true, applied: true }
]

for (const { name, faults, code, mayHaveTakenEffect, applied } of FAILED_WRITES) {
  test(`a failed write reports whether it may have taken effect: ${name}`, async (context) => {
    const { standIn, client } = await start(context)
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
  { name: 'slower than the time limit', faults: { readDelayMilliseconds: 2 * TIMEOUT_MILLISECONDS }, code: StoreErrorCode.TimedOut }
]

for (const { name, faults, code } of FAILED_READS) {
  test(`a failed read has no effect: ${name}`, async (context) => {
    const { standIn, client } = await start(context)
    await standIn.setFaults(faults)

    const errors = await Promise.all([client.read('view'), client.readIfChanged('view', 0)])

    expect(errors.map((error) => error._unsafeUnwrapErr().code)).toEqual([code, code])
    expect(errors.map((error) => error._unsafeUnwrapErr().mayHaveTakenEffect)).toEqual([false, false])
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
  test(`a write with the response ${status} ${body} fails with ${code}`, () => {
    const error = classifyStatus(status, body, true)

    expect(error.code).toEqual(code)
    expect(error.mayHaveTakenEffect).toEqual(mayHaveTakenEffect)
  })
}

// A write times out while it waits for a free connection and is reported as not sent. If it were
// still sent when a connection becomes free, it would take effect after the caller decided otherwise.
test('a write reported as not sent is never sent later', async (context) => {
  const { standIn, client } = await start(context)
  const pool = new Pool(standIn.endpoint, { connections: 1 })
  context.after(() => pool.destroy())
  await standIn.setFaults({ outage: Outage.Hang })

  const blockingCall = postJson(pool, GatewayPath.Range, JSON.stringify({ key: encodeBase64('a') }), 4 * TIMEOUT_MILLISECONDS)
  const write = await postJson(pool, GatewayPath.Put, JSON.stringify({ key: encodeBase64('view'), value: encodeBase64('late') }), TIMEOUT_MILLISECONDS)
  await standIn.clearFaults()
  await blockingCall
  await postJson(pool, GatewayPath.Range, JSON.stringify({ key: encodeBase64('a') }), TIMEOUT_MILLISECONDS)
  const later = (await client.read('view'))._unsafeUnwrap()

  expect(write.outcome).toEqual(ExchangeOutcome.NotSent)
  expect(classifyExchange(write, true)).toBeA(StoreUnavailable)
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

test('a read is retried at the next endpoint when one does not respond, a write is not', async (context) => {
  const unresponsive = await startStandIn(context)
  const standIn = await startStandIn(context)
  await unresponsive.setFaults({ outage: Outage.Hang })
  const reader = connect(context, unresponsive.endpoint, standIn.endpoint)
  const writer = connect(context, unresponsive.endpoint, standIn.endpoint)

  const read = await reader.read('view')
  const known = await connect(context, unresponsive.endpoint, standIn.endpoint).readIfChanged('view', 0)
  const swap = await writer.compareAndSwap('view', 0, 'a')

  expect(read.isOk()).toEqual(true)
  expect(known._unsafeUnwrap()).toEqual({ changed: false, revision: 1 })
  expect(swap._unsafeUnwrapErr().mayHaveTakenEffect).toEqual(true)
  expect(standIn.calls.writes).toEqual(0)
})

test('the next endpoint after the last one is the first one', async (context) => {
  const standIn = await startStandIn(context)
  const client = new KeyValueClient({
    endpoints: [standIn.endpoint, DEAD_ENDPOINT], timeoutMilliseconds: TIMEOUT_MILLISECONDS, random: () => 0.99, now: () => 0
  })
  context.after(() => client.close())

  const read = await client.read('view')

  expect(read.isOk()).toEqual(true)
  expect(client.calls.reads).toEqual(2)
})

test('after a write with an unknown outcome the next call goes to another endpoint', async (context) => {
  const unresponsive = await startStandIn(context)
  const standIn = await startStandIn(context)
  await unresponsive.setFaults({ outage: Outage.Hang })
  const client = connect(context, unresponsive.endpoint, standIn.endpoint)

  await client.compareAndSwap('view', 0, 'a')
  await client.read('view')

  expect(unresponsive.calls.reads).toEqual(0)
  expect(standIn.calls.reads).toEqual(1)
})

// The response to a lease revocation is lost, and the retry reaches no endpoint or finds no such lease.
// If the client reported only the error of the retry, the holder would conclude that it never held the lease.
for (const secondEndpoint of ['refuses the connection', 'rejects the call']) {
  test(`a retried call has an unknown outcome although its last attempt had no effect: the second endpoint ${secondEndpoint}`, async (context) => {
    const unresponsive = await startStandIn(context)
    const standIn = await startStandIn(context)
    await unresponsive.setFaults({ outage: Outage.Hang })
    const rejects = secondEndpoint === 'rejects the call'
    const client = connect(context, unresponsive.endpoint, rejects ? standIn.endpoint : DEAD_ENDPOINT)

    const error = (await client.revokeLease('5'))._unsafeUnwrapErr()

    expect(standIn.calls.leases).toEqual(rejects ? 1 : 0)
    expect(error.code).toEqual(StoreErrorCode.TimedOut)
    expect(error.mayHaveTakenEffect).toEqual(true)
  })
}

test('a failure at an endpoint that is no longer preferred changes nothing', () => {
  const endpoints = new Endpoints(['http://a', 'http://b', 'http://c'], TIMEOUT_MILLISECONDS, () => 0)

  const preferred = [0, 1, 0, 2].map((index) => {
    endpoints.avoid(index)
    return endpoints.preferred
  })

  expect(preferred).toEqual([1, 2, 2, 0])
})
