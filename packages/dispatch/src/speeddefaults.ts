/** Constants of learned speeds and of placement by slack. */

/** Half-life of the work samples in the speed ratio of the median task, and the longest time for which the computed value is reused. */
export const TYPICAL_HALF_LIFE_MILLISECONDS = 600
export const TYPICAL_REVIEW_MILLISECONDS = 50

/** Maximum weight of one task in that speed ratio, in milliseconds, and the number of tasks kept for it. */
export const MAX_TYPICAL_WEIGHT_MILLISECONDS = 300
export const TYPICAL_TASKS = 64

/** Half-life of run times in the steady speed ratio of a target, and the interval over which ended tasks are combined into one sample. */
export const STEADY_HALF_LIFE_MILLISECONDS = 10_000
export const SPEED_RATIO_BATCH_MILLISECONDS = 500

/** Expected run time from which a task has full weight in that speed ratio: calls to the target distort the time of shorter ones. */
export const FULL_WEIGHT_MILLISECONDS = 50

/** Standard deviation of the log error of single estimates, and the bound to which a log error is clipped, so that the tail has little influence. */
export const TASK_LOG_DEVIATION = 0.4
export const MAX_TASK_LOG_ERROR = 1

/** Difference between the logarithms of the recent and the steady speed ratio from which a target has changed: a factor of 1.8. */
export const CHANGED_SPEED_RATIO = 0.6

/** Minimum log error of a speed ratio, however many tasks are measured: targets get different types of task. */
export const MIN_SPEED_RATIO_ERROR = 0.03

/** Log error below which a speed counts as certain: machines differ by a quarter and more. */
export const CERTAIN_ERROR = 0.12

/** Thresholds, in standard deviations, for the spread of a group, an outlying target and a label; high because dozens are tested each tick. */
export const GROUP_DEVIATIONS = 4
export const OUTLIER_DEVIATIONS = 5
export const KIND_DEVIATIONS = 5

/** Minimum number of targets with a label, and of targets without it, for the label to identify a machine kind. */
export const MIN_KIND_TARGETS = 2

/** Number of tasks at which callers' estimates have half of their full weight, and the number of tasks over which they are averaged. */
export const UNIT_CERTAIN_TASKS = 50
export const UNIT_MEMORY_TASKS = 2000

/** Log error of a speed ratio that was measured over only the last second or two. */
export const RECENT_SPEED_RATIO_ERROR = 0.25

/** Minimum interval between two reviews of the speeds of all targets. */
export const SPEEDS_REVIEW_MILLISECONDS = 100

/** Number of machine kinds that are logged, the minimum interval between two log lines on one, and the minimum change of its log speed. */
export const MAX_LOGGED_KINDS = 20
export const KIND_LOG_INTERVAL_MILLISECONDS = 10_000
export const MIN_LOGGED_SPEED_CHANGE = 0.1

/** Minimum interval between two log lines that a target has become slow. */
export const SLOW_LOG_INTERVAL_MILLISECONDS = 10_000

/** Maximum ratio between successive speeds of one speed class. */
export const SPEED_CLASS_STEP = 1.1

// Placement by slack

/** Fraction of its expected run time that a task may take longer and still be in time at the chosen target. */
export const SLACK_MARGIN_FRACTION = 0.3

/** Cost of using a target that is faster by a factor of e, which other tasks may need. */
export const FAST_TARGET_COST_MILLISECONDS = 100

/** Fraction of all processors that the fastest targets must have for a task to wait for one of them. */
export const FASTEST_FRACTION = 0.1

/** Fraction of free local processors from which the whole penalty applies to remote targets, and the weight of the newest task in the mean overhead. */
export const LOCAL_CAPACITY_FRACTION = 0.2
export const OVERHEAD_RATE = 0.02

/** Waiting time, as a fraction of the objective, by which a started job with nearly all tasks placed is preferred: its last tasks decide its end. */
export const LAST_TASKS_FRACTION = 0.1
