/**
 * Which daemons are asked for their status. Either the addresses given by `--status`, or, when none
 * is given, those of the entries of the view: each entry publishes the address of its status port
 * under the key of `instanceKey`. Agents are known from the entries that they are linked to.
 */
import type { View } from '@amaranthmast/coordination/messages'
import type { KeyValueClient } from '@amaranthmast/store/client'
import type { PublishedInstance } from '@amaranthmast/settings/storekeys'
import { instancePrefix, viewKey } from '@amaranthmast/settings/storekeys'
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import { PUBLISHED_LIMIT, STATUS_REQUESTS } from './defaults.ts'
import { StoreFailed } from './errors.ts'
import type { Asked, StatusClient } from './statuspage.ts'
import { askStatus } from './statuspage.ts'

/** What the daemons said. */
export interface Survey {
  asked: Asked[]
  /** Members of the view for which no status address is known. */
  unpublished: string[]
}

/** Where the addresses come from. */
export interface InstancesOptions {
  client: Pick<KeyValueClient, 'read' | 'readPrefix'>
  prefix: string
  /** Addresses given by the user; none to take those in the store. */
  statusUrls: readonly string[]
  ask: StatusClient
}

/** The daemons of the system. */
export class Instances {
  readonly #options: InstancesOptions

  constructor (options: InstancesOptions) {
    this.#options = options
  }

  /** Asks every known daemon. Fails when the addresses are in the store and it does not answer. */
  async survey (): Promise<Result<Survey, StoreFailed>> {
    const { statusUrls } = this.#options
    if (statusUrls.length > 0) return ok({ asked: await this.#askAll(statusUrls), unpublished: [] })
    const addresses = await this.#publishedAddresses()
    if (addresses.isErr()) return err(addresses.error)
    const { urls, unpublished } = addresses.value
    return ok({ asked: await this.#askAll(urls), unpublished })
  }

  /** Asks one daemon for its metrics; undefined when it does not answer. */
  async metrics (url: string): Promise<string | undefined> {
    const answer = await this.#options.ask(url, '/metrics')
    return 'text' in answer ? answer.text : undefined
  }

  async #publishedAddresses (): Promise<Result<{ urls: string[], unpublished: string[] }, StoreFailed>> {
    const { client, prefix } = this.#options
    const view = await client.read(viewKey(prefix))
    if (view.isErr()) return err(new StoreFailed(view.error))
    const published = await client.readPrefix(instancePrefix(prefix), PUBLISHED_LIMIT)
    if (published.isErr()) return err(new StoreFailed(published.error))
    const members = membersOf(view.value.entry?.value)
    const addresses = new Map(published.value.entries.flatMap(({ value }) => addressOf(value)))
    return ok({
      urls: members.flatMap((instance) => addresses.get(instance) ?? []),
      unpublished: members.filter((instance) => !addresses.has(instance))
    })
  }

  /** A few at a time: a tool has no right to more connections than a daemon. */
  async #askAll (urls: readonly string[]): Promise<Asked[]> {
    const asked: Asked[] = []
    for (let start = 0; start < urls.length; start += STATUS_REQUESTS) {
      const some = urls.slice(start, start + STATUS_REQUESTS)
      asked.push(...await Promise.all(some.map((url) => askStatus(this.#options.ask, url))))
    }
    return asked
  }
}

function membersOf (value: string | undefined): string[] {
  const view = parseObject(value) as Partial<View> | undefined
  return view?.members?.map(({ instance }) => instance) ?? []
}

function addressOf (value: string): Array<[string, string]> {
  const published = parseObject(value) as Partial<PublishedInstance> | undefined
  if (published?.instance === undefined || published.status === undefined) return []
  return [[published.instance, published.status]]
}

function parseObject (value: string | undefined): object | undefined {
  if (value === undefined) return undefined
  try {
    const parsed: unknown = JSON.parse(value)
    return typeof parsed === 'object' && parsed !== null ? parsed : undefined
  } catch {
    return undefined
  }
}
