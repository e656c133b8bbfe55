import { test } from 'node:test'
import { expect } from 'earl'
import { ExitCode } from '../src/exitcodes.ts'
import { aggregateSections } from '../src/fleet.ts'
import { linesOf, startTool } from './toolcontext.ts'

const ONE = `amaranthmast_admission_jobs_total{queue="check",figure="offered"} 12
amaranthmast_admission_jobs_total{queue="check",figure="admitted"} 10
amaranthmast_room_cores{group="entry-1",entry="entry-1",figure="free"} 4.5
amaranthmast_share_cores{queue="check",figure="share"} 30
amaranthmast_crashes{figure="suspects"} 2
`

const OTHER = `amaranthmast_admission_jobs_total{queue="check",figure="offered"} 8
amaranthmast_admission_jobs_total{queue="quote",figure="offered"} 3
amaranthmast_room_cores{group="entry-2",entry="entry-2",figure="free"} 0
amaranthmast_share_cores{queue="check",figure="share"} 28
`

function rowsOf (title: string): Array<Record<string, unknown>> {
  return aggregateSections([ONE, OTHER]).filter(section => section.title.startsWith(title)).flatMap(({ rows }) => rows.map(({ labels, figures }) => ({ ...labels, ...figures })))
}

test('jobs of all entries are summed by queue', () => {
  expect(rowsOf('Jobs since')).toEqual([{ queue: 'check', offered: 20, admitted: 10 }, { queue: 'quote', offered: 3 }])
})

test('values that every entry reports for the whole fleet are not summed', () => {
  expect(rowsOf('Capacity by queue, in')).toEqual([{ queue: 'check', share: 30 }])
})

test('fleet shows a table for each metric that some process reports', async context => {
  const { tool } = await startTool(context)
  tool.metrics['http://one'] = ONE
  tool.metrics['http://two'] = OTHER
  const lines = linesOf(await tool.run('fleet', { status: ['http://one', 'http://two'] }))
  expect(lines.slice(0, 4)).toEqual(['Jobs since the entries started, by queue', 'QUEUE  OFFERED  ADMITTED', 'check       20        10', 'quote        3         -'])
  expect(lines.includes('Targets by speed')).toEqual(false)
})

test('fleet names processes that do not answer, and fails if none does', async context => {
  const { tool } = await startTool(context)
  const outcome = await tool.run('fleet', { status: ['http://gone'] })
  expect(linesOf(outcome).at(-1)).toEqual('! http://gone does not answer')
  expect(outcome.exitCode).toEqual(ExitCode.NoStatus)
})
