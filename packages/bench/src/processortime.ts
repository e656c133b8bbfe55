/** Processor time of single decisions. These figures depend on the machine; the others do not. */
import { TaskOutcome } from '@amaranthmast/coordination/messages'
import { PolicyName } from '@amaranthmast/coordination/policies'
import { TaskScheduler } from '@amaranthmast/coordination/scheduler'
import type { Assignment, SchedulableTask } from '@amaranthmast/coordination/scheduling'
import { quantile, rounded } from './measures.ts'
import { seededRandom } from './random.ts'
import type { Row, SectionOptions } from './sectiontypes.ts'
import { configurationFor, User } from './workload.ts'

const SIZES = [11, 110, 1_100]
const BUSY_PART = 0.7
const SLOTS = 8
const BATCHES = 60
const BATCH = 500
const CANCELLED = [1_000, 10_000, 100_000]

function scheduler (targets: number, seed: number, policy: PolicyName): TaskScheduler {
  const made = new TaskScheduler({ random: seededRandom(seed), policy })
  made.configure(configurationFor(User.Magnolia, { 'provider-a': 50, 'provider-b': 50 }), 0)
  made.setEntryCount(1, 0)
  for (let number = 0; number < targets; number += 1) {
    const description = {
      target: `target-${number}`,
      provider: number % 2 === 0 ? 'provider-a' : 'provider-b',
      services: ['label-check'],
      slots: SLOTS,
      accelerators: 0,
      memoryMegabytes: 65_536,
      dataCentre: 'centre-0',
      rack: `rack-${Math.floor(number / 3)}`
    }
    const report = { running: 0, queued: 0, credit: 4 * SLOTS, leaving: false, viewVersion: 1, configurationVersion: 1 }
    made.targetUp(`target-${number}#1`, description, report, 0)
  }
  return made
}

function task (job: string): SchedulableTask {
  return {
    job,
    index: 0,
    tenant: User.Magnolia,
    service: 'label-check',
    needs: { accelerators: 0, memoryMegabytes: 0 },
    runMilliseconds: 200,
    deadline: 1e12
  }
}

/** One row per policy and number of targets: microseconds for one task to be queued, dispatched and settled. */
export function measureDecisions ({ seed }: SectionOptions): Row[] {
  return Object.values(PolicyName).flatMap(policy => {
    const times = SIZES.map(targets => timePerTask(targets, seed, policy))
    return SIZES.map((targets, number) => ({
      policy,
      targets,
      microsecondsPerTask: rounded(times[number] as number, 2),
      overSmallest: rounded((times[number] as number) / (times[0] as number), 2),
      logarithmOverSmallest: rounded(Math.log2(targets) / Math.log2(SIZES[0] as number), 2)
    }))
  })
}

function timePerTask (targets: number, seed: number, policy: PolicyName): number {
  const made = scheduler(targets, seed, policy)
  const outstanding: Assignment[] = []
  let number = 0
  let now = 0
  const step = (): void => {
    number += 1
    now += 0.01
    made.enqueue([task(`magnolia/${number}`)], now)
    outstanding.push(...made.decide(now))
  }
  const busy = Math.floor(targets * SLOTS * BUSY_PART)
  for (let round = 0; round < busy; round += 1) step()
  const samples: number[] = []
  for (let batch = 0; batch < BATCHES; batch += 1) {
    const begun = performance.now()
    for (let round = 0; round < BATCH; round += 1) {
      const oldest = outstanding[number % outstanding.length] as Assignment
      outstanding[number % outstanding.length] = outstanding[outstanding.length - 1] as Assignment
      outstanding.pop()
      made.settled(oldest, TaskOutcome.Succeeded, 200, now)
      step()
    }
    samples.push((performance.now() - begun) * 1000 / BATCH)
  }
  return quantile(samples, 0.25)
}

/** One row per size of the wave: microseconds to take back one queued task. */
export function measureCancellation ({ seed }: SectionOptions): Row[] {
  return CANCELLED.map(tasks => {
    const made = scheduler(11, seed, PolicyName.EvenSpread)
    const jobs = Array.from({ length: tasks / 100 }, (_, job) => `magnolia/${job}`)
    for (const job of jobs) {
      made.enqueue(Array.from({ length: 100 }, (_, index) => ({ ...task(job), index })), 0)
    }
    const begun = performance.now()
    const removed = jobs.reduce((sum, job) => sum + made.remove(job).length, 0)
    return { tasks, removed, microsecondsPerTask: rounded((performance.now() - begun) * 1000 / tasks, 2) }
  })
}
