/** Constants for crash suspects and cancellations. Durations in milliseconds unless the name says otherwise. */

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
 * confirmed its start and that are not part of a mass loss, and all of them.
 */
export const CRASHES_TO_BLOCK = 3
export const LOSSES_TO_BLOCK = 5

/** Crashes of its own target after which an agent refuses the task that ran there. */
export const CRASHES_TO_REFUSE = 2

/** Cost of placing a suspect on the fullest rather than the emptiest target: above any cost of distance or speed. */
export const SUSPECT_LOAD_COST_MILLISECONDS = 10_000

/**
 * Targets that crash within this window have a common cause, such as a rack without power, if they are at least this
 * fraction of the known targets and at least this many. Agents detect a crash within one poll and its slack, 200 ms.
 */
export const MASS_LOSS_WINDOW_MILLISECONDS = 250
export const MASS_LOSS_FRACTION = 0.1
export const MASS_LOSS_MIN_TARGETS = 3

// Cancellations

/** How long a cancellation is remembered: a caller or a delayed submission may arrive for as long as callers wait, 30 s. */
export const CANCELLATION_RETENTION_MILLISECONDS = 30_000
export const MAX_CANCELLATIONS = 5000

/**
 * How long an orphaned run may stay listed while each poll orders it to stop: four stops without an answer. After that
 * the lease is allowed to expire, which also ends the tasks that run beside it.
 */
export const ORPHANED_RUN_MILLISECONDS = 400
