/** Statistics of the records of a run. */
import type { JobRecord, ModelResult, StartRecord } from './model.ts'

/** Returns the value below which the given fraction of the values lies, or NaN when there are no values. */
export function quantile (values: readonly number[], fraction: number): number {
  if (values.length === 0) return NaN
  const sorted = Float64Array.from(values).sort()
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] as number
}

/** Rounds to a number of decimal places, so that figures are readable and comparable between runs. */
export function round (value: number, digits = 3): number {
  return Number(value.toFixed(digits))
}

/** Counts the tasks of the jobs in any of the given states. */
export function countTasks (jobs: readonly JobRecord[], states: ReadonlyArray<JobRecord['state']>): number {
  return jobs.filter(record => states.includes(record.state)).reduce((sum, record) => sum + record.job.tasks.length, 0)
}

/** Returns the number of messages divided by the minimum, which is one dispatch and one result per started task. */
export function messageRatio (result: ModelResult): number {
  const { dispatch, result: results, refusal, report, cancel } = result.messages
  return (dispatch + results + refusal + report + cancel) / (2 * result.starts.length)
}

/**
 * Returns the largest deviation of a provider's fraction of the starts from its share, over all
 * windows of consecutive tasks of one service, in percentage points.
 */
export function maxShareError (starts: readonly StartRecord[], service: string, provider: string, share: number, window: number): number {
  const startsOfService = starts.filter(start => start.service === service)
  let largest = 0
  let providerCount = 0
  for (let index = 0; index < startsOfService.length; index += 1) {
    if (startsOfService[index]?.provider === provider) providerCount += 1
    if (index >= window && startsOfService[index - window]?.provider === provider) providerCount -= 1
    if (index >= window - 1) largest = Math.max(largest, Math.abs(100 * providerCount / window - share))
  }
  return largest
}
