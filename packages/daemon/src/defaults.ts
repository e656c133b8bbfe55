/** Limits and intervals of the daemon, in one place. Durations are in milliseconds, sizes in bytes. */

/** Interval of the daemon's one timer while there is work. */
export const TICK_MILLISECONDS = 50

/**
 * The same while there is none. Half of the wake-ups of an idle agent were ticks; pings of idle links, which are due every
 * 450 ms, must not be late by more than the contact of 600 ms allows.
 */
export const IDLE_TICK_MILLISECONDS = 100

/** Largest body of a request of a caller. */
export const MAX_BODY_BYTES = 4 * 1024 * 1024

/** Most tasks of one job. */
export const MAX_TASKS = 140

/** What a job id, a tenant and a service look like. */
export const ID_PATTERN = /^[A-Za-z0-9._:-]{1,128}$/

/** Deadline of a job that states none. */
export const DEFAULT_DEADLINE_MILLISECONDS = 30_000

/** Longest deadline that a job may ask for. */
export const MAX_DEADLINE_MILLISECONDS = 24 * 60 * 60 * 1000

/** Characters of a digest of a job's content: 132 bits. */
export const DIGEST_LENGTH = 22

/** Longest run time that a task may declare. */
export const MAX_RUN_MILLISECONDS = 24 * 60 * 60 * 1000

/** Most accelerators or megabytes that a task may ask for. */
export const MAX_NEED = 1_000_000_000

/** How long a caller may take to send its request. */
export const REQUEST_TIMEOUT_MILLISECONDS = 30_000

/** How long an idle connection of a caller stays open: longer than balancers keep theirs. */
export const KEEP_ALIVE_MILLISECONDS = 75_000

/** Connections of callers at one time. */
export const MAX_CALLER_CONNECTIONS = 8192

/** Most messages in one frame of the inner protocol. */
export const MAX_FRAME_MESSAGES = 512

/** Messages that may wait for one peer: a link that holds more has a stuck reader and is closed. */
export const MAX_OUTBOX_MESSAGES = 65_536

/**
 * Shortest silence after which a link counts as lost. An entry that is heard and hears nobody makes
 * itself missed by this, before its own patience with the others is over.
 */
export const MIN_LINK_TIMEOUT_MILLISECONDS = 2000

/** Heartbeats that must be missing before a link counts as lost. */
export const LINK_TIMEOUT_HEARTBEATS = 5

/** Least time between two looks for silent links. */
export const MIN_SWEEP_INTERVAL_MILLISECONDS = 500

/** Time between two looks above which this process itself was stopped. */
export const PROCESS_PAUSE_MILLISECONDS = 1500

/** How long a new connection to a peer may take. */
export const CONNECT_TIMEOUT_MILLISECONDS = 2000

/** First pause before a link is dialled again; it doubles with every failure. */
export const MIN_RECONNECT_PAUSE_MILLISECONDS = 50

/** Longest pause before a link is dialled again. */
export const MAX_RECONNECT_PAUSE_MILLISECONDS = 2000

/** Memory that one HTTP/2 session may use, in megabytes: several whole jobs on their way. */
export const SESSION_MEMORY_MEGABYTES = 64

/** Time between reads of the configuration, which guard against a watch that went silent. */
export const CONFIGURATION_POLL_MILLISECONDS = 1000

/** Time between reads of the view beside those that the decision logic asks for. */
export const VIEW_POLL_MILLISECONDS = 30_000

/** Mean pause before a failed write of an entry's status address is tried again. */
export const PUBLISH_RETRY_MILLISECONDS = 2000

/** Largest result of a task. */
export const MAX_RESULT_BYTES = 4 * 1024 * 1024

/** Characters of a target's error body that are passed on to the caller. */
export const FAILURE_DETAIL_LENGTH = 300

/** When a call to a target is given up whatever the deadline: guards the slot against a target that hangs. */
export const TARGET_TIMEOUT_MILLISECONDS = 10 * 60 * 1000

/** How long an idle connection to the target stays open. */
export const TARGET_KEEP_ALIVE_MILLISECONDS = 4000

/** How long a planned stop may take before the process ends with work left. */
export const MAX_STOP_MILLISECONDS = 60_000

/** Largest value that the histograms hold apart: a duration in milliseconds, or a ratio. */
export const MAX_HISTOGRAM_VALUE = 10 * 60 * 1000

/** Pairs of tenant and service with histograms of their own; later ones share one. */
export const MAX_HISTOGRAM_CLASSES = 500

/** How long the last messages and responses of a planned stop may take to leave. */
export const FLUSH_MILLISECONDS = 200
