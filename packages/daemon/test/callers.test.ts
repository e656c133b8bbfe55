/** The HTTP interface for callers; the test takes the place of the decision logic. */
import type { EntryEvent } from '@amaranthmast/coordination/entrytypes'
import type { Answer } from '@amaranthmast/coordination/messages'
import { AnswerKind, Cause, JobState } from '@amaranthmast/coordination/messages'
import { expect } from 'earl'
import { request } from 'node:http'
import type { TestContext } from 'node:test'
import { test } from 'node:test'
import { Callers } from '../src/callers.ts'

interface Reply {
  status: number
  headers: NodeJS.Dict<string | string[]>
  body: any
}

const job = { job: 'j1', tenant: 'magnolia', service: 'label-check', tasks: [{ payload: 1 }] }
const complete: Answer = { kind: AnswerKind.Complete, cause: Cause.None, detail: '', results: [Buffer.from('{"ok":1}')], retryAfterMilliseconds: 0 }

test('a submitted job is answered over HTTP', async context => {
  const { callers, port, next } = await start(context)
  const reply = call(port, 'POST', '/v1/jobs', JSON.stringify(job))
  const event = await next()
  expect(event.type === 'submitted' && event.job.key).toEqual('magnolia/j1')
  callers.answer(requestOf(event), complete)
  expect(bare(await reply)).toEqual({ status: 200, body: { kind: 'complete', job: 'j1', results: [{ ok: 1 }] } })
})

test('answers given out of order are sent to the right callers', async context => {
  const { callers, port, next } = await start(context)
  const first = call(port, 'POST', '/v1/jobs', JSON.stringify({ ...job, job: 'a' }))
  const firstEvent = await next()
  const second = call(port, 'POST', '/v1/jobs', JSON.stringify({ ...job, job: 'b' }))
  callers.answer(requestOf(await next()), complete)
  callers.answer(requestOf(firstEvent), complete)
  expect([(await first).body.job, (await second).body.job]).toEqual(['a', 'b'])
})

test('a look-up requests the state of the job', async context => {
  const { callers, port, next } = await start(context)
  const reply = call(port, 'GET', '/v1/jobs/magnolia/j1')
  const event = await next()
  expect({ ...event, request: '' }).toEqual({ type: 'lookUpRequested', request: '', job: 'magnolia/j1' })
  callers.lookedUp(requestOf(event), JobState.Running, undefined)
  expect(bare(await reply)).toEqual({ status: 200, body: { state: 'running' } })
})

test('a cancellation is answered with the answer of the job', async context => {
  const { callers, port, next } = await start(context)
  const reply = call(port, 'DELETE', '/v1/jobs/magnolia/a%3Ab')
  const event = await next()
  expect({ ...event, request: '' }).toEqual({ type: 'cancelRequested', request: '', job: 'magnolia/a:b' })
  callers.answer(requestOf(event), { ...complete, kind: AnswerKind.Refused, cause: Cause.Cancelled, results: [] })
  expect((await reply).status).toEqual(409)
})

const refusals = [
  { name: 'a body that is not JSON', method: 'POST', path: '/v1/jobs', body: '{', status: 400, cause: 'malformed' },
  { name: 'an empty body', method: 'POST', path: '/v1/jobs', body: '', status: 400, cause: 'malformed' },
  { name: 'a job without tasks', method: 'POST', path: '/v1/jobs', body: '{"job":"a","tenant":"b","service":"c"}', status: 400, cause: 'malformed' },
  { name: 'a body above 4 MiB', method: 'POST', path: '/v1/jobs', body: ' '.repeat(4 * 1024 * 1024 + 1), status: 413, cause: 'tooLarge' },
  { name: '141 tasks', method: 'POST', path: '/v1/jobs', body: JSON.stringify({ ...job, tasks: Array(141).fill({ payload: 1 }) }), status: 413, cause: 'tooLarge' },
  { name: 'another method on the jobs', method: 'PUT', path: '/v1/jobs', body: '', status: 405, cause: 'malformed' },
  { name: 'another method on a job', method: 'POST', path: '/v1/jobs/a/b', body: '', status: 405, cause: 'malformed' },
  { name: 'a job without tenant', method: 'GET', path: '/v1/jobs/a', body: '', status: 400, cause: 'malformed' },
  { name: 'a job path that is too long', method: 'GET', path: '/v1/jobs/a/b/c', body: '', status: 400, cause: 'malformed' },
  { name: 'a job path with a space', method: 'GET', path: '/v1/jobs/a/b%20c', body: '', status: 400, cause: 'malformed' },
  { name: 'a broken percent-encoding', method: 'GET', path: '/v1/jobs/a/%zz', body: '', status: 400, cause: 'malformed' },
  { name: 'another path', method: 'GET', path: '/v2', body: '', status: 404, cause: 'malformed' }
]

