/** Constants of targets whose capacity changes or that announce their end. */

/** Change of the announced end of a target, in milliseconds, of which entries are told: less than the reserve for the way. */
export const NOTICE_CHANGE_MILLISECONDS = 40

/** Ended tasks whose needs an agent remembers, for runs of them that a late answer to a poll lists. */
export const RUNS_LEFT_REMEMBERED = 512

/** How much longer than estimated a task may take that goes to a leaving target: estimates are off by 40%, some by more. */
export const LEAVING_ESTIMATE_FACTOR = 2

/** Time kept at a leaving target besides, in milliseconds: the way of the start there, and of the poll that lists the end. */
export const LEAVING_RESERVE_MILLISECONDS = 60

/** Weight of the newest absence of a target in the mean time that targets are away. */
export const ABSENCE_RATE = 0.25

/** Times ahead for which operators are shown the capacity, in milliseconds: the end of a notice, and the return of a target. */
export const FORECAST_TIMES_MILLISECONDS: readonly number[] = [1000, 3000]

/** Part of that mean after which a target that is away counts as gone for good. */
export const OVERDUE_FACTOR = 2
