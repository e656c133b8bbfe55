/** When runs of tasks were where, and which of them were at two places at once. */

/** One run of a task at one place. Times are milliseconds on one clock for all places. */
export interface RunInterval {
  task: string
  run: number
  from: number
  to: number
  /** How it ended, or that it goes on. */
  how: string
}

/** A run, and the place at which it was. */
export interface PlacedRun extends RunInterval {
  place: number
}

/** Two runs of one task at one time. */
export interface RunOverlap {
  first: PlacedRun
  second: PlacedRun
  /** How long both went on, in milliseconds. */
  lasted: number
}

/**
 * Finds each run that began while an earlier one of its task went on; beside several it is compared with the one that ended last.
 *
 * @param places the runs at each place, in any order
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
