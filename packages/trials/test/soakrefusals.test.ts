import { test } from 'node:test'
import { expect } from 'earl'
import { soak } from '../src/soak.ts'

const PROGRAM = 'dist/amaranthmast-fleet.js'

// Guards against a worker that is taken for gone while only its listener is closed.
test('tasks of a worker that refuses connections while it lives never run twice at one time', { timeout: 90_000 }, async () => {
  const { findings, jobs } = await soak({ seed: 2000, program: PROGRAM, faults: 6000, refusals: true, leaves: false, kinds: ['closeListener'] })
  expect(findings).toEqual([])
  expect(jobs['completed'] ?? 0).toBeGreaterThan(0)
})

// Guards against the same beside lost and late entries and agents, late answers, lost stops and callers that leave early.
test('workers that look gone and processes that are late never make a task run twice at one time', { timeout: 90_000 }, async () => {
  const { findings, jobs } = await soak({ seed: 2500, program: PROGRAM, faults: 6000, refusals: true })
  expect(findings).toEqual([])
  expect(jobs['completed'] ?? 0).toBeGreaterThan(0)
})
