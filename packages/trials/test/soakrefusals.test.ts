import { test } from 'node:test'
import { expect } from 'earl'
import { soak } from '../src/soak.ts'

const PROGRAM = 'dist/amaranthmast-fleet.js'

// A worker whose listener was closed for a moment while its tasks ran on was taken for gone: its tasks were started
// elsewhere at once and ran twice for up to 0.56 s.
test('tasks of a worker that refuses connections while it lives never run twice at one time', { timeout: 90_000 }, async () => {
  const { findings, jobs } = await soak({ seed: 2000, program: PROGRAM, faults: 6000, refusals: true, leaves: false, kinds: ['closeListener'] })
  expect(findings).toEqual([])
  expect(jobs['completed'] ?? 0).toBeGreaterThan(0)
})

// The same with all else that fails: entries and agents that are lost or late beside it, late answers, stops without an
// answer, callers that leave early.
test('workers that look gone and processes that are late never make a task run twice at one time', { timeout: 90_000 }, async () => {
  const { findings, jobs } = await soak({ seed: 2500, program: PROGRAM, faults: 6000, refusals: true })
  expect(findings).toEqual([])
  expect(jobs['completed'] ?? 0).toBeGreaterThan(0)
})
