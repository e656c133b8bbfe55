import { test } from 'node:test'
import { expect } from 'earl'
import { soak } from '../src/soak.ts'

// Entries and agents are killed, frozen and restarted while links, the store and the workers fail,
// in series and overlapping. Callers come back as the platform's page says. No task may run at two
// workers, no refused job may have started, and afterwards the fleet is whole again.
test('real programs keep the promises under seeded faults', { timeout: 90_000 }, async () => {
  const { findings, jobs } = await soak({ seed: 20, program: 'dist/amaranthmast-fleet.js', faults: 6000 })
  expect(findings).toEqual([])
  expect(jobs['completed'] ?? 0).toBeGreaterThan(0)
})

// An entry is lost while tasks of it run that last longer than its callers wait before they come back.
// Through another entry the job is placed anew: tasks that nobody stopped would run beside it.
test('tasks that outlast the pause of their callers never run twice at one time', { timeout: 90_000 }, async () => {
  const { findings, jobs } = await soak({ seed: 21, program: 'dist/amaranthmast-fleet.js', faults: 6000, long: true })
  expect(findings).toEqual([])
  expect(jobs['completed'] ?? 0).toBeGreaterThan(0)
})
