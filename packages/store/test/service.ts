/** Setup for the client tests: an in-process service and clients connected to it. */
import type { TestContext } from 'node:test'
import { KeyValueStandIn } from '@amaranthmast/standins/keyvalue'
import { KeyValueClient } from '../src/client.ts'

/** Timeout of a call, in milliseconds. */
export const TIMEOUT_MILLISECONDS = 300
/** Endpoint that refuses connections. */
export const DEAD_ENDPOINT = 'http://127.0.0.1:1'

/** Starts a service that runs until the end of the test. */
export async function startStandIn (context: TestContext): Promise<KeyValueStandIn> {
  const standIn = new KeyValueStandIn()
  await standIn.start()
  context.after(() => standIn.stop())
  return standIn
}

/** Creates a client that prefers the first endpoint. Its clock always returns 7. */
export function connect (context: TestContext, ...endpoints: string[]): KeyValueClient {
  const client = new KeyValueClient({ endpoints, timeoutMilliseconds: TIMEOUT_MILLISECONDS, random: () => 0, now: () => 7 })
  context.after(() => client.close())
  return client
}

/** Starts a service without faults and a client connected to it. */
export async function start (context: TestContext): Promise<{ standIn: KeyValueStandIn, client: KeyValueClient }> {
  const standIn = await startStandIn(context)
  return { standIn, client: connect(context, standIn.endpoint) }
}
