/** Limits and intervals of the links between processes. Durations are in milliseconds, sizes in bytes. */

/** Timeout for a new connection and its greeting: round trips take 1 to 5 ms, a stalled process up to 100 ms. */
export const GREETING_TIMEOUT_MILLISECONDS = 500

/** Initial pause before a destination is dialled again; it doubles with every failure. */
export const MIN_REDIAL_PAUSE_MILLISECONDS = 50

/** Maximum pause before a destination is dialled again: a process that returns is linked within this time. */
export const MAX_REDIAL_PAUSE_MILLISECONDS = 500

/** How long a destination is dialled without success before it is removed, unless it is added again. */
export const DESTINATION_EXPIRY_MILLISECONDS = 60_000

/** Maximum message size: fits a configuration of 1 MB as a JSON string with escaped quotes. */
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024

/** Maximum number of bytes buffered for one peer. Beyond it the peer has stopped reading and the link is closed. */
export const MAX_BACKLOG_BYTES = 16 * 1024 * 1024
