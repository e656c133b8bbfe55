import { test } from 'node:test'
import { expect } from 'earl'
import { FaultKind } from '../src/faults.ts'
import { emptyFleetResponse, idealResponses } from '../src/ideal.ts'
import { maxShareError, messageRatio, quantile } from '../src/measures.ts'
import { Model } from '../src/model.ts'
import type { StartRecord } from '../src/model.ts'
import { toModelJob } from '../src/processsection.ts'
import type { ModelJob } from '../src/workload.ts'
import { configurationFor, makeJobs, profiles, User } from '../src/workload.ts'

const shares = { 'provider-a': 50, 'provider-b': 50 }

function job (key: string, sentAt: number, runs: number[]): ModelJob {
  const needs = { accelerators: 0, memoryMegabytes: 0 }
  return { key, tenant: User.Magnolia, service: 'label-check', sentAt, deadlineMilliseconds: 30_000, tasks: runs.map(run => ({ run, declared: run, needs })) }
}

function start (provider: string): StartRecord {
  return { at: 0, service: 'label-check', provider, target: 0, failed: false }
}

for (const { part, value } of [{ part: 0, value: 1 }, { part: 0.5, value: 3 }, { part: 0.99, value: 5 }]) {
  test(`the quantile at ${100 * part} percent of five values is ${value}`, () => {
    expect(quantile([5, 3, 1, 4, 2], part)).toEqual(value)
  })
}

test('the share error is the largest over all windows of one service', () => {
  const even = Array.from({ length: 8 }, (_, index) => start(index % 2 === 0 ? 'provider-a' : 'provider-b'))
  const run = Array.from({ length: 4 }, () => start('provider-a'))
  const other = Array.from({ length: 4 }, () => ({ ...start('provider-b'), service: 'delivery-record' }))
  expect(maxShareError(even, 'label-check', 'provider-a', 50, 4)).toEqual(0)
  expect(maxShareError([...even, ...run, ...other], 'label-check', 'provider-a', 50, 4)).toEqual(50)
})

test('the minimum of messages is one dispatch and one result per task', () => {
  const result = new Model({ user: User.Magnolia, jobs: [job('one', 10, [100, 200])], configuration: configurationFor(User.Magnolia, shares), seed: 1 }).run()
  expect(messageRatio(result)).toEqual(1)
  expect(messageRatio({ ...result, messages: { ...result.messages, cancel: 2 } })).toEqual(1.5)
})

// The first job occupies the only slot while the other two arrive; the shorter of them runs next.
test('the ideal serves short jobs first and counts each network latency once', () => {
  const responses = idealResponses([job('first', 0, [100]), job('long', 1, [1000]), job('short', 2, [50])], 1)
  expect([...responses]).toEqual([['first', 103], ['short', 151], ['long', 1152]])
})

test('the response time on an empty fleet is the longest task, or the work divided by the slots if that is longer', () => {
  expect(emptyFleetResponse(job('long', 0, [10, 500]), 8)).toEqual(503)
  expect(emptyFleetResponse(job('wide', 0, [100, 100, 100, 100]), 2)).toEqual(203)
})

test('a single job in the model takes as long as on an empty fleet, plus at most one latency between entries', () => {
  const alone = job('alone', 10, [100, 200, 300])
  const result = new Model({ user: User.Magnolia, jobs: [alone], configuration: configurationFor(User.Magnolia, shares), seed: 1 }).run()
  const over = (result.jobs[0]?.response as number) - emptyFleetResponse(alone, 88)
  expect(over >= 0 && over <= 0.5).toEqual(true)
})

test('the same seed gives the same run, and another seed a different one', () => {
  const run = (seed: number): number[] => {
    const jobs = makeJobs({ user: User.Vaalrand, load: 0.5, milliseconds: 3000, seed })
    return new Model({ user: User.Vaalrand, jobs, configuration: configurationFor(User.Vaalrand, shares), seed }).run().jobs.map(({ response }) => response)
  }
  expect(run(1)).toEqual(run(1))
  expect(run(1)).not.toEqual(run(2))
})

test('the generated work matches the requested load', () => {
  const { targets, slots } = profiles[User.Vaalrand]
  const jobs = makeJobs({ user: User.Vaalrand, load: 0.7, milliseconds: 600_000, seed: 3 })
  const work = jobs.reduce((sum, { tasks }) => sum + tasks.reduce((inner, task) => inner + task.run, 0), 0)
  expect(Math.abs(work / (targets * slots * 600_000) - 0.7) < 0.1).toEqual(true)
})

const faults = [
  { kind: FaultKind.Failing, complete: false, starts: true },
  { kind: FaultKind.Hanging, complete: false, starts: true },
  { kind: FaultKind.Slow, complete: true, starts: true },
  { kind: FaultKind.Unreachable, complete: true, starts: false }
]
for (const { kind, complete, starts } of faults) {
  test(`a ${kind} target ${starts ? 'starts' : 'does not start'} tasks, and jobs are ${complete ? '' : 'not all '}complete`, () => {
    const jobs = Array.from({ length: 20 }, (_, number) => job(`job-${number}`, 10 + number, [50]))
    const wrong = [{ target: 0, kind, from: 0, until: 100_000 }]
    const result = new Model({ user: User.Magnolia, jobs, configuration: configurationFor(User.Magnolia, shares), seed: 1, targets: 2, faults: wrong }).run()
    expect(result.starts.some(({ target }) => target === 0)).toEqual(starts)
    expect(result.jobs.every(({ state }) => state === 'complete')).toEqual(complete)
  })
}

test('a planned job is converted with its actual and its declared run times', () => {
  const submission = { job: 'j', tenant: 't', service: 's', repeatable: true, deadlineMilliseconds: 500, tasks: [{ payload: { runMilliseconds: 40 }, runMilliseconds: 90 }] }
  const made = toModelJob({ at: 7, submission })
  expect([made.sentAt, made.deadlineMilliseconds, made.tasks[0]?.run, made.tasks[0]?.declared]).toEqual([7, 500, 40, 90])
})