for (const { name, method, path, body, status, cause } of refusals) {
  test(`${name} is refused at once with ${status}`, async context => {
    const { callers, port, events } = await start(context)
    const reply = await call(port, method, path, body)
    expect([reply.status, reply.body.kind, reply.body.cause]).toEqual([status, 'refused', cause])
    expect(events).toEqual([])
    await callers.close()
  })
}

test('a body above the limit without a stated length is refused', async context => {
  const { port, events } = await start(context)
  const reply = await call(port, 'POST', '/v1/jobs', ' '.repeat(5 * 1024 * 1024), { 'transfer-encoding': 'chunked' })
  expect([reply.status, reply.body.cause]).toEqual([413, 'tooLarge'])
  expect(events).toEqual([])
})

test('a caller that disconnects is reported once and gets no answer', async context => {
  // The connection ends before the answer is available. The answer must be discarded and in
  // particular not be sent to the next caller on that connection.
  const { callers, port, next, events } = await start(context)
  const abandoned = request({ port, method: 'POST', path: '/v1/jobs' })
  abandoned.on('error', () => {})
  abandoned.end(JSON.stringify(job))
  const submitted = await next()
  abandoned.destroy()
  expect(await next()).toEqual({ type: 'callerGone', request: requestOf(submitted) })
  callers.answer(requestOf(submitted), complete)
  await callers.close()
  expect(events.length).toEqual(2)
})

test('a request whose body is cut off submits nothing', async context => {
  const { port, events } = await start(context)
  const broken = request({ port, method: 'POST', path: '/v1/jobs', headers: { 'content-length': 1000 } })
  broken.on('error', () => {})
  broken.write('{"job":')
  await new Promise(resolve => broken.on('socket', socket => socket.on('connect', resolve)))
  broken.destroy()
  expect((await call(port, 'GET', '/healthz')).status).toEqual(200)
  expect(events).toEqual([])
})

test('a refusal states when to retry', async context => {
  const { callers, port, next } = await start(context)
  const reply = call(port, 'POST', '/v1/jobs', JSON.stringify(job))
  callers.answer(requestOf(await next()), { ...complete, kind: AnswerKind.Refused, cause: Cause.Overloaded, results: [], retryAfterMilliseconds: 1500 })
  const { status, headers, body } = await reply
  expect([status, headers['retry-after'], body.retryAfterMilliseconds]).toEqual([503, '2', 1500])
})

test('readiness depends on the state and health does not', async context => {
  const { port, setReady } = await start(context)
  const before = await call(port, 'GET', '/readyz')
  setReady(false)
  const after = await call(port, 'GET', '/readyz')
  expect([before.status, after.status, (await call(port, 'GET', '/healthz')).status]).toEqual([200, 503, 200])
})

test('a draining entry closes the connections of its callers', async context => {
  const { callers, port, next } = await start(context)
  const reply = call(port, 'POST', '/v1/jobs', JSON.stringify(job))
  const event = await next()
  callers.drain()
  callers.answer(requestOf(event), complete)
  expect((await reply).headers.connection).toEqual('close')
})

test('a caller that still waits when the entry ends is answered that the job may have run', async context => {
  const { callers, port, next } = await start(context)
  const reply = call(port, 'POST', '/v1/jobs', JSON.stringify(job))
  await next()
  await callers.close()
  expect(bare(await reply).status).toEqual(504)
})

async function start (context: TestContext) {
  const events: EntryEvent[] = []
  const waiting: Array<(event: EntryEvent) => void> = []
  let consumed = 0
  let ready = true
  const post = (event: EntryEvent): void => {
    events.push(event)
    const waiter = waiting.shift()
    if (waiter !== undefined) waiter(event)
  }
  const callers = new Callers(post, { ready: () => ready, state: () => 'serving' })
  const port = (await callers.listen('127.0.0.1', 0))._unsafeUnwrap()
  context.after(() => callers.close())
  const next = async (): Promise<EntryEvent> => {
    const event = events[consumed] ?? await new Promise<EntryEvent>(resolve => waiting.push(resolve))
    consumed += 1
    return event
  }
  return { callers, port, events, next, setReady: (value: boolean) => { ready = value } }
}

function requestOf (event: EntryEvent): string {
  return 'request' in event ? event.request : ''
}

function bare ({ status, body }: Reply) {
  return { status, body }
}

function call (port: number, method: string, path: string, body = '', headers: Record<string, string> = {}): Promise<Reply> {
  const length = 'transfer-encoding' in headers ? {} : { 'content-length': Buffer.byteLength(body) }
  return new Promise((resolve, reject) => {
    const sent = request({ port, method, path, headers: { ...length, ...headers } }, response => {
      const chunks: Buffer[] = []
      response.on('data', chunk => chunks.push(chunk))
      response.on('end', () => resolve({
        status: response.statusCode ?? 0, headers: response.headers, body: JSON.parse(Buffer.concat(chunks).toString())
      }))
    })
    sent.on('error', reject)
    sent.end(body)
  })
}
