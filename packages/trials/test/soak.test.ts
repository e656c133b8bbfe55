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

// After the faults jobs come at random, and for a moment more of them than the four targets have room for. An entry refused
// one of fifteen after 133 ms, with another before it and no room at any target, and told it when to come back. Seed 715
// ended with 14 of 15 jobs served while refused callers did not come back (as did 731 and 733, for the same cause).
test('after the faults every caller is served, some when they come back', { timeout: 90_000 }, async () => {
  const { findings } = await soak({ seed: 715, program: 'dist/amaranthmast-fleet.js', faults: 10_000 })
  expect(findings).toEqual([])
})

// The operators evacuate data centres and take that back, workers start again under their id, and all else fails as above.
// Nothing may start in a data centre that is evacuated, and work returns to it afterwards.
test('evacuations hold and workers may start again under their id', { timeout: 90_000 }, async () => {
  const { findings, jobs } = await soak({ seed: 22, program: 'dist/amaranthmast-fleet.js', faults: 6000, operators: true })
  expect(findings).toEqual([])
  expect(jobs['completed'] ?? 0).toBeGreaterThan(0)
})
