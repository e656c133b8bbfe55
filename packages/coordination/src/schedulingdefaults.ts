/** Constants of the scheduling decisions. Durations are in milliseconds unless the name says otherwise. */

/** Maximum number of waiting tasks at an agent, in multiples of its slots. */
export const QUEUE_PER_SLOT = 6

/** Maximum number of unfinished tasks of one entry at an agent, in multiples of its slots. */
export const CREDIT_PER_SLOT = 4

/** Reports that an agent may send per task offered to it, over all entries. */
export const REPORTS_PER_OFFER = 0.08

/** Maximum number of unused reports that an agent may save up. */
export const MAX_SAVED_REPORTS = 2

/** Minimum change of credit that triggers a report, as a fraction of the slots. */
export const REPORT_HYSTERESIS = 0.25

/**
 * Weight of the newest count in the moving average of an entry's unfinished tasks at an agent, updated once
 * per task offered.
 */
export const DEMAND_SMOOTHING = 0.05

/** Run time assumed while none is known for the service and none is declared. */
export const DEFAULT_RUN_MILLISECONDS = 500

/** Lower bound of run times, so that their logarithm stays meaningful. */
export const MIN_RUN_MILLISECONDS = 1

/** Weight of the newest outcome in learned run times. */
export const ESTIMATE_SMOOTHING = 0.02

/** Factor by which the longest run time decays with each further outcome. */
export const PEAK_RUN_DECAY = 0.9995

/**
 * Outcomes after which the learned mean replaces declared run times. After as many outcomes with a
 * declaration, the regression on the declaration replaces the mean.
 */
export const ESTIMATE_WARM_UP = 8

/** Weight of the newest outcome in a target's failure rate. */
export const FAILURE_SMOOTHING = 0.2

/** Minimum failure rate at which a target may be ejected. */
export const EJECTION_THRESHOLD = 0.45

/** Minimum ratio of a target's failure rate to that of the others for it to be ejected. */
export const EJECTION_CONTRAST = 2

/** Fraction of the connected targets that is never ejected; at least one target. */
export const NEVER_EJECTED_FRACTION = 0.25

/** First ejection of a target that refuses a task despite free capacity; doubles until it accepts work. */
export const REFUSAL_EJECTION_MILLISECONDS = 250

/** First ejection of a failing target; doubles with each further ejection. */
export const EJECTION_MILLISECONDS = 2_000

/** Maximum duration of an ejection. */
export const MAX_EJECTION_MILLISECONDS = 8_000

/** Consecutive successes after which earlier ejections no longer lengthen the next one. */
export const EJECTION_RESET_SUCCESSES = 50

/** Weight of the newest outcome in a target's slowness. */
export const SLOWNESS_SMOOTHING = 0.06

/** Half-life of a target's slowness, so that a slow target is tried again. */
export const SLOWNESS_HALF_LIFE_MILLISECONDS = 60_000

/** Interval at which the rank of a slow target is recomputed while no event changes it. */
export const SLOWNESS_REVIEW_MILLISECONDS = 1_000

/** Slowness below this value counts as chance and is ignored. */
export const SLOWNESS_THRESHOLD = 1.8

/** Reconnects of a target, decayed by the half-life below, above which it counts as flapping. */
export const MAX_FLAPS = 3

/** Half-life of a target's reconnect count. */
export const FLAP_HALF_LIFE_MILLISECONDS = 30_000

/** Minimum time without a response after which a busy target receives no more tasks. */
export const HANG_MILLISECONDS = 1_500

/** Time without a response after which a busy target receives no more tasks, in mean run times. */
export const HANG_RUN_TIMES = 4

/** How long a job may be overtaken in the queue, in multiples of its shortest possible duration. */
export const OVERTAKING_FACTOR = 4

/**
 * Time reserved before the deadline when overtaking is limited, in multiples of the job's shortest possible
 * duration.
 */
export const OVERTAKING_SLACK = 2

/**
 * Weight of the run time in the order key: places the longest task of a job first, without moving the job
 * relative to others.
 */
export const WITHIN_JOB_WEIGHT = 1e-7

/**
 * Fraction of the time between arrival and deadline for which a task waits for the provider selected by the
 * shares.
 */
export const SHARE_WAIT_FRACTION = 0.25

/** Maximum balance of a provider in either direction, in tasks; anything beyond it is dropped. */
export const MAX_SHARE_BALANCE = 2

/** Maximum expected duration of an admitted job, as a fraction of the time left. */
export const ADMISSION_FRACTION = 0.55

/** Maximum expected wait of a job that others overtake, in multiples of the mean wait. */
export const MAX_OVERTAKING_FACTOR = 4

/** Minimum time after which a refused caller is asked to try again. */
export const MIN_RETRY_AFTER_MILLISECONDS = 100

/** Maximum time after which a refused caller is asked to try again. */
export const MAX_RETRY_AFTER_MILLISECONDS = 30_000

/** Immediate retries of tasks that were not started, per task dispatched. */
export const RETRIES_PER_DISPATCH = 0.1

/** Maximum number of unused immediate retries that may be saved up. */
export const MAX_SAVED_RETRIES = 50

/** Base delay of a retry beyond the budget; doubles with each refusal of the same task. */
export const RETRY_DELAY_MILLISECONDS = 20

/** Maximum delay of a retry. */
export const MAX_RETRY_DELAY_MILLISECONDS = 2_000

/** Maximum number of refused tasks whose refusals are counted. */
export const MAX_TRACKED_REFUSALS = 20_000

/** How long a target that refused a task for lack of capacity receives no more than it holds. */
export const FULL_TARGET_MILLISECONDS = 500

/** Half-life of the weight of a reported load. */
export const REPORT_HALF_LIFE_MILLISECONDS = 500

/** Number of least loaded targets that are tried for a task with special needs. */
export const MAX_CANDIDATES_FOR_NEEDS = 8

/**
 * Work that a tenant may submit at once beyond its fair share, as the time that the fair share of the slots
 * needs for it.
 */
export const EXCESS_ALLOWANCE_MILLISECONDS = 10_000

/**
 * Maximum excess of a tenant over its fair share, and thus the maximum delay of its tasks behind those of
 * others.
 */
export const MAX_EXCESS_MILLISECONDS = 10_000

/**
 * Fraction of an agent's credit up to which a tenant above its fair share may fill it; the rest is left to
 * others.
 */
export const EXCESS_CREDIT_FRACTION = 0.5

/** Bound on how much run time and age affect the order between tasks of different tenants. */
export const MAX_TENANT_OVERTAKING_MILLISECONDS = 500

/** How long a tenant counts as active after its last job. */
export const TENANT_ACTIVE_MILLISECONDS = 30_000

/** Time over which the slots that this entry actually uses are averaged. */
export const CAPACITY_AVERAGING_MILLISECONDS = 2_000
