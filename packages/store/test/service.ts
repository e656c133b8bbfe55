/** Set-up of the client's tests: a service in this process, and clients of it. */
import type { TestContext } from 'node:test'
import { KeyValueStandIn } from '@amaranthmast/standins/keyvalue'
import { KeyValueClient } from '../src/client.ts'

/** Time limit of a call, in milliseconds. */
export const TIMEOUT = 300
/** Nothing listens there. */
export const DEAD_ENDPOINT = 'http://127.0.0.1:1'

/** A service that runs until the end of the test. */
export async function startStandIn (context: TestContext): Promise<KeyValueStandIn> {
  const standIn = new KeyValueStandIn()
  await standIn.start()
  context.after(() => standIn.stop())
  return standIn
}

/** A client that asks the first endpoint first, and whose clock stands at 7. */
export function connect (context: TestContext, ...endpoints: string[]): KeyValueClient {
  const client = new KeyValueClient({ endpoints, timeoutMilliseconds: TIMEOUT, random: () => 0, now: () => 7 })
  context.after(() => client.close())
  return client
}

/** A service that works, and a client of it. */
export async function start (context: TestContext): Promise<{ standIn: KeyValueStandIn, client: KeyValueClient }> {
  const standIn = await startStandIn(context)
  return { standIn, client: connect(context, standIn.endpoint) }
}
