import { test } from 'node:test'
import { expect } from 'earl'
import { soak } from '../src/soak.ts'

// Entries and agents are killed, frozen and restarted while links, the store and the workers fail, in
// series and overlapping. Callers resubmit as the platform's callers do. No task may run at two workers at
// the same time, no refused job may have started, and afterwards every entry must serve jobs again.
test('real programs keep their guarantees under seeded faults', { timeout: 90_000 }, async () => {
  const { findings, jobs } = await soak({ seed: 20, program: 'dist/amaranthmast-fleet.js', faults: 6000 })
  expect(findings).toEqual([])
  expect(jobs['completed'] ?? 0).toBeGreaterThan(0)
})

// An entry is lost while its tasks run for longer than callers wait before they resubmit. Another entry
// then places the job again: orphaned tasks that are not stopped run at the same time as the new ones.
test('tasks that run longer than the resubmission delay never run twice at the same time', { timeout: 90_000 }, async () => {
  const { findings, jobs } = await soak({ seed: 21, program: 'dist/amaranthmast-fleet.js', faults: 6000, long: true })
  expect(findings).toEqual([])
  expect(jobs['completed'] ?? 0).toBeGreaterThan(0)
})

// After the faults jobs arrive at random, and can briefly exceed the capacity of the four targets. In seed 715 an entry
// refuses one of fifteen jobs after 133 ms with a retry time, because another job is ahead of it and no target has free
// capacity. If callers do not resubmit after such a refusal, only 14 of 15 jobs are served (the same in seeds 731 and 733).
test('after the faults every job is served, some after a resubmission', { timeout: 90_000 }, async () => {
  const { findings } = await soak({ seed: 715, program: 'dist/amaranthmast-fleet.js', faults: 10_000 })
  expect(findings).toEqual([])
})

// In addition to the faults above, data centres are evacuated and the evacuations cancelled, and workers restart under the
// same id. No task may start in an evacuated data centre, and tasks must start there again afterwards.
test('no task starts in an evacuated data centre, and workers may restart under the same id', { timeout: 90_000 }, async () => {
  const { findings, jobs } = await soak({ seed: 22, program: 'dist/amaranthmast-fleet.js', faults: 6000, operators: true })
  expect(findings).toEqual([])
  expect(jobs['completed'] ?? 0).toBeGreaterThan(0)
})
