/** The decision log, written by a separate process to a pipe, as the platform reads it. */
import type { Step } from './decisionwriter.ts'
import { expect } from 'earl'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { test } from 'node:test'
import { fileURLToPath } from 'node:url'

const WRITER = fileURLToPath(new URL('decisionwriter.ts', import.meta.url))

interface Line {
  msg: string
  [field: string]: unknown
}

/**
 * Returns the lines that the process wrote.
 *
 * @param reads whether its output is read from the start; otherwise only after it has reported that it is done
 */
async function linesOf (steps: Step[], reads = true): Promise<Line[]> {
  const writer = spawn(process.execPath, ['--import', 'tsx', WRITER, JSON.stringify(steps)])
  const chunks: Buffer[] = []
  const ended = once(writer.stdout, 'end')
  if (!reads) await once(writer.stderr, 'data')
  writer.stdout.on('data', (chunk: Buffer) => { chunks.push(chunk) })
  await ended
  return Buffer.concat(chunks).toString('utf8').trim().split('\n').map(line => JSON.parse(line) as Line)
}

function countOf (lines: Line[], what: string): number {
  return lines.filter(({ msg }) => msg === what).length
}

// With a shared budget, the lines of jobs use it up under load, and the lines that explain a failure are dropped.
test('a line that reports a change is written when routine lines have used up their budget', async () => {
  const lines = await linesOf([{ what: 'job taken', count: 2000 }, { what: 'target lost', fields: { reason: 'refused' } }])
  expect(countOf(lines, 'target lost')).toEqual(1)
  expect(countOf(lines, 'job taken') < 2000).toEqual(true)
})

// A burst of changes must neither flood the log nor displace the lines of jobs.
test('lines that report changes are bounded and leave the budget of routine lines untouched', async () => {
  const lines = await linesOf([{ what: 'orphaned run stopped', count: 2000 }, { what: 'job taken', count: 100 }])
  expect(countOf(lines, 'orphaned run stopped') <= 300).toEqual(true)
  expect(countOf(lines, 'job taken')).toEqual(100)
})

/** Returns how many lines the warnings report as dropped. */
function reportedDrops (lines: Line[]): number {
  return lines.reduce((sum, { msg, dropped }) => msg === 'lines dropped' ? sum + Number(dropped) : sum, 0)
}

test('both classes together stay within a bound per second', async () => {
  const burst = [{ what: 'job taken', count: 2000 }, { what: 'target lost', count: 2000 }]
  const seconds = 5
  const lines = await linesOf([...burst, ...Array.from({ length: seconds }, () => [{ clock: 1000, pause: 20 }, ...burst]).flat()])
  expect(lines.length <= 600 + seconds * 450).toEqual(true)
  expect(countOf(lines, 'target lost') >= seconds * 100).toEqual(true)
})

// A warning outside the budgets exceeds the bound; without a reserved line, it never gets through as long as the overload lasts.
test('the warnings about dropped lines are within the bound, and get through during a continuous overload', async () => {
  const burst = [{ what: 'job taken', count: 2000 }, { what: 'target lost', count: 2000 }]
  const lines = await linesOf([...burst, { clock: 500, pause: 600 }, ...burst, { pause: 600 }])
  expect(lines.length <= 600 + 225).toEqual(true)
  expect(countOf(lines, 'lines dropped')).toEqual(2)
})

test('lines dropped since the last warning are reported when the log is flushed at the end, within the bound', async () => {
  const burst = [{ what: 'job taken', count: 2000 }, { what: 'target lost', count: 2000 }]
  const lines = await linesOf([...burst, { pause: 600 }, ...burst])
  expect(reportedDrops(lines)).toEqual(8000 - countOf(lines, 'job taken') - countOf(lines, 'target lost'))
  expect(lines.length <= 600).toEqual(true)
})

// With many callers, most of the starts that fail do so because the target is full. Counted as changes, they would use up the budget of the others.
test('starts that fail because the target is full are routine, those that fail for another reason are not', async () => {
  const again = 'task to be placed again'
  const lines = await linesOf([{ what: again, fields: { cause: 'full' }, count: 2000 }, { what: again, fields: { cause: 'targetLost' }, count: 20 }])
  expect(lines.filter(({ cause }) => cause === 'targetLost').length).toEqual(20)
  expect(lines.filter(({ cause }) => cause === 'full').length < 2000).toEqual(true)
})

test('the warning about dropped lines counts both classes', async () => {
  const lines = await linesOf([{ what: 'job taken', count: 2000 }, { what: 'target lost', count: 3000 }, { pause: 800 }])
  const warning = lines.find(({ msg }) => msg === 'lines dropped')
  const routine = 2000 - countOf(lines, 'job taken')
  const change = 3000 - countOf(lines, 'target lost')
  expect([warning?.['routine'], warning?.['change'], warning?.['dropped']]).toEqual([routine, change, routine + change])
})

// If routine lines can fill the whole buffer, all later lines are dropped whatever they report.
test('when the reader stops reading, routine lines are dropped first and the process is not blocked', async () => {
  const seconds = 40
  const routine = Array.from({ length: seconds }, () => ({ what: 'job taken', fields: { queue: 'q'.repeat(200) }, count: 200, clock: 1000 }))
  const lines = await linesOf([...routine, { what: 'target lost', count: 20 }], false)
  expect(countOf(lines, 'target lost')).toEqual(20)
  expect(countOf(lines, 'job taken') < seconds * 200).toEqual(true)
})

test('lines dropped while the buffer had no room for the warning are reported later', async () => {
  const long = { what: 'target lost', fields: { reason: 'r'.repeat(200) }, count: 300, clock: 2000 }
  const full = [long, long, long, long, { what: 'target lost', count: 300, clock: 2000 }, { pause: 600 }]
  const lines = await linesOf([...full, ...full, ...full], false)
  expect(countOf(lines, 'target lost') < 4500).toEqual(true)
  expect(reportedDrops(lines)).toEqual(4500 - countOf(lines, 'target lost'))
})
