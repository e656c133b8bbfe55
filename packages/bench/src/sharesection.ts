/** Error of the provider shares over windows of 200 tasks, at several shares and numbers of entries. */
import { largestShareError, rounded } from './measures.ts'
import { Model } from './model.ts'
import type { StartRecord } from './model.ts'
import type { Row, SectionOptions } from './sectiontypes.ts'
import { configurationFor, makeJobs, profiles, User } from './workload.ts'

const LOAD = 0.4
const WINDOW = 200
const CASES: ReadonlyArray<{ share: number, entries: number }> = [
  { share: 50, entries: 3 }, { share: 30, entries: 3 }, { share: 10, entries: 3 }, { share: 3, entries: 3 },
  { share: 33, entries: 2 }, { share: 33, entries: 6 }, { share: 33, entries: 12 }
]

/** One row per case, and one for a change of share in the middle of the run. */
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
    Math.max(...profiles[user].services.map(service => largestShareError(records, service, 'provider-a', share, WINDOW)))
  return { share, entries, tasks: result.dispatches.length, errorPoints: errorOf(result.dispatches), errorPointsByStart: errorOf(result.starts) }
}

/** From 70 to 20 percent at half time: error of the windows before, and of those wholly after. */
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
    errorPoints: rounded(Math.max(
      largestShareError(before, service, 'provider-a', 70, WINDOW),
      largestShareError(after, service, 'provider-a', 20, WINDOW)
    ))
  }
}
