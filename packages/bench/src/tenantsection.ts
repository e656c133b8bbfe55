/** Effect of one tenant's burst on the response times of another tenant. */
import { quantile, round } from './measures.ts'
import { Model } from './model.ts'
import type { Row, SectionOptions } from './sectiontypes.ts'
import { configurationFor, makeJobs, User } from './workload.ts'

const SHARES = { 'provider-a': 55, 'provider-b': 45 }
const STEADY_LOAD = 0.3
const BURST_LOADS = [0, 0.5, 1, 2]

/** One row per user and load of the burst. The workload of the steady tenant is the same in each. */
export function measureTenants (options: SectionOptions): Row[] {
  return Object.values(User).flatMap(user => {
    const rows = BURST_LOADS.map(load => measureBurst(user, load, options))
    const baseline = rows[0]?.['steadyP99Milliseconds'] as number
    return rows.map(row => ({ ...row, p99OverAlone: round(row['steadyP99Milliseconds'] as number / baseline) }))
  })
}

function measureBurst (user: User, burstLoad: number, { seed, seconds }: SectionOptions): Row {
  const milliseconds = seconds * 1000
  const steady = makeJobs({ user, load: STEADY_LOAD, milliseconds, seed, tenant: 'steady' })
  const burst = burstLoad === 0 ? [] : makeJobs({ user, load: burstLoad, milliseconds, seed: seed + 1, tenant: 'bursting' })
  const jobs = [...steady, ...burst].sort((one, other) => one.sentAt - other.sentAt)
  const unlimited = { tasksPerSecond: 0, burst: 0, slots: 0, weight: 1 }
  const configuration = configurationFor(user, SHARES, { steady: unlimited, bursting: unlimited })
  const result = new Model({ user, jobs, configuration, seed }).run()
  const steadyJobs = result.jobs.filter(({ job }) => job.tenant === 'steady')
  const complete = steadyJobs.filter(record => record.state === 'complete').map(record => record.response)
  return {
    user,
    burstLoad,
    steadyP50Milliseconds: round(quantile(complete, 0.5), 1),
    steadyP99Milliseconds: round(quantile(complete, 0.99), 1),
    steadyNotComplete: steadyJobs.length - complete.length
  }
}
