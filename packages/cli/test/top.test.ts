/** Snapshots of `top`, built from the status pages and metrics of the entries. */
import { test } from 'node:test'
import { expect } from 'earl'
import { parseExposition } from '../src/exposition.ts'
import type { StatusPage } from '../src/statuspage.ts'
import { parseStatusPage } from '../src/statuspage.ts'
import { classesOf } from '../src/top.ts'

function page (p50: number, p99: number): StatusPage {
  const measures = { wait: { count: 10, p50, p99 } }
  return parseStatusPage(JSON.stringify({ instance: 'entry-1#1', classes: [{ tenant: 'magnolia', service: 'label-check', measures }] })) as StatusPage
}

function metrics (complete: number): string {
  return [
    '# HELP amaranthmast_jobs_total Jobs answered',
    `amaranthmast_jobs_total{tenant="magnolia",service="label-check",kind="complete",cause="none"} ${complete}`,
    'amaranthmast_jobs_total{tenant="magnolia",service="label-check",kind="refused",cause="overloaded"} 1',
    'amaranthmast_jobs_total{tenant="magnolia",service="label-check",kind="refused",cause="quotaExceeded"} 2'
  ].join('\n')
}

test('counts are summed over entries and causes, quantiles are their maximum', () => {
  const [line] = classesOf([page(5, 40), page(7, 30)], [metrics(10), metrics(20)], undefined, 0)
  expect(line?.jobs).toEqual({ complete: 30, failed: 0, refused: 6, mayHaveRun: 0 })
  expect(line?.wait).toEqual({ count: 20, p50: 7, p99: 40 })
  expect(line?.rate).toEqual(undefined)
})

test('the rate counts the jobs since the previous snapshot', () => {
  const classes = classesOf([], [metrics(10)], undefined, 1000)
  const [line] = classesOf([], [metrics(30)], { at: 1000, classes, entries: [], silent: [] }, 3000)
  expect(line?.rate).toEqual(10)
})

// An entry is replaced between two snapshots and counts from 0 again. The rate must not become negative.
test('the rate is unknown after a restart', () => {
  const classes = classesOf([], [metrics(30)], undefined, 1000)
  const [line] = classesOf([], [metrics(10)], { at: 1000, classes, entries: [], silent: [] }, 3000)
  expect(line?.rate).toEqual(undefined)
})

test('labels with quotes and line breaks are parsed', () => {
  const samples = parseExposition('name{a="x\\"y\\\\z\\n",b="c,d"} 1.5\nother 2\n# name 3').get('name')
  expect(samples).toEqual([{ labels: { a: 'x"y\\z\n', b: 'c,d' }, value: 1.5 }])
})

for (const text of ['', 'null', '[]', '{"role":"entry"}', '<html>']) {
  test(`not a status page: ${text}`, () => {
    expect(parseStatusPage(text)).toEqual(undefined)
  })
}
