/** Where an entry publishes the address of its status port, so that the tool finds it. */
import type { EntrySettings } from './settingstypes.ts'
import type { PublishedInstance } from './storekeys.ts'
import { instanceKey } from './storekeys.ts'

/** A key of the store with its value. */
export interface PublishedEntry {
  key: string
  value: string
}

/**
 * What an entry writes once, when its status listener is up. The host is that of the inner address,
 * which other machines can reach whatever the listener is bound to.
 * @param instance `id#incarnation`
 * @param statusPort port that the status listener has
 */
export function publishedEntry (settings: EntrySettings, instance: string, statusPort: number): PublishedEntry {
  const address = new URL(settings.peers.address)
  const published: PublishedInstance = { instance, status: `http://${address.hostname}:${statusPort}` }
  return { key: instanceKey(settings.store.prefix, settings.id), value: JSON.stringify(published) }
}
