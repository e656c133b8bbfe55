/** Limits and intervals of the daemon. Durations are in milliseconds, sizes in bytes. */

/** Interval of the daemon's timer while there is work. */
export const TICK_MILLISECONDS = 50

/**
 * Interval of the timer while there is no work. At the busy interval, ticks are half of the wake-ups of an idle agent. An
 * interval much longer than this would delay the pings of idle links, which are due every 450 ms, beyond what the contact time of 600 ms allows.
 */
export const IDLE_TICK_MILLISECONDS = 100

/** Maximum size of the body of a caller's request. */
export const MAX_BODY_BYTES = 4 * 1024 * 1024

/** Maximum number of tasks of one job. */
export const MAX_TASKS = 140

/** Valid job ids, tenants and services. */
export const ID_PATTERN = /^[A-Za-z0-9._:-]{1,128}$/

/** Deadline of a job that does not specify one. */
export const DEFAULT_DEADLINE_MILLISECONDS = 30_000

/** Maximum deadline of a job. */
export const MAX_DEADLINE_MILLISECONDS = 24 * 60 * 60 * 1000

/** Number of base64url characters kept of the digest of a job's content: 132 bits. */
export const DIGEST_LENGTH = 22

/** Maximum run time that a task may declare. */
export const MAX_RUN_MILLISECONDS = 24 * 60 * 60 * 1000

/** Maximum number of accelerators or megabytes that a task may request. */
export const MAX_NEED = 1_000_000_000

/** How long a caller may take to send its request. */
export const REQUEST_TIMEOUT_MILLISECONDS = 30_000

/** How long an idle connection of a caller stays open: longer than balancers keep idle connections. */
export const KEEP_ALIVE_MILLISECONDS = 75_000

/** Maximum number of concurrent connections of callers. */
export const MAX_CALLER_CONNECTIONS = 8192

/** Maximum number of messages in one frame of the inner protocol. */
export const MAX_FRAME_MESSAGES = 512

/** Maximum number of messages queued for one peer. When the queue is full, the peer has stopped reading and the link is closed. */
export const MAX_OUTBOX_MESSAGES = 65_536

/**
 * Minimum time without receipt after which a link counts as lost. When an entry can send but not receive,
 * the closed links let the others detect its loss before its own wait limit for them expires.
 */
export const MIN_LINK_TIMEOUT_MILLISECONDS = 2000

/** Number of missed heartbeats after which a link counts as lost. */
export const LINK_TIMEOUT_HEARTBEATS = 5

/** Minimum time between two checks for unresponsive links. */
export const MIN_SWEEP_INTERVAL_MILLISECONDS = 500

/** Time between two checks above which this process itself is assumed to have been paused. */
export const PROCESS_PAUSE_MILLISECONDS = 1500

/** Timeout for establishing a connection to a peer. */
export const CONNECT_TIMEOUT_MILLISECONDS = 2000

/** Base of the pause before a link is dialled again; the pause doubles with every failure. */
export const RECONNECT_BASE_PAUSE_MILLISECONDS = 50

/** Maximum pause before a link is dialled again. */
export const MAX_RECONNECT_PAUSE_MILLISECONDS = 2000

/** Memory limit of one HTTP/2 session, in megabytes: enough for several complete jobs in transit. */
export const SESSION_MEMORY_MEGABYTES = 64

/** Interval at which the configuration is read in case its watch has stopped reporting without an error. */
export const CONFIGURATION_POLL_MILLISECONDS = 1000

/** Interval at which the view is read in addition to the reads that the decision logic requests. */
export const VIEW_POLL_MILLISECONDS = 30_000

/** Mean pause before a failed write of an entry's status address is retried. */
export const PUBLISH_RETRY_MILLISECONDS = 2000

/** Maximum size of the result of a task. */
export const MAX_RESULT_BYTES = 4 * 1024 * 1024

/** Maximum number of characters of a target's error body that are passed on to the caller. */
export const FAILURE_DETAIL_LENGTH = 300

/** Timeout of a call to a target, regardless of the job's deadline: frees the slot when a target hangs. */
export const TARGET_TIMEOUT_MILLISECONDS = 10 * 60 * 1000

/** How long an idle connection to the target stays open. */
export const TARGET_KEEP_ALIVE_MILLISECONDS = 4000

/** Maximum duration of a planned stop; after it the process exits with unfinished work. */
export const MAX_STOP_MILLISECONDS = 60_000

/** Maximum value that the histograms record, a duration in milliseconds or a ratio; larger values are clamped. */
export const MAX_HISTOGRAM_VALUE = 10 * 60 * 1000

/** Maximum number of tenant and service pairs with their own histograms; further pairs share one. */
export const MAX_HISTOGRAM_CLASSES = 500

/** Time allowed for sending the last messages and responses of a planned stop. */
export const FLUSH_MILLISECONDS = 200
