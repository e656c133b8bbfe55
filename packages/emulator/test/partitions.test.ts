import type { Experiment } from '../src/experiment.ts'
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import { expect } from 'earl'
import { TICK_INTERVAL_MILLISECONDS, REQUEST_TIMEOUT_MILLISECONDS } from '@amaranthmast/dispatch/partitiondefaults'
import { playDay } from '../src/day.ts'
import { readExperiment } from '../src/experiment.ts'
import { TroubleKind } from '../src/troubletypes.ts'

/** Longest wait for room beside a failure: 100 ms, and what finding out takes that an entry does not answer. */
const MOST_WAIT = 100 + REQUEST_TIMEOUT_MILLISECONDS + TICK_INTERVAL_MILLISECONDS

/** When a trouble begins, and where it lies in the middle, in milliseconds from the start of the load. */
const TROUBLE_AT = 1500
const AMID_TROUBLE = { from: 1700, to: 2300 }

function day (changes: Record<string, unknown>, fleet: Record<string, unknown> = {}): Experiment {
  const example = JSON.parse(readFileSync(new URL('../../../examples/experiments/partitions.json', import.meta.url), 'utf8'))
  return readExperiment(JSON.stringify({ ...example, seconds: 4, ...changes, fleet: { ...example.fleet, ...fleet } }))._unsafeUnwrap()
}

interface JobEnd {
  entry: string
  kind: string
  waited: number
}

/** How jobs ended that other entries had than the one that a trouble of a second strikes; half of the targets are free. */
function endsBeside (kind: TroubleKind): JobEnd[] {
  const ends: JobEnd[] = []
  const heard = new Map<string, number>()
  const troubles = [{ kind, at: TROUBLE_AT / 1000, for: 1, share: 0.13, factor: 1 }]
  playDay(day({ load: 0.5, troubles }), 1, { partitions: true }, (at, process, what, fields) => {
    if (what === 'job ended') ends.push({ entry: process, kind: String(fields.kind), waited: Number(fields.waited) })
    if (what === 'job ended' && fields.kind === 'completed' && at > AMID_TROUBLE.from && at < AMID_TROUBLE.to) heard.set(process, (heard.get(process) ?? 0) + 1)
  })
  return ends.filter(({ entry }) => heard.has(entry))
}

// One entry gave out the room of all targets; at 0.6 ms an event its processor was full, and a quarter of all callers got nothing.
test('no entry is the limit of how fast eight of them start tasks', () => {
  const { figures } = playDay(day({}, { entryMilliseconds: 0.6 }), 1, { partitions: true })
  expect(figures.credit >= 0.999).toEqual(true)
  expect(figures.startsFullPart <= 0.03).toEqual(true)
  expect(figures.messagesPerTask <= 4).toEqual(true)
  expect(figures.entryMost < 1.5 * figures.entryMean).toEqual(true)
})

const FAILURES: Record<string, TroubleKind> = {
  // A process dies; its links end with it.
  killed: TroubleKind.KillEntries,
  // Its links stand, nothing comes back, and a second later it believes that it still holds its partition.
  frozen: TroubleKind.FreezeEntries,
  // It lives, and reaches neither agents nor entries.
  'cut off': TroubleKind.CutEntries
}

for (const [failure, kind] of Object.entries(FAILURES)) {
  test(`no job of the other entries is lost or waits long while one holder is ${failure}`, () => {
    const ends = endsBeside(kind)
    expect(new Set(ends.map(({ entry }) => entry)).size).toEqual(7)
    expect(ends.filter(({ kind }) => kind !== 'completed')).toEqual([])
    expect(ends.filter(({ waited }) => waited > MOST_WAIT)).toEqual([])
  })
}
