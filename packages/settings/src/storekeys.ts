/** Names of the keys that the system keeps in the key-value service, each under the settings' prefix. */

/** Versions of the configuration that are kept; older ones are overwritten, so that the store does not grow. */
export const HISTORY_VERSIONS = 1000

const HISTORY_DIGITS = 8

/** Key of the configuration in force: a `StoredConfiguration`. */
export function configurationKey (prefix: string): string {
  return `${prefix}configuration`
}

/** Key of one past version: a `StoredConfiguration`, written in the same transaction as the version itself. */
export function historyKey (prefix: string, version: number): string {
  const slot = version % HISTORY_VERSIONS
  return `${prefix}history/${String(slot).padStart(HISTORY_DIGITS, '0')}`
}

/** Key of the view of the entries. */
export function viewKey (prefix: string): string {
  return `${prefix}view`
}

/**
 * Key of the address under which an entry's status is found: a `PublishedInstance`. An entry writes
 * it once, when it joins, under its id, so that its next incarnation overwrites it.
 */
export function instanceKey (prefix: string, id: string): string {
  return `${instancePrefix(prefix)}${id}`
}

/** Prefix of all keys of `instanceKey`. */
export function instancePrefix (prefix: string): string {
  return `${prefix}instances/`
}

/** Where the tool finds an entry's status. */
export interface PublishedInstance {
  /** `id#incarnation` */
  instance: string
  /** Base URL of the status listener. */
  status: string
}
