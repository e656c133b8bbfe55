/** Constants of the stand-ins. Times are in milliseconds. */

export const LOOPBACK = '127.0.0.1'

/** Maximum number of concurrent tasks of a target. */
export const TARGET_SLOTS = 8

/** Maximum number of start records of a target. Further starts are only counted, and an audit then fails. */
export const MAX_TARGET_RECORDS = 1_000_000

/** Maximum size of a request body that a target accepts, in bytes. */
export const MAX_TARGET_BODY_BYTES = 4 * 1024 * 1024

/** Idle time after which a target closes a connection. It is long, so that no call hits a connection that is being closed. */
export const TARGET_KEEP_ALIVE_TIMEOUT = 60_000

/** Interval between readiness checks of an entry. */
export const READINESS_INTERVAL = 200

/** Timeout of a readiness check. */
export const READINESS_TIMEOUT = 1_000

/** Number of refusals of one job after which a refusal is final, even with a time to retry. */
export const MAX_REFUSALS = 8

/** Maximum time that a caller waits before it retries after a refusal. */
export const MAX_RETRY_AFTER = 5_000

/** Time after which a caller abandons a submission without an answer and submits the job again. */
export const SUBMISSION_TIMEOUT = 10_000

/** Time from the first submission after which a caller abandons a job. */
export const JOB_TIMEOUT = 40_000

/** Delay before a job is submitted again after a failed submission, or when no entry is ready. */
export const RESUBMIT_DELAY = 50

/** Maximum number of connections of a caller to one entry. */
export const CALLER_CONNECTIONS = 256

/** Deadline of generated jobs. */
export const JOB_DEADLINE = 30_000

/** Log lines kept of each launched process. */
export const MAX_LOG_LINES = 400

/** Characters kept of each log line. */
export const MAX_LOG_LINE_LENGTH = 1_000

/** Timeout until a launched process is ready. */
export const LAUNCH_TIMEOUT = 15_000

/** Time between SIGTERM and SIGKILL when a process is stopped. */
export const STOP_TIMEOUT = 8_000

/** Interval between checks of an awaited condition. */
export const POLL_INTERVAL = 50

/** Port range of fleets. It lies below the range from which the system picks ports for connections. */
export const FIRST_PORT = 18_000
export const LAST_PORT = 31_000

/** Number of ports that a picker claims at once. */
export const PORT_BLOCK = 50

/** Time within which targets must finish their runs before their records are read. */
export const SETTLE_TIMEOUT = 15_000
