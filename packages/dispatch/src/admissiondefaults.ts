/** Constants for admission by the whole fleet, and for returns of refused callers. */

/** Time constant of the demand measurement: a share that is no longer wanted goes to others within a second. */
export const DEMAND_WINDOW_MILLISECONDS = 300

/** Minimum and maximum time between two demand reports to another entry. */
export const DEMAND_INTERVAL_MILLISECONDS = 200
export const DEMAND_REPEAT_MILLISECONDS = 1000

/** Relative change of a figure since the last report that triggers a new one. */
export const DEMAND_CHANGE_FRACTION = 0.05

/** Age from which a demand report is ignored: the next one is overdue. */
export const DEMAND_EXPIRY_MILLISECONDS = 1200

/** Maximum queues in one report, length of their names, and number of names measured. */
export const MAX_QUEUES_PER_REPORT = 32
export const MAX_DEMAND_NAME_LENGTH = 128
export const MAX_DEMAND_NAMES = 256

/** Maximum accepted value of one reported figure, in cores: beyond any fleet. */
export const MAX_DEMAND_CORES = 1_000_000

/**
 * Maximum demand of one queue accepted from one entry, as fractions of the capacity; and maximum ratio of the cores
 * that entries report as held to those that agents report as used, since an agent's report may be half a second older.
 */
export const MAX_OFFERED_FRACTION = 3
export const MAX_WAITING_FRACTION = 0.25
export const MAX_REPORTED_OVER_USED = 1.2

/** How often the shares are computed, and the relative loss of capacity after which waiting jobs are checked again. */
export const SHARES_INTERVAL_MILLISECONDS = 20
export const CAPACITY_LOSS_FRACTION = 0.02

/** Cores of newly admitted jobs, as a fraction of the capacity, after which the shares are computed early. */
export const STALE_ADMITTED_FRACTION = 0.02

/** Cores wanted at one time, as a fraction of the capacity, that admission aims at: a short queue keeps every core busy. */
export const WANTED_FRACTION = 1.1

/** Cores wanted at one time, as a fraction of the capacity, at which refusals start: below it the wait is some 20 ms at most. */
export const REFUSAL_START_FRACTION = 1.25

/** Gain with which the admitted work follows the distance to that aim, as a ratio of two fractions of the capacity. */
export const WANTED_GAIN = 2

/**
 * Demand above the fair share, as a fraction of it, up to which a queue is still admitted whole: measured demand
 * fluctuates as much.
 */
export const TOLERATED_EXCESS = 0.4

/**
 * Time in which the trim adapts the admitted work to what keeps the cores busy, and the bounds of the trim, as
 * fractions of the capacity.
 */
export const TRIM_MILLISECONDS = 1000
export const MIN_TRIM = 0.5
export const MAX_TRIM = 4

/** Fraction of the time that a job can wait which the expected wait may take: estimates of work are off by 40%. */
export const EXPECTED_WAIT_FRACTION = 0.7

/** Maximum jobs admitted ahead of their turn before first arrivals have made up for them. */
export const MAX_RETURN_DEBT = 32

/** Minimum time between two log lines that one queue's share is exceeded. */
export const SHARE_LOG_MILLISECONDS = 1000

// Returns of refused callers

/** Callers are asked to return after whole seconds. */
export const RETRY_STEP_MILLISECONDS = 1000

/** Length of the time slots in which returns are booked. */
export const RETURN_SLOT_MILLISECONDS = 250

/** Fraction of the admitted jobs that is reserved for returns; the rest is left to first arrivals. */
export const RETURN_SHARE = 0.5

/** Maximum time that a refused caller is asked to wait. */
export const MAX_RETURN_MILLISECONDS = 10_000

/**
 * How much earlier and later than asked a caller may return and still have precedence: timers, new connections, polling
 * by the caller.
 */
export const EARLY_RETURN_MILLISECONDS = 50
export const LATE_RETURN_MILLISECONDS = 1500

/** Refusals after which a caller has precedence even if no capacity was reserved for it. */
export const REFUSALS_BEFORE_PRECEDENCE = 2

/** Maximum expected returns kept, and sent in one report; maximum length of a job's id. */
export const MAX_RETURNS = 10_000
export const MAX_RETURNS_PER_REPORT = 64
export const MAX_RETURN_ID_LENGTH = 64
