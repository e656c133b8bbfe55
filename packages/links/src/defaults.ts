/** Limits and intervals of the links between processes. Durations in milliseconds, sizes in bytes. */

/** How long a new connection and its greeting may take: round trips take 1 to 5 ms, a stalled process 100. */
export const GREETING_TIMEOUT_MILLISECONDS = 500

/** First pause before a destination is dialled again; it doubles with every failure. */
export const MIN_REDIAL_PAUSE_MILLISECONDS = 50

/** Longest pause: a process that returns is linked within it. */
export const MAX_REDIAL_PAUSE_MILLISECONDS = 500

/** How long a destination is dialled in vain before it is forgotten, unless it is named again. */
export const DESTINATION_EXPIRY_MILLISECONDS = 60_000

/** Largest message: a configuration of 1 MB in JSON, with room for its quotes. */
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024

/** Bytes that may wait for one peer: a link that holds more has a stuck reader and is closed. */
export const MAX_BACKLOG_BYTES = 16 * 1024 * 1024
