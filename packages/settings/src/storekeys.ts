/** Keys that the system uses in the key-value service. All start with the prefix from the settings. */

/** Number of configuration versions kept. Older versions are overwritten, so that the store does not grow. */
export const HISTORY_VERSIONS = 1000

const HISTORY_DIGITS = 8

/** Key of the configuration in effect. Its value is a `StoredConfiguration`. */
export function configurationKey (prefix: string): string {
  return `${prefix}configuration`
}

/** History key of a version. Its value is a `StoredConfiguration`, written in the same transaction as the configuration key. */
export function historyKey (prefix: string, version: number): string {
  const slot = version % HISTORY_VERSIONS
  return `${prefix}history/${String(slot).padStart(HISTORY_DIGITS, '0')}`
}

/** Key of the entries' view. */
export function viewKey (prefix: string): string {
  return `${prefix}view`
}

/**
 * Key of an entry's status address. Its value is a `PublishedInstance`. An entry writes it once, when it
 * joins. The key contains only the entry's id, so that its next incarnation overwrites the value.
 */
export function instanceKey (prefix: string, id: string): string {
  return `${instancePrefix(prefix)}${id}`
}

/** Prefix of all keys of `instanceKey`. */
export function instancePrefix (prefix: string): string {
  return `${prefix}instances/`
}

/** Address of an entry's status listener, for the command-line tool. */
export interface PublishedInstance {
  /** `id#incarnation` */
  instance: string
  /** Base URL of the status listener. */
  status: string
}
