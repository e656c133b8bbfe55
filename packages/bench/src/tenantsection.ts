/** One tenant's burst, and what it does to the response times of another. */
import { quantile, rounded } from './measures.ts'
import { Model } from './model.ts'
import type { Row, SectionOptions } from './sectiontypes.ts'
import { configurationFor, makeJobs, User } from './workload.ts'

const SHARES = { 'provider-a': 55, 'provider-b': 45 }
const STEADY_LOAD = 0.3
const BURST_LOADS = [0, 0.5, 1, 2]

/** One row per size of the burst. The steady tenant's work is the same in each. */
export function measureTenants (options: SectionOptions): Row[] {
  return Object.values(User).flatMap(user => {
    const rows = BURST_LOADS.map(load => measureBurst(user, load, options))
    const alone = rows[0]?.['steadyP99Milliseconds'] as number
    return rows.map(row => ({ ...row, p99OverAlone: rounded(row['steadyP99Milliseconds'] as number / alone) }))
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
  const mine = result.jobs.filter(({ job }) => job.tenant === 'steady')
  const complete = mine.filter(record => record.state === 'complete').map(record => record.response)
  return {
    user,
    burstLoad,
    steadyP50Milliseconds: rounded(quantile(complete, 0.5), 1),
    steadyP99Milliseconds: rounded(quantile(complete, 0.99), 1),
    steadyNotComplete: mine.length - complete.length
  }
}
