/** Tests that responses received while the process is stalled are not reported as timeouts. */
import { test } from 'node:test'
import { Worker } from 'node:worker_threads'
import { expect } from 'earl'
import { Pool } from '../src/connections.ts'
import { ExchangeOutcome, sendRequest } from '../src/exchange.ts'

/** Server on a separate thread, so that it responds while this thread is blocked. */
const SERVER = `
const { createServer } = require('node:http')
const { parentPort } = require('node:worker_threads')
const server = createServer((_request, response) => response.end('{}'))
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port))
`

const TIMEOUT = 20
const STALL = 400

// A process that has used up its CPU quota is stalled for several hundred milliseconds. When it resumes, the timeout of a
// call has passed although its response was received in time. Reported as lost, its task would be stopped and restarted.
test('a response received while the process was stalled is not a timeout', async () => {
  const worker = new Worker(SERVER, { eval: true })
  const port = await new Promise<number>(resolve => worker.once('message', resolve))
  const pool = new Pool(`http://127.0.0.1:${port}`, { connections: 1, pipelining: 1 })
  const call = (timeout: number): ReturnType<typeof sendRequest> => sendRequest(pool, { method: 'POST', path: '/', body: '{}' }, timeout)
  await call(5000)
  // The client sends the next request only in an event loop turn after a response.
  await new Promise(resolve => setTimeout(resolve, 20))
  const answer = call(TIMEOUT)
  setImmediate(() => {
    const end = performance.now() + STALL
    while (performance.now() < end);
  })
  expect((await answer).outcome).toEqual(ExchangeOutcome.Answered)
  await pool.destroy()
  await worker.terminate()
})
