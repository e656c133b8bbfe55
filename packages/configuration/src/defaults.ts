/** Limits and intervals of the exchange of configurations between entries. Durations in milliseconds, sizes in characters. */

/** How often an entry tells some of the others its version, for those that missed the news of it. */
export const TELL_MILLISECONDS = 400

/** How many of the others are told at a time, in turn: messages must not grow with the square of the entries. */
export const TOLD_AT_ONCE = 4

/** How long an entry that hears of a newer version waits for its own watch, which hears of a change at the same time. */
export const FETCH_AFTER_MILLISECONDS = 100

/** Age of the last confirmation from which the store counts as silent: then nothing is waited for, and others are asked what they know. */
export const UNCONFIRMED_MILLISECONDS = 1500

/** A part that has not come by then is asked of another entry: a small link carries it in a twentieth of that. */
export const PART_LIMIT_MILLISECONDS = 1000

/** A part of a document: it holds up the other messages of a small link for 25 ms. */
export const PART_CHARACTERS = 48 * 1024

/** Largest document that is unpacked; values of the store have at most a megabyte. */
export const DOCUMENT_LIMIT = 4 * 1024 * 1024
