/** Errors of provider shares over windows of 200 tasks, for several shares and numbers of entries. */
import { maxShareError, round } from './measures.ts'
import { Model } from './model.ts'
import type { StartRecord } from './model.ts'
import type { Row, SectionOptions } from './sectiontypes.ts'
import { configurationFor, makeJobs, profiles, User } from './workload.ts'

const LOAD = 0.4
const WINDOW_TASKS = 200
const CASES: ReadonlyArray<{ share: number, entries: number }> = [
  { share: 50, entries: 3 }, { share: 30, entries: 3 }, { share: 10, entries: 3 }, { share: 3, entries: 3 },
  { share: 33, entries: 2 }, { share: 33, entries: 6 }, { share: 33, entries: 12 }
]

/** One row per case, and one for a share that changes in the middle of the run. */
export function measureShares (options: SectionOptions): Row[] {
  return [...CASES.map(({ share, entries }) => measureCase(share, entries, options)), measureChange(options)]
}

function sharesOf (share: number): Record<string, number> {
  return { 'provider-a': share, 'provider-b': 100 - share }
}

function measureCase (share: number, entries: number, { seed, seconds }: SectionOptions): Row {
  const user = User.Magnolia
  const jobs = makeJobs({ user, load: LOAD, milliseconds: seconds * 1000, seed })
  const result = new Model({ user, jobs, configuration: configurationFor(user, sharesOf(share)), seed, entries }).run()
  const errorOf = (records: readonly StartRecord[]): number =>
    Math.max(...profiles[user].services.map(service => maxShareError(records, service, 'provider-a', share, WINDOW_TASKS)))
  return { share, entries, tasks: result.dispatches.length, errorPoints: errorOf(result.dispatches), errorPointsByStart: errorOf(result.starts) }
}

/** Changes a share from 70 to 20 percent at half time. Windows that span the change are left out. */
function measureChange ({ seed, seconds }: SectionOptions): Row {
  const user = User.Vaalrand
  const at = seconds * 500
  const jobs = makeJobs({ user, load: LOAD, milliseconds: seconds * 1000, seed })
  const configuration = configurationFor(user, sharesOf(70))
  const changes = [{ at, configuration: { ...configurationFor(user, sharesOf(20)), version: 2 } }]
  const { dispatches } = new Model({ user, jobs, configuration, changes, seed }).run()
  const service = profiles[user].services[0] as string
  const before = dispatches.filter(dispatch => dispatch.at < at)
  const after = dispatches.filter(dispatch => dispatch.at >= at)
  return {
    share: '70 then 20',
    entries: 3,
    tasks: dispatches.length,
    errorPoints: round(Math.max(
      maxShareError(before, service, 'provider-a', 70, WINDOW_TASKS),
      maxShareError(after, service, 'provider-a', 20, WINDOW_TASKS)
    ))
  }
}
