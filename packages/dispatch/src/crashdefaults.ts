/** Constants for crash suspects and orphaned runs. Durations in milliseconds unless the name says otherwise. */

/**
 * How long a crash counts against the tasks that were on the target: callers retry a job for as long as they wait, up
 * to 30 s.
 */
export const CRASH_RETENTION_MILLISECONDS = 30_000

/** Maximum crash records, one per task and incarnation of the target, kept by an agent; and suspects kept by an entry. */
export const MAX_CRASH_RECORDS = 256
export const MAX_SUSPECTS = 5000

/**
 * Losses of targets after which a task counts as their cause and is started no more: those of targets that had
 * confirmed its start, and all of them.
 */
export const CRASHES_TO_BLOCK = 3
export const LOSSES_TO_BLOCK = 5

/** Crashes of its own target after which an agent refuses the task that ran there. */
export const CRASHES_TO_REFUSE = 2

/** Cost of placing a suspect on the fullest rather than the emptiest target: above any cost of distance or speed. */
export const SUSPECT_LOAD_COST_MILLISECONDS = 10_000

/**
 * How long an orphaned run may stay listed while each poll orders it to stop: four stops without an answer. After that
 * the lease is allowed to expire, which also ends the tasks that run beside it.
 */
export const ORPHANED_RUN_MILLISECONDS = 400
