/** Overload: goodput, late responses and refusals at loads around and above the capacity. */
import { countTasks, quantile, round } from './measures.ts'
import { Model } from './model.ts'
import type { JobRecord } from './model.ts'
import type { Row, SectionOptions } from './sectiontypes.ts'
import { configurationFor, makeJobs, profiles, User } from './workload.ts'

const SHARES = { 'provider-a': 55, 'provider-b': 45 }
const DEADLINE_MILLISECONDS = 10_000
const WARM_UP_MILLISECONDS = 10_000

/** One row per user and load. */
export function measureOverload (options: SectionOptions): Row[] {
  return Object.values(User).flatMap(user => [0.9, 1.2, 2, 4].map(load => measureLoad(user, load, options)))
}

function workOf (records: readonly JobRecord[]): number {
  return records.reduce((sum, { job }) => sum + job.tasks.reduce((work, task) => work + task.run, 0), 0)
}

/** Goodput is the run time of the jobs completed in time, divided by the run time of all slots in the same interval. */
function measureLoad (user: User, load: number, { seed, seconds }: SectionOptions): Row {
  const { targets, slots } = profiles[user]
  const until = seconds * 1000
  const jobs = makeJobs({ user, load, milliseconds: until, seed, deadlineMilliseconds: DEADLINE_MILLISECONDS })
  const result = new Model({ user, jobs, configuration: configurationFor(user, SHARES), seed }).run()
  const answeredAt = (record: JobRecord): number => record.job.sentAt + record.response
  const good = result.jobs.filter(record => record.state === 'complete' && answeredAt(record) > WARM_UP_MILLISECONDS && answeredAt(record) <= until)
  const refused = result.jobs.filter(record => record.state === 'refused')
  const offered = workOf(result.jobs.filter(record => record.job.sentAt > WARM_UP_MILLISECONDS))
  const capacity = targets * slots * (until - WARM_UP_MILLISECONDS)
  return {
    user,
    load,
    goodputOverCapacity: round(workOf(good) / capacity),
    goodputOverPossible: round(workOf(good) / Math.min(capacity, offered)),
    lateTasksPart: round(countTasks(result.jobs, ['late']) / Math.max(1, countTasks(result.jobs, ['late', 'complete'])), 4),
    refusedTasksPart: round(countTasks(result.jobs, ['refused']) / countTasks(result.jobs, ['late', 'complete', 'refused', 'failed'])),
    refusalP99Milliseconds: round(quantile(refused.map(record => record.response), 0.99)),
    retryAfterP50Milliseconds: round(quantile(refused.map(record => record.retryAfter), 0.5), 0)
  }
}
