/** Constants for targets that change their capacity or announce that they leave. */

/** Change of a target's announced end, in milliseconds, that is reported to entries: less than `LEAVING_RESERVE_MILLISECONDS`. */
export const MIN_NOTICE_CHANGE_MILLISECONDS = 40

/** Maximum ended tasks whose needs an agent keeps, to account for runs of them that a late poll answer still lists. */
export const MAX_ENDED_RUNS = 512

/** Safety factor on the estimate of a task placed at a leaving target: estimates are off by 40%, some by more. */
export const LEAVING_ESTIMATE_FACTOR = 2

/** Additional reserve at a leaving target, in milliseconds: the transfer of the start, and the poll that lists the end. */
export const LEAVING_RESERVE_MILLISECONDS = 60

/** Weight of the newest absence in the mean time that targets are away. */
export const ABSENCE_WEIGHT = 0.25

/** Forecast times shown to operators, in milliseconds from now: the end of a notice, and the return of a target. */
export const FORECAST_TIMES_MILLISECONDS: readonly number[] = [1000, 3000]

/** Multiple of that mean after which a target that is away counts as permanently gone. */
export const OVERDUE_ABSENCE_FACTOR = 2
