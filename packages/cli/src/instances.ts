/**
 * Queries the status ports of the daemons. The addresses are those given with `--status` or, by default, those of
 * the entries in the view: each entry publishes the address of its status port under the key of `instanceKey`.
 * The status pages of the entries list the agents linked to them.
 */
import type { View } from '@amaranthmast/coordination/messages'
import type { KeyValueClient } from '@amaranthmast/store/client'
import type { PublishedInstance } from '@amaranthmast/settings/storekeys'
import { instancePrefix, viewKey } from '@amaranthmast/settings/storekeys'
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import { MAX_PUBLISHED_INSTANCES, MAX_CONCURRENT_STATUS_REQUESTS } from './defaults.ts'
import { StoreFailed } from './errors.ts'
import type { StatusResponse, StatusClient } from './statuspage.ts'
import { requestStatus } from './statuspage.ts'

/** Responses of the daemons. */
export interface Survey {
  asked: StatusResponse[]
  /** Members of the view without a published status address. */
  unpublished: string[]
}

/** Options of `Instances`. */
export interface InstancesOptions {
  client: Pick<KeyValueClient, 'read' | 'readPrefix'>
  prefix: string
  /** Addresses given with `--status`; if empty, the published addresses are used. */
  statusUrls: readonly string[]
  ask: StatusClient
}

/** Client for the status ports of all daemons. */
export class Instances {
  readonly #options: InstancesOptions

  constructor (options: InstancesOptions) {
    this.#options = options
  }

  /** Queries every known daemon. Fails if the published addresses are needed and the store does not answer. */
  async survey (): Promise<Result<Survey, StoreFailed>> {
    const { statusUrls } = this.#options
    if (statusUrls.length > 0) return ok({ asked: await this.#askAll(statusUrls), unpublished: [] })
    const addresses = await this.#publishedAddresses()
    if (addresses.isErr()) return err(addresses.error)
    const { urls, unpublished } = addresses.value
    return ok({ asked: await this.#askAll(urls), unpublished })
  }

  /** Fetches the metrics of one daemon; undefined if it does not answer. */
  async metrics (url: string): Promise<string | undefined> {
    const answer = await this.#options.ask(url, '/metrics')
    return 'text' in answer ? answer.text : undefined
  }

  async #publishedAddresses (): Promise<Result<{ urls: string[], unpublished: string[] }, StoreFailed>> {
    const { client, prefix } = this.#options
    const view = await client.read(viewKey(prefix))
    if (view.isErr()) return err(new StoreFailed(view.error))
    const published = await client.readPrefix(instancePrefix(prefix), MAX_PUBLISHED_INSTANCES)
    if (published.isErr()) return err(new StoreFailed(published.error))
    const members = membersOf(view.value.entry?.value)
    const addresses = new Map(published.value.entries.flatMap(({ value }) => addressOf(value)))
    return ok({
      urls: members.flatMap((instance) => addresses.get(instance) ?? []),
      unpublished: members.filter((instance) => !addresses.has(instance))
    })
  }

  /** Queries the daemons in batches, so that the tool opens no more connections than a daemon does. */
  async #askAll (urls: readonly string[]): Promise<StatusResponse[]> {
    const asked: StatusResponse[] = []
    for (let start = 0; start < urls.length; start += MAX_CONCURRENT_STATUS_REQUESTS) {
      const batch = urls.slice(start, start + MAX_CONCURRENT_STATUS_REQUESTS)
      asked.push(...await Promise.all(batch.map((url) => requestStatus(this.#options.ask, url))))
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
