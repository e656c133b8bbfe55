/** Response time, messages and shares of each policy, on the same work without faults. */
import { PolicyName } from '@amaranthmast/coordination/policies'
import { emptyFleetResponse, idealResponses } from './ideal.ts'
import { runLateBinding } from './latebinding.ts'
import { largestShareError, messageRatio, quantile, rounded } from './measures.ts'
import { Model } from './model.ts'
import type { Row, SectionOptions } from './sectiontypes.ts'
import { configurationFor, makeJobs, profiles, User } from './workload.ts'
import type { ModelJob } from './workload.ts'

const LOAD = 0.7
const WARM_UP = 5_000
const SHARES = { 'provider-a': 55, 'provider-b': 45 }
const ARRIVAL_ORDER = 0

interface References {
  ideal: Map<string, number>
  inArrivalOrder: Map<string, number>
  slots: number
}

/** One row per user and policy, and one for late binding. */
export function measurePolicies (options: SectionOptions): Row[] {
  return Object.values(User).flatMap(user => measureUser(user, options))
}

function measureUser (user: User, { seed, seconds }: SectionOptions): Row[] {
  const { targets, slots } = profiles[user]
  const jobs = makeJobs({ user, load: LOAD, milliseconds: seconds * 1000, seed })
  const references = {
    ideal: idealResponses(jobs, targets * slots),
    inArrivalOrder: idealResponses(jobs, targets * slots, ARRIVAL_ORDER),
    slots: targets * slots
  }
  const rows = Object.values(PolicyName).map(policy => measurePolicy(user, policy, jobs, references, seed))
  const late = runLateBinding(jobs, targets, slots, seed)
  const lateRow = { user, policy: 'lateBinding (modelled)', ...ratios(jobs, late.responses, references) }
  return [...rows, { ...lateRow, messagesOverMinimum: rounded(late.messages / (2 * late.tasks)) }]
}

function measurePolicy (user: User, policy: PolicyName, jobs: ModelJob[], references: References, seed: number): Row {
  const result = new Model({ user, jobs, configuration: configurationFor(user, SHARES), seed, policy }).run()
  const complete = result.jobs.filter(record => record.state === 'complete')
  const responses = new Map(complete.map(record => [record.job.key, record.response]))
  const errors = profiles[user].services.map(service => largestShareError(result.dispatches, service, 'provider-a', SHARES['provider-a'], 200))
  return {
    user,
    policy,
    ...ratios(jobs, responses, references),
    messagesOverMinimum: rounded(messageRatio(result)),
    shareErrorPoints: Math.max(...errors),
    notComplete: result.jobs.length - complete.length
  }
}

function ratios (jobs: readonly ModelJob[], responses: ReadonlyMap<string, number>, references: References): Row {
  const measured = jobs.filter(job => job.sentAt > WARM_UP && responses.has(job.key))
  const against = (reference: (job: ModelJob) => number): number[] =>
    measured.map(job => (responses.get(job.key) as number) / reference(job))
  const ideal = against(job => references.ideal.get(job.key) as number)
  const inArrivalOrder = against(job => references.inArrivalOrder.get(job.key) as number)
  const empty = against(job => emptyFleetResponse(job, references.slots))
  return {
    p50: rounded(quantile(ideal, 0.5)),
    p90: rounded(quantile(ideal, 0.9)),
    p99: rounded(quantile(ideal, 0.99)),
    arrivalOrderP50: rounded(quantile(inArrivalOrder, 0.5)),
    arrivalOrderP99: rounded(quantile(inArrivalOrder, 0.99)),
    emptyFleetP50: rounded(quantile(empty, 0.5)),
    emptyFleetP99: rounded(quantile(empty, 0.99))
  }
}
