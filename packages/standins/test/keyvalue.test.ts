/** The published interface of the key-value stand-in, as any client may use it. */
import type { TestContext } from 'node:test'
import { test } from 'node:test'
import { expect } from 'earl'
import { KeyValueStandIn } from '../src/keyvalue.ts'
import { Outage } from '../src/keyvaluefaults.ts'
import { waitFor } from '../src/wait.ts'

async function startStandIn (context: TestContext): Promise<KeyValueStandIn> {
  const standIn = new KeyValueStandIn({ keptRevisions: 3 })
  await standIn.start()
  context.after(() => standIn.stop())
  return standIn
}

async function post (origin: string, path: string, body: unknown): Promise<{ status: number, body: any }> {
  const response = await fetch(`${origin}${path}`, { method: 'POST', body: JSON.stringify(body) })
  return { status: response.status, body: await response.json() }
}

function base64 (text: string): string {
  return Buffer.from(text).toString('base64')
}

const HEADER = { cluster_id: '1', member_id: '1', revision: '2', raft_term: '1' }
const STORED = { key: base64('view'), create_revision: '2', mod_revision: '2', version: '1', value: base64('a') }

const COMPARISONS: Array<{ compare: object, succeeds: boolean }> = [
  { compare: { target: 'MOD', result: 'EQUAL', mod_revision: '3' }, succeeds: true },
  { compare: { target: 'MOD', result: 'EQUAL', mod_revision: '2' }, succeeds: false },
  { compare: { target: 'CREATE', result: 'EQUAL', create_revision: '2' }, succeeds: true },
  { compare: { target: 'CREATE', result: 'GREATER', create_revision: '2' }, succeeds: false },
  { compare: { target: 'VERSION', result: 'EQUAL', version: '2' }, succeeds: true },
  { compare: { target: 'VERSION', result: 'NOT_EQUAL', version: '2' }, succeeds: false },
  { compare: { target: 'VALUE', result: 'EQUAL', value: base64('b') }, succeeds: true },
  { compare: { target: 'VALUE', result: 'EQUAL', value: base64('a') }, succeeds: false }
]

for (const { compare, succeeds } of COMPARISONS) {
  test(`a transaction compares ${JSON.stringify(compare)}`, async (context) => {
    const standIn = await startStandIn(context)
    const key = base64('view')
    await post(standIn.endpoint, '/v3/kv/put', { key, value: base64('a') })
    await post(standIn.endpoint, '/v3/kv/put', { key, value: base64('b') })

    const { body } = await post(standIn.endpoint, '/v3/kv/txn', {
      compare: [{ key, ...compare }],
      success: [{ request_put: { key, value: base64('c') } }]
    })

    expect(body.succeeded === true).toEqual(succeeds)
    expect(standIn.revision).toEqual(succeeds ? 4 : 3)
  })
}

// The published form of a conditional read: no value is sent for an unchanged key. Neither branch
// writes, so that the service counts a read and the revision does not change.
const CONDITIONAL_READS: Array<{ name: string, key: string, modRevision: string, body: object }> = [
  { name: 'the known revision', key: 'view', modRevision: '2', body: { succeeded: true } },
  { name: 'a missing key known to be missing', key: 'other', modRevision: '0', body: { succeeded: true } },
  { name: 'another revision', key: 'view', modRevision: '1', body: { responses: [{ response_range: { header: HEADER, kvs: [STORED], count: '1' } }] } },
  { name: 'a missing key', key: 'other', modRevision: '2', body: { responses: [{ response_range: { header: HEADER, count: '0' } }] } }
]

for (const { name, key, modRevision, body } of CONDITIONAL_READS) {
  test(`a transaction that compares and only reads counts as a read: ${name}`, async (context) => {
    const standIn = await startStandIn(context)
    await post(standIn.endpoint, '/v3/kv/put', { key: base64('view'), value: base64('a') })

    const answer = await post(standIn.endpoint, '/v3/kv/txn', {
      compare: [{ key: base64(key), target: 'MOD', result: 'EQUAL', mod_revision: modRevision }],
      success: [],
      failure: [{ request_range: { key: base64(key) } }]
    })

    expect(answer).toEqual({ status: 200, body: { header: HEADER, ...body } })
    expect([standIn.calls.reads, standIn.calls.writes, standIn.revision]).toEqual([1, 1, 2])
    expect(standIn.calls.valueBytesRead).toEqual(JSON.stringify(body).includes('kvs') ? 1 : 0)
  })
}

test('a transaction that may write counts as a write even when its comparison fails', async (context) => {
  const standIn = await startStandIn(context)
  const key = base64('view')

  await post(standIn.endpoint, '/v3/kv/txn', {
    compare: [{ key, target: 'MOD', result: 'EQUAL', mod_revision: '7' }],
    success: [{ request_put: { key } }],
    failure: [{ request_range: { key } }]
  })

  expect([standIn.calls.reads, standIn.calls.writes]).toEqual([0, 1])
})

