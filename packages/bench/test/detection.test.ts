/** Tests that the simulation of a fleet distinguishes entries that detect losses from entries that don't. */
import { test } from 'node:test'
import { Entry } from '@amaranthmast/coordination/entry'
import type { EntryOptions } from '@amaranthmast/coordination/entry'
import { DEFAULT_TIMINGS } from '@amaranthmast/coordination/defaults'
import { expect } from 'earl'
import type { DetectionFleet } from '../src/detectionfleet.ts'
import { entryDetectionTime, measureEntryDisturbances } from '../src/detectionsection.ts'

const FLEET = { entries: 3, suspect: DEFAULT_TIMINGS.suspect, seed: 1 }
const NEVER_SUSPECT = 1e9

function withSuspect (suspect: number): (options: EntryOptions) => Entry {
  return options => new Entry({ ...options, timings: { ...DEFAULT_TIMINGS, suspect } })
}

test('a killed entry is detected within a quarter of the suspect time', () => {
  expect(entryDetectionTime(FLEET, (fleet, entry) => fleet.kill(entry))).toBeLessThan(FLEET.suspect / 4)
})

test('an unresponsive entry is detected within the suspect time, give or take a heartbeat', () => {
  const detectedAfter = entryDetectionTime(FLEET, (fleet, entry) => fleet.silence(entry))
  expect(detectedAfter).toBeGreaterThan(FLEET.suspect - DEFAULT_TIMINGS.heartbeat - 1)
  expect(detectedAfter).toBeLessThan(FLEET.suspect + DEFAULT_TIMINGS.heartbeat)
})

// Guards against undetected losses: a machine loses power, and entries that never suspect an
// unresponsive peer keep it in the view. A third of the job ids then waits for it.
test('entries that never suspect a peer do not detect its loss', () => {
  const detectedAfter = entryDetectionTime({ ...FLEET, makeEntry: withSuspect(NEVER_SUSPECT) }, (fleet, entry) => fleet.silence(entry))
  expect(detectedAfter).toEqual(20_000)
})

const pauseOf = (milliseconds: number) => ({
  act: (fleet: DetectionFleet, subject: Parameters<DetectionFleet['pause']>[0]) => fleet.pause(subject, milliseconds)
})

// Guards against false removals: a garbage collection stops an entry for 700 ms, and its peers must
// not remove it.
test('a pause of 700 ms removes no entry', () => {
  expect(measureEntryDisturbances(FLEET, pauseOf(700), 10)).toEqual({ removals: 0, mostAtOnce: 0 })
})

test('entries with a suspect time of 600 ms remove a live entry after the same pause', () => {
  expect(measureEntryDisturbances({ ...FLEET, makeEntry: withSuspect(600) }, pauseOf(700), 10).removals).toBeGreaterThan(0)
})
