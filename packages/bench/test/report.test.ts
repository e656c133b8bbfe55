import { mkdtemp, readFile, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { expect } from 'earl'
import { plots, rowsOf } from '../src/plots.ts'
import type { Plot } from '../src/plots.ts'
import { drawPlot, writeReport } from '../src/reportpage.ts'

const policyRows = ['magnolia', 'vaalrand'].flatMap(user => ['random', 'evenSpread'].map((policy, index) =>
  ({ user, policy, p50: 1, p90: 1.1 + index, p99: 2 + index, messagesOverMinimum: 1 })))

/** Counts the marks of one type in the SVG. */
function countMarks (svg: string, type: string): number {
  return svg.split(`aria-roledescription="${type}"`).length - 1
}

test('a plot has one bar for each figure of each row, axis titles and a line at its goal', async () => {
  const svg = await drawPlot(plots[0] as Plot, policyRows)
  expect([countMarks(svg, 'bar'), countMarks(svg, 'rule mark container')]).toEqual([12, 2])
  expect(svg).toInclude('response time over the ideal')
  expect(svg).toInclude('evenSpread')
  expect(svg.includes('NaN')).toEqual(false)
})

test('the page contains the plots of the sections that ran, and no others', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'amaranthmast-report-'))
  try {
    const html = await readFile(await writeReport(folder, { policies: policyRows }), 'utf8')
    expect(html.split('<svg').length - 1).toEqual(2)
    expect(html).toInclude('Messages over the minimum, by policy')
    expect(html.includes('Goodput')).toEqual(false)
  } finally {
    await rm(folder, { recursive: true })
  }
})

test('a case of the shares section is named by its share and number of entries', () => {
  const plot = plots.find(({ section }) => section === 'shares') as Plot
  expect(rowsOf(plot, { shares: [{ share: 30, entries: 3, errorPoints: 1 }] })[0]?.['case']).toEqual('30 / 3')
})
