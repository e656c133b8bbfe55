/** Default limits and timings of the client of the key-value service. */

/** Largest value that the service holds, in bytes. */
export const MAXIMUM_VALUE_BYTES = 1_048_576

/** Time limit of one attempt of a call, in milliseconds. */
export const CALL_TIMEOUT_MILLISECONDS = 1000

/**
 * Connections per endpoint for calls; each open watch has one more. Two, so that a call that hangs
 * does not hold up every other call.
 */
export const CONNECTIONS_PER_ENDPOINT = 2

/** How long an unused connection is kept, in milliseconds. */
export const KEEP_ALIVE_MILLISECONDS = 4000

/** Mean time between two reads that look for changes which a watch has missed, in milliseconds. */
export const REREAD_MILLISECONDS = 2000

/** Longest wait before the first reconnection of a watcher, in milliseconds. */
export const BACKOFF_BASE_MILLISECONDS = 100

/** Longest wait before any reconnection of a watcher, in milliseconds. */
export const BACKOFF_MAXIMUM_MILLISECONDS = 1500

/** Largest line of a watch stream, in characters: one value in base64 and what surrounds it. */
export const MAXIMUM_LINE_CHARACTERS = 8_388_608
