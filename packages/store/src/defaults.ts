/** Default limits and timings of the key-value service client. */

/** Maximum size of a value that the service accepts, in bytes. */
export const MAX_VALUE_BYTES = 1_048_576

/** Timeout of one attempt of a call, in milliseconds. */
export const CALL_TIMEOUT_MILLISECONDS = 1000

/**
 * Connections per endpoint for calls; each open watch uses an additional one. With two, a call that
 * hangs does not block all other calls.
 */
export const CONNECTIONS_PER_ENDPOINT = 2

/** How long an idle connection is kept open, in milliseconds. */
export const KEEP_ALIVE_MILLISECONDS = 4000

/** Mean interval of the reads that detect changes missed by a watch, in milliseconds. */
export const REREAD_INTERVAL_MILLISECONDS = 2000

/** Maximum delay before a watcher's first reconnection, in milliseconds. */
export const BACKOFF_BASE_MILLISECONDS = 100

/** Maximum delay before any reconnection of a watcher, in milliseconds. */
export const MAX_BACKOFF_MILLISECONDS = 1500

/** Maximum length of a line in a watch stream, in characters. Fits a value of maximum size in base64 with its JSON envelope. */
export const MAX_LINE_CHARACTERS = 8_388_608
