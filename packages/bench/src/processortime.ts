/** Processor time of single decisions. Unlike the figures of the simulations, these depend on the machine. */
import { TaskOutcome } from '@amaranthmast/coordination/messages'
import { PolicyName } from '@amaranthmast/coordination/policies'
import { TaskScheduler } from '@amaranthmast/coordination/scheduler'
import type { Assignment, SchedulableTask } from '@amaranthmast/coordination/scheduling'
import { quantile, round } from './measures.ts'
import { seededRandom } from './random.ts'
import type { Row, SectionOptions } from './sectiontypes.ts'
import { configurationFor, User } from './workload.ts'

const TARGET_COUNTS = [11, 110, 1_100]
const BUSY_FRACTION = 0.7
const SLOTS = 8
const BATCH_COUNT = 60
const TASKS_PER_BATCH = 500
const CANCELLED_TASK_COUNTS = [1_000, 10_000, 100_000]

function createScheduler (targets: number, seed: number, policy: PolicyName): TaskScheduler {
  const scheduler = new TaskScheduler({ random: seededRandom(seed), policy })
  scheduler.configure(configurationFor(User.Magnolia, { 'provider-a': 50, 'provider-b': 50 }), 0)
  scheduler.setEntryCount(1, 0)
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
    scheduler.targetUp(`target-${number}#1`, description, report, 0)
  }
  return scheduler
}

function createTask (job: string): SchedulableTask {
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

/** One row per policy and number of targets: microseconds to queue, dispatch and settle one task. */
export function measureDecisions ({ seed }: SectionOptions): Row[] {
  return Object.values(PolicyName).flatMap(policy => {
    const times = TARGET_COUNTS.map(targets => timePerTask(targets, seed, policy))
    return TARGET_COUNTS.map((targets, number) => ({
      policy,
      targets,
      microsecondsPerTask: round(times[number] as number, 2),
      overSmallest: round((times[number] as number) / (times[0] as number), 2),
      logarithmOverSmallest: round(Math.log2(targets) / Math.log2(TARGET_COUNTS[0] as number), 2)
    }))
  })
}

function timePerTask (targets: number, seed: number, policy: PolicyName): number {
  const scheduler = createScheduler(targets, seed, policy)
  const outstanding: Assignment[] = []
  let number = 0
  let now = 0
  const step = (): void => {
    number += 1
    now += 0.01
    scheduler.enqueue([createTask(`magnolia/${number}`)], now)
    outstanding.push(...scheduler.decide(now))
  }
  const busySlots = Math.floor(targets * SLOTS * BUSY_FRACTION)
  for (let iteration = 0; iteration < busySlots; iteration += 1) step()
  const samples: number[] = []
  for (let batch = 0; batch < BATCH_COUNT; batch += 1) {
    const startedAt = performance.now()
    for (let iteration = 0; iteration < TASKS_PER_BATCH; iteration += 1) {
      const oldest = outstanding[number % outstanding.length] as Assignment
      outstanding[number % outstanding.length] = outstanding[outstanding.length - 1] as Assignment
      outstanding.pop()
      scheduler.settled(oldest, TaskOutcome.Succeeded, 200, now)
      step()
    }
    samples.push((performance.now() - startedAt) * 1000 / TASKS_PER_BATCH)
  }
  return quantile(samples, 0.25)
}

/** One row per number of cancelled tasks: microseconds to remove one queued task. */
export function measureCancellation ({ seed }: SectionOptions): Row[] {
  return CANCELLED_TASK_COUNTS.map(tasks => {
    const scheduler = createScheduler(11, seed, PolicyName.EvenSpread)
    const jobs = Array.from({ length: tasks / 100 }, (_, job) => `magnolia/${job}`)
    for (const job of jobs) {
      scheduler.enqueue(Array.from({ length: 100 }, (_, index) => ({ ...createTask(job), index })), 0)
    }
    const startedAt = performance.now()
    const removed = jobs.reduce((sum, job) => sum + scheduler.remove(job).length, 0)
    return { tasks, removed, microsecondsPerTask: round((performance.now() - startedAt) * 1000 / tasks, 2) }
  })
}
