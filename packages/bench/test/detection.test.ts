/** The model of a fleet tells entries that notice losses well from those that do not. */
import { test } from 'node:test'
import { Entry } from '@amaranthmast/coordination/entry'
import type { EntryOptions } from '@amaranthmast/coordination/entry'
import { DEFAULT_TIMINGS } from '@amaranthmast/coordination/defaults'
import { expect } from 'earl'
import type { DetectionFleet } from '../src/detectionfleet.ts'
import { noticeEntry, upsetEntries } from '../src/detectionsection.ts'

const FLEET = { entries: 3, suspect: DEFAULT_TIMINGS.suspect, seed: 1 }
const NEVER = 1e9

function withSuspect (suspect: number): (options: EntryOptions) => Entry {
  return options => new Entry({ ...options, timings: { ...DEFAULT_TIMINGS, suspect } })
}

test('a killed entry is noticed long before the suspect time', () => {
  expect(noticeEntry(FLEET, (fleet, entry) => fleet.kill(entry))).toBeLessThan(FLEET.suspect / 4)
})

test('a silent entry is noticed within the suspect time and a turn', () => {
  const noticed = noticeEntry(FLEET, (fleet, entry) => fleet.silence(entry))
  expect(noticed).toBeGreaterThan(FLEET.suspect - DEFAULT_TIMINGS.heartbeat - 1)
  expect(noticed).toBeLessThan(FLEET.suspect + DEFAULT_TIMINGS.heartbeat)
})

// A machine loses power. Entries that never suspect a silent peer keep it in the view, and a third
// of the job ids waits for it.
test('entries that never suspect anybody do not notice', () => {
  const noticed = noticeEntry({ ...FLEET, makeEntry: withSuspect(NEVER) }, (fleet, entry) => fleet.silence(entry))
  expect(noticed).toEqual(20_000)
})

const pauseFor = (milliseconds: number) => ({
  act: (fleet: DetectionFleet, subject: Parameters<DetectionFleet['pause']>[0]) => fleet.pause(subject, milliseconds)
})

// A garbage collection of 700 ms stops an entry that serves. Its peers must not take it for dead.
test('a pause of 700 ms removes nobody', () => {
  expect(upsetEntries(FLEET, pauseFor(700), 10)).toEqual({ removals: 0, mostAtOnce: 0 })
})

test('impatient entries remove a live one for the same pause', () => {
  expect(upsetEntries({ ...FLEET, makeEntry: withSuspect(600) }, pauseFor(700), 10).removals).toBeGreaterThan(0)
})
