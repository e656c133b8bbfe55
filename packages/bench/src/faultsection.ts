/** One of eleven targets is faulty: tasks lost to it, and times until it is ejected and readmitted. */
import type { Fault } from './faults.ts'
import { FaultKind } from './faults.ts'
import { idealResponses } from './ideal.ts'
import { quantile, round } from './measures.ts'
import { Model } from './model.ts'
import type { Row, SectionOptions } from './sectiontypes.ts'
import { configurationFor, makeJobs, profiles, User } from './workload.ts'

const LOAD = 0.7
const SHARES = { 'provider-a': 55, 'provider-b': 45 }
const FAULTY_TARGET = 2
const FAULT_START = 20_000
const OBSERVATION_INTERVAL = 50

interface Observation {
  at: number
  /** Health of the faulty target at each entry. */
  health: number[]
}

/** One row per user and type of fault. */
export function measureFaults (options: SectionOptions): Row[] {
  return Object.values(User).flatMap(user => Object.values(FaultKind).map(kind => measureFault(user, kind, options)))
}

function measureFault (user: User, kind: FaultKind, { seed, seconds }: SectionOptions): Row {
  const { targets, slots } = profiles[user]
  const until = Math.max(FAULT_START + 30_000, seconds * 500)
  const jobs = makeJobs({ user, load: LOAD, milliseconds: until + 60_000, seed })
  const faults: Fault[] = [{ target: FAULTY_TARGET, kind, from: FAULT_START, until }]
  const model = new Model({ user, jobs, configuration: configurationFor(user, SHARES), seed, faults })
  const observations: Observation[] = []
  model.observe(OBSERVATION_INTERVAL, until + 60_000, (at, statuses) => {
    observations.push({ at, health: statuses.map(status => status.health[`target-${FAULTY_TARGET}`] ?? 0) })
  })
  const result = model.run()
  const ideal = idealResponses(jobs, targets * slots)
  const during = result.starts.filter(start => start.at >= FAULT_START + 1000 && start.at < until)
  const onFaultyTarget = during.filter(start => start.target === FAULTY_TARGET)
  const complete = result.jobs.filter(({ state, job }) => state === 'complete' && job.sentAt >= FAULT_START + 1000 && job.sentAt < until)
  return {
    user,
    fault: kind,
    tasksThereAfterFirstSecondPart: round(onFaultyTarget.length / during.length, 5),
    tasksLost: result.starts.filter(start => start.failed).length,
    jobsNotComplete: result.jobs.filter(record => record.state !== 'complete').length,
    ejectMilliseconds: timeUntil(observations, FAULT_START, health => Math.max(...health) === 0),
    readmitMilliseconds: timeUntil(observations, until, health => Math.min(...health) > 0.9),
    p99: round(quantile(complete.map(({ job, response }) => response / (ideal.get(job.key) as number)), 0.99))
  }
}

/** Returns the time from the instant until an observation first meets the condition; -1 if none does. */
function timeUntil (observations: readonly Observation[], instant: number, condition: (health: number[]) => boolean): number {
  const first = observations.find(observation => observation.at >= instant && condition(observation.health))
  return first === undefined ? -1 : first.at - instant
}
