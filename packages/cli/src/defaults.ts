/** Default values, limits and intervals of the tool. Names state the unit of durations. */

/** Endpoint of the key-value service if no `--store` is given. */
export const DEFAULT_STORE = 'http://127.0.0.1:2379'

/** Time limit of one call to the key-value service. */
export const STORE_TIMEOUT_MILLISECONDS = 1000

/** Time limit for settling the outcome of an apply whose answer was lost. */
export const SETTLE_MILLISECONDS = 5000

/** Pause between two attempts to settle the outcome of an apply. */
export const SETTLE_PAUSE_MILLISECONDS = 200

/** Maximum number of reads of the configuration in force while the answer is older than the file's base. */
export const MAX_BASE_READS = 5

/** Maximum number of attempts of a drain that loses races against other applies. */
export const MAX_DRAIN_ATTEMPTS = 5

/** Time limit of one request to a status port. */
export const STATUS_TIMEOUT_MILLISECONDS = 1000

/** Maximum number of concurrent requests to status ports. */
export const MAX_CONCURRENT_STATUS_REQUESTS = 32

/** Default of `--wait-seconds`. */
export const DEFAULT_WAIT_SECONDS = 15

/** Pause between two polls of all instances during a wait. */
export const WAIT_POLL_MILLISECONDS = 250

/** Default number of versions that `history` lists. */
export const DEFAULT_HISTORY_LIMIT = 20

/** Default refresh interval of `top`, in seconds. */
export const DEFAULT_TOP_INTERVAL_SECONDS = 2

/** Maximum number of status addresses read from the key-value service. */
export const MAX_PUBLISHED_INSTANCES = 1000

/** Maximum number of lagging instances that a wait names. The others are only counted, since a fleet may be large. */
export const MAX_NAMED_LAGGARDS = 5
