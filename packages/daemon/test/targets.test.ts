/** Calls to a target, and the outcome that is reported for each way in which a call ends. */
import type { AgentEvent } from '@amaranthmast/coordination/agenttypes'
import type { Dispatch } from '@amaranthmast/coordination/messages'
import { TaskOutcome } from '@amaranthmast/coordination/messages'
import { expect } from 'earl'
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { TargetClient } from '../src/targets.ts'

type Ended = Extract<AgentEvent, { type: 'taskEnded' }>

const NAMES = ['content-type', 'x-amaranthmast-tenant', 'x-amaranthmast-service', 'x-amaranthmast-job', 'x-amaranthmast-task', 'idempotency-key']

const dispatch: Dispatch = {
  job: 'magnolia/j1',
  index: 3,
  attempt: 1,
  agent: 'agent-1#a',
  tenant: 'magnolia',
  service: 'label-check',
  payload: Buffer.from('{"photo":7}'),
  patienceMilliseconds: 0,
  remainingMilliseconds: 1000,
  runMilliseconds: 0,
  needs: { accelerators: 0, memoryMegabytes: 0 }
}

test('the target receives the payload and the identifiers of the task', async () => {
  const received: unknown[] = []
  const { target, next, close } = await start(async (request, response) => {
    received.push(request.url, await bodyOf(request), ...NAMES.map(name => request.headers[name]))
    response.end('1')
  })
  target.start(1, dispatch)
  await next()
  expect(received).toEqual(['/run', '{"photo":7}', 'application/json', 'magnolia', 'label-check', 'j1', '3', 'magnolia/j1/3'])
  await close()
})

const ends: Array<{ name: string, answer: RequestListener, outcome: TaskOutcome, payload: string, detail: string }> = [
  { name: 'a result', answer: (_request, response) => { response.end('{"ok":1}') }, outcome: TaskOutcome.Succeeded, payload: '{"ok":1}', detail: '' },
  { name: 'status 500', answer: (_request, response) => { response.writeHead(500).end('label unreadable') }, outcome: TaskOutcome.Failed, payload: '', detail: 'status 500: label unreadable' },
  { name: 'status 404', answer: (_request, response) => { response.writeHead(404).end() }, outcome: TaskOutcome.Failed, payload: '', detail: 'status 404' },
  { name: 'a result that is not JSON', answer: (_request, response) => { response.end('<html>') }, outcome: TaskOutcome.Failed, payload: '', detail: 'not JSON' },
  { name: 'an empty result', answer: (_request, response) => { response.end() }, outcome: TaskOutcome.Failed, payload: '', detail: 'not JSON' },
  { name: 'a result above 4 MiB', answer: (_request, response) => { response.end(`"${'x'.repeat(4 * 1024 * 1024)}"`) }, outcome: TaskOutcome.Failed, payload: '', detail: 'larger than' },
  { name: 'a connection that breaks before the response', answer: request => { request.socket.destroy() }, outcome: TaskOutcome.MayHaveRun, payload: '', detail: 'failed: UND_ERR_SOCKET' },
  { name: 'a connection that breaks within the result', answer: breakWithinResult, outcome: TaskOutcome.MayHaveRun, payload: '', detail: 'failed: ' }
]

for (const { name, answer, outcome, payload, detail } of ends) {
  test(`${name} is ${TaskOutcome[outcome]}`, async () => {
    const { target, next, close } = await start(answer)
    target.start(1, dispatch)
    const ended = await next()
    expect([ended.task, ended.outcome, Buffer.from(ended.payload).toString()]).toEqual([1, outcome, payload])
    expect(ended.detail).toInclude(detail)
    await close()
  })
}

test('a target that refuses connections has not started the task', async () => {
  const { target, next, close, server } = await start(() => {})
  await new Promise(resolve => server.close(resolve))
  target.start(1, dispatch)
  expect((await next()).outcome).toEqual(TaskOutcome.NotStarted)
  await close()
})

test('a task whose call is aborted while the target works may have run', async () => {
  const { target, next, close, arrived } = await start(() => {})
  target.start(1, dispatch)
  await arrived
  target.abort(1)
  expect((await next()).outcome).toEqual(TaskOutcome.MayHaveRun)
  await close()
})

test('a call aborted before its connection is established never reaches the target', async () => {
  // Many cancellations at once include a task that was started a moment ago. If the call were
  // reported as not started but still sent afterwards, the task would run although its caller was
  // answered that it did not.
  let requests = 0
  const { target, next, close } = await start((_request, response) => { requests += 1; response.end('1') })
  target.start(1, dispatch)
  target.abort(1)
  expect((await next()).outcome).toEqual(TaskOutcome.NotStarted)
  target.start(2, dispatch)
  expect([(await next()).outcome, requests]).toEqual([TaskOutcome.Succeeded, 1])
  await close()
})

test('a failed call is not retried', async () => {
  let requests = 0
  const { target, next, close } = await start(request => { requests += 1; request.socket.destroy() })
  target.start(1, dispatch)
  await next()
  target.start(2, dispatch)
  await next()
  expect(requests).toEqual(2)
  await close()
})

test('tasks beyond the slots share the connections', async () => {
  const sockets = new Set<unknown>()
  const { target, next, close } = await start((request, response) => { sockets.add(request.socket); response.end('1') }, 2)
  for (let task = 1; task <= 6; task++) target.start(task, dispatch)
  for (let task = 1; task <= 6; task++) await next()
  expect(sockets.size <= 2).toEqual(true)
  await close()
})

async function start (answer: RequestListener, slots = 8) {
  let noteArrival: () => void = () => {}
  const arrived = new Promise<void>(resolve => { noteArrival = resolve })
  const server = createServer((request, response) => { noteArrival(); answer(request, response) })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const ended: Ended[] = []
  const waiting: Array<(event: Ended) => void> = []
  const post = (event: AgentEvent): void => {
    if (event.type !== 'taskEnded') return
    const waiter = waiting.shift()
    if (waiter === undefined) ended.push(event)
    else waiter(event)
  }
  const target = new TargetClient(`http://127.0.0.1:${portOf(server)}`, slots, post, () => 0)
  const next = async (): Promise<Ended> => ended.shift() ?? await new Promise(resolve => waiting.push(resolve))
  const close = async (): Promise<void> => {
    await target.close()
    server.close()
    server.closeAllConnections()
  }
  return { target, server, next, arrived, close }
}

function portOf (server: Server): number {
  return (server.address() as AddressInfo).port
}

function breakWithinResult (_request: IncomingMessage, response: ServerResponse): void {
  response.writeHead(200, { 'content-length': 100 })
  response.write('{"ok"', () => { response.destroy() })
}

async function bodyOf (request: IncomingMessage): Promise<string> {
  let body = ''
  for await (const chunk of request) body += String(chunk)
  return body
}
