/** The log of decisions, written by a process of its own to a pipe, as the platform reads it. */
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
 * Lines that the process wrote.
 *
 * @param reads whether its output is read from the start; else once it has said that it is done
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

// Under load the lines of jobs used up the budget, and those that explain a fault were dropped first.
test('a line that tells a change gets through when routine lines have used up their budget', async () => {
  const lines = await linesOf([{ what: 'job taken', count: 2000 }, { what: 'target lost', fields: { reason: 'refused' } }])
  expect(countOf(lines, 'target lost')).toEqual(1)
  expect(countOf(lines, 'job taken') < 2000).toEqual(true)
})

// A storm of changes must neither fill the log nor take the lines of jobs with it.
test('lines that tell changes are bounded, and leave the routine lines theirs', async () => {
  const lines = await linesOf([{ what: 'stray run stopped', count: 2000 }, { what: 'job taken', count: 100 }])
  expect(countOf(lines, 'stray run stopped') <= 300).toEqual(true)
  expect(countOf(lines, 'job taken')).toEqual(100)
})

test('both kinds together stay within one bound in each second', async () => {
  const storm = [{ what: 'job taken', count: 2000 }, { what: 'target lost', count: 2000 }]
  const seconds = 5
  const lines = await linesOf([...storm, ...Array.from({ length: seconds }, () => [{ clock: 1000, pause: 20 }, ...storm]).flat()])
  expect(lines.length <= 600 + seconds * 450).toEqual(true)
  expect(countOf(lines, 'target lost') >= seconds * 100).toEqual(true)
})

// With many callers most starts that come back found no room: these would use up the budget for the others.
test('starts that found no room count as routine, those that ended otherwise do not', async () => {
  const again = 'task to be placed again'
  const lines = await linesOf([{ what: again, fields: { cause: 'full' }, count: 2000 }, { what: again, fields: { cause: 'targetLost' }, count: 20 }])
  expect(lines.filter(({ cause }) => cause === 'targetLost').length).toEqual(20)
  expect(lines.filter(({ cause }) => cause === 'full').length < 2000).toEqual(true)
})

test('the warning of dropped lines counts both kinds', async () => {
  const lines = await linesOf([{ what: 'job taken', count: 2000 }, { what: 'target lost', count: 3000 }, { pause: 800 }])
  const warning = lines.find(({ msg }) => msg === 'lines dropped')
  const routine = 2000 - countOf(lines, 'job taken')
  const change = 3000 - countOf(lines, 'target lost')
  expect([warning?.['routine'], warning?.['change'], warning?.['dropped']]).toEqual([routine, change, routine + change])
})

// Routine lines filled the buffer, and what came later was dropped whatever it told.
test('a reader that does not read loses routine lines first, and holds nothing up', async () => {
  const seconds = 40
  const routine = Array.from({ length: seconds }, () => ({ what: 'job taken', fields: { queue: 'q'.repeat(200) }, count: 200, clock: 1000 }))
  const lines = await linesOf([...routine, { what: 'target lost', count: 20 }], false)
  expect(countOf(lines, 'target lost')).toEqual(20)
  expect(countOf(lines, 'job taken') < seconds * 200).toEqual(true)
})
