/** Creates the context of a command from its options: clients, file access, clock and output. */
import { randomUUID } from 'node:crypto'
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { setTimeout as sleep } from 'node:timers/promises'
import { KeyValueClient } from '@amaranthmast/store/client'
import { readText } from '@amaranthmast/settings/settings'
import type { Arguments, Context } from './command.ts'
import { ConfigurationStore } from './configurationstore.ts'
import { STORE_TIMEOUT_MILLISECONDS } from './defaults.ts'
import { Instances } from './instances.ts'
import { requestPage } from './statuspage.ts'

/** Output streams of the tool. */
export interface Output {
  /** Results. */
  out: (text: string) => void
  /** Errors and progress. */
  err: (text: string) => void
}

/** Context with its open connections. */
export interface OpenContext extends Context {
  close: () => Promise<void>
}

const CLEAR_SCREEN = '\u001b[2J\u001b[H'

/** Creates the context. No request is sent until a command makes one. */
export function openContext (options: Arguments, output: Output): OpenContext {
  const client = new KeyValueClient({
    endpoints: options.store, timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS, random: Math.random, now: Date.now
  })
  const { prefix } = options
  return {
    configurations: new ConfigurationStore({ client, prefix, now: Date.now, sleep: pause }),
    instances: new Instances({ client, prefix, statusUrls: options.status, ask: requestPage }),
    readText,
    readLines: (path) => createInterface({ input: createReadStream(path), crlfDelay: Infinity }),
    now: Date.now,
    sleep: pause,
    newApplyId: randomUUID,
    progress: (line) => output.err(`${line}\n`),
    redraw: (lines) => output.out(`${CLEAR_SCREEN}${lines.join('\n')}\n`),
    close: () => client.close()
  }
}

async function pause (milliseconds: number): Promise<void> {
  await sleep(milliseconds)
}
