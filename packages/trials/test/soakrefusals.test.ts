import { test } from 'node:test'
import { expect } from 'earl'
import { soak } from '../src/soak.ts'

const PROGRAM = 'dist/amaranthmast-fleet.js'

// Guards against treating a worker as ended while only its listener is closed.
test('tasks of a running worker that refuses connections never run twice at the same time', { timeout: 90_000 }, async () => {
  const { findings, jobs } = await soak({ seed: 2000, program: PROGRAM, faults: 6000, refusals: true, leaves: false, kinds: ['closeListener'] })
  expect(findings).toEqual([])
  expect(jobs['completed'] ?? 0).toBeGreaterThan(0)
})

// Guards against the same in combination with lost and stalled entries and agents, late answers, lost stop requests and
// callers that disconnect early.
test('unreachable workers and stalled processes never make a task run twice at the same time', { timeout: 90_000 }, async () => {
  const { findings, jobs } = await soak({ seed: 2500, program: PROGRAM, faults: 6000, refusals: true })
  expect(findings).toEqual([])
  expect(jobs['completed'] ?? 0).toBeGreaterThan(0)
})
