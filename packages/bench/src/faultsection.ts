/** One target of eleven misbehaves: what is lost to it, and how soon it is out and in again. */
import type { Fault } from './faults.ts'
import { FaultKind } from './faults.ts'
import { idealResponses } from './ideal.ts'
import { quantile, rounded } from './measures.ts'
import { Model } from './model.ts'
import type { Row, SectionOptions } from './sectiontypes.ts'
import { configurationFor, makeJobs, profiles, User } from './workload.ts'

const LOAD = 0.7
const SHARES = { 'provider-a': 55, 'provider-b': 45 }
const TARGET = 2
const FROM = 20_000
const OBSERVED_EVERY = 50

interface Observation {
  at: number
  /** Health of the faulty target at each entry. */
  health: number[]
}

/** One row per user and kind of fault. */
export function measureFaults (options: SectionOptions): Row[] {
  return Object.values(User).flatMap(user => Object.values(FaultKind).map(kind => measureFault(user, kind, options)))
}

function measureFault (user: User, kind: FaultKind, { seed, seconds }: SectionOptions): Row {
  const { targets, slots } = profiles[user]
  const until = Math.max(FROM + 30_000, seconds * 500)
  const jobs = makeJobs({ user, load: LOAD, milliseconds: until + 60_000, seed })
  const faults: Fault[] = [{ target: TARGET, kind, from: FROM, until }]
  const model = new Model({ user, jobs, configuration: configurationFor(user, SHARES), seed, faults })
  const seen: Observation[] = []
  model.observe(OBSERVED_EVERY, until + 60_000, (at, statuses) => {
    seen.push({ at, health: statuses.map(status => status.health[`target-${TARGET}`] ?? 0) })
  })
  const result = model.run()
  const ideal = idealResponses(jobs, targets * slots)
  const during = result.starts.filter(start => start.at >= FROM + 1000 && start.at < until)
  const there = during.filter(start => start.target === TARGET)
  const complete = result.jobs.filter(({ state, job }) => state === 'complete' && job.sentAt >= FROM + 1000 && job.sentAt < until)
  return {
    user,
    fault: kind,
    tasksThereAfterFirstSecondPart: rounded(there.length / during.length, 5),
    tasksLost: result.starts.filter(start => start.failed).length,
    jobsNotComplete: result.jobs.filter(record => record.state !== 'complete').length,
    ejectMilliseconds: firstAfter(seen, FROM, health => Math.max(...health) === 0),
    readmitMilliseconds: firstAfter(seen, until, health => Math.min(...health) > 0.9),
    p99: rounded(quantile(complete.map(({ job, response }) => response / (ideal.get(job.key) as number)), 0.99))
  }
}

/** Time after the instant until what was observed first holds; -1 when it never did. */
function firstAfter (seen: readonly Observation[], instant: number, holds: (health: number[]) => boolean): number {
  const first = seen.find(observation => observation.at >= instant && holds(observation.health))
  return first === undefined ? -1 : first.at - instant
}
