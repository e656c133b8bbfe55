/** Named constants of the stand-ins. Times are in milliseconds unless the name says otherwise. */

export const LOOPBACK = '127.0.0.1'

/** Tasks that a target runs at one time. */
export const TARGET_SLOTS = 8

/** Start records that a target holds; starts beyond are only counted, and an audit then fails. */
export const MAX_TARGET_RECORDS = 1_000_000

/** Largest payload that a target reads, in bytes. */
export const MAX_TARGET_BODY_BYTES = 4 * 1024 * 1024

/** Idle time after which a target closes a connection: long, so that no call meets a closing one. */
export const TARGET_KEEP_ALIVE_TIMEOUT = 60_000

/** Time between two readiness checks of the same entry. */
export const READINESS_INTERVAL = 200

/** Time that a readiness check may take. */
export const READINESS_TIMEOUT = 1_000

/** Submissions of one job that may be answered by a refusal with a time to come back. */
export const MAX_REFUSALS = 8

/** Longest wait that a caller accepts before it comes back after a refusal. */
export const MAX_RETRY_AFTER = 5_000

/** Time after which a caller takes one submission for lost and submits the job again. */
export const SUBMISSION_TIMEOUT = 10_000

/** Time from the first submission after which a caller gives a job up. */
export const JOB_TIMEOUT = 40_000

/** Wait before a submission that follows a broken one, and when no entry is ready. */
export const RESUBMIT_DELAY = 50

/** Connections that a caller holds to one entry. */
export const CALLER_CONNECTIONS = 256

/** Deadline that generated jobs state. */
export const JOB_DEADLINE = 30_000

/** Lines that a process group keeps of each process. */
export const MAX_LOG_LINES = 400

/** Characters that a process group keeps of each line. */
export const MAX_LOG_LINE_LENGTH = 1_000

/** Time that a launched process has until it is ready. */
export const LAUNCH_TIMEOUT = 15_000

/** Time that a process has to end after SIGTERM before it is killed. */
export const STOP_TIMEOUT = 8_000

/** Time between two looks at something that is waited for. */
export const POLL_INTERVAL = 50

/** Ports for the fleet: below the range from which the system picks ports for connections. */
export const FIRST_PORT = 18_000
export const LAST_PORT = 31_000

/** Ports that one picker claims at a time. */
export const PORT_BLOCK = 50

/** Time that targets have to finish their runs before their records are read. */
export const SETTLE_TIMEOUT = 15_000
