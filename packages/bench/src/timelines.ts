/** Time series for the plots: the health of a faulty target, and the error of a share that changes. */
import type { Fault } from './faults.ts'
import { FaultKind } from './faults.ts'
import { round } from './measures.ts'
import { Model } from './model.ts'
import type { Row, SectionOptions } from './sectiontypes.ts'
import { configurationFor, makeJobs, User } from './workload.ts'

const USER = User.Magnolia
const LOAD = 0.7
const FAULTY_TARGET = 2
const FAULT_START = 20_000
/** Instant at which the fault ends, and at which the share changes. */
const CHANGE_AT = 60_000
const END = 90_000
const OBSERVATION_INTERVAL = 500
const WINDOW_TASKS = 200
const SHARES_BEFORE = { 'provider-a': 70, 'provider-b': 30 }
const SHARES_AFTER = { 'provider-a': 20, 'provider-b': 80 }

/** Returns the rows of each time series by its name. */
export function measureTimelines (options: SectionOptions): Record<string, Row[]> {
  return {
    healthOverTime: Object.values(FaultKind).flatMap(kind => healthOverTime(kind, options)),
    shareOverTime: shareOverTime(options)
  }
}

/** Mean health over all entries of a target that is faulty from 20 to 60 s. */
function healthOverTime (kind: FaultKind, { seed }: SectionOptions): Row[] {
  const jobs = makeJobs({ user: USER, load: LOAD, milliseconds: END, seed })
  const faults: Fault[] = [{ target: FAULTY_TARGET, kind, from: FAULT_START, until: CHANGE_AT }]
  const model = new Model({ user: USER, jobs, configuration: configurationFor(USER, { 'provider-a': 55, 'provider-b': 45 }), seed, faults })
  const rows: Row[] = []
  model.observe(OBSERVATION_INTERVAL, END, (at, statuses) => {
    const health = statuses.map(status => status.health[`target-${FAULTY_TARGET}`] ?? 0)
    const mean = health.reduce((sum, value) => sum + value, 0) / health.length
    rows.push({ fault: kind, second: at / 1000, health: round(mean) })
  })
  model.run()
  return rows
}

/** Error of provider-a's share in the last 200 tasks of each service. The share changes at 60 s. */
function shareOverTime ({ seed }: SectionOptions): Row[] {
  const jobs = makeJobs({ user: USER, load: 0.4, milliseconds: 2 * CHANGE_AT, seed })
  const changes = [{ at: CHANGE_AT, configuration: { ...configurationFor(USER, SHARES_AFTER), version: 2 } }]
  const { dispatches } = new Model({ user: USER, jobs, configuration: configurationFor(USER, SHARES_BEFORE), changes, seed }).run()
  return [...new Set(dispatches.map(({ service }) => service))].flatMap(service => {
    const dispatchesOfService = dispatches.filter(dispatch => dispatch.service === service)
    const rows: Row[] = []
    for (let end = WINDOW_TASKS; end <= dispatchesOfService.length; end += WINDOW_TASKS / 4) {
      const window = dispatchesOfService.slice(end - WINDOW_TASKS, end)
      const at = window[WINDOW_TASKS - 1]?.at as number
      const expected = (at < CHANGE_AT ? SHARES_BEFORE : SHARES_AFTER)['provider-a']
      const actual = 100 * window.filter(({ provider }) => provider === 'provider-a').length / WINDOW_TASKS
      rows.push({ service, second: round(at / 1000), errorPoints: round(actual - expected) })
    }
    return rows
  })
}
