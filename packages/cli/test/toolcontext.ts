/** Test fixture of the tool: a context that uses the key-value stand-in and keeps everything else in memory. */
import type { TestContext } from 'node:test'
import { KeyValueClient } from '@amaranthmast/store/client'
import { KeyValueStandIn } from '@amaranthmast/standins/keyvalue'
import { err, ok } from 'neverthrow'
import { FileUnreadable } from '@amaranthmast/settings/errors'
import type { Arguments, Context, Report } from '../src/command.ts'
import { COMMANDS } from '../src/commands.ts'
import type { ConfigurationClient } from '../src/configurationstore.ts'
import { ConfigurationStore } from '../src/configurationstore.ts'
import { ToolError } from '../src/errors.ts'
import { Instances } from '../src/instances.ts'
import type { StatusClient, StatusPage } from '../src/statuspage.ts'

const PREFIX = '/test/'

const ARGUMENTS: Arguments = {
  store: [], prefix: PREFIX, json: false, status: [], wait: false, waitSeconds: 1, limit: 20, undo: false, once: true, interval: 1, file: 'f', kind: 'rack' as Arguments['kind'], name: 'r1', job: '', logs: []
}

/** Starts a store that is stopped after the test, and a tool that uses it. */
export async function startTool (context: TestContext): Promise<{ store: KeyValueStandIn, tool: Tool }> {
  const store = new KeyValueStandIn()
  await store.start()
  const tool = new Tool(store)
  context.after(async () => {
    await tool.client.close()
    await store.stop()
  })
  return { store, tool }
}

/** Lines that a command prints: its report or its error. */
export function linesOf (outcome: Report | ToolError): string[] {
  return outcome instanceof ToolError ? outcome.message.split('\n') : outcome.lines
}

/** Creates a valid file with two providers, of which the first has the given share. */
export function fileWith (editedFrom: number, share: number): Record<string, unknown> {
  return {
    editedFrom,
    services: { 'label-check': { shares: { 'provider-a': share, 'provider-b': 100 - share } } },
    providers: { 'provider-a': { expectedTargets: 1 }, 'provider-b': { expectedTargets: 1 } },
    tenants: {}
  }
}

/** Creates the status page of an entry. */
export function pageOf (instance: string, configurationVersion: number, more: Partial<StatusPage> = {}): Partial<StatusPage> {
  return { instance, role: 'entry', state: 'serving', configurationVersion, ...more }
}

/** Runs commands of the tool. Apply ids are `apply-1`, `apply-2` and so on. */
export class Tool {
  readonly client: KeyValueClient
  readonly progress: string[] = []
  /** File contents by path, as objects or text. */
  readonly files: Record<string, unknown> = {}
  /** Status pages by URL; other URLs do not answer. */
  readonly pages: Record<string, () => Partial<StatusPage>> = {}
  /** Metrics by URL, for processes without a status page. */
  readonly metrics: Record<string, string> = {}
  /** Client through which the configuration is read and written; tests replace it. */
  configurationClient: ConfigurationClient
  #applies = 0
  #elapsed = 0

  constructor (store: KeyValueStandIn) {
    this.client = new KeyValueClient({ endpoints: [store.endpoint], timeoutMilliseconds: 200, random: () => 0, now: Date.now })
    this.configurationClient = this.client
  }

  /** Runs a command. Its sleeps return immediately and advance a simulated clock. */
  async run (command: string, options: Partial<Arguments> = {}): Promise<Report | ToolError> {
    const result = await COMMANDS[command]?.run(this.#context(options.status ?? []), { ...ARGUMENTS, ...options })
    if (result === undefined) throw new RangeError(`no command ${command}`)
    return result.isOk() ? result.value : result.error
  }

  /** Applies a file with the given content. */
  async apply (content: unknown, options: Partial<Arguments> = {}): Promise<Report | ToolError> {
    this.files.f = content
    return await this.run('apply', { file: 'f', ...options })
  }

  /** Reads all keys and values under the prefix. */
  async stored (): Promise<Record<string, { version: number, applyId: string }>> {
    const read = (await this.client.readPrefix(PREFIX, 100))._unsafeUnwrap()
    return Object.fromEntries(read.entries.map(({ key, value }) => [key.slice(PREFIX.length), JSON.parse(value)]))
  }

  #context (statusUrls: readonly string[]): Context {
    const now = () => Date.UTC(2026, 0, 1) + this.#elapsed
    const sleep = async (milliseconds: number) => { this.#elapsed += milliseconds }
    return {
      configurations: new ConfigurationStore({ client: this.configurationClient, prefix: PREFIX, now, sleep }),
      instances: new Instances({ client: this.client, prefix: PREFIX, statusUrls, ask: this.#ask }),
      readLines: path => linesIn(this.files, path),
      readText: (path) => path in this.files ? ok(textOf(this.files[path])) : err(new FileUnreadable(path, 'ENOENT')),
      now,
      sleep,
      newApplyId: () => `apply-${++this.#applies}`,
      progress: (line) => this.progress.push(line),
      redraw: () => {}
    }
  }

  readonly #ask: StatusClient = async (url, path) => {
    const metrics = path === '/metrics' ? this.metrics[url] : undefined
    if (metrics !== undefined) return { text: metrics }
    const page = this.pages[url]
    return page === undefined ? { failure: 'ECONNREFUSED' } : { text: JSON.stringify(page()) }
  }
}

function textOf (content: unknown): string {
  return typeof content === 'string' ? content : JSON.stringify(content)
}

async function * linesIn (files: Record<string, unknown>, path: string): AsyncGenerator<string> {
  if (!(path in files)) throw new FileUnreadable(path, 'ENOENT')
  yield * textOf(files[path]).split('\n')
}
