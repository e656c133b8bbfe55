/** What happens over time when a target misbehaves or a share is changed, for the plots. */
import type { Fault } from './faults.ts'
import { FaultKind } from './faults.ts'
import { rounded } from './measures.ts'
import { Model } from './model.ts'
import type { Row, SectionOptions } from './sectiontypes.ts'
import { configurationFor, makeJobs, User } from './workload.ts'

const USER = User.Magnolia
const LOAD = 0.7
const TARGET = 2
const FROM = 20_000
const UNTIL = 60_000
const END = 90_000
const LOOK = 500
const WINDOW = 200
const SHARES_BEFORE = { 'provider-a': 70, 'provider-b': 30 }
const SHARES_AFTER = { 'provider-a': 20, 'provider-b': 80 }

/** Rows by the name of their plot. */
export function measureTimelines (options: SectionOptions): Record<string, Row[]> {
  return {
    healthOverTime: Object.values(FaultKind).flatMap(kind => healthOverTime(kind, options)),
    shareOverTime: shareOverTime(options)
  }
}

/** Mean health of the target that misbehaves from 20 to 60 s, over the entries. */
function healthOverTime (kind: FaultKind, { seed }: SectionOptions): Row[] {
  const jobs = makeJobs({ user: USER, load: LOAD, milliseconds: END, seed })
  const faults: Fault[] = [{ target: TARGET, kind, from: FROM, until: UNTIL }]
  const model = new Model({ user: USER, jobs, configuration: configurationFor(USER, { 'provider-a': 55, 'provider-b': 45 }), seed, faults })
  const rows: Row[] = []
  model.observe(LOOK, END, (at, statuses) => {
    const health = statuses.map(status => status.health[`target-${TARGET}`] ?? 0)
    const mean = health.reduce((sum, value) => sum + value, 0) / health.length
    rows.push({ fault: kind, second: at / 1000, health: rounded(mean) })
  })
  model.run()
  return rows
}

/** Error of provider-a's share in the last 200 tasks of each service, and its share changed at 60 s. */
function shareOverTime ({ seed }: SectionOptions): Row[] {
  const jobs = makeJobs({ user: USER, load: 0.4, milliseconds: 2 * UNTIL, seed })
  const changes = [{ at: UNTIL, configuration: { ...configurationFor(USER, SHARES_AFTER), version: 2 } }]
  const { dispatches } = new Model({ user: USER, jobs, configuration: configurationFor(USER, SHARES_BEFORE), changes, seed }).run()
  return [...new Set(dispatches.map(({ service }) => service))].flatMap(service => {
    const ofService = dispatches.filter(dispatch => dispatch.service === service)
    const rows: Row[] = []
    for (let end = WINDOW; end <= ofService.length; end += WINDOW / 4) {
      const window = ofService.slice(end - WINDOW, end)
      const at = window[WINDOW - 1]?.at as number
      const applied = (at < UNTIL ? SHARES_BEFORE : SHARES_AFTER)['provider-a']
      const received = 100 * window.filter(({ provider }) => provider === 'provider-a').length / WINDOW
      rows.push({ service, second: rounded(at / 1000), errorPoints: rounded(received - applied) })
    }
    return rows
  })
}
