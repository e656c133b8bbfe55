import { test } from 'node:test'

import { expect } from 'earl'

import { planLoad } from '@amaranthmast/standins/load'
import { idealMilliseconds, summarise } from '@amaranthmast/standins/loadsummary'
import type { JobRecord } from '@amaranthmast/standins/records'
import { AnswerKind } from '@amaranthmast/standins/records'

const OPTIONS = { seed: 5, rate: 50, seconds: 20 }

test('the same seed plans the same load and another seed a different one', () => {
  expect(planLoad(OPTIONS)).toEqual(planLoad(OPTIONS))
  expect(planLoad(OPTIONS)).not.toEqual(planLoad({ ...OPTIONS, seed: 6, prefix: 'load-5' }))
})

test('a load has the configured number of jobs, sorted by time, with unique ids', () => {
  const plan = planLoad(OPTIONS)
  const times = plan.map(({ at }) => at)
  expect(plan.length).toEqual(1000)
  expect(new Set(plan.map(({ submission }) => submission.job)).size).toEqual(1000)
  expect(times).toEqual([...times].sort((a, b) => a - b))
  expect(Math.max(...times) < 20_000).toEqual(true)
})

test('jobs have 1 to 140 tasks and most are small', () => {
  const sizes = planLoad(OPTIONS).map(({ submission }) => submission.tasks.length)
  expect([Math.min(...sizes), Math.max(...sizes)]).toEqual([1, 140])
  expect(sizes.filter(size => size <= 8).length > 800).toEqual(true)
})

test('run times lie between 50 ms and 5 s and few exceed a second', () => {
  const runs = planLoad(OPTIONS).flatMap(({ submission }) => submission.tasks.map(task => task.payload.runMilliseconds ?? 0))
  const long = runs.filter(run => run > 1000).length
  expect(Math.min(...runs) >= 50 && Math.max(...runs) <= 5000).toEqual(true)
  expect(long > 0 && long < runs.length * 0.02).toEqual(true)
})

test('bursts contain the configured fraction of the jobs', () => {
  const inFirstBurst = planLoad({ ...OPTIONS, burstEvery: 20, burstFraction: 0.5 }).filter(({ at }) => at >= 10_000 && at < 10_050)
  expect(inFirstBurst.length > 400 && inFirstBurst.length < 600).toEqual(true)
})

function jobAnsweredIn (milliseconds: number, runs: number[]): JobRecord {
  return {
    submission: {
      job: 'j1',
      tenant: 'magnolia',
      service: 'label-check',
      repeatable: true,
      deadlineMilliseconds: 1000,
      tasks: runs.map(runMilliseconds => ({ payload: { runMilliseconds } }))
    },
    submittedAt: 1000,
    attempts: [],
    final: { kind: AnswerKind.Complete, job: 'j1', results: [] },
    finishedAt: 1000 + milliseconds
  }
}

const IDEALS = [
  { name: 'one task', runs: [200], slots: 8, ideal: 200 },
  { name: 'the longest task', runs: [200, 50, 300], slots: 8, ideal: 300 },
  { name: 'all tasks divided by the slots', runs: [100, 100, 100, 100], slots: 2, ideal: 200 }
]

for (const { name, runs, slots, ideal } of IDEALS) {
  test(`the ideal response time is that of ${name}`, () => {
    expect(idealMilliseconds(jobAnsweredIn(0, runs), slots)).toEqual(ideal)
  })
}

test('a summary contains response times relative to the ideal', () => {
  const summary = summarise([jobAnsweredIn(300, [200]), jobAnsweredIn(200, [200])], 8)
  expect([summary.jobs, summary.tasks, summary.answers]).toEqual([2, 2, { complete: 2 }])
  expect([summary.ratio.p50, summary.ratio.count]).toEqual([1, 2])
  expect(Math.abs(summary.ratio.max - 1.5) < 0.01).toEqual(true)
  expect(Object.keys(summary.tenants)).toEqual(['magnolia'])
})