test('the answer to a range has the published form', async (context) => {
  const standIn = await startStandIn(context)
  await post(standIn.endpoint, '/v3/kv/put', { key: base64('view'), value: base64('a') })

  const { status, body } = await post(standIn.endpoint, '/v3/kv/range', { key: base64('view') })

  expect(status).toEqual(200)
  expect(body).toEqual({
    header: HEADER,
    kvs: [STORED],
    count: '1'
  })
})

test('a deletion removes a range of keys in one revision', async (context) => {
  const standIn = await startStandIn(context)
  for (const key of ['a', 'b', 'c']) {
    await post(standIn.endpoint, '/v3/kv/put', { key: base64(key), value: '' })
  }

  const { body } = await post(standIn.endpoint, '/v3/kv/deleterange', { key: base64('a'), range_end: base64('c') })
  const left = await post(standIn.endpoint, '/v3/kv/range', { key: base64('a'), range_end: base64('\0') })

  expect(body.deleted).toEqual('2')
  expect(standIn.revision).toEqual(5)
  expect(left.body.kvs.map((entry: { key: string }) => entry.key)).toEqual([base64('c')])
})

test('the keys of a lease that is not renewed are deleted', async (context) => {
  const standIn = await startStandIn(context)
  const { body } = await post(standIn.endpoint, '/v3/lease/grant', { TTL: '1' })
  await post(standIn.endpoint, '/v3/kv/put', { key: base64('owner'), value: base64('me'), lease: body.ID })

  await waitFor('the deletion', 5000, 10, () => standIn.revision === 3)
  const { body: range } = await post(standIn.endpoint, '/v3/kv/range', { key: base64('owner') })

  expect(range.count).toEqual('0')
})

const REFUSALS: Array<{ name: string, path: string, body: object, status: number, message: string }> = [
  { name: 'no key', path: '/v3/kv/range', body: {}, status: 400, message: 'etcdserver: key is not provided' },
  { name: 'large value', path: '/v3/kv/put', body: { key: base64('a'), value: Buffer.alloc(1_048_577).toString('base64') }, status: 400, message: 'etcdserver: request is too large' },
  { name: 'unknown lease', path: '/v3/kv/put', body: { key: base64('a'), lease: '5' }, status: 404, message: 'etcdserver: requested lease not found' },
  { name: 'key written twice', path: '/v3/kv/txn', body: { success: [{ request_put: { key: base64('a') } }, { request_put: { key: base64('a') } }] }, status: 400, message: 'etcdserver: duplicate key given in txn request' },
  { name: 'compacted revision', path: '/v3/kv/range', body: { key: base64('a'), revision: '1' }, status: 400, message: 'etcdserver: mvcc: required revision has been compacted' }
]

for (const { name, path, body, status, message } of REFUSALS) {
  test(`an invalid call is rejected without effect: ${name}`, async (context) => {
    const standIn = await startStandIn(context)
    for (let write = 0; write < 5; write++) {
      await post(standIn.endpoint, '/v3/kv/put', { key: base64('b'), value: '' })
    }

    const answer = await post(standIn.endpoint, path, body)

    expect(answer.status).toEqual(status)
    expect(answer.body.message).toEqual(message)
    expect(standIn.revision).toEqual(6)
  })
}

test('calls are counted by kind and second', async (context) => {
  const standIn = await startStandIn(context)
  await post(standIn.endpoint, '/v3/kv/put', { key: base64('a'), value: '' })
  await post(standIn.endpoint, '/v3/kv/range', { key: base64('a') })
  await post(standIn.endpoint, '/v3/kv/range', { key: base64('a') })

  const calls = await (await fetch(`${standIn.endpoint}/standin/calls`)).json() as typeof standIn.calls

  expect([calls.reads, calls.writes, calls.leases, calls.watchesOpened]).toEqual([2, 1, 0, 0])
  expect(calls.perSecond.reduce((sum, second) => sum + second.reads, 0)).toEqual(2)
})

test('the control port ends an outage that refuses connections', async (context) => {
  const standIn = await startStandIn(context)
  const control = `http://127.0.0.1:${await standIn.startControl()}`

  const begun = await post(control, '/standin/faults', { outage: Outage.Refuse })
  const refused = await post(standIn.endpoint, '/v3/kv/range', { key: base64('a') }).catch(() => 'refused')
  await post(control, '/standin/faults', { outage: Outage.None })
  const answered = await post(standIn.endpoint, '/v3/kv/range', { key: base64('a') })

  expect(begun.body.outage).toEqual(Outage.Refuse)
  expect(refused).toEqual('refused')
  expect(answered.status).toEqual(200)
})

const WRONG_FAULTS = [{ outrage: 'hang' }, { outage: 'maybe' }, { readDelayMilliseconds: '5' }, { loseAnswers: -1 }, []]

for (const faults of WRONG_FAULTS) {
  test(`invalid faults are rejected: ${JSON.stringify(faults)}`, async (context) => {
    const standIn = await startStandIn(context)

    const answer = await post(standIn.endpoint, '/standin/faults', faults)

    expect(answer.status).toEqual(400)
    expect(standIn.faults.outage).toEqual(Outage.None)
  })
}
