/** Constants of learned speeds and of placement by slack. */

/** Half-life of what a task got done, for the pace of the middle task, and the longest time for which it is taken as known. */
export const TYPICAL_HALF_LIFE_MILLISECONDS = 600
export const TYPICAL_REVIEW_MILLISECONDS = 50

/** Most that one task weighs in that pace, in milliseconds, and tasks remembered for it. */
export const TYPICAL_WEIGHT_MILLISECONDS = 300
export const TYPICAL_TASKS = 64

/** Half-life of run times in the steady pace of a target, and the time over which its ends are taken together. */
export const STEADY_HALF_LIFE_MILLISECONDS = 10_000
export const PACE_BATCH_MILLISECONDS = 500

/** Expected run time from which a task weighs fully in that pace: calls to the target are part of the time of shorter ones. */
export const WHOLE_WEIGHT_MILLISECONDS = 50

/** How far estimates of single tasks are off, and the most that one counts, in the logarithm: the tail is kept apart. */
export const TASK_LOG_DEVIATION = 0.4
export const TASK_LOG_LIMIT = 1

/** Distance of the pace of late from the steady one, in the logarithm, from which the target has changed: a factor of 1.8. */
export const CHANGED_PACE = 0.6

/** Error that remains however many tasks are seen, in the logarithm: targets get different kinds of task. */
export const PACE_FLOOR_ERROR = 0.03

/** Error of a speed, in the logarithm, below which it is certain: machines differ by a quarter and more. */
export const CERTAIN_ERROR = 0.12

/** Deviations of a whole group, of one target and of a label from which they are not chance: tested each tick, of dozens. */
export const UNLIKELY_DEVIATIONS = 4
export const OUTLIER_DEVIATIONS = 5
export const KIND_DEVIATIONS = 5

/** Targets with and without a label from which it may explain speed. */
export const LEAST_KIND_TARGETS = 2

/** Tasks from which callers' estimates tell half of what they mean, and those that count in it. */
export const UNIT_CERTAIN_TASKS = 50
export const UNIT_MEMORY_TASKS = 2000

/** Error of a pace that only the last second or two have shown, in the logarithm. */
export const RECENT_PACE_ERROR = 0.25

/** Least time between two reviews of the speeds of all targets. */
export const SPEEDS_REVIEW_MILLISECONDS = 100

/** Kinds of which a line is logged, the time between two lines on one, and the change that is worth one, in the logarithm. */
export const KIND_NOTES = 20
export const KIND_NOTE_MILLISECONDS = 10_000
export const KIND_SPEED_CHANGE = 0.1

/** Least time between two lines that a target has become slow. */
export const SLOW_NOTE_MILLISECONDS = 10_000

/** Speeds of one class follow each other by less than this factor. */
export const SPEED_CLASS_STEP = 1.1

// Placement by slack

/** Part of its expected run time by which a task may take longer and still be in time at the target chosen for it. */
export const SLACK_MARGIN_PART = 0.3

/** What it is worth to leave a target to others that is faster by a factor of e. */
export const FAST_PLACE_MILLISECONDS = 100

/** Part of all processors that the fastest targets must make for a task to wait for one of them. */
export const FASTEST_PART = 0.1

/** Part of the near processors that is free from which far targets are avoided in full, and the weight of the newest task in the mean way. */
export const NEAR_ROOM_PART = 0.2
export const WAY_RATE = 0.02

/** Waiting time, in parts of its objective, that it is worth to a begun job that nearly all of its tasks are placed: its last ones decide its end. */
export const LAST_TASKS_PART = 0.1
