/** Builds the record in which an entry publishes the address of its status listener for the command-line tool. */
import type { EntrySettings } from './settingstypes.ts'
import type { PublishedInstance } from './storekeys.ts'
import { instanceKey } from './storekeys.ts'

/** Key and value to write to the store. */
export interface PublishedRecord {
  key: string
  value: string
}

/**
 * Returns the record that an entry writes once, when its status listener is ready. The host is taken
 * from the address for peers: other machines can reach it regardless of what the status listener binds to.
 * @param instance `id#incarnation`
 * @param statusPort actual port of the status listener
 */
export function publishedRecord (settings: EntrySettings, instance: string, statusPort: number): PublishedRecord {
  const address = new URL(settings.peers.address)
  const published: PublishedInstance = { instance, status: `http://${address.hostname}:${statusPort}` }
  return { key: instanceKey(settings.store.prefix, settings.id), value: JSON.stringify(published) }
}
