/** Response times, messages and share errors of each policy, with the same workload and without faults. */
import { PolicyName } from '@amaranthmast/coordination/policies'
import { emptyFleetResponse, idealResponses } from './ideal.ts'
import { runLateBinding } from './latebinding.ts'
import { maxShareError, messageRatio, quantile, round } from './measures.ts'
import { Model } from './model.ts'
import type { Row, SectionOptions } from './sectiontypes.ts'
import { configurationFor, makeJobs, profiles, User } from './workload.ts'
import type { ModelJob } from './workload.ts'

const LOAD = 0.7
const WARM_UP_MILLISECONDS = 5_000
const SHARES = { 'provider-a': 55, 'provider-b': 45 }
/** Order factor with which the ideal scheduler serves jobs in order of arrival. */
const ARRIVAL_ORDER_FACTOR = 0

/** Response times that the results are compared with, in milliseconds, by job key. */
interface ReferenceTimes {
  ideal: Map<string, number>
  inArrivalOrder: Map<string, number>
  slots: number
}

/** One row per user and policy, and one per user for late binding. */
export function measurePolicies (options: SectionOptions): Row[] {
  return Object.values(User).flatMap(user => measureUser(user, options))
}

function measureUser (user: User, { seed, seconds }: SectionOptions): Row[] {
  const { targets, slots } = profiles[user]
  const jobs = makeJobs({ user, load: LOAD, milliseconds: seconds * 1000, seed })
  const references = {
    ideal: idealResponses(jobs, targets * slots),
    inArrivalOrder: idealResponses(jobs, targets * slots, ARRIVAL_ORDER_FACTOR),
    slots: targets * slots
  }
  const rows = Object.values(PolicyName).map(policy => measurePolicy(user, policy, jobs, references, seed))
  const lateBinding = runLateBinding(jobs, targets, slots, seed)
  const lateBindingRow = { user, policy: 'lateBinding (modelled)', ...responseRatios(jobs, lateBinding.responses, references) }
  return [...rows, { ...lateBindingRow, messagesOverMinimum: round(lateBinding.messages / (2 * lateBinding.tasks)) }]
}

function measurePolicy (user: User, policy: PolicyName, jobs: ModelJob[], references: ReferenceTimes, seed: number): Row {
  const result = new Model({ user, jobs, configuration: configurationFor(user, SHARES), seed, policy }).run()
  const complete = result.jobs.filter(record => record.state === 'complete')
  const responses = new Map(complete.map(record => [record.job.key, record.response]))
  const errors = profiles[user].services.map(service => maxShareError(result.dispatches, service, 'provider-a', SHARES['provider-a'], 200))
  return {
    user,
    policy,
    ...responseRatios(jobs, responses, references),
    messagesOverMinimum: round(messageRatio(result)),
    shareErrorPoints: Math.max(...errors),
    notComplete: result.jobs.length - complete.length
  }
}

function responseRatios (jobs: readonly ModelJob[], responses: ReadonlyMap<string, number>, references: ReferenceTimes): Row {
  const measured = jobs.filter(job => job.sentAt > WARM_UP_MILLISECONDS && responses.has(job.key))
  const ratiosTo = (reference: (job: ModelJob) => number): number[] =>
    measured.map(job => (responses.get(job.key) as number) / reference(job))
  const ideal = ratiosTo(job => references.ideal.get(job.key) as number)
  const inArrivalOrder = ratiosTo(job => references.inArrivalOrder.get(job.key) as number)
  const empty = ratiosTo(job => emptyFleetResponse(job, references.slots))
  return {
    p50: round(quantile(ideal, 0.5)),
    p90: round(quantile(ideal, 0.9)),
    p99: round(quantile(ideal, 0.99)),
    arrivalOrderP50: round(quantile(inArrivalOrder, 0.5)),
    arrivalOrderP99: round(quantile(inArrivalOrder, 0.99)),
    emptyFleetP50: round(quantile(empty, 0.5)),
    emptyFleetP99: round(quantile(empty, 0.99))
  }
}
