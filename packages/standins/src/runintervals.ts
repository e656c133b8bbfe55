/** Intervals of runs, and a check for runs of the same task that overlap in time. */

/** One run of a task at one worker. Times are in milliseconds of a clock that all workers share. */
export interface RunInterval {
  task: string
  run: number
  from: number
  to: number
  /** How the run ended, or `running`. */
  how: string
}

/** A run, and the index of the worker that ran it. */
export interface PlacedRun extends RunInterval {
  place: number
}

/** Two runs of one task that overlap in time. */
export interface RunOverlap {
  first: PlacedRun
  second: PlacedRun
  /** Duration of the overlap in milliseconds. */
  lasted: number
}

/**
 * Finds each run that began while an earlier run of its task was in progress. If there are several
 * earlier ones, it is compared with the one that ended last.
 *
 * @param places the runs of each worker, in any order
 */
export function findOverlaps (places: ReadonlyArray<readonly RunInterval[]>): RunOverlap[] {
  const runs = places.flatMap((intervals, place) => intervals.map(interval => ({ ...interval, place })))
  const latest = new Map<string, PlacedRun>()
  const found: RunOverlap[] = []
  for (const second of runs.sort((one, other) => one.from - other.from)) {
    const first = latest.get(second.task)
    if (first !== undefined && second.from < first.to) found.push({ first, second, lasted: Math.min(first.to, second.to) - second.from })
    if (first === undefined || second.to > first.to) latest.set(second.task, second)
  }
  return found.filter(({ lasted }) => lasted > 0)
}
