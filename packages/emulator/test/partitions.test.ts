import type { Experiment } from '../src/experiment.ts'
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import { expect } from 'earl'
import { TICK_INTERVAL_MILLISECONDS, REQUEST_TIMEOUT_MILLISECONDS } from '@amaranthmast/dispatch/partitiondefaults'
import { playDay } from '../src/day.ts'
import { readExperiment } from '../src/experiment.ts'
import { TroubleKind } from '../src/troubletypes.ts'

/** Maximum wait for capacity during a failure: 100 ms, and the time to detect that an entry does not answer. */
const MAX_WAIT = 100 + REQUEST_TIMEOUT_MILLISECONDS + TICK_INTERVAL_MILLISECONDS

/** When a trouble starts, and a period in the middle of it, in milliseconds from the start of the load. */
const TROUBLE_START = 1500
const DURING_TROUBLE = { from: 1700, to: 2300 }

function day (changes: Record<string, unknown>, fleet: Record<string, unknown> = {}): Experiment {
  const example = JSON.parse(readFileSync(new URL('../../../examples/experiments/partitions.json', import.meta.url), 'utf8'))
  return readExperiment(JSON.stringify({ ...example, seconds: 4, ...changes, fleet: { ...example.fleet, ...fleet } }))._unsafeUnwrap()
}

interface JobEnd {
  entry: string
  kind: string
  waited: number
}

/**
 * Ends of the jobs at entries that are not affected by a trouble of one second, at half load. An entry counts as not affected
 * if it completes a job in the middle of the trouble.
 */
function endsAtUnaffectedEntries (kind: TroubleKind): JobEnd[] {
  const ends: JobEnd[] = []
  const activeEntries = new Map<string, number>()
  const troubles = [{ kind, at: TROUBLE_START / 1000, for: 1, share: 0.13, factor: 1 }]
  playDay(day({ load: 0.5, troubles }), 1, { partitions: true }, (at, process, what, fields) => {
    if (what === 'job ended') ends.push({ entry: process, kind: String(fields.kind), waited: Number(fields.waited) })
    if (what === 'job ended' && fields.kind === 'completed' && at > DURING_TROUBLE.from && at < DURING_TROUBLE.to) activeEntries.set(process, (activeEntries.get(process) ?? 0) + 1)
  })
  return ends.filter(({ entry }) => activeEntries.has(entry))
}

// Guards against one entry that grants the capacity of all targets: at 0.6 ms per event its processor is saturated, and a quarter of all callers is not served.
test('no single entry limits the rate at which eight entries start tasks', () => {
  const { figures } = playDay(day({}, { entryMilliseconds: 0.6 }), 1, { partitions: true })
  expect(figures.credit >= 0.999).toEqual(true)
  expect(figures.startsFullPart <= 0.03).toEqual(true)
  expect(figures.messagesPerTask <= 4).toEqual(true)
  expect(figures.entryMost < 1.5 * figures.entryMean).toEqual(true)
})

const FAILURES: Record<string, TroubleKind> = {
  // The process ends, and its links are closed.
  killed: TroubleKind.KillEntries,
  // Its links stay open without responses. After a second it resumes and still treats itself as the holder of its partition.
  frozen: TroubleKind.FreezeEntries,
  // It runs, but reaches neither agents nor other entries.
  'cut off': TroubleKind.CutEntries
}

for (const [failure, kind] of Object.entries(FAILURES)) {
  test(`no job of the other entries fails or waits too long while a partition holder is ${failure}`, () => {
    const ends = endsAtUnaffectedEntries(kind)
    expect(new Set(ends.map(({ entry }) => entry)).size).toEqual(7)
    expect(ends.filter(({ kind }) => kind !== 'completed')).toEqual([])
    expect(ends.filter(({ waited }) => waited > MAX_WAIT)).toEqual([])
  })
}
