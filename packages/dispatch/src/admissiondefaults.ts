/** Constants of admission by the whole fleet, and of returns. */

/** Time over which the demand is measured: a share that is not wanted any more goes to others within a second. */
export const DEMAND_WINDOW_MILLISECONDS = 300

/** Least and longest time between two messages on demand to another entry. */
export const DEMAND_INTERVAL_MILLISECONDS = 200
export const DEMAND_REPEAT_MILLISECONDS = 1000

/** Change of a figure, in parts of what was told, that is worth a message. */
export const DEMAND_CHANGE_PART = 0.05

/** Age from which the word of an entry counts no further: its repeat is overdue. */
export const DEMAND_MEMORY_MILLISECONDS = 1200

/** Kinds in one message, length of their names, and names that are measured. */
export const DEMAND_KINDS_TOLD = 32
export const DEMAND_NAME_LIMIT = 128
export const DEMAND_NAMES_LIMIT = 256

/** Most that an entry may say of one figure, in cores: beyond any fleet. */
export const DEMAND_LIMIT_CORES = 1_000_000

/**
 * How far the word of one entry on one kind is believed, in parts of the capacity; and what entries say to hold, over what
 * the agents say to be in use: an agent's word may be half a second older.
 */
export const MOST_OFFERED_PART = 3
export const MOST_WAITING_PART = 0.25
export const TOLD_OVER_USED = 1.2

/** How often the shares are worked out, and the change of the capacity at which what waits is judged anew. */
export const SHARES_INTERVAL_MILLISECONDS = 20
export const CAPACITY_LOSS_PART = 0.02

/** Cores of newly admitted jobs, in parts of the capacity, for which the shares are worked out sooner. */
export const STALE_PART = 0.02

/** Cores wanted at one time, in parts of the capacity, that admission aims at: a short queue keeps every core busy. */
export const WANTED_PART = 1.1

/** Cores wanted at one time, in parts of the capacity, at which jobs are first refused: fewer are a wait of some 20 ms. */
export const CALM_PART = 1.25

/** How far the admitted work follows what is missing to that aim, for each part of the capacity. */
export const WANTED_GAIN = 2

/** Demand above the fair share, in parts of it, at which a kind is admitted whole all the same: measured demand swings as much. */
export const EXCESS_TOLERATED = 0.4

/** Time in which the admitted work is trimmed to what keeps the cores busy, and the bounds of the trim, in parts of the capacity. */
export const TRIM_MILLISECONDS = 1000
export const SMALLEST_TRIM = 0.5
export const LARGEST_TRIM = 4

/** Part of the time that a job can wait which a foreseen wait may take: estimates of work are off by 40%. */
export const FORESEEN_WAIT_PART = 0.7

/** Jobs that may be let through before their turn, until those that arrive first time have made up for them. */
export const RETURN_DEBT_LIMIT = 32

/** Least time between two notes of one kind that its share is exceeded. */
export const SHARE_NOTE_MILLISECONDS = 1000

// Return of refused callers.

/** Callers are told whole seconds. */
export const RETRY_STEP_MILLISECONDS = 1000

/** Length of the slots of time in which returns are booked. */
export const RETURN_SLOT_MILLISECONDS = 250

/** Part of the jobs let in that is kept for returns; the rest is left to those that arrive first time. */
export const RETURN_SHARE = 0.5

/** Longest time for which a refused caller is told to stay away. */
export const LONGEST_RETURN_MILLISECONDS = 10_000

/** How much sooner and later than told a caller may come and still go first: timers, new connections, a poll of the caller. */
export const EARLY_RETURN_MILLISECONDS = 50
export const LATE_RETURN_MILLISECONDS = 1500

/** Refusals after which a caller goes first though no room was kept for it. */
export const REFUSALS_BEFORE_PRECEDENCE = 2

/** Refused callers that are remembered, and told of in one message; length of a job's id. */
export const RETURNS_REMEMBERED = 10_000
export const RETURNS_TOLD = 64
export const RETURN_ID_LIMIT = 64
