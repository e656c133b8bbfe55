/** Constants for cancellations. */

/** How long a cancellation is remembered: a caller or a delayed submission may arrive for as long as callers wait, 30 s. */
export const CANCELLATION_RETENTION_MILLISECONDS = 30_000

/** Cancellations an entry remembers: those of a tenth of 23,000 jobs a second within the retention. */
export const MAX_CANCELLATIONS = 70_000

/** Shortest time between the starts of two writes. */
export const CANCELLATION_WRITE_INTERVAL_MILLISECONDS = 250

/** Cancellations in one write: with addresses of 250 bytes below half of the size limit of a stored value. */
export const MAX_CANCELLATIONS_PER_WRITE = 2000

/** Cancellations in one message: with addresses of 250 bytes far below the size limit of a message. */
export const MAX_CANCELLATIONS_PER_MESSAGE = 2000

/** How long a request to cancel waits for the store: less than callers wait for an acknowledgement. */
export const CANCELLATION_PATIENCE_MILLISECONDS = 2000

/** When to ask again after a cancellation could not be stored. */
export const CANCELLATION_RETRY_MILLISECONDS = 1000

/** How long an entry waits for the store, and for an answer, until it asks the other entries for the stored cancellations. */
export const RECOVERY_ASK_MILLISECONDS = 300

/** When to submit again to an entry that has not read the stored cancellations yet. */
export const RECOVERY_RETRY_MILLISECONDS = 500
