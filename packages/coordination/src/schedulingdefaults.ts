/** Constants of the scheduling decisions. Durations in milliseconds unless the name says otherwise. */

/** Tasks that may wait at an agent, in multiples of its slots. */
export const QUEUE_PER_SLOT = 6

/** Most tasks that one entry may have unfinished at an agent, in multiples of its slots. */
export const CREDIT_PER_SLOT = 4

/** Reports that an agent may send per task offered to it, over all entries. */
export const REPORTS_PER_OFFER = 0.08

/** Reports that an agent may have saved up. */
export const REPORTS_SAVED = 2

/** Smallest change of credit, as a part of the slots, that is worth a report. */
export const REPORT_HYSTERESIS = 0.25

/** Weight of the newest count in an entry's average demand at an agent; one count per task offered. */
export const DEMAND_RATE = 0.05

/** Run time assumed for a service of which nothing is known and nothing was declared. */
export const UNKNOWN_RUN_MILLISECONDS = 500

/** Run times below this are taken as this, so that a logarithm stays meaningful. */
export const SMALLEST_RUN_MILLISECONDS = 1

/** Weight of the newest outcome in learned run times. */
export const ESTIMATE_RATE = 0.02

/** What is left of the longest run time after one further outcome. */
export const LONGEST_RUN_DECAY = 0.9995

/** Outcomes after which the first guess about a service has no weight left. */
export const ESTIMATE_WARM_UP = 8

/** Weight of the newest outcome in a target's failure rate. */
export const FAILURE_RATE = 0.2

/** Failure rate from which a target may be ejected. */
export const EJECTION_THRESHOLD = 0.45

/** How many times the failure rate of the others a target's must be, for the target to be at fault. */
export const EJECTION_CONTRAST = 2

/** Part of the live targets that is never ejected, and at least one. */
export const NEVER_EJECTED_PART = 0.25

/** First time out of use of a target that refuses what it has room for; doubles until it takes work. */
export const CLOSED_MILLISECONDS = 250

/** First time out of use; each further ejection doubles it. */
export const EJECTION_MILLISECONDS = 2_000

/** Longest time out of use. */
export const LONGEST_EJECTION_MILLISECONDS = 8_000

/** Successes in a row after which earlier ejections are forgotten. */
export const FORGIVING_SUCCESSES = 50

/** Weight of the newest outcome in a target's slowness. */
export const SLOWNESS_RATE = 0.06

/** Time after which half of a target's slowness is forgotten, so that it is tried again. */
export const SLOWNESS_HALF_LIFE_MILLISECONDS = 60_000

/** How often the rank of a slow target is worked out again while nothing happens there. */
export const SLOWNESS_REVIEW_MILLISECONDS = 1_000

/** Slowness below this is taken for chance. */
export const SLOWNESS_TOLERATED = 1.8

/** Returns of one target within the memory below from which it counts as flapping. */
export const FLAPS_TOLERATED = 3

/** Time after which half of a target's returns are forgotten. */
export const FLAP_HALF_LIFE_MILLISECONDS = 30_000

/** Silence of a busy target from which it gets nothing more, at least. */
export const HANG_MILLISECONDS = 1_500

/** Silence of a busy target from which it gets nothing more, in mean run times. */
export const HANG_RUNS = 4

/** Order of the queue: how long a job may be overtaken, in multiples of its shortest possible duration. */
export const ORDER_FACTOR = 4

/** Time kept before the deadline, in multiples of the job's shortest possible duration. */
export const ORDER_SLACK = 2

/** Weight of the run time within one job: longest first, without moving the job against others. */
export const ORDER_WITHIN_JOB = 1e-7

/** Part of the time that a task has, for which it waits for the provider whose turn it is. */
export const SHARE_PATIENCE_PART = 0.25

/** Debt of a provider, in tasks, beyond which it is forgiven. */
export const SHARE_DEBT_LIMIT = 2

/** Part of the time left that a job's expected duration may take for the job to be admitted. */
export const ADMISSION_PART = 0.55

/** Longest wait of a job that others overtake, in multiples of the mean wait. */
export const LONGEST_OVERTAKING = 4

/** Shortest time after which a refused caller is asked to come back. */
export const SHORTEST_RETRY_AFTER_MILLISECONDS = 100

/** Longest time after which a refused caller is asked to come back. */
export const LONGEST_RETRY_AFTER_MILLISECONDS = 30_000

/** Repetitions of tasks that were not started, per task dispatched, that go without delay. */
export const RETRIES_PER_DISPATCH = 0.1

/** Repetitions without delay that may be saved up. */
export const RETRIES_SAVED = 50

/** First delay of a repetition beyond the budget; doubles with each further one of the same task. */
export const RETRY_DELAY_MILLISECONDS = 20

/** Longest delay of a repetition. */
export const LONGEST_RETRY_DELAY_MILLISECONDS = 2_000

/** Refused tasks whose number of attempts is remembered. */
export const RETRIES_REMEMBERED = 20_000

/** How long a target that refused a task for want of room gets no more than it holds. */
export const FULL_MILLISECONDS = 500

/** Time after which a reported load counts half. */
export const REPORT_HALF_LIFE_MILLISECONDS = 500

/** Least loaded targets that are tried for a task with special needs. */
export const CANDIDATES_FOR_NEEDS = 8

/** Work that a tenant may bring at once above its part of the slots, as the time that the part needs for it. */
export const EXCESS_ALLOWED_MILLISECONDS = 10_000

/** Longest time that the tasks of a tenant stand back for being ahead of its part. */
export const LONGEST_EXCESS_MILLISECONDS = 10_000

/** Part of an agent's credit that a tenant which is ahead of its part leaves to others. */
export const EXCESS_ROOM_PART = 0.5

/** How far the order of short before long, and age, count between tasks of different tenants. */
export const TENANT_ORDER_MILLISECONDS = 500

/** How long a tenant counts as present after its last task. */
export const TENANT_PRESENT_MILLISECONDS = 30_000

/** Time over which the slots that this entry really gets are averaged. */
export const CAPACITY_MILLISECONDS = 2_000
