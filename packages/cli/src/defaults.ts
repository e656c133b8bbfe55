/** Limits and intervals of the tool. Durations are in milliseconds. */

/** Endpoint of the key-value service when none is named. */
export const DEFAULT_STORE = 'http://127.0.0.1:2379'

/** Time limit of one call to the key-value service. */
export const STORE_TIMEOUT_MILLISECONDS = 1000

/** How long the outcome of an apply is sought after its answer was lost. */
export const SETTLE_MILLISECONDS = 5000

/** Pause between two attempts to settle it. */
export const SETTLE_PAUSE_MILLISECONDS = 200

/** Reads of the configuration in force when its answer is older than the file's base. */
export const BASE_READS = 5

/** Times that a drain is tried again after another apply was faster. */
export const DRAIN_ATTEMPTS = 5

/** Time limit of one request to a status port. */
export const STATUS_TIMEOUT_MILLISECONDS = 1000

/** Requests to status ports at one time. */
export const STATUS_REQUESTS = 32

/** How long `--wait` waits when nothing else is said, in seconds. */
export const WAIT_SECONDS = 15

/** Pause between two rounds of questions to all instances. */
export const WAIT_PAUSE_MILLISECONDS = 250

/** Versions that `history` lists. */
export const HISTORY_LIMIT = 20

/** Seconds between two pictures of `top`. */
export const TOP_SECONDS = 2

/** Status addresses read from the key-value service. */
export const PUBLISHED_LIMIT = 1000

/** Instances that a wait names as behind; of a large fleet the others are counted. */
export const LAGGARDS_NAMED = 5
