/** Limits and intervals of the configuration exchange between entries. Durations are in milliseconds, sizes in characters. */

/** Interval at which an entry sends its version to some of its peers, in case they missed the update. */
export const ANNOUNCE_INTERVAL_MILLISECONDS = 400

/** Number of peers per announcement, selected round-robin, so that messages do not grow with the square of the number of entries. */
export const PEERS_PER_ANNOUNCEMENT = 4

/** Delay before an entry fetches a newer version from a peer. Its own watch usually delivers the same change in this time. */
export const FETCH_DELAY_MILLISECONDS = 100

/**
 * Age of the last confirmation above which the store counts as unresponsive. The entry then fetches newer versions without
 * delay and asks its peers for confirmations.
 */
export const MAX_CONFIRMATION_AGE_MILLISECONDS = 1500

/** Timeout for one part of a document; then the document is fetched from another peer. A slow link transfers a part in a twentieth of this. */
export const PART_TIMEOUT_MILLISECONDS = 1000

/** Size of one part of a document. It delays other messages on a slow link by 25 ms. */
export const PART_CHARACTERS = 48 * 1024

/** Maximum size of a document, packed or unpacked. Values in the store have at most 1 MB. */
export const MAX_DOCUMENT_SIZE = 4 * 1024 * 1024
