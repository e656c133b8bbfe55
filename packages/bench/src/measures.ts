/** Figures worked out from the records of a run. */
import type { JobRecord, ModelResult, StartRecord } from './model.ts'

/** The value below which the given part of the values lies; NaN when there are none. */
export function quantile (values: readonly number[], part: number): number {
  if (values.length === 0) return NaN
  const sorted = Float64Array.from(values).sort()
  return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] as number
}

/** Rounded for people and for comparison between runs. */
export function rounded (value: number, digits = 3): number {
  return Number(value.toFixed(digits))
}

/** Tasks of the jobs in one of the given states. */
export function countTasks (jobs: readonly JobRecord[], states: ReadonlyArray<JobRecord['state']>): number {
  return jobs.filter(record => states.includes(record.state)).reduce((sum, record) => sum + record.job.tasks.length, 0)
}

/** Items sent over the minimum of one dispatch and one answer for each task that ran. */
export function messageRatio (result: ModelResult): number {
  const { dispatch, result: results, refusal, report, cancel } = result.messages
  return (dispatch + results + refusal + report + cancel) / (2 * result.starts.length)
}

/** Largest error of the first provider's part in any window of tasks of one service, in points. */
export function largestShareError (starts: readonly StartRecord[], service: string, provider: string, share: number, window: number): number {
  const ofService = starts.filter(start => start.service === service)
  let largest = 0
  let hits = 0
  for (let index = 0; index < ofService.length; index += 1) {
    if (ofService[index]?.provider === provider) hits += 1
    if (index >= window && ofService[index - window]?.provider === provider) hits -= 1
    if (index >= window - 1) largest = Math.max(largest, Math.abs(100 * hits / window - share))
  }
  return largest
}
